// Package loglimit bounds what a fault that repeats writes to the log.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	burst    = 3   // of one message in a span
	mostKept = 256 // messages that are remembered
)

// Handler passes records on to another one. Of warnings and errors with the
// same message it passes the first three in a span, then the next one of each
// further span, with how many were left out.
type Handler struct {
	slog.Handler
	s *shared
}

type shared struct {
	span  time.Duration
	clock func() time.Time

	mu  sync.Mutex
	had map[string]*count
}

type count struct {
	since   time.Time
	n       int
	skipped int
}

// New returns a handler in front of another one. A span of 0 bounds nothing.
func New(to slog.Handler, span time.Duration, clock func() time.Time) *Handler {
	return &Handler{to, &shared{span: span, clock: clock, had: map[string]*count{}}}
}

// Handle passes a record on, or leaves it out.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if h.s.span == 0 || r.Level < slog.LevelWarn {
		return h.Handler.Handle(ctx, r)
	}
	skipped, ok := h.s.pass(r.Level.String() + r.Message)
	if !ok {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", skipped))
	}
	return h.Handler.Handle(ctx, r)
}

func (s *shared) pass(key string) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c := s.had[key]
	if c == nil {
		if len(s.had) >= mostKept {
			clear(s.had) // some are then logged once more than they would be
		}
		c = &count{since: now}
		s.had[key] = c
	}
	if now.Sub(c.since) >= s.span {
		c.since, c.n = now, 0
	}
	if c.n++; c.n > burst || c.skipped > 0 && c.n > 1 {
		c.skipped++
		return 0, false
	}
	skipped, c.skipped = c.skipped, 0
	return skipped, true
}

// WithAttrs and WithGroup share what was counted.
func (h *Handler) WithAttrs(as []slog.Attr) slog.Handler {
	return &Handler{h.Handler.WithAttrs(as), h.s}
}

// WithGroup opens a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.Handler.WithGroup(name), h.s}
}

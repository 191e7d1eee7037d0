// Package loglimit rate-limits warnings and errors that repeat, so that one fault does not
// fill the log. It is a [slog.Handler] in front of another one.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// burst is how many records with the same message are passed on in an interval.
	burst = 3
	// maxMessages bounds how many messages are counted at the same time.
	maxMessages = 256
	// suppressedKey is the attribute with the number of records left out since the last
	// one with the same message.
	suppressedKey = "left_out"
)

// Handler passes records on to another handler. Of the warnings and errors with the same
// level and message it passes the first three of each interval. The first one of an
// interval has the number of those left out before it as the attribute "left_out". Records
// below warning are all passed on.
type Handler struct {
	slog.Handler
	limiter *limiter
}

// New returns a handler in front of another one. Nothing is limited if the interval is 0.
func New(next slog.Handler, interval time.Duration, clock func() time.Time) *Handler {
	return &Handler{next, &limiter{interval: interval, clock: clock, messages: map[string]*messageCount{}}}
}

// Handle implements [slog.Handler].
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if h.limiter.interval == 0 || r.Level < slog.LevelWarn {
		return h.Handler.Handle(ctx, r)
	}
	suppressed, ok := h.limiter.allow(r.Level.String() + r.Message)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(suppressedKey, suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements [slog.Handler]. The new handler shares the counts of this one.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{h.Handler.WithAttrs(attrs), h.limiter}
}

// WithGroup implements [slog.Handler]. The new handler shares the counts of this one.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.Handler.WithGroup(name), h.limiter}
}

// limiter counts records by message.
type limiter struct {
	interval time.Duration
	clock    func() time.Time

	mu       sync.Mutex // guards messages and the counts in it
	messages map[string]*messageCount
}

// messageCount counts the records with one message.
type messageCount struct {
	intervalStart time.Time
	inInterval    int // records since then
	suppressed    int // records since the last one that was passed on
}

// allow reports whether a record is passed on, and how many were suppressed before it.
func (l *limiter) allow(message string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	c := l.messages[message]
	if c == nil {
		if len(l.messages) >= maxMessages {
			clear(l.messages) // some messages are then logged more often
		}
		c = &messageCount{intervalStart: now}
		l.messages[message] = c
	}
	if now.Sub(c.intervalStart) >= l.interval {
		c.intervalStart, c.inInterval = now, 0
	}
	c.inInterval++
	if c.inInterval > burst {
		c.suppressed++
		return 0, false
	}
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

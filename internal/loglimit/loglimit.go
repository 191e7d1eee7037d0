// Package loglimit provides a [slog.Handler] that rate-limits repeated warnings and errors, so
// that a persistent fault does not flood the log, and forwards the others to another handler.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// burst is the maximum number of records with the same level and message that are
	// forwarded per interval.
	burst = 3
	// maxMessages limits the number of combinations of level and message that are tracked at
	// the same time.
	maxMessages = 256
	// suppressedKey is the key of the attribute with the number of records suppressed since
	// the last forwarded one with the same level and message.
	suppressedKey = "left_out"
)

// Handler forwards records to another handler. Of the warnings and errors with the same level
// and message, it forwards the first three in each interval. If records were suppressed
// before the first one of an interval, their number is added to it as the attribute
// "left_out". Records below level warning are always forwarded.
type Handler struct {
	slog.Handler
	limiter *limiter
}

// New returns a handler that forwards records to next. An interval of 0 disables the limit.
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

// limiter counts records by level and message.
type limiter struct {
	interval time.Duration
	clock    func() time.Time

	mu       sync.Mutex               // guards messages and the counts in it
	messages map[string]*messageCount // by level followed by message
}

// messageCount counts the records with one level and message.
type messageCount struct {
	intervalStart time.Time
	inInterval    int // records since intervalStart
	suppressed    int // records suppressed since the last forwarded one
}

// allow reports whether a record with the given key in messages may be forwarded, and how many
// with that key were suppressed before it.
func (l *limiter) allow(key string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	c := l.messages[key]
	if c == nil {
		if len(l.messages) >= maxMessages {
			clear(l.messages) // some messages may then exceed the limit
		}
		c = &messageCount{intervalStart: now}
		l.messages[key] = c
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

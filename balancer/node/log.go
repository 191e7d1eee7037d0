package node

import (
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Of one kind of warning logBurst lines are written in each logEvery.
const (
	logEvery = 10 * time.Second
	logBurst = 5
)

// rateLimitedLog writes warnings at a bounded rate, so that bad input can't fill the log. The
// number of omitted ones is in the next line.
type rateLimitedLog struct {
	logger *slog.Logger

	mu      sync.Mutex
	since   time.Time
	written int
	omitted int
}

func (b *rateLimitedLog) warn(msg string, args ...any) {
	b.mu.Lock()
	if now := time.Now(); now.Sub(b.since) > logEvery {
		b.since, b.written = now, 0
	}
	if b.written >= logBurst {
		b.omitted++
		b.mu.Unlock()
		return
	}
	b.written++
	if b.omitted > 0 {
		args = append(args, "omitted_before", b.omitted)
		b.omitted = 0
	}
	b.mu.Unlock()
	b.logger.Warn(msg, args...)
}

// Write logs a line of the HTTP server.
func (b *rateLimitedLog) Write(line []byte) (int, error) {
	b.warn(strings.TrimSpace(string(line)))
	return len(line), nil
}

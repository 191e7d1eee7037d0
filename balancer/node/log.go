package node

import (
	"log/slog"
	"strings"
	"sync"
	"time"
)

// A rateLimitedLog writes at most logBurst lines per logInterval.
const (
	logInterval = 10 * time.Second
	logBurst    = 5
)

// rateLimitedLog writes warnings at a bounded rate, so that invalid input can't flood the log.
// The next line that is written has the number of lines omitted before it.
type rateLimitedLog struct {
	logger *slog.Logger

	mu          sync.Mutex
	windowStart time.Time
	written     int
	omitted     int
}

func (l *rateLimitedLog) warn(msg string, args ...any) {
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.windowStart) > logInterval {
		l.windowStart, l.written = now, 0
	}
	if l.written >= logBurst {
		l.omitted++
		l.mu.Unlock()
		return
	}
	l.written++
	if l.omitted > 0 {
		args = append(args, "omitted_before", l.omitted)
		l.omitted = 0
	}
	l.mu.Unlock()
	l.logger.Warn(msg, args...)
}

// Write logs a line from the error log of the HTTP server. It implements io.Writer.
func (l *rateLimitedLog) Write(line []byte) (int, error) {
	l.warn(strings.TrimSpace(string(line)))
	return len(line), nil
}

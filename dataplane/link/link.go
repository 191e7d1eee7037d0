// Package link shares the machine's link between long bodies and all else. A
// body of 90 KB takes a link of 5 Mbit/s for a seventh of a second; whatever is
// written behind it waits as long, and so do requests that come in while a server
// sends such a body as fast as it can. So long bodies pass in quanta, each body in
// its turn, no faster than most of the link; heads, short answers and words are
// written at once and only counted; and sockets hold little, so that what waits
// waits here, where it can be put in order, and not on the way.
package link

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// Quantum is how many bytes of a long body pass at a time.
	Quantum = 8 << 10
	// ahead is how much may pass at once after a pause, in time on the link.
	ahead = 20 * time.Millisecond
	// A socket holds as much as the link carries in sockFor, and leastSock at least;
	// on links that are faster than sockFast there is no need.
	sockFor   = 25 * time.Millisecond
	leastSock = 8 << 10
	sockFast  = 80e6 / 8 // bytes a second
)

// Pacer paces what one machine writes. A nil Pacer does nothing: nothing is known
// of the machine's link. It is safe for concurrent use.
type Pacer struct {
	perS float64 // bytes a second that long bodies may use, with all else
	full float64 // bytes a second that the link carries

	mu     sync.Mutex
	now    func() time.Time
	freeAt time.Time // all that was let through has passed by then
}

// New returns the pacing of a link of so many Mbit/s, of which long bodies fill a
// part (0 to 1) with all else that is written; nil where nothing is known of it.
func New(mbps, fill float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{perS: mbps * fill * 1e6 / 8, full: mbps * 1e6 / 8, now: time.Now}
}

// take books bytes and returns how long to wait before they may be written.
func (l *Pacer) take(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if earliest := now.Add(-ahead); l.freeAt.Before(earliest) {
		l.freeAt = earliest
	}
	wait := l.freeAt.Sub(now)
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.perS * float64(time.Second)))
	return wait
}

// Record notes bytes that are written at once.
func (l *Pacer) Record(bytes int) {
	if l != nil {
		l.take(bytes)
	}
}

// Wait returns when it is a long body's turn to write so many bytes, or with the
// context's error. Those who wait pass in the order in which they came, a quantum
// each.
func (l *Pacer) Wait(ctx context.Context, bytes int) error {
	if l == nil {
		return nil
	}
	wait := l.take(bytes)
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Backlog is how long what was let through takes to pass.
func (l *Pacer) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.freeAt.Sub(l.now()))
}

// BulkBytesPerS is how many bytes a second long bodies may use, 0 where the link is so fast,
// or so little is known of it, that they need no plan.
func (l *Pacer) BulkBytesPerS() float64 {
	if l.SocketBuffer() == 0 {
		return 0
	}
	return l.perS
}

// SocketBuffer is how many bytes a socket should hold, 0 where it may hold what it likes.
func (l *Pacer) SocketBuffer() int {
	if l == nil || l.full >= sockFast {
		return 0
	}
	return max(leastSock, int(l.full*sockFor.Seconds()))
}

// Control sets up a socket before it connects or listens, for [net.Dialer] and
// [net.ListenConfig]: its receive buffer, so that who sends to it puts little on
// the link at a time, and its send buffer.
func (l *Pacer) Control(_, _ string, c syscall.RawConn) error {
	n := l.SocketBuffer()
	if n == 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// A system that refuses serves with the buffers that it has.
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
		syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n)
	})
}

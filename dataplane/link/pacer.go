// Package link shares the machine's network link between long bodies and all else.
//
// A body of 90 KB takes a link of 5 Mbit/s for a seventh of a second. Whatever is written
// behind it waits as long, and so do requests that arrive while a server sends such a body
// as fast as it can. So long bodies are written in chunks of [Quantum] bytes, each body in
// its turn, no faster than most of the link ([Pacer.Wait]). Heads, short responses and
// gossip messages are written at once and only counted ([Pacer.Record]). Socket buffers are
// small ([Pacer.Control]), so that data waits in the process, where it can be put in order,
// and not on the way.
package link

import (
	"context"
	"sync"
	"time"
)

const (
	// Quantum is how many bytes of a long body are written at a time.
	Quantum = 8 << 10
	// maxBurst is how much may be written at once after a pause, in time on the link.
	maxBurst = 20 * time.Millisecond
)

// Pacer paces what one machine writes to its link. A nil Pacer does nothing: the link's
// speed is not known. It is safe for concurrent use.
type Pacer struct {
	// Set by [New] and not changed.
	bulkBytesPerS float64          // that long bodies may use, together with all else
	bytesPerS     float64          // that the link carries
	now           func() time.Time // a test's clock

	mu        sync.Mutex
	drainedAt time.Time // guarded by mu: when all that was recorded has left
}

// New returns the pacer of a link of so many Mbit/s. fill is the part of it, from 0 to 1,
// that may be in use when a long body is written. It returns nil for 0 Mbit/s or less: the
// link's speed is not known, and nothing is paced.
func New(mbps, fill float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{bulkBytesPerS: mbps * fill * 1e6 / 8, bytesPerS: mbps * 1e6 / 8, now: time.Now}
}

// reserve takes the next turn on the link for some bytes and returns how long to wait
// before they may be written; 0 or less: not at all.
func (p *Pacer) reserve(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if earliest := now.Add(-maxBurst); p.drainedAt.Before(earliest) {
		p.drainedAt = earliest
	}
	wait := p.drainedAt.Sub(now)
	p.drainedAt = p.drainedAt.Add(time.Duration(float64(bytes) / p.bulkBytesPerS * float64(time.Second)))
	return wait
}

// Record counts bytes that are written at once, without a turn.
func (p *Pacer) Record(bytes int) {
	if p != nil {
		p.reserve(bytes)
	}
}

// Wait returns when it is a long body's turn to write so many bytes, [Quantum] at most.
// Those who wait take turns in the order of their calls. The error is the cause of the
// context's end; the turn is used up then too.
func (p *Pacer) Wait(ctx context.Context, bytes int) error {
	if p == nil {
		return nil
	}
	wait := p.reserve(bytes)
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

// Backlog is how long the link takes to carry what was recorded; 0 when it is idle.
func (p *Pacer) Backlog() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.drainedAt.Sub(p.now()))
}

// BulkBytesPerS is how many bytes a second long bodies may use; 0 where the link is so
// fast, or so little is known of it, that they need no plan.
func (p *Pacer) BulkBytesPerS() float64 {
	if p.SocketBuffer() == 0 {
		return 0
	}
	return p.bulkBytesPerS
}

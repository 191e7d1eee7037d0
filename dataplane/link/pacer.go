// Package link shares the bandwidth of the machine's network link between long bodies and other traffic.
//
// A body of 90 KB occupies a link of 5 Mbit/s for a seventh of a second. Everything written after it waits that long,
// and so do requests that arrive while a server sends such a body at full speed. Long bodies are therefore written in
// pieces of [Quantum] bytes, in turns, at a rate that leaves part of the link free ([Pacer.Wait]). Heads, short
// responses and gossip messages are written at once and only counted ([Pacer.Record]). Socket buffers are small
// ([Pacer.Control]), so that data is queued in the process, where it can be scheduled, and not in the network stack.
package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Quantum is the number of bytes of a long body written at a time.
	Quantum = 8 << 10
	// maxBurst is the amount of data that may be written at once after a pause, as the time that it takes at the rate
	// for long bodies.
	maxBurst = 20 * time.Millisecond
)

// Pacer paces the writes of one machine to its link. A nil Pacer, for a link of unknown speed, does nothing. It is safe
// for concurrent use.
type Pacer struct {
	// Immutable after [New].
	bulkBytesPerS float64          // rate at which long bodies are paced; other traffic counts against it
	bytesPerS     float64          // speed of the link
	now           func() time.Time // replaced in tests

	receiveBuffer atomic.Int64 // bytes that the operating system grants; 0: not known yet

	mu        sync.Mutex
	drainedAt time.Time // guarded by mu; when all recorded data has been sent at bulkBytesPerS
}

// New returns a pacer for a link of mbps Mbit/s. fill, from 0 to 1, is the fraction of the link's speed that all
// traffic together may use before long bodies wait. New returns nil, and nothing is paced, if mbps is 0 or less, which
// means that the speed is unknown.
func New(mbps, fill float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{bulkBytesPerS: mbps * fill * 1e6 / 8, bytesPerS: mbps * 1e6 / 8, now: time.Now}
}

// reserve reserves link time for bytes and returns how long to wait before writing them; 0 or less means that they may
// be written at once.
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

// Record counts bytes that are written at once, without waiting.
func (p *Pacer) Record(bytes int) {
	if p != nil {
		p.reserve(bytes)
	}
}

// Wait waits until a long body may write a piece of the given size, at most [Quantum] bytes. Callers are served in the
// order of their calls. If the context ends first, Wait returns the cause, and the reserved link time is lost.
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

// Backlog returns the time that sending the data recorded so far takes at the rate for long bodies; 0 if all of it has
// been sent.
func (p *Pacer) Backlog() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.drainedAt.Sub(p.now()))
}

// BulkBytesPerS returns the rate for long bodies in bytes per second; 0 if they need no scheduling because the link is
// fast or its speed is unknown.
func (p *Pacer) BulkBytesPerS() float64 {
	if p.SocketBuffer() == 0 {
		return 0
	}
	return p.bulkBytesPerS
}

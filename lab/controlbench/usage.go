package controlbench

import (
	"context"
	"time"
)

// Usage is what a process used in some time, as the kernel counts it (proc(5)).
type Usage struct {
	CPU time.Duration // counted in steps of 10 ms
	// Waited is how long its threads were ready and had no processor: what a busy machine
	// adds to its times.
	Waited time.Duration
	// ReadBytes and WrittenBytes are of all that it read and wrote: sockets, files and all else.
	ReadBytes, WrittenBytes int64
	DiskBytes               int64   // of them, those that went to disk
	OwnMB                   float64 // memory of its own, at the end
	HeapMB                  float64 // what its last collection left on the heap

	pid int
}

// since is what was used since an earlier look. Of a process that was started in between
// everything counts.
func (u Usage) since(before Usage) Usage {
	if u.pid != before.pid {
		return u
	}
	u.CPU -= before.CPU
	u.Waited -= before.Waited
	u.ReadBytes -= before.ReadBytes
	u.WrittenBytes -= before.WrittenBytes
	u.DiskBytes -= before.DiskBytes
	return u
}

// usage is what each member's process has used since its start.
func (b *bench) usage() []Usage {
	var all []Usage
	for _, m := range b.currentMembers() {
		all = append(all, m.usage())
	}
	return all
}

// sampleInterval is how often memory is looked at: the kernel keeps no peak of it.
const sampleInterval = 10 * time.Millisecond

// sampleMemory keeps the peaks of the processes' own memory until the context ends.
func (b *bench) sampleMemory(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range b.currentMembers() {
			if mb := ownMB(m.pid); mb > m.peakMB.load() {
				m.peakMB.store(mb)
			}
		}
	}
}

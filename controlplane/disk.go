package controlplane

// stallTicks is how long a write may take before the disk counts as stalled: two election
// time-outs. Lower, and a busy disk costs leaders; higher, and a stalled leader serves nobody
// for longer.
const stallTicks = 2 * electionTicks

// diskMonitor detects a disk that doesn't answer. It counts ticks and reads no clock.
// Guarded by Core.mu.
type diskMonitor struct {
	writing bool // a write is in flight
	ticks   int  // that it has been waited for
}

// begin notes that a write starts.
func (d *diskMonitor) begin() { d.writing, d.ticks = true, 0 }

// end notes that the write has returned, and reports whether it had stalled.
func (d *diskMonitor) end() (stalled bool) {
	d.writing = false
	return d.ticks >= stallTicks
}

// tick counts one tick of waiting, and reports whether the write stalls as of this one.
func (d *diskMonitor) tick() (stalls bool) {
	if !d.writing {
		return false
	}
	d.ticks++
	return d.ticks == stallTicks
}

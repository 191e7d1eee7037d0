package controlplane

// stallTicks is how long a write may take before the disk counts as stalled: two election
// time-outs. With a lower value leaders with a busy disk would step down; with a higher value a
// stalled leader, which serves nobody, would keep its role for longer.
const stallTicks = 2 * electionTicks

// diskMonitor detects a disk that doesn't respond. It counts ticks and reads no clock.
// Guarded by Core.mu.
type diskMonitor struct {
	writing bool // a write is in flight
	ticks   int  // since the write began
}

// begin records that a write starts.
func (d *diskMonitor) begin() { d.writing, d.ticks = true, 0 }

// end records that the write has returned, and reports whether it had stalled.
func (d *diskMonitor) end() (stalled bool) {
	d.writing = false
	return d.ticks >= stallTicks
}

// tick counts one tick of the write in flight, and reports whether the write counts as stalled
// from this tick on.
func (d *diskMonitor) tick() (stalls bool) {
	if !d.writing {
		return false
	}
	d.ticks++
	return d.ticks == stallTicks
}

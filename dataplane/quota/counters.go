package quota

// Counters are the cumulative results of the decisions of an [Enforcer] since its start. They show
// why a quota was exceeded or left unused (docs/incidents/0025).
type Counters struct {
	Admitted      uint64  // requests admitted; those of tenants without a limit are not counted
	RejectedEmpty uint64  // requests rejected because the bucket was empty
	RejectedPaced uint64  // requests rejected by pacing although the bucket held a unit
	Drawn         float64 // units admitted by peers and drawn from the buckets
	// Forgiven is the number of units admitted by peers that were not drawn, because the bucket had
	// reached its floor. They are not paid back.
	Forgiven float64
	// Inherited is the number of balances taken over from peers after this limiter's start.
	Inherited uint64
}

// Counters returns the counts since the start.
func (e *Enforcer) Counters() Counters { return e.counters }

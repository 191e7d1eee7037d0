package quota

// Counters count what an [Enforcer] has decided since its start. They show why a quota was exceeded, or left
// unused (docs/incidents/0025).
type Counters struct {
	Admitted      uint64  // requests
	RejectedEmpty uint64  // requests for which the bucket was short
	RejectedPaced uint64  // requests for which it was not, but pacing held them back
	Drawn         float64 // units that were drawn for peers
	// Forgiven is the units that peers admitted and that were not drawn, as the bucket was at its floor: nobody pays
	// for them.
	Forgiven float64
	// Inherited is how many balances were taken over from peers after the start.
	Inherited uint64
}

// Counters returns the counts since the start.
func (e *Enforcer) Counters() Counters { return e.counters }

package controlplane

import (
	"time"

	"example.org/elmspan/agreement"
)

const (
	// Of a lane so many messages wait at most. A member whose link is slow must not have
	// the others hold more for it: what has no room is dropped, and sent again in time.
	sendQueue = 128
	// mostHeld bounds the bytes of entries and pieces that wait for a member or are on
	// their way to it; one message goes whatever its size.
	mostHeld = 256 << 10
	// bulkBatch is what one call of the bulk lane carries, if no message alone is larger:
	// what a link of 1 Mbit/s needs 130 ms for, so that a heartbeat behind it on the same
	// link still comes well within an election time.
	bulkBatch = 17 << 10
	// slowestLink is the speed in bytes a second that time-outs of large calls allow for,
	// half of it, as the link has more to carry: 1 Mbit/s.
	slowestLink = 125_000
)

// laneKey names one of the two lanes to a member. Heartbeats, votes and answers never
// wait for a call that carries entries or pieces of snapshots.
type laneKey struct {
	to   agreement.ID
	bulk bool
}

// queue is what waits in one lane, and what is on its way: one call at a time.
type queue struct {
	bulk    bool
	waiting []agreement.Message
	out     []agreement.Message
	held    int // bytes of both
}

// put has a message wait; false: it is dropped.
func (q *queue) put(m agreement.Message) bool {
	if !q.bulk {
		if len(q.waiting) >= sendQueue { // the newest say most
			q.waiting = append(q.waiting[:0], q.waiting[1:]...)
		}
		q.waiting = append(q.waiting, m)
		return true
	}
	w := m.Weight()
	if len(q.waiting) >= sendQueue || q.held > 0 && q.held+w > mostHeld {
		return false
	}
	for _, s := range [][]agreement.Message{q.out, q.waiting} {
		for i := range s {
			if sameLoad(&s[i], &m) {
				return false // on its way already
			}
		}
	}
	q.waiting, q.held = append(q.waiting, m), q.held+w
	return true
}

// sameLoad tells that two messages carry the same.
func sameLoad(a, b *agreement.Message) bool {
	if a.Kind != b.Kind || a.Term != b.Term || a.Index != b.Index || a.Offset != b.Offset || len(a.Entries) != len(b.Entries) {
		return false
	}
	return a.Snapshot == b.Snapshot || a.Snapshot != nil && b.Snapshot != nil && a.Snapshot.Index == b.Snapshot.Index && a.Sum == b.Sum
}

// take returns what the next call carries, nothing while one is out.
func (q *queue) take() []agreement.Message {
	if len(q.out) > 0 || len(q.waiting) == 0 {
		return nil
	}
	k, bytes := 0, 0
	for k < len(q.waiting) {
		if bytes += q.waiting[k].Weight(); q.bulk && bytes > bulkBatch && k > 0 {
			break
		}
		k++
	}
	q.out = append(q.out, q.waiting[:k]...)
	rest := copy(q.waiting, q.waiting[k:])
	clear(q.waiting[rest:])
	q.waiting = q.waiting[:rest]
	return q.out
}

// done tells that the call is over.
func (q *queue) done() {
	for i := range q.out {
		if q.bulk {
			q.held -= q.out[i].Weight()
		}
	}
	clear(q.out)
	q.out = q.out[:0]
}

// deliverWithin is how long a call with these messages may take.
func deliverWithin(ms []agreement.Message) time.Duration {
	bytes := 0
	for i := range ms {
		bytes += ms[i].Weight()
	}
	return deliverTimeout + 2*time.Duration(bytes)*time.Second/slowestLink
}

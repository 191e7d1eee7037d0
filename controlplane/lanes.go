package controlplane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

const (
	// Of a lane so many messages wait at most. A member whose link is slow must not have
	// the others hold more for it: what has no room is dropped, and sent again in time.
	sendQueue = 128
	// mostHeld bounds the bytes of entries and pieces that wait for a member or are on
	// their way to it; one message goes whatever its size.
	mostHeld = 256 << 10
	// bulkBatch is what one call of the bulk lane carries, if no message alone is larger: what a link of 1 Mbit/s needs 130 ms for, so that a heartbeat behind it on the same
	// link still comes well within an election time.
	bulkBatch = 17 << 10
	// A larger message goes in parts of partBytes, one call after the other. A heartbeat
	// behind one comes within 400 ms on 1 Mbit/s, and a part waits for an answer less often.
	partBytes = 32 << 10
	// mostParts bounds the bytes of messages that come in parts.
	mostParts = api.MaxConfigBytes + 1<<20
	// slowestLink is the speed in bytes a second that time-outs of large calls allow for,
	// half of it, as the link has more to carry: 1 Mbit/s.
	slowestLink = 125_000
)

// laneKey names one of the two lanes to a member. Heartbeats, votes and answers never
// wait for a call that carries entries or pieces of snapshots.
type laneKey struct {
	to   raft.ID
	bulk bool
}

// queue is what waits in one lane, and what is on its way: one call at a time.
type queue struct {
	bulk    bool
	waiting []raft.Message
	out     []raft.Message
	held    int // bytes of both
}

// put has a message wait; false: it is dropped.
func (q *queue) put(m raft.Message) bool {
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
	for _, s := range [][]raft.Message{q.out, q.waiting} {
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
func sameLoad(a, b *raft.Message) bool {
	if a.Kind != b.Kind || a.Term != b.Term || a.Index != b.Index || a.Offset != b.Offset || len(a.Entries) != len(b.Entries) {
		return false
	}
	return a.Snapshot == b.Snapshot || a.Snapshot != nil && b.Snapshot != nil && a.Snapshot.Index == b.Snapshot.Index && a.Sum == b.Sum
}

// take returns what the next call carries, nothing while one is out.
func (q *queue) take() []raft.Message {
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

// parts are messages that come in several calls of one sender, one after the other.
type parts struct {
	data []byte
	size int
	sum  uint64
}

// put takes a part in and returns how many bytes are held, and the whole once it is there.
func (p *parts) put(q *api.MessageChunk) (held int, whole []byte) {
	if q.Size != p.size || q.Checksum != p.sum || p.data == nil {
		if q.Offset != 0 || q.Size < len(q.Data) || q.Size > mostParts {
			return 0, nil // its beginning is not here, as after a restart
		}
		*p = parts{make([]byte, 0, q.Size), q.Size, q.Checksum}
	}
	if q.Offset == len(p.data) && len(q.Data) <= p.size-len(p.data) { // else doubled: it is told what is held
		p.data = append(p.data, q.Data...)
	}
	if held = len(p.data); held < p.size {
		return held, nil
	}
	whole = p.data
	*p = parts{}
	if xxhash.Sum64(whole) != q.Checksum {
		return 0, nil
	}
	return held, whole
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

// load is what messages have of entries and pieces, in bytes.
func load(ms []raft.Message) (bytes int) {
	for i := range ms {
		bytes += ms[i].Weight()
	}
	return bytes
}

// deliverWithin is how long a call with so many bytes of entries and pieces may take.
func deliverWithin(bytes int) time.Duration {
	return deliverTimeout + 2*time.Duration(bytes)*time.Second/slowestLink
}

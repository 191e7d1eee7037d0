package controlplane

import (
	"slices"
	"sync"

	"example.org/elmspan/raft"
)

const (
	// maxQueuedMessages bounds the messages that wait in a queue. A member whose link is slow
	// must not have the others hold more for it: what has no room is dropped, and sent again in
	// time.
	maxQueuedMessages = 128
	// maxQueuedBytes bounds the bytes of entries and chunks that wait for a member or are on
	// their way to it; one message goes whatever its size.
	maxQueuedBytes = 256 << 10
	// maxBulkCallBytes is what one call of the bulk queue carries, if no message alone is larger: what
	// a link of 1 Mbit/s needs 130 ms for, so that a heartbeat behind it on the same link still
	// comes well within an election time.
	maxBulkCallBytes = 17 << 10
)

// queueKey names one of the two send queues to a member, control and bulk. Heartbeats, votes
// and answers never wait for a call that carries entries or chunks of snapshots.
type queueKey struct {
	to   raft.ID
	bulk bool
}

// sendQueue is one send queue with the goroutine that empties it. Its own lock is taken last,
// also under Core.mu, and held for no I/O.
type sendQueue struct {
	mu       sync.Mutex
	messages messageQueue
	wake     chan struct{} // of one element: something was put
}

func newSendQueue(bulk bool) *sendQueue {
	return &sendQueue{messages: messageQueue{bulk: bulk}, wake: make(chan struct{}, 1)}
}

func (q *sendQueue) put(m raft.Message) {
	q.mu.Lock()
	q.messages.put(m)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *sendQueue) take() []raft.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.messages.take())
}

func (q *sendQueue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages.done()
}

// messageQueue is what waits in one send queue, and what is in flight: one call at a time. It
// does no I/O and takes no lock.
type messageQueue struct {
	bulk     bool
	waiting  []raft.Message
	inFlight []raft.Message
	bytes    int // of entries and chunks of both; 0 in a control queue
}

// put has a message wait, and reports whether there was room. A full control queue drops its
// oldest, as the newest say most; a full bulk queue takes no more.
func (q *messageQueue) put(m raft.Message) bool {
	if !q.bulk {
		if len(q.waiting) >= maxQueuedMessages {
			q.waiting = append(q.waiting[:0], q.waiting[1:]...)
		}
		q.waiting = append(q.waiting, m)
		return true
	}
	size := m.PayloadSize()
	if len(q.waiting) >= maxQueuedMessages || q.bytes > 0 && q.bytes+size > maxQueuedBytes {
		return false
	}
	for _, queued := range [][]raft.Message{q.inFlight, q.waiting} {
		for i := range queued {
			if samePayload(&queued[i], &m) {
				return false // on its way already
			}
		}
	}
	q.waiting, q.bytes = append(q.waiting, m), q.bytes+size
	return true
}

// take returns what the next call carries, nothing while one is in flight.
func (q *messageQueue) take() []raft.Message {
	if len(q.inFlight) > 0 || len(q.waiting) == 0 {
		return nil
	}
	count, bytes := 0, 0
	for count < len(q.waiting) {
		if bytes += q.waiting[count].PayloadSize(); q.bulk && bytes > maxBulkCallBytes && count > 0 {
			break
		}
		count++
	}
	q.inFlight = append(q.inFlight, q.waiting[:count]...)
	rest := copy(q.waiting, q.waiting[count:])
	clear(q.waiting[rest:])
	q.waiting = q.waiting[:rest]
	return q.inFlight
}

// done notes that the call is over.
func (q *messageQueue) done() {
	for i := range q.inFlight {
		if q.bulk {
			q.bytes -= q.inFlight[i].PayloadSize()
		}
	}
	clear(q.inFlight)
	q.inFlight = q.inFlight[:0]
}

// samePayload reports that two messages carry the same.
func samePayload(a, b *raft.Message) bool {
	if a.Kind != b.Kind || a.Term != b.Term || a.Index != b.Index || a.Offset != b.Offset ||
		len(a.Entries) != len(b.Entries) {
		return false
	}
	return a.Snapshot == b.Snapshot || a.Snapshot != nil && b.Snapshot != nil &&
		a.Snapshot.Index == b.Snapshot.Index && a.SnapshotChecksum == b.SnapshotChecksum
}

// payloadBytes is what messages have of entries and chunks, in bytes.
func payloadBytes(messages []raft.Message) (bytes int) {
	for i := range messages {
		bytes += messages[i].PayloadSize()
	}
	return bytes
}

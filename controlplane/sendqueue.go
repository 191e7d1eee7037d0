package controlplane

import (
	"slices"
	"sync"

	"example.org/elmspan/raft"
)

const (
	// maxQueuedMessages bounds the messages that wait in a queue, so that a member with a slow
	// link doesn't use up the memory of the others: excess messages are dropped, and Raft sends
	// them again later.
	maxQueuedMessages = 128
	// maxQueuedBytes bounds the entries and chunks that wait for a member or are in flight to it,
	// in bytes. A single message may exceed it.
	maxQueuedBytes = 256 << 10
	// maxBulkCallBytes bounds the payload of one call of the bulk queue, unless a single message is
	// larger. A link of 1 Mbit/s needs 140 ms for it, so that a heartbeat behind it on the same
	// link still arrives well within an election time-out.
	maxBulkCallBytes = 17 << 10
)

// queueKey identifies one of the two send queues to a member, control and bulk. Heartbeats, votes
// and replies never wait for a call that carries entries or snapshot chunks.
type queueKey struct {
	to   raft.ID
	bulk bool
}

// sendQueue is one of the two send queues to a member. A goroutine in transport.deliverFrom sends
// its messages. Its lock comes after Core.mu in the lock order, and is not held during I/O.
type sendQueue struct {
	mu       sync.Mutex
	messages messageQueue
	wake     chan struct{} // capacity 1: signals that a message was put
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

// messageQueue holds the messages that wait in one send queue and those of the call in flight: there
// is at most one such call. It does no I/O and acquires no lock.
type messageQueue struct {
	bulk     bool
	waiting  []raft.Message
	inFlight []raft.Message
	bytes    int // payload of waiting and inFlight; 0 in a control queue
}

// put adds a message, and reports whether it was added. A full control queue drops its oldest
// message, which newer ones supersede; a bulk queue drops the new one if it is full or already has
// a message with the same payload.
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
				return false // already queued or in flight
			}
		}
	}
	q.waiting, q.bytes = append(q.waiting, m), q.bytes+size
	return true
}

// take returns the messages of the next call, none while a call is in flight.
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

// done records that the call is over.
func (q *messageQueue) done() {
	for i := range q.inFlight {
		if q.bulk {
			q.bytes -= q.inFlight[i].PayloadSize()
		}
	}
	clear(q.inFlight)
	q.inFlight = q.inFlight[:0]
}

// samePayload reports whether two messages carry the same entries or snapshot chunk.
func samePayload(a, b *raft.Message) bool {
	if a.Kind != b.Kind || a.Term != b.Term || a.Index != b.Index || a.Offset != b.Offset ||
		len(a.Entries) != len(b.Entries) {
		return false
	}
	return a.Snapshot == b.Snapshot || a.Snapshot != nil && b.Snapshot != nil &&
		a.Snapshot.Index == b.Snapshot.Index && a.SnapshotChecksum == b.SnapshotChecksum
}

// payloadBytes returns the size of the entries and chunks in messages, in bytes.
func payloadBytes(messages []raft.Message) (bytes int) {
	for i := range messages {
		bytes += messages[i].PayloadSize()
	}
	return bytes
}

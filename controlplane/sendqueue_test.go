package controlplane

import (
	"testing"
	"time"

	"example.org/elmspan/raft"
)

func snapshotChunk(offset uint64, size int) raft.Message {
	return raft.Message{
		Kind:     raft.SnapshotChunk,
		Term:     1,
		Offset:   offset,
		Snapshot: &raft.Snapshot{Index: 9, Data: make([]byte, size)},
	}
}

// A bulk queue accepts a single message of any size, but no second message beside it. The timeout of
// its call is long enough for its bytes on a link of 1 Mbit/s, and no other call is in flight
// meanwhile.
func TestBulkQueueTakesOneLargeMessage(t *testing.T) {
	const size = 400 << 10
	q := &messageQueue{bulk: true}
	if !q.put(snapshotChunk(0, size)) {
		t.Error("a large message was dropped")
	}
	if q.put(snapshotChunk(1, 1)) {
		t.Error("another message was queued beside it")
	}
	messages := q.take()
	if len(messages) != 1 {
		t.Errorf("%d messages in one call", len(messages))
	}
	if timeout := callTimeoutFor(payloadBytes(messages)); timeout < size*time.Second/minLinkBytesPerSecond {
		t.Errorf("call timeout is %v", timeout)
	}
	if q.take() != nil {
		t.Error("a second call was started")
	}
	if q.put(snapshotChunk(0, size)) {
		t.Error("the message was queued again while in flight")
	}
}

// A bulk queue holds a bounded number of bytes, a call carries at most 17 KB of them, and no message
// is queued twice at the same time.
func TestBulkQueueIsBounded(t *testing.T) {
	const size = 8 << 10
	q := &messageQueue{bulk: true}
	n := uint64(0)
	for q.put(snapshotChunk(n, size)) {
		n++
	}
	if n != maxQueuedBytes/size || q.bytes > maxQueuedBytes {
		t.Errorf("%d messages queued, %d bytes", n, q.bytes)
	}
	if q.take(); len(q.inFlight) != 2 {
		t.Errorf("%d messages in one call", len(q.inFlight))
	}
	if q.put(snapshotChunk(0, size)) {
		t.Error("a message in flight was queued again")
	}
	q.done()
	if q.put(snapshotChunk(3, size)) {
		t.Error("a queued message was queued again")
	}
	if !q.put(snapshotChunk(0, size)) {
		t.Error("a message that was sent could not be queued again")
	}
	for len(q.take()) > 0 {
		q.done()
	}
	if q.bytes != 0 {
		t.Errorf("the empty queue counts %d bytes", q.bytes)
	}
	if got := callTimeoutFor(0); got != deliverTimeout {
		t.Errorf("timeout of a call without payload is %v", got)
	}
}

func TestControlQueueKeepsTheNewest(t *testing.T) {
	const excess = 10
	q := &messageQueue{}
	for i := range uint64(maxQueuedMessages + excess) {
		q.put(raft.Message{Kind: raft.AppendEntries, Round: i})
	}
	messages := q.take()
	if len(messages) != maxQueuedMessages {
		t.Fatalf("%d messages", len(messages))
	}
	if last := messages[len(messages)-1].Round; last != maxQueuedMessages+excess-1 {
		t.Errorf("the last message is of round %d", last)
	}
}

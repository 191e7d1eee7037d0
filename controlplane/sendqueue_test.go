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

// One message goes whatever its size, and no other beside it. Its call has time for its bytes
// on a link of 1 Mbit/s, and no other is in flight meanwhile.
func TestBulkQueueTakesOneLargeMessage(t *testing.T) {
	const size = 400 << 10
	q := &messageQueue{bulk: true}
	if !q.put(snapshotChunk(0, size)) {
		t.Error("a large message is dropped")
	}
	if q.put(snapshotChunk(1, 1)) {
		t.Error("another one is queued beside it")
	}
	messages := q.take()
	if len(messages) != 1 {
		t.Errorf("%d messages in one call", len(messages))
	}
	if timeout := callTimeoutFor(payloadBytes(messages)); timeout < size*time.Second/minLinkBytesPerSecond {
		t.Errorf("the call has %v", timeout)
	}
	if q.take() != nil {
		t.Error("a second call is in flight")
	}
	if q.put(snapshotChunk(0, size)) {
		t.Error("it is queued again while it is in flight")
	}
}

// A bulk queue holds a bounded number of bytes, of which a call carries 17 KB, and nothing
// twice at once.
func TestBulkQueueIsBounded(t *testing.T) {
	const size = 8 << 10
	q := &messageQueue{bulk: true}
	n := uint64(0)
	for q.put(snapshotChunk(n, size)) {
		n++
	}
	if n != maxQueuedBytes/size || q.bytes > maxQueuedBytes {
		t.Errorf("%d wait, %d bytes", n, q.bytes)
	}
	if q.take(); len(q.inFlight) != 2 {
		t.Errorf("%d in one call", len(q.inFlight))
	}
	if q.put(snapshotChunk(0, size)) {
		t.Error("what is in flight is queued again")
	}
	q.done()
	if q.put(snapshotChunk(3, size)) {
		t.Error("what waits is queued again")
	}
	if !q.put(snapshotChunk(0, size)) {
		t.Error("what was sent is not queued again")
	}
	for len(q.take()) > 0 {
		q.done()
	}
	if q.bytes != 0 {
		t.Errorf("%d bytes are held of nothing", q.bytes)
	}
	if got := callTimeoutFor(0); got != deliverTimeout {
		t.Errorf("a call with nothing has %v", got)
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
		t.Errorf("the last one is of round %d", last)
	}
}

package controlplane

import (
	"testing"
	"time"

	"example.org/elmspan/agreement"
)

// The lane of what is large has one call out at a time, of 17 KB or one message; holds a
// bounded number of bytes; and carries nothing twice at once. Its calls have time for
// their bytes on a link of 1 Mbit/s. The other lane keeps the newest.
func TestLanesAreBounded(t *testing.T) {
	q := &queue{bulk: true}
	piece := func(at uint64, size int) agreement.Message {
		return agreement.Message{Kind: agreement.Piece, Term: 1, Offset: at, Snapshot: &agreement.Snapshot{Index: 9, Data: make([]byte, size)}}
	}
	if !q.put(piece(0, 400<<10)) || q.put(piece(1, 1)) {
		t.Error("one message goes whatever its size, and no more beside it")
	}
	if ms := q.take(); len(ms) != 1 || deliverWithin(ms) < 400<<10*time.Second/slowestLink || q.take() != nil || q.put(piece(0, 400<<10)) {
		t.Errorf("%d messages in %v", len(ms), deliverWithin(ms))
	}
	q.done()
	n := uint64(0)
	for q.put(piece(n, 8<<10)) {
		n++
	}
	if n != mostHeld/(8<<10) || q.held > mostHeld {
		t.Errorf("%d wait, %d bytes", n, q.held)
	}
	if q.take(); len(q.out) != 2 || q.put(piece(0, 8<<10)) {
		t.Errorf("%d in one call", len(q.out))
	}
	q.done()
	if q.put(piece(3, 8<<10)) || !q.put(piece(0, 8<<10)) {
		t.Error("what waits is taken twice, or what was carried is not taken again")
	}
	for len(q.take()) > 0 {
		q.done()
	}
	if q.held != 0 || deliverWithin(nil) != deliverTimeout {
		t.Errorf("%d bytes are held of nothing", q.held)
	}
	small := &queue{}
	for i := range uint64(sendQueue + 10) {
		small.put(agreement.Message{Kind: agreement.Append, Round: i})
	}
	if ms := small.take(); len(ms) != sendQueue || ms[len(ms)-1].Round != sendQueue+9 {
		t.Errorf("%d messages, the last of round %d", len(ms), ms[len(ms)-1].Round)
	}
}

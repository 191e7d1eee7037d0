package controlplane

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/agreement"
	"example.org/elmspan/api"
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
	if ms := q.take(); len(ms) != 1 || deliverWithin(load(ms)) < 400<<10*time.Second/slowestLink || q.take() != nil || q.put(piece(0, 400<<10)) {
		t.Errorf("%d messages in %v", len(ms), deliverWithin(load(ms)))
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
	if q.held != 0 || deliverWithin(0) != deliverTimeout {
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

// Messages in parts come whole or not at all: doubled, late, without a beginning, or
// damaged ones have the sender go on where the receiver is, or begin again.
func TestParts(t *testing.T) {
	t.Parallel()
	body := []byte("what is large goes in parts")
	sum := xxhash.Sum64(body)
	part := func(from, to int) *api.Part {
		return &api.Part{Offset: from, Size: len(body), Sum: sum, Data: body[from:to]}
	}
	p := &parts{}
	for i, c := range []struct {
		q     *api.Part
		held  int
		whole bool
	}{
		{part(5, 9), 0, false}, // no beginning
		{part(0, 5), 5, false},
		{part(0, 5), 5, false}, // doubled
		{part(9, 12), 5, false},
		{&api.Part{Size: 3, Sum: 1, Offset: 1, Data: body[:2]}, 0, false}, // of another, without a beginning
		{part(5, 27), 27, true},
		{part(0, 20), 20, false},
		{&api.Part{Offset: 20, Size: len(body), Sum: sum, Data: make([]byte, 7)}, 0, false}, // damaged
		{part(0, 27), 27, true},
		{&api.Part{Size: mostParts + 1, Sum: 1, Data: body}, 0, false},
		{&api.Part{Size: 3, Sum: 1, Data: body}, 0, false},
	} {
		held, whole := p.put(c.q)
		if held != c.held || (whole != nil) != c.whole || c.whole && !bytes.Equal(whole, body) {
			t.Errorf("%d: %d held, whole %q", i, held, whole)
		}
	}
}

// A large entry reaches a member in parts once that has said that it takes them, over
// real sockets; one of before gets it in one call.
func TestLargeEntriesInParts(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	var leader *Core
	c.until("a leader that serves", func() bool {
		for _, k := range c.cores {
			if k.Leads() {
				leader = k
			}
		}
		return leader != nil
	})
	c.until("the others say that they take parts", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		n := 0
		for _, takes := range leader.parted {
			if takes {
				n++
			}
		}
		return n == 2
	})
	rng := rand.New(rand.NewPCG(1, 1))
	name := make([]byte, 150<<10) // doesn't get shorter when packed
	for i := range name {
		name[i] = "0123456789abcdefghijklmnopqrstuvwxyz"[rng.IntN(36)]
	}
	data, err := cbor.Marshal(&api.Config{Revision: 5, Upstreams: []api.Upstream{{Name: "a"}, {Name: string(name)}},
		Routes: []api.Route{{Name: "r", Host: "h", Prefix: "/", TimeoutMs: 100, Upstream: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	if got := replace(c.client(), 0, data); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	c.until("all have it", func() bool {
		for _, k := range c.cores {
			k.mu.Lock()
			has := k.state.Revision == 5
			k.mu.Unlock()
			if !has {
				return false
			}
		}
		return true
	})
}

package controlplane

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// The lane of what is large has one call out at a time, of 17 KB or one message; holds a
// bounded number of bytes; and carries nothing twice at once. Its calls have time for
// their bytes on a link of 1 Mbit/s. The other lane keeps the newest.
func TestLanesAreBounded(t *testing.T) {
	q := &messageQueue{bulk: true}
	piece := func(at uint64, size int) raft.Message {
		return raft.Message{Kind: raft.SnapshotChunk, Term: 1, Offset: at, Snapshot: &raft.Snapshot{Index: 9, Data: make([]byte, size)}}
	}
	if !q.put(piece(0, 400<<10)) || q.put(piece(1, 1)) {
		t.Error("one message goes whatever its size, and no more beside it")
	}
	if ms := q.take(); len(ms) != 1 || callTimeoutFor(payloadBytes(ms)) < 400<<10*time.Second/minLinkSpeed || q.take() != nil || q.put(piece(0, 400<<10)) {
		t.Errorf("%d messages in %v", len(ms), callTimeoutFor(payloadBytes(ms)))
	}
	q.done()
	n := uint64(0)
	for q.put(piece(n, 8<<10)) {
		n++
	}
	if n != maxQueuedBytes/(8<<10) || q.bytes > maxQueuedBytes {
		t.Errorf("%d wait, %d bytes", n, q.bytes)
	}
	if q.take(); len(q.inFlight) != 2 || q.put(piece(0, 8<<10)) {
		t.Errorf("%d in one call", len(q.inFlight))
	}
	q.done()
	if q.put(piece(3, 8<<10)) || !q.put(piece(0, 8<<10)) {
		t.Error("what waits is taken twice, or what was carried is not taken again")
	}
	for len(q.take()) > 0 {
		q.done()
	}
	if q.bytes != 0 || callTimeoutFor(0) != deliverTimeout {
		t.Errorf("%d bytes are held of nothing", q.bytes)
	}
	small := &messageQueue{}
	for i := range uint64(maxQueuedMessages + 10) {
		small.put(raft.Message{Kind: raft.AppendEntries, Round: i})
	}
	if ms := small.take(); len(ms) != maxQueuedMessages || ms[len(ms)-1].Round != maxQueuedMessages+9 {
		t.Errorf("%d messages, the last of round %d", len(ms), ms[len(ms)-1].Round)
	}
}

// Messages in parts come whole or not at all: doubled, late, without a beginning, or
// damaged ones have the sender go on where the receiver is, or begin again.
func TestParts(t *testing.T) {
	t.Parallel()
	body := []byte("what is large goes in parts")
	sum := xxhash.Sum64(body)
	part := func(from, to int) *api.MessageChunk {
		return &api.MessageChunk{Offset: from, Size: len(body), Checksum: sum, Data: body[from:to]}
	}
	p := &reassembly{}
	for i, c := range []struct {
		q     *api.MessageChunk
		held  int
		whole bool
	}{
		{part(5, 9), 0, false}, // no beginning
		{part(0, 5), 5, false},
		{part(0, 5), 5, false}, // doubled
		{part(9, 12), 5, false},
		{&api.MessageChunk{Size: 3, Checksum: 1, Offset: 1, Data: body[:2]}, 0, false}, // of another, without a beginning
		{part(5, 27), 27, true},
		{part(0, 20), 20, false},
		{&api.MessageChunk{Offset: 20, Size: len(body), Checksum: sum, Data: make([]byte, 7)}, 0, false}, // damaged
		{part(0, 27), 27, true},
		{&api.MessageChunk{Size: maxChunkedBytes + 1, Checksum: 1, Data: body}, 0, false},
		{&api.MessageChunk{Size: 3, Checksum: 1, Data: body}, 0, false},
	} {
		held, whole := p.add(c.q)
		if held != c.held || (whole != nil) != c.whole || c.whole && !bytes.Equal(whole, body) {
			t.Errorf("%d: %d held, whole %q", i, held, whole)
		}
	}
}

// receiver takes messages as a member does, or as one of before parts.
type receiver struct {
	api.Control
	before bool
	p      reassembly
	forget bool // once: it has lost what it held
	calls  []*api.DeliverRequest
	whole  []byte
}

func (r *receiver) Deliver(_ context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	r.calls = append(r.calls, d)
	if r.before {
		return &api.DeliverResponse{}, nil
	}
	if d.Chunk == nil {
		return &api.DeliverResponse{AcceptsChunks: true}, nil
	}
	if r.forget && d.Chunk.Offset > 0 {
		r.p, r.forget = reassembly{}, false
	}
	held, whole := r.p.add(d.Chunk)
	if whole != nil {
		r.whole = whole
	}
	return &api.DeliverResponse{AcceptsChunks: true, ReceivedBytes: held}, nil
}

// What is large goes in parts of 32 KB at most to a member that has said that it takes
// them, and whole to one of before; a member that was started again in between has the
// call fail, and gets all of it with the next.
func TestWhoGetsParts(t *testing.T) { inBubble(t, testWhoGetsParts) }

func testWhoGetsParts(t *testing.T) {
	ms := []raft.Message{{Kind: raft.AppendEntries, Term: 4, Entries: []raft.Entry{{Index: 1, Term: 4, Data: bytes.Repeat([]byte("0123456789"), 10<<10)}}}}
	want, err := cbor.Marshal(ms)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*receiver{{}, {before: true}, {forget: true}} {
		n := newNetwork()
		addr := n.addr()
		srv := api.NewServer(nil)
		api.RegisterControl(srv, r)
		go srv.Serve(n.listen(addr))
		t.Cleanup(srv.Stop)
		c, _, err := openMember(t, raft.Snapshot{})
		if err != nil {
			t.Fatal(err)
		}
		c.cfg.Conns = n.conns()
		c.lifecycle.ctx = t.Context()
		t.Cleanup(c.cfg.Conns.Close)
		send := func(ms ...raft.Message) error { return c.transport.send(2, addr, ms) }
		if err := send(raft.Message{Kind: raft.AppendEntries, Term: 4}); err != nil {
			t.Fatal(err)
		}
		forgets := r.forget
		if err := send(ms...); (err != nil) != forgets || forgets && !errors.Is(err, errChunksLost) {
			t.Errorf("%v", err)
		}
		if forgets {
			if err := send(ms...); err != nil {
				t.Error(err)
			}
		}
		if r.before {
			if len(r.calls) != 2 || len(r.calls[1].Messages) != 1 || r.calls[1].Chunk != nil {
				t.Errorf("one of before gets %d calls", len(r.calls))
			}
			continue
		}
		for _, d := range r.calls {
			if payloadBytes(d.Messages) > 0 || d.Chunk != nil && len(d.Chunk.Data) > chunkBytes {
				t.Errorf("a call of %d and %+v bytes", payloadBytes(d.Messages), d.Chunk)
			}
		}
		if !bytes.Equal(r.whole, want) {
			t.Errorf("%d bytes came, %d were sent", len(r.whole), len(want))
		}
	}
}

// A large entry reaches the others in parts, by the bubble's clock and over real sockets.
func TestLargeEntriesInParts(t *testing.T) {
	inBubble(t, func(t *testing.T) { largeEntriesInParts(newCluster(t), patience) })
}

func TestLargeEntriesInPartsOverSockets(t *testing.T) {
	t.Parallel()
	c := clusterOn(t, &loopback{t, map[string]net.Listener{}}, 3)
	for _, a := range c.addrs {
		c.start(a, t.TempDir(), true)
	}
	largeEntriesInParts(c, 5*time.Minute) // against a hang alone
}

func largeEntriesInParts(c *cluster, within time.Duration) {
	t := c.t
	c.patience = within
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
		for _, takes := range leader.transport.acceptsChunks {
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
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	c.until("it is taken", func() bool { // by whoever leads: how soon is not asked here
		for _, k := range c.cores {
			if k.Leads() {
				if r, err := k.Replace(ctx, &api.ReplaceRequest{Config: data}); err == nil && r.Status == http.StatusOK {
					return true
				}
			}
		}
		return false
	})
	c.until("all have it", func() bool {
		for _, k := range c.cores {
			k.mu.Lock()
			has := k.store.state.Revision == 5
			k.mu.Unlock()
			if !has {
				return false
			}
		}
		return true
	})
}

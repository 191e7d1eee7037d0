package controlplane

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// receiver receives messages as a member does, with or without support for chunks.
type receiver struct {
	api.Control
	withoutChunks bool
	restarts      bool // loses the received chunks once
	reassembly    reassembly
	calls         []*api.DeliverRequest
	complete      []byte
}

func (r *receiver) Deliver(_ context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	r.calls = append(r.calls, d)
	if r.withoutChunks {
		return &api.DeliverResponse{}, nil
	}
	if d.Chunk == nil {
		return &api.DeliverResponse{AcceptsChunks: true}, nil
	}
	if r.restarts && d.Chunk.Offset > 0 {
		r.reassembly, r.restarts = reassembly{}, false
	}
	held, complete := r.reassembly.add(d.Chunk)
	if complete != nil {
		r.complete = complete
	}
	return &api.DeliverResponse{AcceptsChunks: true, ReceivedBytes: held}, nil
}

// newSender serves a receiver and returns a function that sends messages to it. It sends a first
// message, whose response says whether the receiver accepts chunks.
func newSender(t *testing.T, r *receiver) func(...raft.Message) error {
	t.Helper()
	network := newPipeNetwork()
	addr := network.newAddr()
	server := api.NewServer(nil)
	api.RegisterControl(server, r)
	go serveUntilStopped(server, network.listen(addr))
	t.Cleanup(server.Stop)
	core, _, err := openMember(t, raft.Snapshot{})
	if err != nil {
		t.Fatal(err)
	}
	core.cfg.Conns = network.conns()
	core.lifecycle.ctx = t.Context()
	t.Cleanup(core.cfg.Conns.Close)
	send := func(messages ...raft.Message) error { return core.transport.send(2, addr, messages) }
	if err := send(raft.Message{Kind: raft.AppendEntries, Term: 4}); err != nil {
		t.Fatal(err)
	}
	return send
}

// largeMessage returns a message with an entry of 100 KB.
func largeMessage() raft.Message {
	data := bytes.Repeat([]byte("0123456789"), 10<<10)
	return raft.Message{
		Kind:    raft.AppendEntries,
		Term:    4,
		Entries: []raft.Entry{{Index: 1, Term: 4, Data: data}},
	}
}

// requireChunked requires that the receiver got largeMessage, and only in chunks.
func (r *receiver) requireChunked(t *testing.T) {
	t.Helper()
	for _, d := range r.calls {
		if payloadBytes(d.Messages) > 0 || d.Chunk != nil && len(d.Chunk.Data) > chunkBytes {
			t.Errorf("call with %d payload bytes and chunk %+v", payloadBytes(d.Messages), d.Chunk)
		}
	}
	want, err := cbor.Marshal([]raft.Message{largeMessage()})
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(r.complete, want) {
		t.Errorf("%d bytes received, %d sent", len(r.complete), len(want))
	}
}

func TestLargeMessagesGoInChunks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := &receiver{}
		send := newSender(t, r)
		if err := send(largeMessage()); err != nil {
			t.Error(err)
		}
		r.requireChunked(t)
	})
}

func TestMemberWithoutChunkSupportGetsWholeMessages(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := &receiver{withoutChunks: true}
		send := newSender(t, r)
		if err := send(largeMessage()); err != nil {
			t.Error(err)
		}
		if len(r.calls) != 2 || len(r.calls[1].Messages) != 1 || r.calls[1].Chunk != nil {
			t.Errorf("want two calls, the second with one whole message: got %d calls", len(r.calls))
		}
	})
}

// If the receiver restarts between two chunks, sending fails, and the next attempt sends all chunks of
// the message again.
func TestMemberThatRestartsBetweenChunksGetsAllChunksAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		r := &receiver{restarts: true}
		send := newSender(t, r)
		if err := send(largeMessage()); !errors.Is(err, errChunksLost) {
			t.Errorf("during the restart: %v", err)
		}
		if err := send(largeMessage()); err != nil {
			t.Error(err)
		}
		r.requireChunked(t)
	})
}

func TestLargeEntriesReachAllInChunks(t *testing.T) {
	inBubble(t, func(t *testing.T) { requireLargeEntryApplied(newCluster(t)) })
}

func TestLargeEntriesReachAllInChunksOverSockets(t *testing.T) {
	t.Parallel()
	c := newClusterOn(t, newLoopbackNetwork(t), 3)
	c.timeout = 5 * time.Minute // only guards against a hang
	for _, addr := range c.addrs {
		c.start(addr, t.TempDir(), true)
	}
	requireLargeEntryApplied(c)
}

// requireLargeEntryApplied requires that all members apply a barely compressible configuration of
// 150 KB, which is sent once the leader knows that the others accept chunks.
func requireLargeEntryApplied(c *cluster) {
	c.t.Helper()
	leader := c.awaitLeader()
	c.waitUntil("the other members accept chunks", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		accepting := 0
		for _, accepts := range leader.transport.acceptsChunks {
			if accepts {
				accepting++
			}
		}
		return accepting == 2
	})
	config := incompressibleConfig(c.t, 5)
	ctx, cancel := context.WithTimeout(c.t.Context(), c.timeout)
	defer cancel()
	c.waitUntil("the configuration is applied", func() bool { // by whichever member leads, however long it takes
		core := c.leader()
		if core == nil {
			return false
		}
		r, err := core.Replace(ctx, &api.ReplaceRequest{Config: config})
		return err == nil && r.Status == http.StatusOK
	})
	c.awaitRevision(5)
}

// incompressibleConfig returns a configuration of 150 KB with a random name, in encoded form.
func incompressibleConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	const letters = "0123456789abcdefghijklmnopqrstuvwxyz"
	rng := rand.New(rand.NewPCG(1, 1))
	name := make([]byte, 150<<10)
	for i := range name {
		name[i] = letters[rng.IntN(len(letters))]
	}
	return encodeConfig(t, &api.Config{
		Revision:  revision,
		Upstreams: []api.Upstream{{Name: "a"}, {Name: string(name)}},
		Routes:    []api.Route{{Name: "r", Host: "h", Prefix: "/", TimeoutMs: 100, Upstream: "a"}},
	})
}

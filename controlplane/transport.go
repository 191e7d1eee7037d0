package controlplane

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

const (
	// deliverTimeout bounds a call without entries or chunks; with them it is longer.
	deliverTimeout = 400 * time.Millisecond
	// minLinkBytesPerSecond is the speed in bytes a second that time-outs of large calls allow for, half
	// of it, as the link has more to carry: 1 Mbit/s.
	minLinkBytesPerSecond = 125_000
	// maxSenders bounds what is kept of members that sent something, or were sent something.
	maxSenders = 64
	// queueIdleTimeout is how long a send queue without messages is kept.
	queueIdleTimeout = time.Minute
)

// transport carries messages between members: each has two send queues to each other one, and a
// goroutine for each queue that makes one call at a time. All fields are guarded by Core.mu,
// which is given up during calls; the queues have a lock of their own, see [sendQueue].
type transport struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost

	queues        map[queueKey]*sendQueue
	callTimeout   func(bytes int) time.Duration // of a call with so many bytes of payload
	acceptsChunks map[raft.ID]bool              // members that take messages in chunks
	reassemblies  map[raft.ID]*reassembly       // what has come of chunked messages, by sender
	senderAddrs   map[raft.ID]string            // of those who sent something, for answers to them
}

// callTimeoutFor is how long a call with so many bytes of entries and chunks may take.
func callTimeoutFor(bytes int) time.Duration {
	return deliverTimeout + 2*time.Duration(bytes)*time.Second/minLinkBytesPerSecond
}

func (t *transport) enqueueAll(messages []raft.Message) {
	for _, m := range messages {
		t.enqueue(m)
	}
}

// enqueue puts a message into the send queue of its receiver, and starts a queue that is not
// there. A message to a member without a known address is dropped. Called under the mutex.
func (t *transport) enqueue(m raft.Message) {
	key := queueKey{m.To, m.IsBulk()}
	queue := t.queues[key]
	if queue == nil {
		addr := t.peerAddr(m.To)
		if addr == "" || t.lifecycle.ctx == nil {
			return
		}
		queue = newSendQueue(key.bulk)
		t.queues[key] = queue
		t.lifecycle.tasks.Go(func() { t.deliverFrom(queue, key, addr) })
	}
	queue.put(m)
}

// peerAddr is the address of a member, or of one that sent something; empty: unknown.
func (t *transport) peerAddr(id raft.ID) string {
	addr := t.senderAddrs[id]
	for _, m := range t.host.node.Members() {
		if m.ID == id {
			addr = m.Addr
		}
	}
	return addr
}

// deliverFrom sends a member what a queue has, until nothing was put for queueIdleTimeout.
func (t *transport) deliverFrom(queue *sendQueue, key queueKey, addr string) {
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		messages := queue.take()
		if len(messages) == 0 {
			if !t.awaitMessage(queue, key, idle) {
				return
			}
			continue
		}
		err := t.send(key.to, addr, messages)
		queue.done()
		if err == nil {
			continue
		}
		if t.lifecycle.ctx.Err() != nil {
			return
		}
		t.cfg.Log.Debug("message delivery failed", "peer", addr, "bulk", key.bulk, "error", err)
		if key.bulk {
			t.mu.Lock()
			t.host.node.ReportSendFailure(key.to)
			t.mu.Unlock()
		}
	}
}

// awaitMessage waits until something is put into a queue. It returns false if nothing was for
// queueIdleTimeout, with the queue removed, or if this member ends.
func (t *transport) awaitMessage(queue *sendQueue, key queueKey, idle *time.Timer) bool {
	idle.Reset(queueIdleTimeout)
	select {
	case <-t.lifecycle.ctx.Done():
		return false
	case <-queue.wake:
	case <-idle.C:
		t.mu.Lock()
		defer t.mu.Unlock()
		if len(queue.wake) == 0 { // put is called under the same mutex
			delete(t.queues, key)
			return false
		}
	}
	return true
}

// send carries messages to a member: in one call or, where they are large and it takes chunks,
// in several, so that no heartbeat waits for more than one of them.
func (t *transport) send(to raft.ID, addr string, messages []raft.Message) error {
	conn, err := t.cfg.Conns.Conn(addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	chunked := t.acceptsChunks[to]
	t.mu.Unlock()
	bytes := payloadBytes(messages)
	if bytes > chunkBytes && chunked {
		return t.sendChunked(to, conn, messages)
	}
	r, err := t.call(conn, bytes, &api.DeliverRequest{Messages: messages})
	if err == nil && r.AcceptsChunks != chunked {
		t.mu.Lock()
		if len(t.acceptsChunks) >= maxSenders {
			clear(t.acceptsChunks)
		}
		t.acceptsChunks[to] = r.AcceptsChunks
		t.mu.Unlock()
	}
	return err
}

// sendChunked carries messages to a member in several calls. Each answer says how much the
// member holds, so that the next chunk follows on that.
func (t *transport) sendChunked(to raft.ID, conn *grpc.ClientConn, messages []raft.Message) error {
	body, err := cbor.Marshal(messages)
	if err != nil {
		return fmt.Errorf("controlplane: encoding messages: %w", err)
	}
	sum := xxhash.Sum64(body)
	for offset := 0; offset < len(body); {
		data := body[offset:min(len(body), offset+chunkBytes)]
		chunk := &api.MessageChunk{Offset: offset, Size: len(body), Checksum: sum, Data: data}
		r, err := t.call(conn, len(data), &api.DeliverRequest{Chunk: chunk})
		switch {
		case err != nil:
			return err
		case r.ReceivedBytes <= offset || r.ReceivedBytes > len(body): // a restart, perhaps into an older version
			t.mu.Lock()
			t.acceptsChunks[to] = r.AcceptsChunks
			t.mu.Unlock()
			return errChunksLost
		}
		offset = r.ReceivedBytes
	}
	return nil
}

// call makes one call to a member, with so many bytes of payload.
func (t *transport) call(conn *grpc.ClientConn, bytes int, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	d.From, d.Addr = t.host.id, t.cfg.Addr
	ctx, cancel := context.WithTimeout(t.lifecycle.ctx, t.callTimeout(bytes))
	defer cancel()
	return api.CallDeliver(ctx, conn, d)
}

// Deliver receives messages of other members. The two send queues of a member call it side by
// side: a message may overtake another.
func (t *transport) Deliver(_ context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &api.DeliverResponse{AcceptsChunks: true}
	if t.host.suspended {
		return r, nil
	}
	if len(t.senderAddrs) >= maxSenders {
		clear(t.senderAddrs)
		clear(t.reassemblies)
	}
	t.senderAddrs[d.From] = d.Addr
	messages := d.Messages
	if d.Chunk != nil {
		var complete []byte
		if r.ReceivedBytes, complete = t.reassemblyOf(d.From).add(d.Chunk); complete == nil {
			return r, nil
		}
		if err := api.Unmarshal(complete, &messages); err != nil {
			return nil, fmt.Errorf("controlplane: decoding chunked messages: %w", err)
		}
	}
	for _, m := range messages {
		t.host.node.Step(m)
	}
	t.host.handleReady()
	return r, nil
}

// reassemblyOf is what has come of a sender's chunked messages.
func (t *transport) reassemblyOf(from raft.ID) *reassembly {
	r := t.reassemblies[from]
	if r == nil {
		r = &reassembly{}
		t.reassemblies[from] = r
	}
	return r
}

// dropReassemblies drops all chunked messages that have come in part: another leader begins anew.
func (t *transport) dropReassemblies() { clear(t.reassemblies) }

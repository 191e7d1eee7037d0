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
	// deliverTimeout bounds a call without payload; see callTimeoutFor for calls with entries or
	// chunks.
	deliverTimeout = 400 * time.Millisecond
	// minLinkBytesPerSecond is the slowest link that the time-outs of large calls allow for:
	// 1 Mbit/s. A call may take twice as long, because the link carries other traffic too.
	minLinkBytesPerSecond = 125_000
	// maxSenders bounds the number of members for which addresses, reassemblies and other state
	// are kept.
	maxSenders = 64
	// queueIdleTimeout is how long an empty send queue is kept.
	queueIdleTimeout = time.Minute
)

// transport carries messages between members. A member has two send queues for each other member;
// the goroutine of each queue makes one call at a time. All fields are guarded by Core.mu, which is
// released during calls; the queues have their own locks, see [sendQueue].
type transport struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost

	queues        map[queueKey]*sendQueue
	callTimeout   func(bytes int) time.Duration // of a call, by the size of its payload
	acceptsChunks map[raft.ID]bool              // members that accept chunked messages
	reassemblies  map[raft.ID]*reassembly       // partly received chunked messages, by sender
	senderAddrs   map[raft.ID]string            // addresses of senders, used for replies to them
}

// callTimeoutFor returns the time-out of a call with the given payload of entries and chunks.
func callTimeoutFor(bytes int) time.Duration {
	return deliverTimeout + 2*time.Duration(bytes)*time.Second/minLinkBytesPerSecond
}

func (t *transport) enqueueAll(messages []raft.Message) {
	for _, m := range messages {
		t.enqueue(m)
	}
}

// enqueue puts a message into the send queue to its receiver, and creates the queue if necessary. A
// message to a member without a known address, or before Run, is dropped. Called with the mutex
// held.
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

// peerAddr returns the address of a member or of a process that has sent messages; empty: unknown.
func (t *transport) peerAddr(id raft.ID) string {
	addr := t.senderAddrs[id]
	for _, m := range t.host.node.Members() {
		if m.ID == id {
			addr = m.Addr
		}
	}
	return addr
}

// deliverFrom sends the messages of a queue to a member, until the queue has been idle for
// queueIdleTimeout.
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

// awaitMessage waits until a message is put into a queue. It returns false if this member ends, or
// after queueIdleTimeout without a message; then the queue is removed.
func (t *transport) awaitMessage(queue *sendQueue, key queueKey, idle *time.Timer) bool {
	idle.Reset(queueIdleTimeout)
	select {
	case <-t.lifecycle.ctx.Done():
		return false
	case <-queue.wake:
	case <-idle.C:
		t.mu.Lock()
		defer t.mu.Unlock()
		if len(queue.wake) == 0 { // put is called with the same mutex held
			delete(t.queues, key)
			return false
		}
	}
	return true
}

// send sends messages to a member: in one call or, if they are large and the member accepts chunks,
// in several calls, so that a heartbeat waits for at most one chunk.
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

// sendChunked sends messages to a member in several calls. Each response has the number of bytes
// that the member has received, where the next chunk begins.
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
		case r.ReceivedBytes <= offset || r.ReceivedBytes > len(body):
			// The member has dropped the earlier chunks: it has restarted, perhaps with an older
			// version, has learned of another leader, or is suspended.
			t.mu.Lock()
			t.acceptsChunks[to] = r.AcceptsChunks
			t.mu.Unlock()
			return errChunksLost
		}
		offset = r.ReceivedBytes
	}
	return nil
}

// call makes one call to a member; bytes is the size of its payload.
func (t *transport) call(conn *grpc.ClientConn, bytes int, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	d.From, d.Addr = t.host.id, t.cfg.Addr
	ctx, cancel := context.WithTimeout(t.lifecycle.ctx, t.callTimeout(bytes))
	defer cancel()
	return api.CallDeliver(ctx, conn, d)
}

// Deliver receives messages from another member. Its two send queues call concurrently, so messages
// may be reordered.
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

// reassemblyOf returns the reassembly of a sender's chunked messages.
func (t *transport) reassemblyOf(from raft.ID) *reassembly {
	r := t.reassemblies[from]
	if r == nil {
		r = &reassembly{}
		t.reassemblies[from] = r
	}
	return r
}

// dropReassemblies drops all partly received chunked messages: a new leader sends them from the
// beginning.
func (t *transport) dropReassemblies() { clear(t.reassemblies) }

package controlplane

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

const (
	// deliverTimeout bounds a call without entries or pieces; with them it is longer.
	deliverTimeout = 400 * time.Millisecond
	mostSenders    = 64
	laneIdle       = time.Minute
)

// lane is one of the two ways to one member.
type lane struct {
	mu   sync.Mutex
	q    queue
	wake chan struct{}
}

func (l *lane) put(m raft.Message) {
	l.mu.Lock()
	l.q.put(m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) take() []raft.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.q.take())
}

func (l *lane) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.q.done()
}

// enqueue puts a message on its way. Called under the mutex.
func (c *Core) enqueue(m raft.Message) {
	key := laneKey{m.To, m.Bulk()}
	l := c.lanes[key]
	if l == nil {
		addr := c.addrs[m.To]
		for _, x := range c.node.Members() {
			if x.ID == m.To {
				addr = x.Addr
			}
		}
		if addr == "" || c.ctx == nil {
			return
		}
		l = &lane{q: queue{bulk: key.bulk}, wake: make(chan struct{}, 1)}
		c.lanes[key] = l
		c.tasks.Go(func() { c.deliver(key, addr, l) })
	}
	l.put(m)
}

// deliver sends a member what one lane has, until nothing came for long.
func (c *Core) deliver(key laneKey, addr string, l *lane) {
	idle := time.NewTimer(laneIdle)
	defer idle.Stop()
	for {
		ms := l.take()
		if len(ms) == 0 {
			idle.Reset(laneIdle)
			select {
			case <-c.ctx.Done():
				return
			case <-l.wake:
			case <-idle.C:
				c.mu.Lock()
				if len(l.wake) == 0 { // put is called under the same mutex
					delete(c.lanes, key)
					c.mu.Unlock()
					return
				}
				c.mu.Unlock()
			}
			continue
		}
		err := c.send(key.to, addr, ms)
		l.done()
		if err == nil {
			continue
		}
		if c.ctx.Err() != nil {
			return
		}
		c.cfg.Log.Debug("a member was not reached", "addr", addr, "bulk", key.bulk, "err", err)
		if key.bulk {
			c.mu.Lock()
			c.node.Lost(key.to)
			c.mu.Unlock()
		}
	}
}

// errParts tells that a member has lost what it held of messages in parts.
var errParts = errors.New("controlplane: the member holds no beginning of these messages")

// send carries messages to a member: in one call or, where they are large and it takes
// parts, in several, so that no heartbeat waits for more than one of them.
func (c *Core) send(to raft.ID, addr string, ms []raft.Message) error {
	conn, err := c.cfg.Conns.Conn(addr)
	if err != nil {
		return err
	}
	call := func(bytes int, d *api.DeliverRequest) (*api.DeliverResponse, error) {
		d.From, d.Addr = c.id, c.cfg.Addr
		ctx, cancel := context.WithTimeout(c.ctx, c.within(bytes))
		defer cancel()
		return api.CallDeliver(ctx, conn, d)
	}
	c.mu.Lock()
	takes := c.parted[to]
	c.mu.Unlock()
	if bytes := load(ms); bytes <= partBytes || !takes {
		r, err := call(bytes, &api.DeliverRequest{Messages: ms})
		if err == nil && r.AcceptsChunks != takes {
			c.mu.Lock()
			if len(c.parted) >= mostSenders {
				clear(c.parted)
			}
			c.parted[to] = r.AcceptsChunks
			c.mu.Unlock()
		}
		return err
	}
	body, err := cbor.Marshal(ms)
	if err != nil {
		return fmt.Errorf("controlplane: encoding messages: %w", err)
	}
	sum := xxhash.Sum64(body)
	for at := 0; at < len(body); {
		data := body[at:min(len(body), at+partBytes)]
		r, err := call(len(data), &api.DeliverRequest{Chunk: &api.MessageChunk{Offset: at, Size: len(body), Checksum: sum, Data: data}})
		switch {
		case err != nil:
			return err
		case r.ReceivedBytes <= at || r.ReceivedBytes > len(body): // a restart, perhaps of one of before
			c.mu.Lock()
			c.parted[to] = r.AcceptsChunks
			c.mu.Unlock()
			return errParts
		}
		at = r.ReceivedBytes
	}
	return nil
}

// Deliver takes in messages of other members. The two lanes of a member call it side
// by side: a message may overtake another.
func (c *Core) Deliver(_ context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &api.DeliverResponse{AcceptsChunks: true}
	if c.diskDown {
		return r, nil
	}
	if len(c.addrs) >= mostSenders {
		clear(c.addrs)
		clear(c.partly)
	}
	c.addrs[d.From] = d.Addr
	ms := d.Messages
	if d.Chunk != nil {
		p := c.partly[d.From]
		if p == nil {
			p = &parts{}
			c.partly[d.From] = p
		}
		var whole []byte
		if r.ReceivedBytes, whole = p.put(d.Chunk); whole == nil {
			return r, nil
		}
		if err := api.Unmarshal(whole, &ms); err != nil {
			return nil, fmt.Errorf("controlplane: messages in parts: %w", err)
		}
	}
	for _, m := range ms {
		c.node.Step(m)
	}
	c.process()
	return r, nil
}

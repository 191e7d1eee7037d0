package controlplane

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/elmspan/agreement"
	"example.org/elmspan/api"
)

const (
	deliverTimeout = 400 * time.Millisecond
	sendQueue      = 128
	mostSenders    = 64
	// A member whose link is slow must not have the others hold more for it: what
	// has no room is dropped, and sent again when it has answered.
	mostQueued = 1 << 20 // bytes waiting for one member
	mostBatch  = 512 << 10
)

// lane is the way to one member.
type lane struct {
	q     chan agreement.Message
	bytes atomic.Int64 // of entries and snapshots waiting
}

func weight(m *agreement.Message) (n int) {
	for i := range m.Entries {
		n += len(m.Entries[i].Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

func (c *Core) enqueue(m agreement.Message) {
	l := c.lanes[m.To]
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
		l = &lane{q: make(chan agreement.Message, sendQueue)}
		c.lanes[m.To] = l
		id := m.To
		c.tasks.Go(func() { c.deliver(id, addr, l) })
	}
	w := int64(weight(&m))
	if held := l.bytes.Load(); held > 0 && held+w > mostQueued {
		return
	}
	select {
	case l.q <- m:
		l.bytes.Add(w)
	default: // a peer that takes nothing: what is lost is sent again
	}
}

// deliver sends a member its messages, until it is no member any more.
func (c *Core) deliver(id agreement.ID, addr string, l *lane) {
	idle := time.NewTimer(time.Minute)
	defer idle.Stop()
	for {
		d := api.Deliver{From: c.id, Addr: c.cfg.Addr}
		idle.Reset(time.Minute)
		bytes := 0
		take := func(m agreement.Message) {
			d.Messages = append(d.Messages, m)
			bytes += weight(&m)
		}
		select {
		case <-c.ctx.Done():
			return
		case <-idle.C:
			c.mu.Lock()
			if len(l.q) == 0 {
				delete(c.lanes, id)
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
			continue
		case m := <-l.q:
			take(m)
		}
		for len(l.q) > 0 && len(d.Messages) < sendQueue && bytes < mostBatch {
			take(<-l.q)
		}
		conn, err := c.cfg.Conns.To(addr)
		if err == nil {
			ctx, cancel := context.WithTimeout(c.ctx, deliverTimeout)
			_, err = api.CallDeliver(ctx, conn, &d)
			cancel()
		}
		l.bytes.Add(int64(-bytes))
		if err != nil {
			c.cfg.Log.Debug("a member was not reached", "addr", addr, "err", err)
		}
	}
}

// Deliver takes in messages of other members.
func (c *Core) Deliver(_ context.Context, d *api.Deliver) (*api.None, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.diskDown {
		return &api.None{}, nil
	}
	if len(c.addrs) >= mostSenders {
		clear(c.addrs)
	}
	c.addrs[d.From] = d.Addr
	for _, m := range d.Messages {
		c.node.Step(m)
	}
	c.process()
	return &api.None{}, nil
}

package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/agreement"
	"example.org/elmspan/api"
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

func (l *lane) put(m agreement.Message) {
	l.mu.Lock()
	l.q.put(m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) take() []agreement.Message {
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
func (c *Core) enqueue(m agreement.Message) {
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
		conn, err := c.cfg.Conns.To(addr)
		if err == nil {
			ctx, cancel := context.WithTimeout(c.ctx, deliverWithin(ms))
			_, err = api.CallDeliver(ctx, conn, &api.Deliver{From: c.id, Addr: c.cfg.Addr, Messages: ms})
			cancel()
		}
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

// Deliver takes in messages of other members. The two lanes of a member call it side
// by side: a message may overtake another.
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

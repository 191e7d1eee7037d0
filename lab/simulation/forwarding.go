package simulation

import (
	"maps"
	"net/http"
	"slices"

	"example.org/elmspan/shedding"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// What a limiter does, in ms.
const (
	minRetryAfterMs  = 30.0
	rejectedRetryMs  = 100.0 // Retry-After once all servers have rejected a request
	connectTimeoutMs = 300.0 // until a connect to a machine that is gone is given up
)

// maxGatewayAttempts is how many servers a limiter sends a request to, one after the other.
const maxGatewayAttempts = 2

// forwarding is a request that a limiter has.
type forwarding struct {
	node      *node
	seq       int // order among all requests that limiters took
	id        string
	tenant    string
	class     *scenario.Class
	zone      string // of the client
	lifecycle lifecycle
	pending   map[string]float64 // servers that have it, and since when
	deadline  float64            // on the engine's clock
	reply     func(status int, retryAfterMs float64, answered bool)
	finished  bool
}

// handle works on a request that came in.
func (n *node) handle(x *forwarding, tenant uint64) {
	f := n.fleet
	x.node, x.pending = n, map[string]float64{}
	f.forwarded++
	x.seq = f.forwarded
	n.open[x] = true
	if wait, ok := n.policy.Admit(n.clock(), tenant); !ok {
		x.finish(http.StatusTooManyRequests, max(minRetryAfterMs, wait), "")
		return
	}
	now := n.clock()
	x.lifecycle = n.policy.begin(limiter.Request{Tenant: tenant, Service: x.class.Service,
		Bulk:       x.class.Type == api.Download,
		Idempotent: x.class.Idempotent(), Buffered: true, MaxAttempts: maxGatewayAttempts,
		Priority:   shedding.Priority{First: x.class.Priority, Route: x.class.Priority},
		DeadlineMs: now + x.deadline - f.engine.now})
	x.startAttempt(false)
	if wait, allowed := x.lifecycle.hedgeDelayMs(n.clock()); allowed && !x.finished {
		f.engine.after(wait, func() {
			if !x.finished && n.up {
				x.startAttempt(true)
			}
		})
	}
	f.engine.after(x.deadline-f.engine.now, x.timeOut)
}

// timeOut ends the attempts that are still pending at the deadline.
func (x *forwarding) timeOut() {
	for _, id := range slices.Sorted(maps.Keys(x.pending)) {
		x.attemptEnded(id, balance.Failure, true, false)
	}
}

// startAttempt sends the request to a server that the policy chooses, if there is one.
func (x *forwarding) startAttempt(hedge bool) {
	n, f := x.node, x.node.fleet
	id, wait, refused := x.lifecycle.startAttempt(n.clock(), hedge)
	if id == "" {
		switch {
		case refused:
			x.finish(http.StatusServiceUnavailable, max(minRetryAfterMs, wait), "")
		case len(x.pending) == 0:
			x.finish(x.lifecycle.finalStatus(n.clock()), rejectedRetryMs, "")
		}
		return
	}
	x.pending[id] = f.engine.now
	x.scheduleOverdue(id)
	s := f.servers[id]
	if s == nil || s.zone == f.unreachableZone {
		f.engine.after(connectTimeoutMs, func() { x.attemptEnded(id, balance.NotSent, false, false) })
		return
	}
	x.send(s)
}

// scheduleOverdue tells the policy when an answer that counts for the server's health
// does not come in time.
func (x *forwarding) scheduleOverdue(id string) {
	n, f := x.node, x.node.fleet
	wait, counts := x.lifecycle.overdueAfterMs(n.clock(), id)
	if !counts || wait >= x.deadline-f.engine.now {
		return
	}
	f.engine.after(wait, func() {
		if _, pending := x.pending[id]; pending && !x.finished && n.up {
			x.lifecycle.markOverdue(n.clock(), id)
		}
	})
}

// send brings the request to a server. The answer takes as long as the request.
func (x *forwarding) send(s *server) {
	f := x.node.fleet
	delay := f.delay(x.node.zone, s.zone)
	answer := func(r balance.Result, ran, answered bool) {
		if s.zone == f.unreachableZone {
			return // it is lost: the deadline ends the attempt
		}
		f.engine.after(delay, func() { x.attemptEnded(s.id, r, ran, answered) })
	}
	f.engine.after(delay, func() {
		if s.dead {
			f.engine.after(delay, func() { x.attemptEnded(s.id, balance.NotSent, false, false) })
			return
		}
		s.arrive(&job{id: x.id, tenant: x.tenant, class: x.class, deadline: x.deadline, answer: answer})
	})
}

// attemptEnded goes on after an attempt at a server.
func (x *forwarding) attemptEnded(id string, r balance.Result, ran, answered bool) {
	n, f := x.node, x.node.fleet
	since, pending := x.pending[id]
	if x.finished || !pending {
		return
	}
	if n.paused() {
		n.whenResumed(func() { x.attemptEnded(id, r, ran, answered) })
		return
	}
	delete(x.pending, id)
	switch x.lifecycle.attemptEnded(n.clock(), id, r, ran, answered, f.engine.now-since) {
	case limiter.Deliver:
		x.finish(http.StatusOK, 0, id)
	case limiter.Retry:
		x.startAttempt(false)
	case limiter.GiveUp:
		x.finish(x.lifecycle.finalStatus(n.clock()), rejectedRetryMs, "")
	}
}

// finish answers the client; server is the one whose answer it gets, if any.
func (x *forwarding) finish(status int, retryAfterMs float64, server string) {
	n, f := x.node, x.node.fleet
	x.finished = true
	delete(n.open, x)
	for _, id := range slices.Sorted(maps.Keys(x.pending)) {
		x.lifecycle.attemptCancelled(n.clock(), id, f.engine.now-x.pending[id])
	}
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		retryAfterMs = 0
	}
	seal := ""
	if status == http.StatusOK {
		seal = checker.Seal(server, x.id, nil)
	}
	f.engine.after(f.delay(n.zone, x.zone), func() {
		f.log.Answered(x.id, status, seal, nil)
		x.reply(status, retryAfterMs, true)
	})
}

// breakConnection tells the client that its connection broke.
func (x *forwarding) breakConnection() {
	f := x.node.fleet
	x.finished = true
	f.engine.after(f.delay(x.node.zone, x.zone), func() { x.reply(0, 0, true) })
}

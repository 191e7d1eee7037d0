package simulation

import (
	"cmp"
	"fmt"
	"time"

	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// What a client does, in ms.
const (
	noEntryRetryMs = 20.0 // after which it looks again for a limiter that takes requests
	giveUpGraceMs  = 1.0  // how long it waits beyond its deadline
)

// request is one request of a client, over all its attempts.
type request struct {
	fleet    *fleet
	class    *scenario.Class
	tenant   *scenario.Tenant
	zone     string // of the client
	client   int
	seq      int // order among all requests
	attempts int
	startMs  float64 // on the engine's clock
	deadline float64 // on the engine's clock
	status   int     // of the last answer; 0: none
}

// startTraffic schedules the requests of all clients, and the faults.
func (f *fleet) startTraffic() {
	for i := range f.day.Classes {
		f.scheduleRequest(&f.day.Classes[i])
	}
	for _, t := range f.day.Faults {
		if !t.Simulated() {
			f.skippedFaults = append(f.skippedFaults, string(t.Kind))
			continue
		}
		f.engine.after(t.AtS*1000, func() { f.inject(t) })
	}
}

// scheduleRequest schedules the next request of a class, which schedules the one after it
// until the day ends.
func (f *fleet) scheduleRequest(c *scenario.Class) {
	tenant, factor := f.day.DrawTenant(f.rng, f.hotTenant, f.hotFactor)
	f.engine.after(1000*f.rng.ExpFloat64()/(c.PerS*factor), func() {
		if f.engine.now >= f.day.LengthS*1000 {
			return
		}
		f.newRequest(c, tenant).attempt()
		f.scheduleRequest(c)
	})
}

// newRequest draws the zone, then the client: equal seeds depend on this order.
func (f *fleet) newRequest(c *scenario.Class, tenant *scenario.Tenant) *request {
	f.requests++
	f.openRequests++
	zone := f.day.Zones[f.rng.IntN(len(f.day.Zones))]
	client := f.rng.IntN(cmp.Or(f.day.Clients, clientsPerZone) * f.day.PerZone)
	return &request{fleet: f, class: c, tenant: tenant, zone: zone, client: client,
		seq: f.requests, startMs: f.engine.now, deadline: f.engine.now + c.DeadlineMs}
}

// entry is the limiter that a client gets, by hash over those that the platform takes for
// ready: of its zone, or of the next one that has any. It is nil where no zone has.
func (f *fleet) entry(zone string, client int) *node {
	for k := range f.day.Zones {
		var ready []*node
		at := 0
		for i, z := range f.day.Zones {
			if z == zone {
				at = i
			}
		}
		z := f.day.Zones[(at+k)%len(f.day.Zones)]
		for _, n := range f.nodes {
			if n.zone == z && n.listedReady() {
				ready = append(ready, n)
			}
		}
		if len(ready) > 0 {
			return ready[uint32(client)*2654435761>>8%uint32(len(ready))]
		}
	}
	return nil
}

// listedReady reports whether the platform takes the limiter for ready: a stopped one too
// until the next check.
func (n *node) listedReady() bool {
	if n.up {
		return n.fleet.engine.now-n.startedMs > readyAfterMs
	}
	return n.fleet.engine.now-n.stoppedMs < readinessCheckMs
}

// attempt sends the request, the first time or again.
func (r *request) attempt() {
	f := r.fleet
	if r.attempts >= scenario.MaxAttempts || f.engine.now >= r.deadline {
		r.end()
		return
	}
	n := f.entry(r.zone, r.client+r.attempts)
	if n == nil {
		f.engine.after(noEntryRetryMs, r.attempt)
		return
	}
	id := fmt.Sprintf("%08x%04x", r.seq, r.attempts)
	r.attempts++
	ended := false
	reply := func(status int, retryAfterMs float64, answered bool) {
		if ended {
			return
		}
		ended = true
		r.handleAnswer(status, retryAfterMs, answered)
	}
	r.send(n, id, reply)
	f.engine.after(r.deadline-f.engine.now+giveUpGraceMs, func() { reply(0, 0, true) })
}

// send brings an attempt to a limiter.
func (r *request) send(n *node, id string, reply func(status int, retryAfterMs float64, answered bool)) {
	f := r.fleet
	f.engine.after(f.delay(r.zone, n.zone), func() {
		if !n.up {
			f.engine.after(f.delay(r.zone, n.zone), func() { reply(0, 0, false) })
			return
		}
		f.log.Sent(id, &checker.Attempt{Class: r.class, Tenant: r.tenant.Name})
		x := &forwarding{id: id, tenant: r.tenant.Name, class: r.class, zone: r.zone,
			deadline: r.deadline, reply: reply}
		n.whenResumed(func() {
			if f.engine.now < r.deadline {
				n.handle(x, quota.TenantID(r.tenant.Name))
			}
		})
	})
}

// handleAnswer goes on as a client does: an attempt that did not run for sure, and one of
// a class that may run twice, is made again. answered false says that no connection was made.
func (r *request) handleAnswer(status int, retryAfterMs float64, answered bool) {
	f := r.fleet
	r.status = status
	if !r.class.ShouldRetry(status, !answered) {
		r.end()
		return
	}
	delay := float64(scenario.RetryDelay(r.attempts, duration(retryAfterMs))) / float64(time.Millisecond)
	if r.attempts >= scenario.MaxAttempts || f.engine.now+delay > r.deadline {
		r.end()
		return
	}
	f.engine.after(delay, r.attempt)
}

func (r *request) end() {
	f := r.fleet
	f.openRequests--
	f.counter.Add(r.class, duration(r.startMs), r.status, r.attempts, duration(f.engine.now-r.startMs))
}

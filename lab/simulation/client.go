package simulation

import (
	"cmp"
	"fmt"
	"time"

	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// request is one request of a client, with its further tries.
type request struct {
	f        *fleet
	class    *scenario.Class
	tenant   *scenario.Tenant
	zone     string
	client   int
	n        int
	tries    int
	begun    float64
	deadline float64
	status   int
}

// begin has the clients ask and the troubles strike.
func (f *fleet) begin() {
	for i := range f.day.Classes {
		c := &f.day.Classes[i]
		var next func()
		next = func() {
			t, x := f.day.DrawTenant(f.rng, f.hot, f.hotX)
			f.engine.after(1000*f.rng.ExpFloat64()/(c.PerS*x), func() {
				if f.engine.now >= f.day.LengthS*1000 {
					return
				}
				f.asked++
				f.open++
				r := &request{f: f, class: c, tenant: t, zone: f.day.Zones[f.rng.IntN(len(f.day.Zones))], client: f.rng.IntN(cmp.Or(f.day.Clients, clients) * f.day.PerZone),
					n: f.asked, begun: f.engine.now, deadline: f.engine.now + c.DeadlineMs}
				r.try()
				next()
			})
		}
		next()
	}
	for _, t := range f.day.Faults {
		if !t.Simulated() {
			f.skipped = append(f.skipped, string(t.Kind))
			continue
		}
		f.engine.after(t.AtS*1000, func() { f.strike(t) })
	}
}

// entry is the limiter that a client gets, by hash over those that the platform
// holds for ready.
func (f *fleet) entry(zone string, client int) *node {
	for k := range f.day.Zones {
		var in []*node
		at := 0
		for i, z := range f.day.Zones {
			if z == zone {
				at = i
			}
		}
		z := f.day.Zones[(at+k)%len(f.day.Zones)]
		for _, n := range f.nodes {
			if n.zone == z && (n.up && f.engine.now-n.born > keepDeadMs || !n.up && f.engine.now-n.downAt < noticeMs) {
				in = append(in, n)
			}
		}
		if len(in) > 0 {
			return in[uint32(client)*2654435761>>8%uint32(len(in))]
		}
	}
	return nil
}

// try sends the request once more.
func (r *request) try() {
	f := r.f
	if r.tries >= scenario.MaxAttempts || f.engine.now >= r.deadline {
		r.end()
		return
	}
	n := f.entry(r.zone, r.client+r.tries)
	if n == nil {
		f.engine.after(20, r.try)
		return
	}
	id := fmt.Sprintf("%08x%04x", r.n, r.tries)
	r.tries++
	over := false
	answer := func(status int, waitMs float64, read bool) {
		if over {
			return
		}
		over = true
		r.answered(status, waitMs, read)
	}
	f.engine.after(f.delay(r.zone, n.zone), func() {
		if !n.up {
			f.engine.after(f.delay(r.zone, n.zone), func() { answer(0, 0, false) })
			return
		}
		f.ledger.Sent(id, &checker.Attempt{Class: r.class, Tenant: r.tenant.Name})
		x := &flight{id: id, tenant: r.tenant.Name, class: r.class, from: r.zone, until: r.deadline, reply: answer}
		n.whenAwake(func() {
			if f.engine.now < r.deadline {
				n.handle(x, quota.TenantID(r.tenant.Name))
			}
		})
	})
	f.engine.after(r.deadline-f.engine.now+1, func() { answer(0, 0, true) }) // gives up
}

// answered goes on as a client does: what promises that it has not run, and
// what may run twice, is sent again.
func (r *request) answered(status int, waitMs float64, read bool) {
	f := r.f
	r.status = status
	if !r.class.ShouldRetry(status, !read) {
		r.end()
		return
	}
	ms := float64(time.Millisecond)
	pause := float64(scenario.RetryDelay(r.tries, time.Duration(waitMs*ms))) / ms
	if r.tries >= scenario.MaxAttempts || f.engine.now+pause > r.deadline {
		r.end()
		return
	}
	f.engine.after(pause, r.try)
}

func (r *request) end() {
	f := r.f
	f.open--
	ms := float64(time.Millisecond)
	f.tally.Add(r.class, time.Duration(r.begun*ms), r.status, r.tries, time.Duration((f.engine.now-r.begun)*ms))
}

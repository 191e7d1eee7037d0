package dataplane

import (
	"context"
	"time"

	"example.org/silverscale/api"
	"example.org/silverscale/dataplane/balance"
	"example.org/silverscale/dataplane/limiter"
	"example.org/silverscale/internal/connpool"
)

// flight carries out the course of one request that a [limiter.Flight] decides.
type flight struct {
	g      *Gateway
	r      *request
	course *limiter.Flight // under the gateway's mutex
	ended  chan *attempt
	out    []*attempt
	last   *answer // a failure of a server's
}

// attempt is one server's try.
type attempt struct {
	member *balance.Member
	ctx    context.Context
	cancel context.CancelFunc
	host   *connpool.Host[string]
	sentAt time.Time
	load   float64
	hedge  bool
	outcome
}

func newFlight(g *Gateway, r *request) *flight {
	f := &flight{g: g, r: r, ended: make(chan *attempt, max(1, r.route.Retries))}
	f.course = g.limiter.NewFlight(limiter.Request{Service: r.service, Bulk: r.route.Type == api.Download, Repeatable: r.route.Repeatable(),
		Held: r.stream == nil, Tries: r.route.Retries, ArrivedMs: inMs(r.arrived.Sub(g.start)), DeadlineMs: inMs(r.deadline.Sub(g.start)),
		AimMs: inMs(r.route.aim)})
	return f
}

// launch sends the request to one more server. An answer that is returned is
// final; false tells that there is no server for it.
func (f *flight) launch(hedge bool) (*answer, bool) {
	g := f.g
	g.mu.Lock()
	now := g.now()
	m, wait, refused := f.course.Launch(inMs(now), hedge)
	if m == nil {
		g.mu.Unlock()
		if refused {
			return &answer{status: 503, why: "no server can answer in time", retryAfter: max(leastAdvice, min(fullAdvice, millis(wait)))}, false
		}
		return nil, false
	}
	at := &attempt{member: m, sentAt: time.Now(), load: m.Load(inMs(now)) - 1, hedge: hedge, host: g.pool.Host(m.ID)}
	g.mu.Unlock()
	at.ctx, at.cancel = context.WithCancel(context.Background())
	f.out = append(f.out, at)
	if f.course.Parallel() {
		go f.work(at) // ends by the request's deadline
	} else {
		f.work(at)
	}
	return nil, true
}

// work carries an attempt out.
func (f *flight) work(at *attempt) {
	g := f.g
	at.outcome = outcome{result: balance.Unsent}
	if at.host != nil {
		at.outcome = g.try(f.r, at, at.host)
	}
	took := inMs(time.Since(at.sentAt))
	g.mu.Lock()
	g.limiter.Done(inMs(g.now()), at.member, at.result, took)
	g.mu.Unlock()
	g.measureTry(f.r.service, at)
	g.log.Debug("try", "id", f.r.head.Get("Attempt-Id"), "service", f.r.service, "server", at.member.ID, "zone", at.member.Zone,
		"result", int(at.result), "ran", at.ran, "took_ms", took, "at", at.load, "hedge", at.hedge)
	f.ended <- at
}

// run works until there is a final answer.
func (f *flight) run() *answer {
	defer f.giveUp()
	a, ok := f.launch(false)
	if a != nil {
		return a
	}
	var slow <-chan time.Time
	if ok && f.course.Parallel() {
		f.g.mu.Lock()
		wait, may := f.course.HedgeMs()
		f.g.mu.Unlock()
		if may {
			t := time.NewTimer(millis(wait))
			defer t.Stop()
			slow = t.C
		}
	}
	for len(f.out) > 0 {
		var at *attempt
		select {
		case at = <-f.ended:
		case <-slow:
			slow = nil
			f.launch(true)
			continue
		}
		f.drop(at)
		if a := f.take(at); a != nil {
			return a
		}
	}
	if f.last != nil {
		a := f.last
		f.last = nil
		return a
	}
	switch f.course.Status(inMs(f.g.now()), f.r.started) {
	case 503:
		return &answer{status: 503, why: "no server took the request", retryAfter: fullAdvice}
	case 504:
		return &answer{status: 504, why: "the time is up"}
	}
	return &answer{status: 502, why: "no server gave an answer of use"}
}

// take goes on after an attempt has ended. An answer that is returned is final.
func (f *flight) take(at *attempt) *answer {
	next := f.course.Ended(at.result, at.ran, at.answer != nil, f.r.started)
	if next == limiter.Deliver {
		return at.answer
	}
	if at.answer != nil { // a failure of the server's: another may do better
		if f.last != nil {
			f.last.release()
		}
		f.last = at.answer
	}
	if next == limiter.Relaunch {
		if a, _ := f.launch(false); a != nil {
			return a
		}
	}
	return nil
}

func (f *flight) drop(at *attempt) {
	for i, o := range f.out {
		if o == at {
			f.out = append(f.out[:i], f.out[i+1:]...)
			return
		}
	}
}

// giveUp ends the attempts that are still out, and lets go of what they bring.
func (f *flight) giveUp() {
	if f.last != nil {
		f.last.release()
	}
	for _, at := range f.out {
		at.cancel()
	}
	if n := len(f.out); n > 0 {
		go func() { // each one ends at once, as its connection is closed
			for range n {
				if at := <-f.ended; at.answer != nil {
					at.answer.release()
				}
			}
		}()
	}
}

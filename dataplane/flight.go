package dataplane

import (
	"context"
	"log/slog"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/internal/connpool"
)

// flight carries out the course of one request that a [limiter.Flight] decides.
type flight struct {
	g      *Gateway
	r      *request
	course *limiter.Flight // under the gateway's mutex
	ended  chan *serverTry
	out    []*serverTry
	last   *answer // a failure of a server's
	// granted is closed when the request has its place on the link.
	granted chan struct{}
}

// serverTry is a try at one server.
type serverTry struct {
	member *balance.Member
	ctx    context.Context
	cancel context.CancelFunc
	host   *connpool.Host[string]
	sentAt time.Time
	load   float64
	hedge  bool
	late   time.Duration // after which it speaks against the server; 0: never
	outcome
}

func newFlight(g *Gateway, r *request) *flight {
	f := &flight{g: g, r: r, ended: make(chan *serverTry, max(1, r.route.Retries))}
	f.course = g.limiter.NewFlight(limiter.Request{Service: r.service, Route: r.route.Name, Bulk: r.route.Type == api.Download, Repeatable: r.route.IsIdempotent(),
		Held: r.stream == nil, Tries: r.route.Retries, ArrivedMs: inMs(r.arrived.Sub(g.start)), DeadlineMs: inMs(r.deadline.Sub(g.start)),
		AimMs: inMs(r.route.aim)})
	r.course = f.course
	return f
}

// over ends the course of a request whose answer was written, or could not be.
func (g *Gateway) over(r *request) {
	if r.course != nil && r.route.Type == api.Download {
		g.mu.Lock()
		r.course.Over()
		g.berths()
		g.mu.Unlock()
	}
}

// berth waits for the request's place on the link, where it needs one. An answer
// that is returned is final.
func (f *flight) berth() *answer {
	g := f.g
	if f.r.route.Type != api.Download {
		return nil
	}
	g.mu.Lock()
	granted, wait, refused := f.course.Berth(inMs(g.now()))
	if !granted && !refused {
		f.granted = make(chan struct{})
		g.waiting[f.course] = f.granted
		g.berths()
	}
	g.mu.Unlock()
	switch {
	case refused:
		return linkFull.answer(max(leastAdvice, min(mostAdvice, millis(wait))))
	case granted:
		return nil
	}
	t := time.NewTimer(time.Until(f.r.deadline))
	defer t.Stop()
	select {
	case <-f.granted:
	case <-t.C:
		g.mu.Lock()
		delete(g.waiting, f.course)
		g.mu.Unlock()
	}
	return nil
}

// berths lets those go whose time on the link has come. Called under the mutex.
func (g *Gateway) berths() {
	start, at := g.limiter.Berths(inMs(g.now()))
	for _, c := range start {
		if ch := g.waiting[c]; ch != nil {
			close(ch)
			delete(g.waiting, c)
		}
	}
	if at == 0 || g.berthing {
		return
	}
	g.berthing = true
	time.AfterFunc(millis(at-inMs(g.now())), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.berthing = false
		g.berths()
	})
}

// arrived has the course know of a long answer's head.
func (f *flight) arrived(a *answer) *answer {
	if f.r.route.Type == api.Download {
		g := f.g
		g.mu.Lock()
		length := a.length
		if f.r.head.Method == "HEAD" { // which has no body
			length = 0
		}
		f.course.Head(inMs(g.now()), length)
		g.berths()
		g.mu.Unlock()
	}
	return a
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
			return serverFull.answer(max(leastAdvice, min(mostAdvice, millis(wait)))), false
		}
		return nil, false
	}
	at := &serverTry{member: m, sentAt: time.Now(), load: m.Load(inMs(now)) - 1, hedge: hedge, host: g.pool.Host(m.ID)}
	if wait, counts := f.course.LateMs(inMs(now), m); counts {
		at.late = millis(wait)
	}
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

// work carries a try out.
func (f *flight) work(at *serverTry) {
	g := f.g
	at.outcome = outcome{result: balance.Unsent}
	if at.late > 0 {
		late := time.AfterFunc(at.late, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.limiter.Overdue(inMs(g.now()), at.member)
		})
		defer late.Stop()
	}
	if at.host != nil {
		at.outcome = g.try(f.r, at, at.host)
	}
	took := inMs(time.Since(at.sentAt))
	g.mu.Lock()
	g.limiter.Done(inMs(g.now()), at.member, at.result, took)
	g.mu.Unlock()
	g.measureTry(f.r.service, at)
	if g.log.Enabled(context.Background(), slog.LevelDebug) { // what it would say costs more than the rest of the line
		g.log.Debug("try", "id", f.r.head.Get("Attempt-Id"), "service", f.r.service, "server", at.member.ID, "zone", at.member.Zone,
			"result", results[at.result], "ran", at.ran, "took_ms", took, "at", at.load, "hedge", at.hedge)
	}
	f.ended <- at
}

// run works until there is a final answer.
func (f *flight) run() *answer {
	defer f.giveUp()
	if a := f.berth(); a != nil {
		return a
	}
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
		var at *serverTry
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
	switch f.course.Status(inMs(f.g.now())) {
	case 503:
		return noneTook.answer(fullAdvice)
	case 504:
		return timeUp.answer(0)
	}
	return noAnswer.answer(0)
}

// take goes on after an attempt has ended. An answer that is returned is final.
func (f *flight) take(at *serverTry) *answer {
	next := f.course.Ended(at.result, at.ran, at.answer != nil, f.r.started)
	if next == limiter.Deliver {
		return f.arrived(at.answer)
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
	if len(f.out) > 0 && f.last != nil && f.last.rest != nil {
		// Its rest would hold a server up meanwhile, and not come after its time.
		f.last.release()
		f.last = barePledge.answer(0)
	}
	return nil
}

func (f *flight) drop(at *serverTry) {
	for i, o := range f.out {
		if o == at {
			f.out = append(f.out[:i], f.out[i+1:]...)
			return
		}
	}
}

// giveUp ends the tries that are still out, and lets go of what they bring.
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

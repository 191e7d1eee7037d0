package dataplane

import (
	"context"
	"time"

	"example.org/silverscale/dataplane/balance"
	"example.org/silverscale/internal/connpool"
)

const (
	// A repeatable request whose answer takes hedgeAfter times the typical one is sent
	// to a second server too, where one is free and the aim can still be met.
	hedgeAfter = 2.6
	hedgeRoom  = 0.5 // of the typical time must be left to the aim
)

// flight is a request on its way to servers: one after the other, or a second
// one beside the first where that is slow.
type flight struct {
	g      *Gateway
	r      *request
	most   int // servers that it may be sent to
	choice balance.Request
	ended  chan *attempt
	out    []*attempt
	sent   int
	ran    bool
	came   bool    // it has reached a server: another one is charged to the budget
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

// launch sends the request to one more server. An answer that is returned is
// final; false tells that there is no server for it.
func (f *flight) launch(hedge bool) (*answer, bool) {
	g, left := f.g, time.Until(f.r.deadline)
	if left <= 0 || f.sent >= f.most {
		return nil, false
	}
	// A queue that is longer than the aim allows serves nobody better: what is beyond
	// is told at once to come back.
	if aim := f.r.route.aim - time.Since(f.r.arrived); aim > 0 {
		left = min(left, aim)
	} else if f.r.route.aim > 0 {
		left /= 2
	}
	f.choice.LeftMs, f.choice.Idle = inMs(left), hedge
	g.mu.Lock()
	at, a := f.choose(hedge)
	g.mu.Unlock()
	if at == nil {
		return a, false
	}
	if f.parallel() {
		go f.work(at) // ends by the request's deadline
	} else {
		f.work(at)
	}
	return nil, true
}

// choose finds the server for a further attempt. Called under the mutex.
func (f *flight) choose(hedge bool) (*attempt, *answer) {
	g := f.g
	further := f.came || hedge // what reaches a server once more comes out of what was saved up
	if further && g.retries[f.choice.Service] < 1 {
		return nil, nil
	}
	m, wait := g.balance.Choose(inMs(g.now()), f.choice)
	if m == nil {
		if further {
			return nil, nil
		}
		return nil, &answer{status: 503, why: "no server can answer in time", retryAfter: max(leastAdvice, min(fullAdvice, millis(wait)))}
	}
	if further {
		g.retries[f.choice.Service]--
	}
	at := &attempt{member: m, sentAt: time.Now(), load: m.Load(inMs(g.now())), hedge: hedge, host: g.pool.Host(m.ID)}
	g.balance.Sent(m)
	f.choice.Tried = append(f.choice.Tried, m)
	f.sent++
	at.ctx, at.cancel = context.WithCancel(context.Background())
	f.out = append(f.out, at)
	return at, nil
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
	g.balance.Done(inMs(g.now()), at.member, at.result, took)
	g.mu.Unlock()
	g.log.Debug("try", "id", f.r.head.Get("Attempt-Id"), "service", f.choice.Service, "server", at.member.ID, "zone", at.member.Zone,
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
	if wait, may := f.hedgeIn(); may && ok {
		t := time.NewTimer(wait)
		defer t.Stop()
		slow = t.C
	}
	for ok || len(f.out) > 0 {
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
		if len(f.out) > 0 {
			continue // the other one may still answer
		}
		if f.ran && !f.r.route.Repeatable() || f.r.started {
			break
		}
		if a, ok = f.launch(false); a != nil {
			return a
		}
	}
	switch {
	case f.last != nil:
		a := f.last
		f.last = nil
		return a
	case !f.ran && !f.r.started:
		return &answer{status: 503, why: "no server took the request", retryAfter: fullAdvice}
	case !time.Now().Before(f.r.deadline):
		return &answer{status: 504, why: "the time is up"}
	}
	return &answer{status: 502, why: "no server gave an answer of use"}
}

// take notes what came of an attempt and returns the answer where it is final.
func (f *flight) take(at *attempt) *answer {
	f.ran = f.ran || at.ran
	f.came = f.came || at.result != balance.Unsent
	if at.answer == nil {
		return nil
	}
	if at.result == balance.Good || !f.r.route.Repeatable() {
		return at.answer
	}
	if f.last != nil {
		f.last.release()
	}
	f.last = at.answer // a failure of the server's: another may do better
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

// parallel tells whether two servers may have the request at the same time.
func (f *flight) parallel() bool {
	return f.r.route.Repeatable() && f.r.stream == nil && f.most > 1
}

// hedgeIn returns after what time a second server is tried beside the first.
func (f *flight) hedgeIn() (time.Duration, bool) {
	if !f.parallel() {
		return 0, false
	}
	f.g.mu.Lock()
	typical := f.g.balance.Work(f.choice.Service)
	f.g.mu.Unlock()
	wait := millis(hedgeAfter * typical)
	return wait, typical > 0 && (f.r.route.aim == 0 || wait+millis(hedgeRoom*typical) < f.r.route.aim)
}

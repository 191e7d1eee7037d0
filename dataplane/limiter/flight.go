package limiter

import (
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
)

// Request is what the course of a request depends on. Times are in
// milliseconds on the host's clock.
type Request struct {
	Service    string
	Route      string
	Bulk       bool // a large answer
	Repeatable bool // it may run more than once
	Held       bool // its body is there in full and can be sent again
	Tries      int  // servers that it may be sent to
	ArrivedMs  float64
	DeadlineMs float64
	AimMs      float64 // to be answered within; 0: none
}

// Flight is the course of one request to servers: one after the other, or a
// second one beside the first where that is slow.
type Flight struct {
	l       *Limiter
	r       Request
	choice  balance.Request
	course  attempt.Tracker
	askedAt float64 // for a long answer; see [Flight.Berth]
}

// NewFlight begins the course of a request that was admitted.
func (l *Limiter) NewFlight(r Request) *Flight {
	r.Tries = max(1, r.Tries)
	return &Flight{l: l, r: r, choice: balance.Request{Service: r.Service, Bulk: r.Bulk, NonIdempotent: !r.Repeatable},
		course: attempt.Tracker{Idempotent: r.Repeatable}}
}

// Parallel tells whether two servers may have the request at the same time. Two
// long answers on a link that one can fill would only make both late.
func (f *Flight) Parallel() bool {
	return f.r.Repeatable && f.r.Held && f.r.Tries > 1 && !(f.r.Bulk && f.l.berths.perMs > 0)
}

// Launch takes a server for one more try, nil where there is none. Where the
// request was never sent, waitMs tells when to come back: it is refused.
func (f *Flight) Launch(now float64, hedge bool) (m *balance.Member, waitMs float64, refused bool) {
	left := f.r.DeadlineMs - now
	if left <= 0 || f.course.Started() >= f.r.Tries {
		return nil, 0, false
	}
	// A queue that is longer than the aim allows serves nobody better: what is beyond
	// is told at once to come back.
	if aim := f.r.ArrivedMs + f.r.AimMs - now; f.r.AimMs > 0 && aim > 0 {
		left = min(left, aim)
	} else if f.r.AimMs > 0 {
		left /= 2
	}
	f.choice.RemainingMs, f.choice.IdleOnly = left, hedge
	further := f.course.ReachedServer() || hedge // what reaches a server once more comes out of what was saved up
	m, waitMs = f.l.choose(now, f.choice, further)
	if m == nil {
		return nil, waitMs, !further
	}
	f.ask(now)
	f.choice.Attempted = append(f.choice.Attempted, m)
	f.course.Start()
	return m, 0, false
}

// Next is what follows on the end of a try.
type Next = attempt.Next

// What follows.
const (
	Deliver  = attempt.Deliver
	Await    = attempt.Wait
	Relaunch = attempt.Retry
	Stop     = attempt.GiveUp
)

// Ended notes how a try ended; see [attempt.Tracker.Finish].
func (f *Flight) Ended(result balance.Result, ran, answered, started bool) Next {
	return f.course.Finish(result, ran, answered, started)
}

// Status is the status of the final answer where no server gave one; see
// [attempt.Tracker.FinalStatus].
func (f *Flight) Status(now float64) int { return f.course.FinalStatus(now >= f.r.DeadlineMs) }

// HedgeMs is after what time a second server is tried beside the first; false
// where that is of no use.
func (f *Flight) HedgeMs() (float64, bool) {
	if !f.Parallel() {
		return 0, false
	}
	return f.l.hedgeMs(f.r.Service, f.r.AimMs)
}

// LateMs is after what time an answer that has not come speaks against its server;
// false where that can't be said.
func (f *Flight) LateMs(now float64, m *balance.Member) (float64, bool) {
	typical := f.l.balance.TypicalMs(f.r.Service)
	// A long answer may wait for the link.
	return lateAfter * typical * m.Slowness(now), typical > 0 && !f.r.Bulk
}

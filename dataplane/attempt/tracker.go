package attempt

import (
	"net/http"

	"example.org/elmspan/dataplane/balance"
)

// Tracker keeps the attempts of one request. The zero value is that of a request that must
// not run twice and was sent nowhere. It is not safe for use by several goroutines.
type Tracker struct {
	Idempotent    bool // the request may run more than once
	inFlight      int  // attempts that have not ended
	started       int  // attempts that have begun
	mayHaveRun    bool // a server may have run the request, or may still run it
	reachedServer bool
}

// Start records that an attempt begins.
func (t *Tracker) Start() {
	t.inFlight++
	t.started++
}

// Started is how many attempts have begun.
func (t *Tracker) Started() int { return t.started }

// ReachedServer reports whether the request has reached a server. If so, a further attempt is
// charged to the retry budget.
func (t *Tracker) ReachedServer() bool { return t.reachedServer }

// Next is what follows the end of an attempt.
type Next int

// The steps that can follow.
const (
	Deliver Next = iota // the attempt's answer is the final one
	Wait                // another attempt is in flight
	Retry               // another attempt may be made
	GiveUp              // none may be made: see [Tracker.FinalStatus]
)

// Finish records the end of an attempt. mayHaveRun: its server may have run the request.
// answered: there is something to answer the client with. bodyConsumed: a part of a body
// that is not buffered is gone, so that no other server can get it.
func (t *Tracker) Finish(result balance.Result, mayHaveRun, answered, bodyConsumed bool) Next {
	t.inFlight--
	t.mayHaveRun = t.mayHaveRun || mayHaveRun
	t.reachedServer = t.reachedServer || result != balance.NotSent
	switch {
	case answered && (result == balance.Success || !t.Idempotent):
		return Deliver
	case t.inFlight > 0:
		return Wait // the other one may still succeed; a failure is kept until then
	case t.mayHaveRun && !t.Idempotent, bodyConsumed:
		return GiveUp
	}
	return Retry
}

// FinalStatus is the status of the gateway's own answer where no server's answer can be
// forwarded. 503 says that the request has not run and never will. timedOut: the
// request's deadline has passed.
func (t *Tracker) FinalStatus(timedOut bool) int {
	switch {
	case !t.mayHaveRun:
		return http.StatusServiceUnavailable
	case timedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

package attempt

import (
	"net/http"

	"example.org/elmspan/dataplane/balance"
)

// Tracker follows the attempts at one request. The zero value is for a request that is not
// idempotent and has not been sent yet. It is not safe for concurrent use.
type Tracker struct {
	Idempotent    bool // the request may be executed more than once
	inFlight      int  // attempts that have not ended
	started       int  // attempts that have started
	mayHaveRun    bool // a server may have executed the request, or may still be executing it
	reachedServer bool
}

// Start records the start of an attempt.
func (t *Tracker) Start() {
	t.inFlight++
	t.started++
}

// Started returns the number of attempts that have started.
func (t *Tracker) Started() int { return t.started }

// ReachedServer reports whether the request has reached a server. If so, further attempts are
// charged to the retry budget.
func (t *Tracker) ReachedServer() bool { return t.reachedServer }

// Next is the step that follows the end of an attempt.
type Next int

// The steps that can follow.
const (
	Deliver Next = iota // the attempt's response is the final one
	Wait                // another attempt is still in flight
	Retry               // another attempt may be started
	GiveUp              // no further attempt may be started; see [Tracker.FinalStatus]
)

// Finish records the end of an attempt. mayHaveRun reports whether the server may have executed the
// request, hasResponse whether the attempt has a response for the client, and bodyConsumed whether
// part of an unbuffered request body has been consumed, so that the request cannot be sent to
// another server.
func (t *Tracker) Finish(result balance.Result, mayHaveRun, hasResponse, bodyConsumed bool) Next {
	t.inFlight--
	t.mayHaveRun = t.mayHaveRun || mayHaveRun
	t.reachedServer = t.reachedServer || result != balance.NotSent
	switch {
	case hasResponse && (result == balance.Success || !t.Idempotent):
		return Deliver
	case t.inFlight > 0:
		return Wait // the other attempt may still succeed; a failure is kept until it ends
	case t.mayHaveRun && !t.Idempotent, bodyConsumed:
		return GiveUp
	}
	return Retry
}

// FinalStatus returns the status of the gateway's own response when no server response can be
// forwarded. 503 states that the request was not executed and never will be. timedOut reports
// whether the request's deadline has passed.
func (t *Tracker) FinalStatus(timedOut bool) int {
	switch {
	case !t.mayHaveRun:
		return http.StatusServiceUnavailable
	case timedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

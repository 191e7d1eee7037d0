package attempt

import (
	"fmt"
	"net/http"
	"slices"
)

// maxAttempts is the maximum number of attempts at one request that are explored.
const maxAttempts = 3

// state is one state of a request: what the code under test records, and the ground truth.
type state struct {
	tracker      Tracker
	ran          int  // attempts that may have been executed
	keptStatus   int  // status of a failure kept while another attempt is in flight; 0: none
	bodyConsumed bool // part of an unbuffered body has been consumed
}

// explorer explores all orders of all possible evidence in up to maxAttempts sequential or
// concurrent attempts at one kind of request. It compares each decision of the rules with what
// servers guarantee.
type explorer struct {
	rules      Rules
	idempotent bool
	buffered   bool // the whole body is available before the first attempt
	evidence   []Evidence

	queue  []state
	known  map[state]bool
	states int
	steps  int
	fault  string // the first fault found, or ""
}

func newExplorer(rules Rules, idempotent, buffered bool) *explorer {
	x := &explorer{rules: rules, idempotent: idempotent, buffered: buffered, known: map[state]bool{}}
	for _, e := range allEvidence() {
		if e.Response == RequestAborted && buffered {
			continue // a buffered body cannot be cut off
		}
		x.evidence = append(x.evidence, e)
	}
	x.add(state{tracker: Tracker{Idempotent: idempotent}})
	return x
}

// add queues a state unless it is already known.
func (x *explorer) add(s state) {
	if !x.known[s] {
		x.known[s] = true
		x.queue = append(x.queue, s)
	}
}

// failf records a fault if it is the first.
func (x *explorer) failf(format string, args ...any) {
	if x.fault == "" {
		x.fault = fmt.Sprintf(format, args...)
	}
}

// run explores until no state is left or a fault is found.
func (x *explorer) run() {
	for len(x.queue) > 0 && x.fault == "" {
		s := x.queue[0]
		x.queue = x.queue[1:]
		x.states++
		x.expand(s)
	}
}

// expand takes all possible steps from a state.
func (x *explorer) expand(s state) {
	if x.mayStart(s) {
		x.start(s)
	}
	if s.tracker.inFlight == 0 {
		if !s.tracker.ReachedServer() && s.ran > 0 {
			x.failf("the request may have been executed, but counts as not having reached a server")
		}
		return
	}
	for _, e := range x.evidence {
		if x.fault != "" {
			return
		}
		x.steps++
		x.finish(s, e)
	}
}

// mayStart reports whether an attempt may start: the first one, or a hedge beside another one.
// Retries are started by finish.
func (x *explorer) mayStart(s state) bool {
	if s.tracker.inFlight == 0 {
		return s.tracker.started == 0
	}
	return x.idempotent && x.buffered && s.tracker.started < maxAttempts
}

func (x *explorer) start(s state) {
	s.tracker.Start()
	x.add(s)
}

// finish ends one attempt in a state with the given evidence and follows the decision of the
// tracker.
func (x *explorer) finish(s state, e Evidence) {
	c := x.rules.Classify(e)
	if referenceMayHaveRun(e) {
		s.ran++
	}
	s.bodyConsumed = s.bodyConsumed || !x.buffered && e.Written != NotWritten
	x.checkForwarded(e, c)
	switch s.tracker.Finish(c.Result, c.MayHaveRun, c.Response != NoClientResponse, s.bodyConsumed) {
	case Deliver:
		x.checkStatus(s, clientStatus(e, c), fmt.Sprintf("for %+v", e))
	case Wait:
		x.add(s.keep(e, c))
	case Retry:
		if s.ran > 0 && !x.idempotent || s.bodyConsumed {
			x.failf("%+v: the request may have been executed or its body was consumed, but it is sent again", e)
		}
		x.retryOrEnd(s.keep(e, c), e)
	case GiveUp:
		if s.ran == 0 && !s.bodyConsumed {
			x.failf("%+v: the request was not executed, but it is given up", e)
		}
		x.end(s, e)
	}
}

// keep returns the state with the response to the client, if the attempt has one, kept as the last
// failure.
func (s state) keep(e Evidence, c Classification) state {
	if c.Response != NoClientResponse {
		s.keptStatus = clientStatus(e, c)
	}
	return s
}

// retryOrEnd explores both cases after a decision to retry: another server is available, or none
// is.
func (x *explorer) retryOrEnd(s state, e Evidence) {
	if s.tracker.started < maxAttempts {
		x.start(s)
	}
	x.end(s, e)
}

// end responds to the client when no further attempt is made, both before and after the deadline.
func (x *explorer) end(s state, e Evidence) {
	x.add(s)
	for _, timedOut := range []bool{false, true} {
		if s.keptStatus != 0 {
			x.checkStatus(s, s.keptStatus, "as the kept failure")
			continue
		}
		status := s.tracker.FinalStatus(timedOut)
		if status != http.StatusServiceUnavailable && s.ran == 0 {
			x.failf("final status %d after %+v, although no attempt was executed", status, e)
		}
		x.checkStatus(s, status, fmt.Sprintf("as the final status after %+v", e))
	}
}

// checkForwarded checks that a forwarded response is complete or its truncation is detectable, and
// that a success was sealed by the server.
func (x *explorer) checkForwarded(e Evidence, c Classification) {
	switch {
	case c.Response == ServerResponse && e.Response != Complete && e.Response != Streaming:
		x.failf("%+v: an incomplete response is forwarded", e)
	case clientStatus(e, c)/100 == 2 && !e.Sealed:
		x.failf("%+v: an unsealed success is forwarded", e)
	}
}

// checkStatus checks that a status which states that the request was not executed is returned only
// if that is true and remains true.
func (x *explorer) checkStatus(s state, status int, why string) {
	if saysNotExecuted(status) && (s.ran > 0 || s.tracker.inFlight > 0) {
		x.failf("%d is returned %s, but the request may have been or may still be executed", status, why)
	}
}

// clientStatus returns the status that a client receives for a classification, or 0 for none.
func clientStatus(e Evidence, c Classification) int {
	switch c.Response {
	case ServerResponse:
		return e.Status
	case BadGateway:
		return http.StatusBadGateway
	case ClientError:
		return http.StatusBadRequest
	}
	return 0
}

// statuses contains each status with a rule of its own, and one of each class without.
var statuses = []int{200, 204, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504}

// allEvidence returns all possible evidence of an attempt, without the fields that only
// [Evidence.Reusable] uses.
func allEvidence() []Evidence {
	all := []Evidence{{Written: NotWritten}}
	for _, w := range []WriteProgress{PartlyWritten, FullyWritten} {
		all = append(all, Evidence{Written: w, Response: NoResponse}, Evidence{Written: w, Response: RequestAborted})
		for _, r := range []ResponseProgress{Truncated, Streaming, Complete} {
			for _, status := range statuses {
				for bits := range 4 {
					all = append(all, Evidence{
						Written:     w,
						Response:    r,
						Status:      status,
						NotExecuted: bits&1 != 0,
						Sealed:      bits&2 != 0,
					})
				}
			}
		}
	}
	return all
}

// referenceMayHaveRun restates what servers guarantee, independently of the code under test.
func referenceMayHaveRun(e Evidence) bool {
	proof := e.Response >= Truncated &&
		(e.Status == http.StatusMisdirectedRequest || e.NotExecuted && e.Status/100 != 2)
	return e.Written != NotWritten && !proof
}

// saysNotExecuted reports whether a status states to the client that the request was not executed.
func saysNotExecuted(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// checkRules explores all kinds of requests, then the rules for connections and response owners. It
// returns the first fault, or "", and how much was explored.
func checkRules(rules Rules) (fault string, states, steps int) {
	for kind := range 4 {
		x := newExplorer(rules, kind&1 != 0, kind&2 == 0)
		x.run()
		states, steps = states+x.states, steps+x.steps
		if x.fault != "" {
			return fmt.Sprintf("idempotent %v, buffered %v: %s", x.idempotent, x.buffered, x.fault), states, steps
		}
	}
	if fault = reuseFault(rules); fault == "" {
		fault = ownerFault(rules)
	}
	return fault, states, steps
}

// reuseFault returns a fault unless a connection is reused exactly when no evidence rules it out.
func reuseFault(rules Rules) string {
	disqualifying := []func(*Evidence){
		func(e *Evidence) { e.Closes = true },
		func(e *Evidence) { e.HeadRequest = true },
		func(e *Evidence) { e.StrayResponses = 1 },
		func(e *Evidence) { e.TrailingBytes = 1 },
		func(e *Evidence) { e.Written = PartlyWritten },
		func(e *Evidence) { e.Response = Streaming },
	}
	for bits := range 1 << len(disqualifying) {
		e := Evidence{Written: FullyWritten, Response: Complete}
		for i, set := range disqualifying {
			if bits&(1<<i) != 0 {
				set(&e)
			}
		}
		if reused := rules.Reusable(e); reused != (bits == 0) {
			return fmt.Sprintf("%+v: connection reused: %v", e, reused)
		}
	}
	return ""
}

// ownerFault returns a fault unless a response is the request's own exactly when it carries the
// request's ID once.
func ownerFault(rules Rules) string {
	for _, id := range []string{"", "mine", "theirs", "min", "Mine"} {
		for count := range 3 {
			own := id == "mine" && count == 1
			if (rules.OwnerOf(id, count, "mine") == ThisRequest) != own ||
				rules.OwnerOf(id, count, "") == ThisRequest {
				return fmt.Sprintf("id %q, %d times: wrong response owner", id, count)
			}
		}
	}
	return ""
}

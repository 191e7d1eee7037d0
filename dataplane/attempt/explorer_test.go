package attempt

import (
	"fmt"
	"net/http"
	"slices"
)

// maxAttempts is the most attempts at one request that are explored.
const maxAttempts = 3

// state is one state of a request: what the code under test knows, and what is true.
type state struct {
	tracker      Tracker
	ran          int  // attempts that may have run
	keptStatus   int  // of a failure that is kept while another attempt is in flight; 0: none
	bodyConsumed bool // a part of a body that is not buffered is gone
}

// explorer goes through every order of everything that can be seen in up to maxAttempts
// attempts, one after the other or beside each other, at one kind of request. It compares each
// decision of the rules with what servers guarantee.
type explorer struct {
	rules      Rules
	idempotent bool
	buffered   bool // the body is there before the first attempt
	evidence   []Evidence

	queue  []state
	known  map[state]bool
	states int
	steps  int
	fault  string // the first fault that is found, or ""
}

func newExplorer(rules Rules, idempotent, buffered bool) *explorer {
	x := &explorer{rules: rules, idempotent: idempotent, buffered: buffered, known: map[state]bool{}}
	for _, e := range allEvidence() {
		if e.Response == RequestAborted && buffered {
			continue // the body can't break off
		}
		x.evidence = append(x.evidence, e)
	}
	x.add(state{tracker: Tracker{Idempotent: idempotent}})
	return x
}

// add queues a state that is new.
func (x *explorer) add(s state) {
	if !x.known[s] {
		x.known[s] = true
		x.queue = append(x.queue, s)
	}
}

// failf records a fault, if it is the first.
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

// expand takes every step that is possible in a state.
func (x *explorer) expand(s state) {
	if x.mayStart(s) {
		x.start(s)
	}
	if s.tracker.inFlight == 0 {
		if !s.tracker.ReachedServer() && s.ran > 0 {
			x.failf("it may have run, and can be refused as if no server had been reached")
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

// mayStart reports whether an attempt may start: the first one, or one beside another (a hedge).
// Retries start in finish.
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

// finish ends one attempt of a state with some evidence, and follows the decision.
func (x *explorer) finish(s state, e Evidence) {
	c := x.rules.Classify(e)
	if referenceMayHaveRun(e) {
		s.ran++
	}
	s.bodyConsumed = s.bodyConsumed || !x.buffered && e.Written != NotWritten
	x.checkForwarded(e, c)
	switch s.tracker.Finish(c.Result, c.MayHaveRun, c.Response != NoClientResponse, s.bodyConsumed) {
	case Deliver:
		x.checkAnswer(s, answerStatus(e, c), fmt.Sprintf("for %+v", e))
	case Wait:
		x.add(s.keep(e, c))
	case Retry:
		if s.ran > 0 && !x.idempotent || s.bodyConsumed {
			x.failf("%+v: it may have run or its body is gone, and is sent again", e)
		}
		x.retryOrEnd(s.keep(e, c), e)
	case GiveUp:
		if s.ran == 0 && !s.bodyConsumed {
			x.failf("%+v: it has not run, and is given up", e)
		}
		x.end(s, e)
	}
}

// keep returns the state with the attempt's answer kept as the last failure, if it has one.
func (s state) keep(e Evidence, c Classification) state {
	if c.Response != NoClientResponse {
		s.keptStatus = answerStatus(e, c)
	}
	return s
}

// retryOrEnd follows both ways after a decision to retry: a server is found, or none.
func (x *explorer) retryOrEnd(s state, e Evidence) {
	if s.tracker.started < maxAttempts {
		x.start(s)
	}
	x.end(s, e)
}

// end answers the client where no attempt is left: before the deadline and after it.
func (x *explorer) end(s state, e Evidence) {
	x.add(s)
	for _, timedOut := range []bool{false, true} {
		if s.keptStatus != 0 {
			x.checkAnswer(s, s.keptStatus, "as kept")
			continue
		}
		status := s.tracker.FinalStatus(timedOut)
		if status != http.StatusServiceUnavailable && s.ran == 0 {
			x.failf("%d in the end, after %+v, though nothing has run", status, e)
		}
		x.checkAnswer(s, status, fmt.Sprintf("in the end, after %+v", e))
	}
}

// checkForwarded: what is forwarded is whole or ends visibly, and a success is the server's.
func (x *explorer) checkForwarded(e Evidence, c Classification) {
	switch {
	case c.Response == ServerResponse && e.Response != Complete && e.Response != Streaming:
		x.failf("%+v: what is not whole is passed on", e)
	case answerStatus(e, c)/100 == 2 && !e.Sealed:
		x.failf("%+v: a success that is not the server's", e)
	}
}

// checkAnswer: a status that says that the request has not run is answered only where that is
// true and stays so.
func (x *explorer) checkAnswer(s state, status int, why string) {
	if saysNotExecuted(status) && (s.ran > 0 || s.tracker.inFlight > 0) {
		x.failf("%d is answered %s, but it may have run, or may still run", status, why)
	}
}

// answerStatus is the status that a client gets by a classification, 0 for none.
func answerStatus(e Evidence, c Classification) int {
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

// statuses are one of each that is decided on, and one of each class that is not.
var statuses = []int{200, 204, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504}

// allEvidence is all that can be seen of an attempt, but for what [Evidence.Reusable] alone
// goes by.
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

// referenceMayHaveRun says once more what servers guarantee, apart from the code under test.
func referenceMayHaveRun(e Evidence) bool {
	proof := e.Response >= Truncated &&
		(e.Status == http.StatusMisdirectedRequest || e.NotExecuted && e.Status/100 != 2)
	return e.Written != NotWritten && !proof
}

// saysNotExecuted reports whether a status assures the client that the request has not run.
func saysNotExecuted(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// checkRules explores all kinds of requests, then the rules on connections and owners. It
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

// reuseFault: a connection is used again only where nothing speaks against it.
func reuseFault(rules Rules) string {
	against := []func(*Evidence){
		func(e *Evidence) { e.Closes = true },
		func(e *Evidence) { e.HeadRequest = true },
		func(e *Evidence) { e.StrayResponses = 1 },
		func(e *Evidence) { e.TrailingBytes = 1 },
		func(e *Evidence) { e.Written = PartlyWritten },
		func(e *Evidence) { e.Response = Streaming },
	}
	for bits := range 1 << len(against) {
		e := Evidence{Written: FullyWritten, Response: Complete}
		for i, set := range against {
			if bits&(1<<i) != 0 {
				set(&e)
			}
		}
		if reused := rules.Reusable(e); reused != (bits == 0) {
			return fmt.Sprintf("%+v: is the connection used again? %v", e, reused)
		}
	}
	return ""
}

// ownerFault: an answer is the request's own only with its id, once.
func ownerFault(rules Rules) string {
	for _, id := range []string{"", "mine", "theirs", "min", "Mine"} {
		for count := range 3 {
			own := id == "mine" && count == 1
			if (rules.OwnerOf(id, count, "mine") == ThisRequest) != own ||
				rules.OwnerOf(id, count, "") == ThisRequest {
				return fmt.Sprintf("id %q, %d times: whose is it?", id, count)
			}
		}
	}
	return ""
}

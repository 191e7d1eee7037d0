package attempt

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"example.org/elmspan/dataplane/balance"
)

// statuses are one of each that is decided on, and one of each class that is not.
var statuses = []int{200, 204, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504}

// evidences are all that can be seen of a try, but for what [Evidence.Reusable] alone
// goes by.
func evidences() []Evidence {
	all := []Evidence{{Written: NotWritten}}
	for _, w := range []WriteProgress{PartlyWritten, FullyWritten} {
		all = append(all, Evidence{Written: w, Response: NoResponse}, Evidence{Written: w, Response: RequestAborted})
		for _, s := range []ResponseProgress{Truncated, Streaming, Complete} {
			for _, status := range statuses {
				for bits := range 4 {
					all = append(all, Evidence{Written: w, Response: s, Status: status, NotExecuted: bits&1 != 0, Sealed: bits&2 != 0})
				}
			}
		}
	}
	return all
}

// mayHaveRun is what servers promise, said once more: the reference.
func mayHaveRun(e Evidence) bool {
	proof := e.Response >= Truncated && (e.Status == 421 || e.NotExecuted && e.Status/100 != 2)
	return e.Written != NotWritten && !proof
}

func promises(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// world is a state of the walk: what the code under test knows, and what is true.
type world struct {
	course Tracker
	ran    int  // tries that may have run
	last   int  // status of a failure that is kept, 0: none
	gone   bool // a part of a body that is not held is gone
}

// walk goes through every order of everything that can be seen in up to three tries,
// one after the other or beside each other, of one kind of request, and returns what
// breaks a promise first, or "".
func walk(r Rules, repeatable, held bool) (fault string, states, steps int) {
	start := world{course: Tracker{Idempotent: repeatable}}
	todo, known, all := []world{start}, map[world]bool{start: true}, evidences()
	add := func(w world) {
		if !known[w] {
			known[w] = true
			todo = append(todo, w)
		}
	}
	final := func(w world, status int, why string) {
		if fault == "" && promises(status) && (w.ran > 0 || w.course.inFlight > 0) {
			fault = fmt.Sprintf("%d is answered %s, but it may have run, or run yet", status, why)
		}
	}
	for len(todo) > 0 && fault == "" {
		w := todo[0]
		todo = todo[1:]
		states++
		if w.course.inFlight == 0 && w.course.started == 0 || w.course.inFlight > 0 && repeatable && held && w.course.started < 3 {
			n := w
			n.course.Start()
			add(n)
		}
		if w.course.inFlight == 0 && !w.course.ReachedServer() && w.ran > 0 {
			return "it may have run, and can be refused as if no server had been reached", states, steps
		}
		if w.course.inFlight == 0 {
			continue
		}
		for _, e := range all {
			if e.Response == RequestAborted && held {
				continue // its body was there before
			}
			steps++
			n, v := w, r.Classify(e)
			if mayHaveRun(e) {
				n.ran++
			}
			n.gone = n.gone || !held && e.Written != NotWritten
			status := map[ClientAnswer]int{ServerResponse: e.Status, BadGateway: 502, ClientError: 400}[v.Answer]
			switch {
			case v.Answer == ServerResponse && e.Response != Complete && e.Response != Streaming:
				return fmt.Sprintf("%+v: what is not whole is passed on", e), states, steps
			case status/100 == 2 && !e.Sealed:
				return fmt.Sprintf("%+v: a success that is not the server's", e), states, steps
			}
			switch n.course.Finish(v.Result, v.MayHaveRun, v.Answer != NoAnswer, n.gone) {
			case Deliver:
				final(n, status, fmt.Sprintf("for %+v", e))
				continue
			case Retry:
				if n.ran > 0 && !repeatable || n.gone {
					return fmt.Sprintf("%+v: it may have run or is gone, and is sent again", e), states, steps
				}
				if v.Answer != NoAnswer {
					n.last = status
				}
				if n.course.started < 3 { // a server may be found for it, or none
					again := n
					again.course.Start()
					add(again)
				}
			case Wait:
				if v.Answer != NoAnswer {
					n.last = status
				}
				add(n)
				continue
			case GiveUp:
				if n.ran == 0 && !n.gone {
					return fmt.Sprintf("%+v: it has not run, and is given up", e), states, steps
				}
			}
			add(n)
			for _, late := range []bool{false, true} {
				status, why := n.last, "as kept"
				if status == 0 {
					status, why = n.course.FinalStatus(late), fmt.Sprintf("in the end, after %+v", e)
					if status != 503 && n.ran == 0 {
						return fmt.Sprintf("%d %s, though nothing has run", status, why), states, steps
					}
				}
				final(n, status, why)
			}
		}
	}
	return fault, states, steps
}

// all walks the table for all kinds of requests.
func all(r Rules) (fault string, states, steps int) {
	for kind := range 4 {
		f, st, s := walk(r, kind&1 != 0, kind&2 == 0)
		if states, steps = states+st, steps+s; f != "" {
			return fmt.Sprintf("repeatable %v, held %v: %s", kind&1 != 0, kind&2 == 0, f), states, steps
		}
	}
	for bits := range 1 << 6 {
		on := func(i int) bool { return bits&(1<<i) != 0 }
		e := Evidence{Written: FullyWritten, Response: Complete, Closes: on(0), HeadRequest: on(1)}
		if on(2) {
			e.StrayResponses = 1
		}
		if on(3) {
			e.TrailingBytes = 1
		}
		if on(4) {
			e.Written = PartlyWritten
		}
		if on(5) {
			e.Response = Streaming
		}
		if r.Reusable(e) != (bits == 0) {
			return fmt.Sprintf("%+v: is the connection used again? %v", e, r.Reusable(e)), states, steps
		}
	}
	for _, id := range []string{"", "mine", "theirs", "min", "Mine"} {
		for times := range 3 {
			own := id == "mine" && times == 1
			if (r.OwnerOf(id, times, "mine") == ThisRequest) != own || r.OwnerOf(id, times, "") == ThisRequest {
				return fmt.Sprintf("id %q, %d times: whose is it?", id, times), states, steps
			}
		}
	}
	return "", states, steps
}

// Whatever a server does in up to three tries, in whatever order: a request that must
// not run twice is not sent on when it may have run; 408, 421, 429 and 503 are
// answered only where nothing has run or still can; what has not run is not given up;
// only what is the server's and whole, or ends visibly, is passed on.
func TestAllThatCanBeSeen(t *testing.T) {
	fault, states, steps := all(DefaultRules())
	if fault != "" {
		t.Error(fault)
	}
	if states < 40 || steps < 10_000 {
		t.Errorf("only %d states and %d steps were walked", states, steps)
	}
	t.Logf("%d states, %d steps", states, steps)
}

// The walk finds each decision that is taken out or turned.
func TestTurnedDecisionsAreFound(t *testing.T) {
	turned := func(change func(e Evidence, v *Classification)) Rules {
		r := DefaultRules()
		r.Classify = func(e Evidence) Classification {
			v := Classify(e)
			change(e, &v)
			return v
		}
		return r
	}
	reuse := func(keep func(Evidence) Evidence) Rules {
		r := DefaultRules()
		r.Reusable = func(e Evidence) bool { return keep(e).Reusable() }
		return r
	}
	anyId := DefaultRules()
	anyId.OwnerOf = func(string, int, string) ResponseOwner { return ThisRequest }
	nobodys := DefaultRules()
	nobodys.OwnerOf = func(id string, times int, mine string) ResponseOwner {
		if id == "" {
			return ThisRequest
		}
		return OwnerOf(id, times, mine)
	}
	for name, c := range map[string]struct {
		rules Rules
		want  string
	}{
		"a reset after bytes is taken for unsent": {turned(func(e Evidence, v *Classification) {
			if e.Response == NoResponse {
				*v = Classification{Result: balance.NotSent}
			}
		}), "sent again"},
		"silence is taken for proof": {turned(func(e Evidence, v *Classification) {
			if e.Response == NoResponse {
				v.MayHaveRun = false
			}
		}), "sent again"},
		"a part that was written is taken for none": {turned(func(e Evidence, v *Classification) {
			if e.Written == PartlyWritten {
				*v = Classification{Result: balance.NotSent}
			}
		}), "sent again"},
		"a bare 503 is passed on": {turned(func(e Evidence, v *Classification) {
			if e.Response == Complete && e.Status == 503 && !e.NotExecuted {
				v.Answer = ServerResponse
			}
		}), "503 is answered"},
		"a bare 429 is taken for proof": {turned(func(e Evidence, v *Classification) {
			if e.Response == Complete && e.Status == 429 {
				*v = Classification{Result: balance.Rejected}
			}
		}), "sent again"},
		"a bare 408 is passed on": {turned(func(e Evidence, v *Classification) {
			if e.Response == Complete && e.Status == 408 && !e.NotExecuted {
				v.Answer = ServerResponse
			}
		}), "408 is answered"},
		"a 500 is taken for proof": {turned(func(e Evidence, v *Classification) {
			if e.Status == 500 {
				v.MayHaveRun, v.Answer = false, NoAnswer
			}
		}), "sent again"},
		"Not-Executed is not heeded": {turned(func(e Evidence, v *Classification) {
			if e.NotExecuted && v.Result == balance.Rejected {
				v.MayHaveRun = true
			}
		}), "it has not run, and is given up"},
		"a failure that breaks off is passed on": {turned(func(e Evidence, v *Classification) {
			if e.Response == Truncated && v.Answer == BadGateway {
				v.Answer = ServerResponse
			}
		}), "not whole"},
		"a success without a seal is passed on": {turned(func(e Evidence, v *Classification) {
			if e.Response == Complete && e.Status == 200 {
				*v = Classification{balance.Success, true, ServerResponse}
			}
		}), "not the server's"},
		"bytes behind an answer": {reuse(func(e Evidence) Evidence { e.TrailingBytes = 0; return e }), "used again"},
		"strays before it":       {reuse(func(e Evidence) Evidence { e.StrayResponses = 0; return e }), "used again"},
		"Connection: close":      {reuse(func(e Evidence) Evidence { e.Closes = false; return e }), "used again"},
		"a body not whole sent":  {reuse(func(e Evidence) Evidence { e.Written = FullyWritten; return e }), "used again"},
		"ids are not compared":   {anyId, "whose"},
		"nobody's is one's own":  {nobodys, "whose"},
	} {
		if fault, _, _ := all(c.rules); !strings.Contains(fault, c.want) {
			t.Errorf("%s: found %q, want %q", name, fault, c.want)
		}
	}
}

// What is read past is another's, of a certain end, and only so many.
func TestReadPast(t *testing.T) {
	for _, o := range []ResponseOwner{OwnerUnknown, OtherRequest} {
		for count := 1; count <= MaxStrayResponses+1; count++ {
			for _, bounded := range []bool{false, true} {
				if got, want := ShouldSkip(o, count, bounded), o == OtherRequest && bounded && count <= MaxStrayResponses; got != want {
					t.Errorf("owner %d, the %d., bounded %v: %v", o, count, bounded, got)
				}
			}
		}
	}
}

package attempt

import (
	"net/http"
	"strings"
	"testing"

	"example.org/elmspan/dataplane/balance"
)

// plantedFault is a fault in one decision, and what the exploration must say of it.
type plantedFault struct {
	name  string
	rules Rules
	want  string
}

// classifyFault changes the classification of an attempt.
func classifyFault(change func(e Evidence, c *Classification)) Rules {
	rules := DefaultRules()
	rules.Classify = func(e Evidence) Classification {
		c := Classify(e)
		change(e, &c)
		return c
	}
	return rules
}

// reuseFaultOf has one part of the evidence ignored when a connection is kept.
func reuseFaultOf(ignore func(e *Evidence)) Rules {
	rules := DefaultRules()
	rules.Reusable = func(e Evidence) bool {
		ignore(&e)
		return e.Reusable()
	}
	return rules
}

// ownerFaultOf changes whose an answer is.
func ownerFaultOf(ownerOf func(id string, count int, requestID string) ResponseOwner) Rules {
	rules := DefaultRules()
	rules.OwnerOf = ownerOf
	return rules
}

// unmarked reports whether a whole answer has the status and does not say that the request has
// not run.
func unmarked(e Evidence, status int) bool {
	return e.Response == Complete && e.Status == status && !e.NotExecuted
}

// classifyFaults are faults in the classification.
var classifyFaults = []plantedFault{
	{"a reset after bytes is taken for unsent", classifyFault(func(e Evidence, c *Classification) {
		if e.Response == NoResponse {
			*c = Classification{Result: balance.NotSent}
		}
	}), "sent again"},
	{"a missing response is taken for proof", classifyFault(func(e Evidence, c *Classification) {
		if e.Response == NoResponse {
			c.MayHaveRun = false
		}
	}), "sent again"},
	{"a part that was written is taken for none", classifyFault(func(e Evidence, c *Classification) {
		if e.Written == PartlyWritten {
			*c = Classification{Result: balance.NotSent}
		}
	}), "sent again"},
	{"a bare 503 is passed on", classifyFault(func(e Evidence, c *Classification) {
		if unmarked(e, http.StatusServiceUnavailable) {
			c.Response = ServerResponse
		}
	}), "503 is answered"},
	{"a bare 429 is taken for proof", classifyFault(func(e Evidence, c *Classification) {
		if e.Response == Complete && e.Status == http.StatusTooManyRequests {
			*c = Classification{Result: balance.Rejected}
		}
	}), "sent again"},
	{"a bare 408 is passed on", classifyFault(func(e Evidence, c *Classification) {
		if unmarked(e, http.StatusRequestTimeout) {
			c.Response = ServerResponse
		}
	}), "408 is answered"},
	{"a 500 is taken for proof", classifyFault(func(e Evidence, c *Classification) {
		if e.Status == http.StatusInternalServerError {
			c.MayHaveRun, c.Response = false, NoClientResponse
		}
	}), "sent again"},
	{"Not-Executed is ignored", classifyFault(func(e Evidence, c *Classification) {
		if e.NotExecuted && c.Result == balance.Rejected {
			c.MayHaveRun = true
		}
	}), "it has not run, and is given up"},
	{"a truncated failure is passed on", classifyFault(func(e Evidence, c *Classification) {
		if e.Response == Truncated && c.Response == BadGateway {
			c.Response = ServerResponse
		}
	}), "not whole"},
	{"a success without a seal is passed on", classifyFault(func(e Evidence, c *Classification) {
		if e.Response == Complete && e.Status == http.StatusOK {
			*c = Classification{balance.Success, true, ServerResponse}
		}
	}), "not the server's"},
}

// reuseFaults are faults in the decision to keep a connection.
var reuseFaults = []plantedFault{
	{"trailing bytes", reuseFaultOf(func(e *Evidence) { e.TrailingBytes = 0 }), "used again"},
	{"stray responses", reuseFaultOf(func(e *Evidence) { e.StrayResponses = 0 }), "used again"},
	{"Connection: close", reuseFaultOf(func(e *Evidence) { e.Closes = false }), "used again"},
	{"a body not whole sent", reuseFaultOf(func(e *Evidence) { e.Written = FullyWritten }), "used again"},
}

// ownerFaults are faults in the decision whose an answer is.
var ownerFaults = []plantedFault{
	{"ids are not compared", ownerFaultOf(func(string, int, string) ResponseOwner {
		return ThisRequest
	}), "whose"},
	{"an answer without id is taken", ownerFaultOf(func(id string, count int, requestID string) ResponseOwner {
		if id == "" {
			return ThisRequest
		}
		return OwnerOf(id, count, requestID)
	}), "whose"},
}

// The exploration finds each decision that is taken out or inverted.
func TestEachPlantedFaultIsFound(t *testing.T) {
	for _, faults := range [][]plantedFault{classifyFaults, reuseFaults, ownerFaults} {
		for _, f := range faults {
			t.Run(f.name, func(t *testing.T) {
				if found, _, _ := checkRules(f.rules); !strings.Contains(found, f.want) {
					t.Errorf("found %q, want %q", found, f.want)
				}
			})
		}
	}
	if n := len(classifyFaults) + len(reuseFaults) + len(ownerFaults); n != 16 {
		t.Errorf("%d faults are planted, want 16", n)
	}
}

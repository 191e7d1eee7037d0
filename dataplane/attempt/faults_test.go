package attempt

import (
	"net/http"
	"strings"
	"testing"

	"example.org/elmspan/dataplane/balance"
)

// plantedFault is a fault in one decision, and what the exploration must report for it.
type plantedFault struct {
	name  string
	rules Rules
	want  string
}

// withClassifyFault returns rules that change the classification of an attempt.
func withClassifyFault(change func(e Evidence, c *Classification)) Rules {
	rules := DefaultRules()
	rules.Classify = func(e Evidence) Classification {
		c := Classify(e)
		change(e, &c)
		return c
	}
	return rules
}

// withReuseFault returns rules that ignore a field of the evidence in the decision to reuse a
// connection.
func withReuseFault(ignore func(e *Evidence)) Rules {
	rules := DefaultRules()
	rules.Reusable = func(e Evidence) bool {
		ignore(&e)
		return e.Reusable()
	}
	return rules
}

// withOwnerFault returns rules with another decision on the owner of a response.
func withOwnerFault(ownerOf func(id string, count int, requestID string) ResponseOwner) Rules {
	rules := DefaultRules()
	rules.OwnerOf = ownerOf
	return rules
}

// completeAndUnmarked reports whether a response is complete, has the given status and does not
// carry Not-Executed.
func completeAndUnmarked(e Evidence, status int) bool {
	return e.Response == Complete && e.Status == status && !e.NotExecuted
}

// classifyFaults are faults in the classification.
var classifyFaults = []plantedFault{
	{"a reset after bytes were written counts as not sent", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Response == NoResponse {
			*c = Classification{Result: balance.NotSent}
		}
	}), "sent again"},
	{"a missing response counts as not executed", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Response == NoResponse {
			c.MayHaveRun = false
		}
	}), "sent again"},
	{"a partly written request counts as not written", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Written == PartlyWritten {
			*c = Classification{Result: balance.NotSent}
		}
	}), "sent again"},
	{"a 503 without Not-Executed is forwarded", withClassifyFault(func(e Evidence, c *Classification) {
		if completeAndUnmarked(e, http.StatusServiceUnavailable) {
			c.Response = ServerResponse
		}
	}), "503 is returned"},
	{"a 429 without Not-Executed counts as not executed", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Response == Complete && e.Status == http.StatusTooManyRequests {
			*c = Classification{Result: balance.Rejected}
		}
	}), "sent again"},
	{"a 408 without Not-Executed is forwarded", withClassifyFault(func(e Evidence, c *Classification) {
		if completeAndUnmarked(e, http.StatusRequestTimeout) {
			c.Response = ServerResponse
		}
	}), "408 is returned"},
	{"a 500 counts as not executed", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Status == http.StatusInternalServerError {
			c.MayHaveRun, c.Response = false, NoClientResponse
		}
	}), "sent again"},
	{"Not-Executed is ignored", withClassifyFault(func(e Evidence, c *Classification) {
		if e.NotExecuted && c.Result == balance.Rejected {
			c.MayHaveRun = true
		}
	}), "the request was not executed, but it is given up"},
	{"a truncated failure is forwarded", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Response == Truncated && c.Response == BadGateway {
			c.Response = ServerResponse
		}
	}), "an incomplete response is forwarded"},
	{"a success without a seal is forwarded", withClassifyFault(func(e Evidence, c *Classification) {
		if e.Response == Complete && e.Status == http.StatusOK {
			*c = Classification{balance.Success, true, ServerResponse}
		}
	}), "an unsealed success is forwarded"},
}

// reuseFaults are faults in the decision to reuse a connection.
var reuseFaults = []plantedFault{
	{"trailing bytes", withReuseFault(func(e *Evidence) { e.TrailingBytes = 0 }), "connection reused"},
	{"stray responses", withReuseFault(func(e *Evidence) { e.StrayResponses = 0 }), "connection reused"},
	{"Connection: close", withReuseFault(func(e *Evidence) { e.Closes = false }), "connection reused"},
	{"a partly written request", withReuseFault(func(e *Evidence) { e.Written = FullyWritten }), "connection reused"},
}

// ownerFaults are faults in the decision on the owner of a response.
var ownerFaults = []plantedFault{
	{"IDs are not compared", withOwnerFault(func(string, int, string) ResponseOwner {
		return ThisRequest
	}), "wrong response owner"},
	{"a response without an ID is accepted", withOwnerFault(func(id string, count int, requestID string) ResponseOwner {
		if id == "" {
			return ThisRequest
		}
		return OwnerOf(id, count, requestID)
	}), "wrong response owner"},
}

// The exploration detects each decision that is removed or inverted.
func TestEachPlantedFaultIsFound(t *testing.T) {
	for _, faults := range [][]plantedFault{classifyFaults, reuseFaults, ownerFaults} {
		for _, f := range faults {
			t.Run(f.name, func(t *testing.T) {
				if found, _, _ := checkRules(f.rules); !strings.Contains(found, f.want) {
					t.Errorf("fault %q, want %q", found, f.want)
				}
			})
		}
	}
	if n := len(classifyFaults) + len(reuseFaults) + len(ownerFaults); n != 16 {
		t.Errorf("%d planted faults, want 16", n)
	}
}

package attempt

import "testing"

// The minimum that an exploration of the rules must cover.
const (
	minStates = 40
	minSteps  = 10_000
)

// Whatever servers do in up to three attempts, in any order: a non-idempotent request that may have
// been executed is not sent again; statuses 408, 421, 429 and 503 are returned only if the request
// was not executed and can no longer be; a request that was not executed and whose body is still
// available is not given up; and a response is forwarded only if it is complete or its truncation
// is detectable, and a success only if the server sealed it.
func TestRulesHoldInEveryOrderOfEvents(t *testing.T) {
	fault, states, steps := checkRules(DefaultRules())
	if fault != "" {
		t.Error(fault)
	}
	if states < minStates || steps < minSteps {
		t.Errorf("only %d states and %d steps were explored", states, steps)
	}
	t.Logf("%d states, %d steps", states, steps)
}

// Only responses to other requests are skipped, if their length is known and small enough, and no
// more than MaxStrayResponses of them.
func TestOnlyBoundedAnswersToOthersAreSkipped(t *testing.T) {
	for _, owner := range []ResponseOwner{OwnerUnknown, OtherRequest} {
		for count := 1; count <= MaxStrayResponses+1; count++ {
			for _, bounded := range []bool{false, true} {
				want := owner == OtherRequest && bounded && count <= MaxStrayResponses
				if got := ShouldSkip(owner, count, bounded); got != want {
					t.Errorf("owner %d, count %d, bounded %v: skipped %v", owner, count, bounded, got)
				}
			}
		}
	}
}

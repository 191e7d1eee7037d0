package attempt

import "testing"

// The least that an exploration of the rules must cover.
const (
	minStates = 40
	minSteps  = 10_000
)

// Whatever a server does in up to three attempts, in whatever order: a request that must
// not run twice is not sent on when it may have run; 408, 421, 429 and 503 are
// answered only where nothing has run or still can; what has not run is not given up;
// only what is the server's and whole, or ends visibly, is passed on.
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

// Skipped are answers to other requests, of a known end, and only so many.
func TestOnlyBoundedAnswersToOthersAreSkipped(t *testing.T) {
	for _, owner := range []ResponseOwner{OwnerUnknown, OtherRequest} {
		for count := 1; count <= MaxStrayResponses+1; count++ {
			for _, bounded := range []bool{false, true} {
				want := owner == OtherRequest && bounded && count <= MaxStrayResponses
				if got := ShouldSkip(owner, count, bounded); got != want {
					t.Errorf("owner %d, count %d, bounded %v: %v", owner, count, bounded, got)
				}
			}
		}
	}
}

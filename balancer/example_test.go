package balancer_test

import (
	"fmt"

	"example.org/elmspan/balancer"
)

// One limiter, one server, a quota of one unit a second with a store of two.
func Example() {
	l, err := balancer.New(balancer.Settings{
		Balancers: 1,
		Classes:   []balancer.Class{{Idempotency: balancer.Safe, LatencyTargetMs: 300, DeadlineMs: 900, Value: 1}},
		Plans:     []balancer.Plan{{Rate: 1, Burst: 2, Price: 1}},
		Caps:      balancer.Caps{MaxAttempts: 3, RetryAfter: true, MaxRetryAfterMs: 5000},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0 // milliseconds on the host's clock
	l.Handle(now, balancer.Endpoints{Scope: balancer.Complete, Servers: []balancer.ServerInfo{{ID: 9}}})
	for _, id := range []string{"a", "b", "c"} {
		e := balancer.Submit{ID: id, TimeoutMs: 900, Units: 1, Customer: 7, LimiterCount: 1}
		// A slice of actions is valid until the next call of Handle.
		for _, action := range append([]balancer.Action(nil), l.Handle(now, e)...) {
			switch a := action.(type) {
			case balancer.StartAttempt:
				fmt.Printf("%s goes to server %d\n", a.ID, a.Server)
				l.Handle(now, balancer.Outcome{ID: a.ID, Server: a.Server, Result: balancer.Success, LatencyMs: 5,
					Final: true})
			case balancer.Reject:
				fmt.Printf("%s is refused for %.0f ms\n", a.ID, a.RetryAfterMs)
			}
		}
	}
	// Output:
	// a goes to server 9
	// b goes to server 9
	// c is refused for 1000 ms
}

package balancer_test

import (
	"fmt"

	"example.org/elmspan/balancer"
)

// One limiter, one server, and a quota of 1 unit per second with a burst of 2.
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
				fmt.Printf("%s is forwarded to server %d\n", a.ID, a.Server)
				l.Handle(now, balancer.Outcome{ID: a.ID, Server: a.Server, Result: balancer.Success, LatencyMs: 5,
					Final: true})
			case balancer.Reject:
				fmt.Printf("%s is rejected, retry after %.0f ms\n", a.ID, a.RetryAfterMs)
			}
		}
	}
	// Output:
	// a is forwarded to server 9
	// b is forwarded to server 9
	// c is rejected, retry after 1000 ms
}

package simulation

import (
	"fmt"
	"maps"
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/quota"
)

// Elmspan is the gateway's own policy.
const Elmspan = "elmspan"

// Policies names what can be simulated: the gateway's own first.
func Policies() []string {
	return append([]string{Elmspan}, slices.Sorted(maps.Keys(plainChoices))...)
}

// policy decides for one limiter. The gateway's own is [limiter.Limiter]; the
// others are plain ones that it is compared with. Times are in ms on the limiter's clock.
type policy interface {
	SetPlans(now float64, plans map[uint64]quota.Plan)
	SetServers(now float64, list []api.Server)
	SetPeers(now float64, peers []quota.Member)
	Admit(now float64, tenant uint64) (waitMs float64, ok bool)
	TickMs() float64
	Tick(now float64, send func(to uint64, m *gossip.Message))
	Receive(now float64, m *gossip.Message) (known bool)
	GossipRecipients() int
	begin(r limiter.Request) lifecycle
}

// lifecycle decides for one request.
type lifecycle interface {
	// startAttempt chooses a server; it is empty where there is none.
	startAttempt(now float64, hedge bool) (server string, waitMs float64, refused bool)
	attemptEnded(now float64, server string, r balance.Result, ran, answered bool, tookMs float64) limiter.Next
	// attemptCancelled is called where another server answered first.
	attemptCancelled(now float64, server string, tookMs float64)
	finalStatus(now float64) int
	hedgeDelayMs(now float64) (delay float64, allowed bool)
	// overdueAfterMs is the time after which an answer is overdue, where that counts.
	overdueAfterMs(now float64, server string) (delay float64, counts bool)
	markOverdue(now float64, server string)
}

// newPolicy is one limiter's policy of a name.
func newPolicy(name string, cfg limiter.Config) (policy, error) {
	if name == Elmspan {
		return &gatewayPolicy{Limiter: limiter.New(0, cfg)}, nil
	}
	choose := plainChoices[name]
	if choose == nil {
		return nil, fmt.Errorf("simulation: no policy %q; there are %v", name, Policies())
	}
	return newPlainPolicy(choose, cfg.Seed), nil
}

// gatewayPolicy hosts the gateway's decisions.
type gatewayPolicy struct{ *limiter.Limiter }

// Admit checks the quota; the request is charged as it is sent to a server.
func (p *gatewayPolicy) Admit(now float64, tenant uint64) (waitMs float64, ok bool) {
	return p.CheckQuota(now, tenant)
}

func (p *gatewayPolicy) begin(r limiter.Request) lifecycle {
	p.AccrueRetryBudget(r.Service)
	return &gatewayLifecycle{RequestState: p.StartRequest(r), limiter: p.Limiter, members: map[string]*balance.Member{}}
}

// gatewayLifecycle is one request under the gateway's decisions.
type gatewayLifecycle struct {
	*limiter.RequestState
	limiter *limiter.Limiter
	members map[string]*balance.Member // servers that have had an attempt
}

func (c *gatewayLifecycle) startAttempt(now float64, hedge bool) (string, float64, bool) {
	m, wait, refused := c.StartAttempt(now, hedge)
	if m == nil {
		return "", wait, refused
	}
	c.members[m.ID] = m
	return m.ID, 0, false
}

func (c *gatewayLifecycle) attemptEnded(
	now float64, server string, r balance.Result, ran, answered bool, tookMs float64,
) limiter.Next {
	c.limiter.FinishAttempt(now, c.members[server], r, tookMs)
	return c.FinishAttempt(r, ran, answered, false)
}

func (c *gatewayLifecycle) attemptCancelled(now float64, server string, tookMs float64) {
	c.limiter.FinishAttempt(now, c.members[server], balance.HedgeLost, tookMs)
}

func (c *gatewayLifecycle) finalStatus(now float64) int { return c.FinalStatus(now) }

func (c *gatewayLifecycle) hedgeDelayMs(now float64) (float64, bool) { return c.HedgeDelayMs(now) }

func (c *gatewayLifecycle) overdueAfterMs(now float64, server string) (float64, bool) {
	return c.OverdueAfterMs(now, c.members[server])
}

func (c *gatewayLifecycle) markOverdue(now float64, server string) {
	c.limiter.ObserveOverdue(now, c.members[server])
}

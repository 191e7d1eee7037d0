package simulation

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/bucket"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/quota"
)

const (
	plainTickMs       = 100.0
	plainRetryAfterMs = 100.0 // where no server is left
	maxFirstTurn      = 1 << 20
)

// chooseFunc chooses one of the servers of a service. ids is not empty.
type chooseFunc func(p *plainPolicy, service string, ids []string) string

// plainChoices are the policies that the gateway's is compared with, by name.
var plainChoices = map[string]chooseFunc{
	"round-robin":       chooseNext,
	"random":            chooseRandom,
	"least-outstanding": chooseFewestPending,
	"two-choices":       chooseBetterOfTwo,
}

func chooseNext(p *plainPolicy, service string, ids []string) string {
	if _, started := p.turn[service]; !started {
		p.turn[service] = p.rng.IntN(maxFirstTurn) // so that limiters begin at different servers
	}
	p.turn[service]++
	return ids[p.turn[service]%len(ids)]
}

func chooseRandom(p *plainPolicy, _ string, ids []string) string { return ids[p.rng.IntN(len(ids))] }

func chooseFewestPending(p *plainPolicy, _ string, ids []string) string {
	first := p.rng.IntN(len(ids)) // so that equal ones are taken in turn
	best := ids[first]
	for i := range ids {
		if id := ids[(first+i)%len(ids)]; p.pending[id] < p.pending[best] {
			best = id
		}
	}
	return best
}

func chooseBetterOfTwo(p *plainPolicy, _ string, ids []string) string {
	a, b := ids[p.rng.IntN(len(ids))], ids[p.rng.IntN(len(ids))]
	if p.pending[b] < p.pending[a] {
		return b
	}
	return a
}

// plainPolicy chooses servers plainly and has an equal, fixed share of each
// quota. It sends no gossip.
type plainPolicy struct {
	choose   chooseFunc
	rng      *rand.Rand
	limiters int // of the first fleet that it knew of; 0: none yet
	plans    map[uint64]quota.Plan
	buckets  map[uint64]*plainBucket
	servers  map[string][]string // by service
	pending  map[string]int      // attempts of this limiter, by server
	turn     map[string]int      // of round-robin, by service
}

// plainBucket is a token bucket as it was at a time.
type plainBucket struct{ balance, atMs float64 }

func newPlainPolicy(choose chooseFunc, seed uint64) *plainPolicy {
	return &plainPolicy{
		choose:  choose,
		rng:     rand.New(rand.NewPCG(seed, 0x91a1)),
		plans:   map[uint64]quota.Plan{},
		buckets: map[uint64]*plainBucket{},
		servers: map[string][]string{},
		pending: map[string]int{},
		turn:    map[string]int{},
	}
}

// SetPlans sets the plans of all tenants.
func (p *plainPolicy) SetPlans(_ float64, plans map[uint64]quota.Plan) { p.plans = plans }

// Tick sends nothing.
func (p *plainPolicy) Tick(float64, func(uint64, *gossip.Message)) {}

// Receive knows every sender.
func (p *plainPolicy) Receive(float64, *gossip.Message) bool { return true }

// GossipRecipients are the limiters to whom it sends gossip: none.
func (p *plainPolicy) GossipRecipients() int { return 0 }

// TickMs is the time between two ticks.
func (p *plainPolicy) TickMs() float64 { return plainTickMs }

// SetPeers fixes the share at the first fleet that is known.
func (p *plainPolicy) SetPeers(_ float64, peers []quota.Member) {
	if p.limiters == 0 {
		p.limiters = len(peers) + 1
	}
}

// SetServers sets the list of servers. Draining ones get no requests.
func (p *plainPolicy) SetServers(_ float64, list []api.Server) {
	clear(p.servers)
	for _, s := range list {
		if s.State != api.Draining {
			p.servers[s.Upstream] = append(p.servers[s.Upstream], s.ID)
		}
	}
}

// Admit takes a token of this limiter's share of the quota, or returns the time until
// there is one.
func (p *plainPolicy) Admit(now float64, tenant uint64) (float64, bool) {
	plan := p.plans[tenant]
	if plan.Rate <= 0 {
		return 0, true
	}
	n := float64(max(1, p.limiters))
	b := p.buckets[tenant]
	if b == nil {
		b = &plainBucket{max(1, plan.Burst/n), now}
		p.buckets[tenant] = b
	}
	b.balance = bucket.Refill(b.balance, (now-b.atMs)/1000, plan.Rate/n, max(1, plan.Burst/n))
	b.atMs = now
	if b.balance < 1 {
		return 1000 * bucket.Wait(b.balance, 1, plan.Rate/n), false
	}
	b.balance--
	return 0, true
}

func (p *plainPolicy) begin(r limiter.Request) lifecycle {
	return &plainLifecycle{policy: p, request: r}
}

// plainLifecycle is one request under a plain policy.
type plainLifecycle struct {
	policy    *plainPolicy
	request   limiter.Request
	attempted []string // servers that had an attempt
	ran       bool     // it may have run at one of them
}

func (c *plainLifecycle) startAttempt(now float64, hedge bool) (string, float64, bool) {
	if hedge || now >= c.request.DeadlineMs || len(c.attempted) >= max(1, c.request.MaxAttempts) {
		return "", 0, false
	}
	ids := slices.Clone(c.policy.servers[c.request.Service])
	ids = slices.DeleteFunc(ids, func(id string) bool { return slices.Contains(c.attempted, id) })
	if len(ids) == 0 {
		return "", plainRetryAfterMs, len(c.attempted) == 0
	}
	id := c.policy.choose(c.policy, c.request.Service, ids)
	c.attempted = append(c.attempted, id)
	c.policy.pending[id]++
	return id, 0, false
}

func (c *plainLifecycle) attemptEnded(
	_ float64, server string, _ balance.Result, ran, answered bool, _ float64,
) limiter.Next {
	c.policy.pending[server]--
	c.ran = c.ran || ran
	switch {
	case answered:
		return limiter.Deliver
	case c.ran && !c.request.Idempotent:
		return limiter.GiveUp
	}
	return limiter.Retry
}

func (c *plainLifecycle) attemptCancelled(_ float64, server string, _ float64) {
	c.policy.pending[server]--
}

func (c *plainLifecycle) hedgeDelayMs(float64) (float64, bool) { return 0, false }

func (c *plainLifecycle) overdueAfterMs(float64, string) (float64, bool) { return 0, false }

func (c *plainLifecycle) markOverdue(float64, string) {}

func (c *plainLifecycle) finalStatus(now float64) int {
	switch {
	case !c.ran:
		return http.StatusServiceUnavailable
	case now >= c.request.DeadlineMs:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

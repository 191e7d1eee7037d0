package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/bucket"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/quota"
)

// policy decides for one limiter. The gateway's own is [limiter.Limiter]; the
// others are plain ones that it is compared with.
type policy interface {
	SetPlans(now float64, plans map[uint64]quota.Plan)
	SetServers(now float64, list []api.Server)
	SetPeers(now float64, peers []quota.Member)
	Admit(now float64, tenant uint64) (waitMs float64, ok bool)
	TickMs() float64
	Tick(now float64, send func(to uint64, w *gossip.Message))
	Receive(now float64, w *gossip.Message) (known bool)
	GossipRecipients() int
	begin(r limiter.Request) course
}

// course is that of one request.
type course interface {
	launch(now float64, hedge bool) (server string, waitMs float64, refused bool)
	ended(now float64, server string, r balance.Result, ran, answered bool, tookMs float64) limiter.Next
	givenUp(now float64, server string, tookMs float64) // as another server answered first
	status(now float64) int
	hedgeMs() (float64, bool)
	lateMs(now float64, server string) (float64, bool) // after which time an answer is overdue
	overdue(now float64, server string)
}

// Policies names what can be simulated: the gateway's own first.
func Policies() []string { return append([]string{Elmspan}, slices.Sorted(maps.Keys(plain))...) }

// Elmspan is the gateway's own policy.
const Elmspan = "elmspan"

// plain are the choices of the policies that the gateway's is compared with: by
// the candidates and what this limiter has out at each.
var plain = map[string]func(p *plainPolicy, service string, ids []string) string{
	"round-robin": func(p *plainPolicy, service string, ids []string) string {
		if _, begun := p.turn[service]; !begun {
			p.turn[service] = p.rng.IntN(1 << 20) // not all limiters at the same server
		}
		p.turn[service]++
		return ids[p.turn[service]%len(ids)]
	},
	"random": func(p *plainPolicy, _ string, ids []string) string { return ids[p.rng.IntN(len(ids))] },
	"least-outstanding": func(p *plainPolicy, _ string, ids []string) string {
		first := p.rng.IntN(len(ids)) // so that equal ones are taken in turn
		best := ids[first]
		for i := range ids {
			if id := ids[(first+i)%len(ids)]; p.out[id] < p.out[best] {
				best = id
			}
		}
		return best
	},
	"two-choices": func(p *plainPolicy, _ string, ids []string) string {
		a, b := ids[p.rng.IntN(len(ids))], ids[p.rng.IntN(len(ids))]
		if p.out[b] < p.out[a] {
			return b
		}
		return a
	},
}

func newPolicy(name string, cfg limiter.Config) (policy, error) {
	if name == Elmspan {
		return &own{Limiter: limiter.New(0, cfg)}, nil
	}
	choose := plain[name]
	if choose == nil {
		return nil, fmt.Errorf("simulation: no policy %q; there are %v", name, Policies())
	}
	return &plainPolicy{choose: choose, rng: rand.New(rand.NewPCG(cfg.Seed, 0x91a1)), plans: map[uint64]quota.Plan{},
		buckets: map[uint64]*plainBucket{}, servers: map[string][]string{}, out: map[string]int{}, turn: map[string]int{}}, nil
}

// own hosts the gateway's decisions.
type own struct{ *limiter.Limiter }

type ownCourse struct {
	*limiter.RequestState
	l   *limiter.Limiter
	out map[string]*balance.Member
}

func (o *own) begin(r limiter.Request) course {
	o.AccrueRetryBudget(r.Service)
	return &ownCourse{RequestState: o.StartRequest(r), l: o.Limiter, out: map[string]*balance.Member{}}
}

func (c *ownCourse) launch(now float64, hedge bool) (string, float64, bool) {
	m, wait, refused := c.StartAttempt(now, hedge)
	if m == nil {
		return "", wait, refused
	}
	c.out[m.ID] = m
	return m.ID, 0, false
}

func (c *ownCourse) ended(now float64, server string, r balance.Result, ran, answered bool, tookMs float64) limiter.Next {
	c.l.FinishAttempt(now, c.out[server], r, tookMs)
	return c.FinishAttempt(r, ran, answered, false)
}

func (c *ownCourse) givenUp(now float64, server string, tookMs float64) {
	c.l.FinishAttempt(now, c.out[server], balance.HedgeLost, tookMs)
}

func (c *ownCourse) status(now float64) int   { return c.FinalStatus(now) }
func (c *ownCourse) hedgeMs() (float64, bool) { return c.HedgeDelayMs() }

func (c *ownCourse) lateMs(now float64, server string) (float64, bool) {
	return c.OverdueAfterMs(now, c.out[server])
}
func (c *ownCourse) overdue(now float64, server string) { c.l.ObserveOverdue(now, c.out[server]) }

// plainPolicy chooses servers plainly and has an equal, fixed share of each
// quota. It tells nobody anything.
type plainPolicy struct {
	choose   func(p *plainPolicy, service string, ids []string) string
	rng      *rand.Rand
	limiters int
	plans    map[uint64]quota.Plan
	buckets  map[uint64]*plainBucket
	servers  map[string][]string
	out      map[string]int
	turn     map[string]int
}

type plainBucket struct{ balance, at float64 }

func (p *plainPolicy) SetPlans(_ float64, plans map[uint64]quota.Plan) { p.plans = plans }
func (p *plainPolicy) Tick(float64, func(uint64, *gossip.Message))     {}
func (p *plainPolicy) Receive(float64, *gossip.Message) bool           { return true }
func (p *plainPolicy) GossipRecipients() int                           { return 0 }
func (p *plainPolicy) TickMs() float64                                 { return 100 }

// Peers fixes the share at the first fleet that is known.
func (p *plainPolicy) SetPeers(_ float64, peers []quota.Member) {
	if p.limiters == 0 {
		p.limiters = len(peers) + 1
	}
}

func (p *plainPolicy) SetServers(_ float64, list []api.Server) {
	clear(p.servers)
	for _, s := range list {
		if s.State != api.Draining {
			p.servers[s.Upstream] = append(p.servers[s.Upstream], s.ID)
		}
	}
}

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
	b.balance = bucket.Refill(b.balance, (now-b.at)/1000, plan.Rate/n, max(1, plan.Burst/n))
	if b.at = now; b.balance < 1 {
		return 1000 * bucket.Wait(b.balance, 1, plan.Rate/n), false
	}
	b.balance--
	return 0, true
}

type plainCourse struct {
	p     *plainPolicy
	r     limiter.Request
	tried []string
	ran   bool
}

func (p *plainPolicy) begin(r limiter.Request) course { return &plainCourse{p: p, r: r} }

func (c *plainCourse) launch(now float64, hedge bool) (string, float64, bool) {
	if hedge || now >= c.r.DeadlineMs || len(c.tried) >= max(1, c.r.MaxAttempts) {
		return "", 0, false
	}
	ids := slices.DeleteFunc(slices.Clone(c.p.servers[c.r.Service]), func(id string) bool { return slices.Contains(c.tried, id) })
	if len(ids) == 0 {
		return "", 100, len(c.tried) == 0
	}
	id := c.p.choose(c.p, c.r.Service, ids)
	c.tried = append(c.tried, id)
	c.p.out[id]++
	return id, 0, false
}

func (c *plainCourse) ended(_ float64, server string, r balance.Result, ran, answered bool, _ float64) limiter.Next {
	c.p.out[server]--
	c.ran = c.ran || ran
	switch {
	case answered:
		return limiter.Deliver
	case c.ran && !c.r.Idempotent:
		return limiter.GiveUp
	}
	return limiter.Retry
}

func (c *plainCourse) givenUp(_ float64, server string, _ float64) { c.p.out[server]-- }
func (c *plainCourse) hedgeMs() (float64, bool)                    { return 0, false }
func (c *plainCourse) lateMs(float64, string) (float64, bool)      { return 0, false }
func (c *plainCourse) overdue(float64, string)                     {}

func (c *plainCourse) status(now float64) int {
	switch {
	case !c.ran:
		return 503
	case now >= c.r.DeadlineMs:
		return 504
	}
	return 502
}

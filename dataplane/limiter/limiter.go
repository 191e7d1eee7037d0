// Package limiter makes the decisions of one limiter: whether a tenant's quota admits a
// request, which server gets it, whether it may be retried or hedged, when a download may
// use a small link, and what is sent to peers.
//
// It does no I/O, reads no clock and starts no goroutine: the gateway hosts it on sockets,
// the simulation on a clock of its own. Times are milliseconds on the host's steady clock.
// For each request a host calls Admit, AccrueRetryBudget, StartRequest, then the methods of
// [RequestState]; it calls Tick every TickMs.
package limiter

import (
	"maps"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

const (
	// Retries that reach a server come out of a budget: each request adds to it, up to a
	// maximum. The budgets of all limiters together stay within the operator's: below its
	// ratio, and each limiter has its own part of the slack.
	retryBudgetPerRequest = 0.15
	operatorRatioShare    = 0.75 // of the operator's ratio that a request adds at most
	maxRetryBudget        = 10.0
	operatorSlackShare    = 0.6 // of the operator's slack that all limiters use together

	// An idempotent request whose response takes hedgeFactor times the typical time is sent to
	// a second server too, where one is idle and the latency target can still be met.
	hedgeFactor   = 2.6
	hedgeReserve  = 0.5 // of the typical time that must be left until the target
	overdueFactor = 3.0 // times the server's typical time: a missing response counts against it
)

// Config is the identity and the limits of a limiter.
type Config struct {
	Self        uint64 // hash of its name
	Incarnation uint64 // differs for each start of the limiter
	Zone        string
	Seed        uint64
	// The operator's retry budget over all limiters; 0: none is set.
	RetryRatio, RetrySlack float64
	// The window in which the operator's rule counts a tenant's requests, in seconds; 0: 5 s.
	QuotaWindowS float64
	// The machine's link in bytes a second, where downloads can fill it; 0: they can't.
	LinkBytesPerSecond float64
	GossipBudget       gossip.Budget
}

// Limiter holds the decision state of one limiter. It is not safe for concurrent use: the
// host's lock guards it, and the RequestStates that it starts.
type Limiter struct {
	cfg         Config
	quota       *quota.Enforcer
	balance     *balance.Set
	gossip      *gossip.Disseminator
	retryBudget map[string]float64 // retries that may be made, by service
	peers       map[uint64]bool
	started     map[uint64]uint64 // the incarnation of each peer that messages came from
	downloads   downloadScheduler
}

// New returns a limiter that starts now.
func New(now float64, cfg Config) *Limiter {
	self := quota.Member{ID: cfg.Self, Zone: cfg.Zone}
	enforcer := quota.New(now, self)
	enforcer.SetWindow(cfg.QuotaWindowS)
	return &Limiter{
		cfg:         cfg,
		quota:       enforcer,
		balance:     balance.New(cfg.Zone, cfg.Self, cfg.Seed),
		gossip:      gossip.NewDisseminator(now, self, cfg.Incarnation, cfg.GossipBudget),
		retryBudget: map[string]float64{},
		peers:       map[uint64]bool{},
		started:     map[uint64]uint64{},
		downloads:   newDownloadScheduler(cfg.LinkBytesPerSecond / 1000),
	}
}

// SetPlans replaces the quotas of all tenants, by [quota.TenantID].
func (l *Limiter) SetPlans(now float64, plans map[uint64]quota.Plan) { l.quota.SetPlans(now, plans) }

// ChangePlans applies the quotas that a new configuration adds or changes, and removes those
// of tenants that no longer exist.
func (l *Limiter) ChangePlans(now float64, put map[uint64]quota.Plan, removed []uint64) {
	l.quota.ChangePlans(now, put, removed)
}

// ChangeServers puts servers that are new or changed, and removes others by their ids.
func (l *Limiter) ChangeServers(now float64, put []api.Server, removed []string) {
	l.balance.ApplyDelta(now, put, removed)
}

// SetServers replaces the list of servers.
func (l *Limiter) SetServers(now float64, list []api.Server) { l.balance.SetServers(now, list) }

// SetPeers replaces the list of the other limiters. The quota comes first: its grouping level
// decides whom gossip is sent to.
func (l *Limiter) SetPeers(now float64, peers []quota.Member) {
	var zone []uint64
	clear(l.peers)
	for _, p := range peers {
		l.peers[p.ID] = true
		if p.Zone == l.cfg.Zone {
			zone = append(zone, p.ID)
		}
	}
	maps.DeleteFunc(l.started, func(id, _ uint64) bool { return !l.peers[id] })
	l.quota.SetMembers(now, peers)
	l.balance.SetPeers(zone, len(peers) >= gossip.LargeFleetPeers)
	l.gossip.SetPeers(peers, l.quota.Level())
}

// Admit takes one unit of a tenant's quota. If there is none it returns false, and the time
// after which the client should come back.
func (l *Limiter) Admit(now float64, tenant uint64) (waitMs float64, ok bool) {
	return l.quota.Admit(now, tenant)
}

// AccrueRetryBudget adds a request to the retry budget of its service.
func (l *Limiter) AccrueRetryBudget(service string) {
	perRequest, limit := retryBudgetPerRequest, maxRetryBudget
	if l.cfg.RetryRatio > 0 {
		perRequest = min(perRequest, operatorRatioShare*l.cfg.RetryRatio)
	}
	if l.cfg.RetrySlack > 0 {
		limit = max(1, min(limit, operatorSlackShare*l.cfg.RetrySlack/float64(len(l.peers)+1)))
	}
	budget, started := l.retryBudget[service]
	if !started {
		budget = 1 // a limiter that has just started can make up for one server's refusal
	}
	l.retryBudget[service] = min(limit, budget+perRequest)
}

// choose takes a server for an attempt. It returns nil if there is none; waitMs is then the
// time after which the client should come back. A retry of a request that has reached a
// server, or a hedge, comes out of the retry budget.
func (l *Limiter) choose(now float64, r balance.Request, retry bool) (m *balance.Member, waitMs float64) {
	if retry && l.retryBudget[r.Service] < 1 {
		return nil, 0
	}
	m, waitMs = l.balance.Choose(now, r)
	if m == nil {
		return nil, waitMs
	}
	if retry {
		l.retryBudget[r.Service]--
	}
	l.balance.StartAttempt(m)
	return m, 0
}

// FinishAttempt notes how an attempt at a server ended.
func (l *Limiter) FinishAttempt(now float64, m *balance.Member, r balance.Result, tookMs float64) {
	l.balance.FinishAttempt(now, m, r, tookMs)
}

// UnreachableZones lists the zones whose servers are not chosen.
func (l *Limiter) UnreachableZones(now float64) []string { return l.balance.UnreachableZones(now) }

// ObserveOverdue notes that a response of a server is missing for longer than usual.
func (l *Limiter) ObserveOverdue(now float64, m *balance.Member) { l.balance.ObserveOverdue(now, m) }

// hedgeMs is the time after which a request with a latency target (0: none) is sent to a
// second server too; false: it is not.
func (l *Limiter) hedgeMs(service string, targetMs float64) (float64, bool) {
	typical := l.balance.TypicalMs(service)
	wait := hedgeFactor * typical
	return wait, typical > 0 && (targetMs == 0 || wait+hedgeReserve*typical < targetMs)
}

// Tick hands out the gossip messages that are due. The host calls it every [Limiter.TickMs].
func (l *Limiter) Tick(now float64, send func(to uint64, m *gossip.Message)) {
	l.gossip.Tick(now, l.quota, l.balance, send)
}

// TickMs is how often the host is to call [Limiter.Tick].
func (l *Limiter) TickMs() float64 { return l.gossip.TickMs() }

// Receive takes in a gossip message. It returns false, and ignores the message, if the sender
// is not a known peer.
func (l *Limiter) Receive(now float64, m *gossip.Message) (known bool) {
	if !l.peers[m.From] {
		return false
	}
	if l.started[m.From] != m.Incarnation {
		l.started[m.From] = m.Incarnation
		l.gossip.RecordPeerStart(now, m.From, m.AgeMs)
	}
	if m.GroupDigest.Level > 0 {
		l.quota.ReceiveDigest(now, m.From, m.Incarnation, m.AgeMs, m.GroupDigest)
	} else {
		l.quota.ReceiveUsage(now, m.From, m.Incarnation, m.AgeMs, m.LiveSet, m.Consumed)
	}
	l.balance.ReceiveHints(now, m.From, m.Hints)
	l.balance.ReceiveDemand(m.From, m.Demand)
	return true
}

// QuotaShare is the share of each quota that this limiter may use, from 0 to 1.
func (l *Limiter) QuotaShare(now float64) float64 { return l.quota.Share(now) }

// QuotaCounters returns what has been decided on quotas since the start.
func (l *Limiter) QuotaCounters() quota.Counters { return l.quota.Counters() }

// GossipLatenessMs is how late the latest of the last messages of live peers came, beyond the time of the quickest.
func (l *Limiter) GossipLatenessMs(now float64) float64 { return l.quota.LatenessMs(now) }

// ReportStaleConnection has peers notified that a server had closed an idle connection of an age
// group of connpool without notice: requests that must not run twice then avoid such ones.
func (l *Limiter) ReportStaleConnection(now float64, age int) {
	l.gossip.ReportStaleConnection(now, age)
}

// PeerCount is the number of other limiters.
func (l *Limiter) PeerCount() int { return len(l.peers) }

// GossipRecipients is the number of peers that this limiter sends gossip to.
func (l *Limiter) GossipRecipients() int { return l.gossip.Recipients() }

// Members returns the servers of all services, by id.
func (l *Limiter) Members() []*balance.Member { return l.balance.Members() }

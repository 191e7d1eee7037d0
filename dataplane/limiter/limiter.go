// Package limiter implements the decisions of one limiter: whether a tenant's quota admits a
// request, which server receives it, whether it may be retried or hedged, when a download may
// use a slow link, and which gossip is sent to peers.
//
// It does no I/O, reads no clock and starts no goroutines, so that the gateway can run it on
// sockets and the simulation on simulated time. Times are in milliseconds on the host's monotonic
// clock. For each request, a host calls CheckQuota, AccrueRetryBudget, StartRequest, and then the
// methods of [RequestState]. It calls Tick every TickMs.
package limiter

import (
	"maps"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

const (
	// Hedges, and retries of requests that have reached a server, are charged to the retry budget of
	// the service. Each request adds to that budget, up to a maximum. The budgets of all limiters
	// together stay within the operator's budget: each limiter adds less than the operator's ratio
	// and has a fraction of the operator's slack.
	retryBudgetPerRequest = 0.15
	operatorRatioShare    = 0.75 // maximum that a request adds, as a fraction of the operator's ratio
	maxRetryBudget        = 10.0
	operatorSlackShare    = 0.6 // fraction of the operator's slack that all limiters use together

	// An idempotent request whose response takes hedgeFactor times the typical time is also sent to
	// a second server, if one is idle and can still answer before the caller gives up. Smaller: a lost
	// answer is made up for sooner. Larger: fewer requests run twice that were only slow.
	hedgeFactor   = 2.6
	overdueFactor = 3.0 // multiple of the server's typical time after which a missing response counts against it
)

// Config holds the identity and the limits of a limiter.
type Config struct {
	Self        uint64 // hash of the limiter's name
	Incarnation uint64 // differs for each start of the limiter
	Zone        string
	Seed        uint64
	// The operator's retry budget for all limiters together; 0: not set.
	RetryRatio, RetrySlack float64
	// The window over which the operator's rule counts a tenant's requests, in seconds; 0: 5 s.
	QuotaWindowS float64
	// The requests that the operator's rule allows any tenant beyond its quota in a window; 0: 20.
	QuotaSlack float64
	// Bandwidth of the machine's link if downloads can saturate it; 0: they cannot.
	LinkBytesPerSecond float64
	GossipBudget       gossip.Budget
}

// Limiter holds the decision state of one limiter. It is not safe for concurrent use: the host
// must guard it and its RequestStates with one lock.
type Limiter struct {
	cfg              Config
	quota            *quota.Enforcer
	balance          *balance.Set
	gossip           *gossip.Disseminator
	retryBudget      map[string]float64 // available retries, by service
	peers            map[uint64]bool
	peerIncarnations map[uint64]uint64 // last incarnation seen of each peer that has sent messages
	downloads        downloadScheduler
}

// New returns a limiter that starts now.
func New(now float64, cfg Config) *Limiter {
	self := quota.Member{ID: cfg.Self, Zone: cfg.Zone}
	enforcer := quota.New(now, self)
	enforcer.SetRule(cfg.QuotaWindowS, cfg.QuotaSlack)
	return &Limiter{
		cfg:              cfg,
		quota:            enforcer,
		balance:          balance.New(cfg.Zone, cfg.Self, cfg.Seed),
		gossip:           gossip.NewDisseminator(now, self, cfg.Incarnation, cfg.GossipBudget),
		retryBudget:      map[string]float64{},
		peers:            map[uint64]bool{},
		peerIncarnations: map[uint64]uint64{},
		downloads:        newDownloadScheduler(cfg.LinkBytesPerSecond / 1000),
	}
}

// SetPlans replaces the quotas of all tenants, keyed by [quota.TenantID].
func (l *Limiter) SetPlans(now float64, plans map[uint64]quota.Plan) { l.quota.SetPlans(now, plans) }

// ChangePlans applies the quotas that a new configuration adds or changes, and removes those of
// deleted tenants.
func (l *Limiter) ChangePlans(now float64, put map[uint64]quota.Plan, removed []uint64) {
	l.quota.ChangePlans(now, put, removed)
}

// ChangeServers adds or updates servers, and removes others by their ids.
func (l *Limiter) ChangeServers(now float64, put []api.Server, removed []string) {
	l.balance.ApplyDelta(now, put, removed)
}

// SetServers replaces the list of servers.
func (l *Limiter) SetServers(now float64, list []api.Server) { l.balance.SetServers(now, list) }

// SetPeers replaces the list of the other limiters.
func (l *Limiter) SetPeers(now float64, peers []quota.Member) {
	var zonePeers []uint64
	clear(l.peers)
	for _, p := range peers {
		l.peers[p.ID] = true
		if p.Zone == l.cfg.Zone {
			zonePeers = append(zonePeers, p.ID)
		}
	}
	maps.DeleteFunc(l.peerIncarnations, func(id, _ uint64) bool { return !l.peers[id] })
	l.quota.SetMembers(now, peers)
	l.balance.SetPeers(zonePeers, len(peers) >= gossip.LargeFleetPeers)
	l.gossip.SetPeers(peers, l.quota.Level()) // after quota.SetMembers, which sets the level
}

// Admit checks and charges a tenant's quota in one step, for hosts that forward nothing.
func (l *Limiter) Admit(now float64, tenant uint64) (retryAfterMs float64, ok bool) {
	return l.quota.Admit(now, tenant)
}

// CheckQuota reports whether a tenant's quota has a unit for a request. If not, the client should
// retry after retryAfterMs. The unit is taken when the request is first sent to a server.
func (l *Limiter) CheckQuota(now float64, tenant uint64) (retryAfterMs float64, ok bool) {
	return l.quota.Check(now, tenant)
}

// AccrueRetryBudget adds to the retry budget of a service what one request contributes.
func (l *Limiter) AccrueRetryBudget(service string) {
	perRequest, limit := retryBudgetPerRequest, maxRetryBudget
	if l.cfg.RetryRatio > 0 {
		perRequest = min(perRequest, operatorRatioShare*l.cfg.RetryRatio)
	}
	if l.cfg.RetrySlack > 0 {
		limit = max(1, min(limit, operatorSlackShare*l.cfg.RetrySlack/float64(len(l.peers)+1)))
	}
	budget, found := l.retryBudget[service]
	if !found {
		budget = 1 // a limiter that has just started can retry once after a server's rejection
	}
	l.retryBudget[service] = min(limit, budget+perRequest)
}

// choose selects a server for an attempt. If retry is set, the attempt is charged to the retry
// budget. It returns nil if no server is available, and the client should then retry after
// retryAfterMs, or if the retry budget is exhausted.
func (l *Limiter) choose(now float64, r balance.Request, retry bool) (m *balance.Member, retryAfterMs float64) {
	if retry && l.retryBudget[r.Service] < 1 {
		return nil, 0
	}
	m, retryAfterMs = l.balance.Choose(now, r)
	if m == nil {
		return nil, retryAfterMs
	}
	if retry {
		l.retryBudget[r.Service]--
	}
	l.balance.StartAttempt(m)
	return m, 0
}

// FinishAttempt records the outcome of an attempt at a server.
func (l *Limiter) FinishAttempt(now float64, m *balance.Member, r balance.Result, tookMs float64) {
	l.balance.FinishAttempt(now, m, r, tookMs)
}

// UnreachableZones returns the zones whose servers are not selected.
func (l *Limiter) UnreachableZones(now float64) []string { return l.balance.UnreachableZones(now) }

// ObserveOverdue records that a response of a server is overdue, see
// [RequestState.OverdueAfterMs].
func (l *Limiter) ObserveOverdue(now float64, m *balance.Member) { l.balance.ObserveOverdue(now, m) }

// ResponseMs returns the time within which most responses of a service come, or 0 if there was none
// yet.
func (l *Limiter) ResponseMs(service string) float64 { return l.balance.ResponseMs(service) }

// hedgeDelayMs returns the time after which a request whose caller gives up in remainingMs is also
// sent to a second server. It returns false if the request is not hedged.
func (l *Limiter) hedgeDelayMs(service string, remainingMs float64) (float64, bool) {
	typical := l.balance.TypicalLatencyMs(service)
	wait := hedgeFactor * typical
	return wait, typical > 0 && wait+typical < remainingMs
}

// Tick calls send for each gossip message that is due. The host must call it every
// [Limiter.TickMs].
func (l *Limiter) Tick(now float64, send func(to uint64, m *gossip.Message)) {
	l.gossip.Tick(now, l.quota, l.balance, send)
}

// TickMs returns the interval in milliseconds at which the host must call [Limiter.Tick].
func (l *Limiter) TickMs() float64 { return l.gossip.TickMs() }

// Receive processes a gossip message. It ignores the message and returns false if the sender is
// not a known peer.
func (l *Limiter) Receive(now float64, m *gossip.Message) (known bool) {
	if !l.peers[m.From] {
		return false
	}
	if l.peerIncarnations[m.From] != m.Incarnation {
		l.peerIncarnations[m.From] = m.Incarnation
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

// QuotaShare returns the share of each quota that this limiter may use, from 0 to 1.
func (l *Limiter) QuotaShare(now float64) float64 { return l.quota.Share(now) }

// QuotaCounters returns counts of the quota decisions since the start.
func (l *Limiter) QuotaCounters() quota.Counters { return l.quota.Counters() }

// GossipLatenessMs returns the maximum delay among the last messages of the live peers in this
// limiter's group, where the delay of a message is relative to the fastest message of the same peer.
func (l *Limiter) GossipLatenessMs(now float64) float64 { return l.quota.LatenessMs(now) }

// ReportStaleConnection notifies peers that a server had closed an idle connection without notice.
// idleGroup is its connpool idle group; requests that must not run twice then avoid connections
// that have been idle for at least as long.
func (l *Limiter) ReportStaleConnection(now float64, idleGroup int) {
	l.gossip.ReportStaleConnection(now, idleGroup)
}

// PeerCount returns the number of other limiters.
func (l *Limiter) PeerCount() int { return len(l.peers) }

// GossipRecipients returns the number of peers that this limiter sends gossip to.
func (l *Limiter) GossipRecipients() int { return l.gossip.Recipients() }

// Members returns the servers of all services, sorted by id.
func (l *Limiter) Members() []*balance.Member { return l.balance.Members() }

// Package limiter holds the decisions of one limiter: whether a tenant's quota
// lets a request through, which server gets it, whether a further try may be
// made, and what other limiters are told. It does no I/O, reads no clock and
// starts no goroutine: the gateway hosts it on sockets, the simulation on a
// clock of its own. Times are in milliseconds on the host's steady clock.
package limiter

import (
	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

const (
	// Further tries that reach a server are saved up for: so many for each request, up
	// to a most. All limiters' shares together stay within the operator's budget: below
	// its ratio, and each saves up its part of the slack alone.
	retryShare = 0.15
	retryPart  = 0.75 // of the operator's ratio
	retryMost  = 10.0
	slackPart  = 0.6 // of the operator's slack

	// A repeatable request whose answer takes hedgeAfter times the typical one is sent
	// to a second server too, where one is free and the aim can still be met.
	hedgeAfter = 2.6
	hedgeRoom  = 0.5 // of the typical time must be left to the aim
	lateAfter  = 3.0 // times what is typical of a server: it speaks against it
)

// Config is what a limiter is.
type Config struct {
	Self        uint64 // hash of its name
	Incarnation uint64 // this start of it
	Zone        string
	Seed        uint64
	// The operator's budget of further tries over all limiters; 0: none is set.
	RetryRatio, RetrySlack float64
	// The machine's link in bytes a second, where long answers can fill it; 0: they can't.
	LinkBytesPerSecond float64
	GossipBudget       gossip.Budget
}

// Limiter is one limiter. It is not safe for concurrent use.
type Limiter struct {
	cfg         Config
	quota       *quota.Enforcer
	balance     *balance.Set
	gossip      *gossip.Disseminator
	retryBudget map[string]float64 // further tries saved up, by service
	peers       map[uint64]bool
	downloads   downloadScheduler
}

// New returns a limiter that starts now.
func New(now float64, cfg Config) *Limiter {
	self := quota.Member{ID: cfg.Self, Zone: cfg.Zone}
	return &Limiter{cfg: cfg, quota: quota.New(now, self), balance: balance.New(cfg.Zone, cfg.Self, cfg.Seed),
		gossip: gossip.NewDisseminator(self, cfg.Incarnation, cfg.GossipBudget), retryBudget: map[string]float64{}, peers: map[uint64]bool{},
		downloads: newDownloadScheduler(cfg.LinkBytesPerSecond / 1000)}
}

// SetPlans replaces the tenants' quotas of a configuration, by the hashes of their names.
func (l *Limiter) SetPlans(now float64, plans map[uint64]quota.Plan) { l.quota.SetPlans(now, plans) }

// ChangePlans takes over the quotas that a new configuration changes.
func (l *Limiter) ChangePlans(now float64, put map[uint64]quota.Plan, gone []uint64) {
	l.quota.ChangePlans(now, put, gone)
}

// ChangeServers takes over servers that are new or not as they were, and which are gone.
func (l *Limiter) ChangeServers(now float64, put []api.Server, gone []string) {
	l.balance.ApplyDelta(now, put, gone)
}

// SetServers replaces a whole list of servers.
func (l *Limiter) SetServers(now float64, list []api.Server) { l.balance.SetServers(now, list) }

// SetPeers replaces which other limiters there are.
func (l *Limiter) SetPeers(now float64, peers []quota.Member) {
	var zone []uint64
	clear(l.peers)
	for _, p := range peers {
		l.peers[p.ID] = true
		if p.Zone == l.cfg.Zone {
			zone = append(zone, p.ID)
		}
	}
	l.quota.SetMembers(now, peers)
	l.balance.SetPeers(zone, len(peers) >= gossip.LargeFleetPeers)
	l.gossip.SetPeers(peers, l.quota.Level())
}

// Admit takes one unit of a tenant's quota, or tells when to come back.
func (l *Limiter) Admit(now float64, tenant uint64) (waitMs float64, ok bool) {
	return l.quota.Admit(now, tenant)
}

// AccrueRetryBudget counts a request to a service toward the further tries that may be made.
func (l *Limiter) AccrueRetryBudget(service string) {
	share, most := retryShare, retryMost
	if l.cfg.RetryRatio > 0 {
		share = min(share, retryPart*l.cfg.RetryRatio)
	}
	if l.cfg.RetrySlack > 0 {
		most = max(1, min(most, slackPart*l.cfg.RetrySlack/float64(len(l.peers)+1)))
	}
	saved, begun := l.retryBudget[service]
	if !begun {
		saved = 1 // one that has just started can make up for one server's refusal
	}
	l.retryBudget[service] = min(most, saved+share)
}

// choose takes a server for a request, nil where none will do: waitMs is then
// when to come back. A further try, of what has reached a server before, comes
// out of what was saved up.
func (l *Limiter) choose(now float64, r balance.Request, further bool) (m *balance.Member, waitMs float64) {
	if further && l.retryBudget[r.Service] < 1 {
		return nil, 0
	}
	m, waitMs = l.balance.Choose(now, r)
	if m == nil {
		return nil, waitMs
	}
	if further {
		l.retryBudget[r.Service]--
	}
	l.balance.StartAttempt(m)
	return m, 0
}

// FinishAttempt notes how a try ended.
func (l *Limiter) FinishAttempt(now float64, m *balance.Member, r balance.Result, tookMs float64) {
	l.balance.FinishAttempt(now, m, r, tookMs)
}

// UnreachableZones lists the zones whose servers are passed over.
func (l *Limiter) UnreachableZones(now float64) []string { return l.balance.UnreachableZones(now) }

// ObserveOverdue notes that a server owes an answer for longer than is usual.
func (l *Limiter) ObserveOverdue(now float64, m *balance.Member) { l.balance.ObserveOverdue(now, m) }

// hedgeMs is after what time a second server is tried beside the first, for a
// request with an aim (0: none); false where that is of no use.
func (l *Limiter) hedgeMs(service string, aimMs float64) (float64, bool) {
	typical := l.balance.TypicalMs(service)
	wait := hedgeAfter * typical
	return wait, typical > 0 && (aimMs == 0 || wait+hedgeRoom*typical < aimMs)
}

// Tick hands out the words to other limiters that are due. The host calls it
// every [Limiter.TickMs].
func (l *Limiter) Tick(now float64, send func(to uint64, w *gossip.Message)) {
	l.gossip.Tick(now, l.quota, l.balance, send)
}

// TickMs is how often the host is to call [Limiter.Tick].
func (l *Limiter) TickMs() float64 { return l.gossip.TickMs() }

// Receive takes in a word of another limiter. A stranger's is passed over: false.
func (l *Limiter) Receive(now float64, w *gossip.Message) (known bool) {
	if !l.peers[w.From] {
		return false
	}
	if w.GroupDigest.Level > 0 {
		l.quota.ReceiveDigest(now, w.From, w.Incarnation, w.AgeMs, w.GroupDigest)
	} else {
		l.quota.ReceiveUsage(now, w.From, w.Incarnation, w.AgeMs, w.LiveSet, w.Consumed)
	}
	l.balance.ReceiveHints(now, w.From, w.Hints)
	l.balance.ReceiveDemand(w.From, w.Demand)
	return true
}

// QuotaShare is the share of the quotas that this limiter may use.
func (l *Limiter) QuotaShare(now float64) float64 { return l.quota.Share(now) }

// ReportStaleConnection has others told that a server had forgotten a connection of an age
// (connpool's group): requests that must not run twice then avoid such ones.
func (l *Limiter) ReportStaleConnection(now float64, age int) {
	l.gossip.ReportStaleConnection(now, age)
}

// PeerCount is how many other limiters there are; Targets how many of them are told something.
func (l *Limiter) PeerCount() int { return len(l.peers) }

// GossipRecipients is how many of the others this limiter sends words.
func (l *Limiter) GossipRecipients() int { return l.gossip.Recipients() }

// Members returns the servers of all services, by id.
func (l *Limiter) Members() []*balance.Member { return l.balance.Members() }

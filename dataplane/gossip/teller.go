package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// How often words go out, in milliseconds. The host calls [Disseminator.Tick] every
// [Disseminator.TickMs].
const (
	TickMs  = 6.0   // between two words to limiters of the zone ...
	otherMs = 30.0  // ... to others about servers of theirs ...
	farMs   = 150.0 // ... and about those that are of neither
	aliveMs = 150.0 // a third of quota.LivenessTimeoutMs: two words in a row may be lost

	// In a large fleet there is more to tell than a small link should carry: words go
	// out within a budget, those first that are due longest. Hints, which are levels,
	// so come more seldom; what holds quotas is never put off.
	manyTickMs  = 20.0
	soonMs      = 50.0  // failures of servers, and tenants that have little left
	secondMs    = 900.0 // units, by the second of two that tell them
	shareMs     = 35.0  // what is out at servers, to those that share some
	manyAliveMs = 230.0 // a third of quota.GroupedLivenessTimeoutMs
	mostAhead   = 200.0 // of the budget may be saved up

	// In a vast one ([quota.VeryLargeFleetPeers]) a word's head would be most of what is sent. There,
	// news goes with the words that tell that a limiter is alive, of which two may be
	// lost, unless a quota needs it sooner ([quota.Usage.DueWithinMs]).
	vastShareMs  = 150.0
	vastDemandMs = 500.0 // servers are dealt out anew so often

	// notable answers are told of in a large fleet: failures, and those that took so
	// many sixteenths of the typical time. What is out at servers is not told there:
	// a load that is told late is worse than none, as all who hear of an idle server
	// take it (docs/decisions/0005).
	notable = 20

	// LargeFleetPeers is how many other limiters get hints wherever they are. Where there
	// are as many or more, those of other zones get none ...
	LargeFleetPeers = 24
	hintedAlong     = balance.NeighborReach // ... and in the zone so many on each side of this one, by their ids

	wordOverhead = 28 // bytes of IP and UDP

	forgotMs = 1000.0 // forgotten connections are told of for so long
)

// Budget bounds what a limiter of a large fleet sends; 0 is no bound. What must
// be told goes out all the same, and is paid back.
type Budget struct{ BytesPerS, MessagesPerS float64 }

// Disseminator says whom a limiter tells what, and when.
type Disseminator struct {
	self     quota.Member
	life     uint64
	targets  []*target // by id
	spent    []quota.Usage
	digest   []quota.Usage
	hints    []balance.Hint
	told     []quota.Usage
	demand   []balance.Demand
	word     Message
	budget   Budget
	many     bool
	vast     bool
	forgot   uint8   // age of connections that servers had forgotten ...
	forgotTo float64 // ... told until then
	at       float64 // of the last tick
	ahead    float64 // ms of the budget that are saved up; below 0: owed
	due      []*target
}

// target is a limiter that is told something, and what it was not told yet.
type target struct {
	quota.Member
	near   bool // in the zone
	member bool // of this limiter's group: is told of its own units
	across bool // is told of its group's
	second bool // ... by another one as well, so that this one tells it seldom
	hinted bool

	hints  []balance.Hint // by server
	theirs bool           // some of them are about servers of its zone
	within float64        // some of due are of tenants that have little left: told so soon; 0: none
	failed bool           // some of hints are failures
	due    []quota.Usage  // units by tenant: this limiter's or its group's
	sent   float64
	toldAt float64 // of a second: units were told
	demand float64 // when demand was told
	must   bool    // is told now whatever the budget
}

// NewDisseminator returns the teller of one start of a limiter.
func NewDisseminator(self quota.Member, life uint64, b Budget) *Disseminator {
	return &Disseminator{self: self, life: life, budget: b}
}

// TickMs is how often the host is to call [Disseminator.Tick].
func (t *Disseminator) TickMs() float64 {
	if t.many {
		return manyTickMs
	}
	return TickMs
}

// SetPeers says which other limiters there are, and at what level they form groups
// ([quota.Enforcer.Level]).
func (t *Disseminator) SetPeers(peers []quota.Member, level quota.GroupingLevel) {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b quota.Member) int { return cmp.Compare(a.ID, b.ID) })
	t.many, t.vast = len(peers) >= LargeFleetPeers, len(peers) >= quota.VeryLargeFleetPeers
	across := t.across(peers, level)
	along := t.along(peers)
	had := map[uint64]*target{}
	for _, x := range t.targets {
		had[x.ID] = x
	}
	t.targets = t.targets[:0]
	own := level.Group(t.self)
	for _, p := range peers {
		near := p.Zone == t.self.Zone
		x := target{Member: p, near: near, member: level.Group(p) == own, across: across[p.ID] > 0, second: across[p.ID] > 1,
			hinted: len(peers) < LargeFleetPeers || near && along[p.ID]}
		if !x.member && !x.across && !x.hinted {
			continue
		}
		if o := had[p.ID]; o != nil {
			x.sent, x.toldAt, x.demand = o.sent, o.toldAt, o.demand
			if o.member == x.member { // what was to be told is of the same kind
				x.due, x.hints = o.due, o.hints
			}
		}
		t.targets = append(t.targets, &x)
	}
}

// across names the limiters of other groups that this one tells of its group: each
// of them is told by the two of the group whose names, with its own, hash highest.
// So one that comes or goes changes who tells for few. Of the two one is the first,
// whose words count while it speaks: 1; the other has 2.
func (t *Disseminator) across(peers []quota.Member, level quota.GroupingLevel) map[uint64]int {
	out := map[uint64]int{}
	own := level.Group(t.self)
	var mates, others []uint64
	for _, p := range peers {
		if level.Group(p) == own {
			mates = append(mates, p.ID)
		} else {
			others = append(others, p.ID)
		}
	}
	for _, id := range others {
		place, mine := 1, rank(t.self.ID, id)
		for _, mate := range mates {
			if r := rank(mate, id); r > mine || r == mine && mate > t.self.ID {
				if place++; place > 2 {
					break
				}
			}
		}
		if place <= 2 {
			out[id] = place
		}
	}
	return out
}

// rank is a limiter's claim to tell another one of its group.
func rank(teller, told uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], teller)
	binary.BigEndian.PutUint64(b[8:], told)
	return xxhash.Sum64(b[:])
}

// along names the limiters of the zone that are next to this one.
func (t *Disseminator) along(peers []quota.Member) map[uint64]bool {
	ring := []uint64{t.self.ID}
	for _, p := range peers {
		if p.Zone == t.self.Zone {
			ring = append(ring, p.ID)
		}
	}
	slices.Sort(ring)
	at, out := slices.Index(ring, t.self.ID), map[uint64]bool{}
	for d := 1; d <= hintedAlong && d < len(ring); d++ {
		out[ring[(at+d)%len(ring)]] = true
		out[ring[(at-d+len(ring))%len(ring)]] = true
	}
	return out
}

// Recipients is how many limiters this one tells something.
func (t *Disseminator) Recipients() int { return len(t.targets) }

// ReportStaleConnection has others told that a server had forgotten a connection of an age.
func (t *Disseminator) ReportStaleConnection(now float64, age int) {
	if t.forgot == 0 || now > t.forgotTo || uint8(age) < t.forgot {
		t.forgot = uint8(age)
	}
	t.forgotTo = now + forgotMs
}

// Tick hands out the words that are due. A word is valid until send returns.
func (t *Disseminator) Tick(now float64, q *quota.Enforcer, b *balance.Set, send func(to uint64, w *Message)) {
	t.spent = q.ReportUsage(now, t.spent[:0])
	t.hints = b.DrainHints(t.hints[:0])
	b.UpdateSubsets(now)
	t.demand = b.Demands(now, t.demand[:0])
	digest := quota.Digest{}
	if q.Level() > 0 {
		digest = q.ReportDigest(now, t.digest[:0])
		t.digest = digest.Consumed
	}
	set := q.LiveSet(now)
	changed := set != t.word.HeardPeers // told at once: who shares parts depends on it
	t.word.HeardPeers = set
	if now > t.forgotTo {
		t.forgot = 0
	}
	changed = changed || t.forgot != 0 && t.word.StaleAge == 0 // a filing each may be lost until it is known
	t.word.StaleAge = t.forgot
	for _, x := range t.targets {
		if x.hinted || t.many && x.near && x.member {
			for _, h := range t.hints {
				if !x.hinted {
					if h.Latency < notable {
						continue
					}
					h.InFlight = balance.InFlightUnknown
				}
				x.hint(h)
				x.theirs = x.theirs || b.ZoneOf(h.Server) == x.Zone
			}
		}
		switch {
		case x.member:
			x.owe(t.spent)
		case x.across:
			x.owe(digest.Consumed)
			if x.second {
				x.within = 0
			}
		}
		since, alive := now-x.sent, x.member || x.across
		x.must = alive && (since >= t.aliveMs() || changed || x.within > 0 && since >= max(x.within, manyAliveMs))
		if x.must || len(x.hints)+len(x.due) > 0 && since >= t.pause(x) {
			t.due = append(t.due, x)
		}
	}
	t.spend(now, digest, send)
}

// pause is how seldom a target is told what there is to tell it.
func (t *Disseminator) pause(x *target) float64 {
	switch {
	case t.vast:
		return t.vastPause(x)
	case t.many && x.hinted && len(x.hints) > 0:
		return shareMs
	case t.many && (x.failed || x.within > 0):
		return soonMs
	case t.many:
		return manyAliveMs
	case x.near && (len(x.hints) > 0 || x.member):
		return 0
	case x.theirs, len(x.due) > 0:
		return otherMs
	}
	return farMs
}

// vastPause is the shortest that any of what there is to tell asks for: what a quota
// needs must not wait for loads.
func (t *Disseminator) vastPause(x *target) float64 {
	pause := manyAliveMs
	if x.hinted && len(x.hints) > 0 {
		pause = vastShareMs
	}
	if x.failed {
		pause = min(pause, soonMs)
	}
	if x.within > 0 {
		pause = min(pause, x.within)
	}
	return pause
}

func (t *Disseminator) aliveMs() float64 {
	if t.many {
		return manyAliveMs
	}
	return aliveMs
}

// spend sends the words that are due, as far as the budget goes: first those that
// must go out, then those that wait longest.
func (t *Disseminator) spend(now float64, d quota.Digest, send func(to uint64, w *Message)) {
	bounded := t.many && t.budget.BytesPerS > 0 && t.budget.MessagesPerS > 0
	t.ahead, t.at = min(mostAhead, t.ahead+now-t.at), now
	if bounded {
		slices.SortStableFunc(t.due, func(a, b *target) int {
			if a.must != b.must {
				if a.must {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.sent, b.sent)
		})
	}
	for _, x := range t.due {
		if bounded && !x.must && t.ahead < 0 {
			break
		}
		x.sent, x.theirs, x.within, x.failed = now, false, 0, false
		w := t.fill(now, x, d)
		if bounded {
			t.ahead -= 1000 * max(1/t.budget.MessagesPerS, float64(w.EstimatedSize()+wordOverhead)/t.budget.BytesPerS)
		}
		send(x.ID, w)
	}
	t.due = t.due[:0]
}

// fill takes what a target is to be told into the word; what has no room waits.
func (t *Disseminator) fill(now float64, x *target, d quota.Digest) *Message {
	w := &t.word
	w.From, w.Incarnation, w.AgeMs = t.self.ID, t.life, now
	n := min(len(x.hints), mostHints)
	w.Hints = append(w.Hints[:0], x.hints[:n]...)
	x.hints = slices.Delete(x.hints, 0, n)
	w.Demand = w.Demand[:0]
	if x.near && (!t.vast || now-x.demand >= vastDemandMs) {
		w.Demand = append(w.Demand, t.demand...)
		x.demand = now
	}
	n = min(len(x.due), mostTold)
	if x.second && now-x.toldAt < secondMs {
		n = 0
	} else if x.second {
		x.toldAt = now
	}
	t.told = append(t.told[:0], x.due[:n]...)
	x.due = slices.Delete(x.due, 0, n)
	if x.across {
		w.Consumed, w.GroupDigest = nil, d
		w.GroupDigest.First, w.GroupDigest.Consumed = !x.second, t.told
	} else {
		w.Consumed, w.GroupDigest = t.told, quota.Digest{}
	}
	return w
}

// hint has a target told of a server: the newest load, and the last answer.
func (x *target) hint(h balance.Hint) {
	x.failed = x.failed || h.Latency == balance.LatencyFailed
	i, had := slices.BinarySearchFunc(x.hints, h, func(a, b balance.Hint) int { return cmp.Compare(a.Server, b.Server) })
	if !had {
		x.hints = slices.Insert(x.hints, i, h)
		return
	}
	if h.Latency == 0 {
		h.Latency = x.hints[i].Latency
	}
	x.hints[i] = h
}

// owe has a target told of units: cumulative, so the newest figure stands for all
// before. What is owed longest is told first, so that none waits for ever behind
// others that always have news.
func (x *target) owe(spent []quota.Usage) {
	for _, e := range spent {
		if e.DueWithinMs > 0 && (x.within == 0 || e.DueWithinMs < x.within) {
			x.within = e.DueWithinMs
		}
		if i := slices.IndexFunc(x.due, func(o quota.Usage) bool { return o.Tenant == e.Tenant }); i >= 0 {
			x.due[i] = e
		} else {
			x.due = append(x.due, e)
		}
	}
}

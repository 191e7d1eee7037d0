package quota

import (
	"math/bits"
	"slices"
)

// In a small fleet each limiter tells all others of its units. In a large one
// that would be as many words for each as there are limiters. There, their zone
// and the first bits of their ids put limiters into groups: within zones, so that
// where zones are cut off from each other a limiter hears of all on its side, as
// all of them do. Those of one group tell each other
// as in a small fleet. What a group has let through, as a sum, and who of it
// hears whom (share.go), a limiter of each other group is told by two of the group:
// it goes by one of them, and by the other one from where the first falls silent,
// or hears fewer of its group.
// So nobody depends on one limiter, and each sends some n/G + 2G words instead
// of n, where there are G groups.

// MaxUngroupedLimiters is the size of a fleet up to which all tell all.
const MaxUngroupedLimiters = 24

// GroupingLevel is how limiters form groups: 0 not at all, else by their zones and by
// one bit of their ids less than the level.
type GroupingLevel uint

// GroupingLevelFor is the level of a fleet of n limiters in some zones: about as many
// groups as make the words of each the fewest.
func GroupingLevelFor(n, zones int) GroupingLevel {
	if n <= MaxUngroupedLimiters {
		return 0
	}
	return GroupingLevel(1 + max(0, bits.Len(uint(n/2))/2-bits.Len(uint(zones-1))))
}

// Member is another limiter.
type Member struct {
	ID   uint64 // hash of its name
	Zone string
}

// Group names a group.
type Group struct {
	zone string
	bits uint64
}

// Group is the group of a limiter.
func (l GroupingLevel) Group(m Member) Group {
	if l == 0 {
		return Group{}
	}
	return Group{m.Zone, m.ID >> (65 - l)}
}

// forgetReporterMs is how long a reporter that is silent is remembered.
const forgetReporterMs = 10_000.0

// group is another group, as it is reported.
type group struct {
	size      int            // as known here
	heard     int            // of it, by the one whose word counts ...
	set       uint32         // ... the sum over them
	classes   []SharingClass // of them
	same      int            // of them hear the same ones as this limiter ...
	sameAt    float64        // ... at this time, or more did before
	at        float64        // of the word that counts
	source    uint64         // whose word counts
	first     bool           // it is the one to go by
	reporters map[uint64]*reporter
}

// reporter is one limiter that tells of its group.
type reporter struct {
	life   uint64
	metAt  float64
	at     float64
	latest column            // sums since its start
	ahead  map[uint64]uint64 // units told since the last word that counted
	more   float64           // since when it hears more of its group than the one whose word counts; 0: it does not
}

// Digest is what a limiter tells of its group.
type Digest struct {
	Level     GroupingLevel  // at which it forms groups
	First     bool           // of the two that tell this limiter, the one to go by while it speaks
	LiveCount int            // of the group, itself among them
	LiveSet   uint32         // the sum over them
	Classes   []SharingClass // of them, the largest first
	Consumed  []Usage        // by the whole group since the teller's start
}

// Level is the level at which groups are formed.
func (s *Enforcer) Level() GroupingLevel { return s.level }

// direct tells whether a limiter speaks to this one for itself.
func (s *Enforcer) direct(m Member) bool { return s.level.Group(m) == s.level.Group(s.self) }

// regroup forms the groups after a change of members.
func (s *Enforcer) regroup(now float64) {
	zones := map[string]bool{s.self.Zone: true}
	for _, p := range s.peers {
		zones[p.Zone] = true
	}
	if l := GroupingLevelFor(len(s.peers)+1, len(zones)); l != s.level {
		s.level = l
		clear(s.groups) // sums of other groups than these say nothing
		for _, p := range s.peers {
			p.life = 0 // met anew: who did not speak for itself before has spent much since
		}
	}
	for id, g := range s.groups {
		g.size = 0
		for from, r := range g.reporters {
			if now-r.at > forgetReporterMs {
				delete(g.reporters, from)
			}
		}
		if len(g.reporters) == 0 {
			delete(s.groups, id)
		}
	}
	s.shares.mates = s.shares.mates[:0]
	for _, p := range s.peers {
		if s.direct(p.Member) {
			s.shares.mates = append(s.shares.mates, p)
			continue
		}
		k := s.level.Group(p.Member)
		if s.groups[k] == nil {
			s.groups[k] = &group{at: -2 * GroupedLivenessTimeoutMs, reporters: map[uint64]*reporter{}}
		}
		s.groups[k].size++
	}
}

// ReportDigest is the digest of this limiter's group: tenants with news, as in [Enforcer.ReportUsage].
func (s *Enforcer) ReportDigest(now float64, out []Usage) Digest {
	s.currentShare(now)
	h := &s.shares
	d := Digest{Level: s.level, LiveCount: h.heard, LiveSet: h.own, Classes: h.classes, Consumed: out}
	for id, t := range s.groupNews {
		if !t.group.due(t.grouped) {
			delete(s.groupNews, id)
		} else if t.plan.Rate > 0 {
			if pause, low := s.pause(now, t, t.grouped-t.group.units, groupMs); now-t.group.at >= pause {
				d.Consumed = append(d.Consumed, Usage{id, t.group.tell(now, t.grouped), t.level(), s.within(pause, low)})
			}
		}
	}
	return d
}

// ReceiveDigest takes in what a limiter tells of its group. One that forms other
// groups is not counted: for the moment until all know the same limiters, less
// of the quotas is used, not more.
func (s *Enforcer) ReceiveDigest(now float64, from, life uint64, ageMs float64, d Digest) {
	p := s.peers[from]
	if s.level == 0 || d.Level != s.level || p == nil || s.direct(p.Member) {
		return
	}
	g := s.groups[s.level.Group(p.Member)]
	if g == nil {
		return
	}
	r := g.reporters[from]
	if r == nil || r.life != life {
		r = &reporter{life: life, metAt: now, at: now, ahead: map[uint64]uint64{}}
		g.reporters[from] = r
	}
	if now-r.at > s.fresh() {
		// What a reporter let be known to others while it did not report here was paid
		// for by another one's word, or spent of its group's own part.
		r.latest.clear()
		clear(r.ahead)
	}
	r.at = now
	for _, e := range d.Consumed {
		t := s.tenants[e.Tenant]
		if t == nil {
			continue
		}
		units, known := r.latest.raise(t.row, e.Units)
		switch {
		case known && units > 0:
			r.ahead[e.Tenant] += units
		case !known && past(now, ageMs, r.metAt): // likewise: sums count from the first that is heard here
			s.seed(now, t, e.FillLevel)
		}
	}
	fresh := s.goesBy(now, g)
	switch {
	case g.source == from || d.LiveCount <= g.heard:
		r.more = 0
	case r.more == 0:
		r.more = now
	}
	// One that hears more of its group is gone by whether it is the first or not: what
	// the other does not hear would be drawn by nobody who goes by that one.
	if g.source != from && fresh && (g.first || !d.First) && (r.more == 0 || now-r.more < graceMs) ||
		g.source != from && fresh && d.LiveCount < g.heard {
		return // another one's word counts
	}
	if !fresh || g.set != d.LiveSet || !slices.Equal(g.classes, d.Classes) {
		s.shares.validTo = 0
	}
	if !fresh {
		g.same, g.sameAt = d.LiveCount, now
	}
	g.source, g.first, g.at, g.heard, g.set = from, d.First, now, d.LiveCount, d.LiveSet
	g.classes = append(g.classes[:0], d.Classes...)
	if s.currentShare(now); g.same == 0 {
		clear(r.ahead) // none of it shares with this limiter
	}
	for id, units := range r.ahead {
		if t := s.tenants[id]; t != nil {
			s.draw(now, t, units)
		}
	}
	for _, o := range g.reporters { // both tell of the same units; of the other's, what follows on this word is ahead
		clear(o.ahead)
	}
}

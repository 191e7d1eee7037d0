package quota

import "slices"

// Of n limiters each owns one n-th of rate and burst. One that hears others may
// spend their parts too, and pays for what they let through; but no part may be
// spent by two that don't pay for each other. So each limiter tells whom it hears,
// itself or by the digests of other groups, as one sum over all of them. Those with
// the same sum hear the same ones: as each hears itself, each of them hears all
// others. They share their parts and draw each other's units, and nobody else's.
// Each limiter belongs to one such class, whoever hears whom, one way cuts among it:
// the sum is never above the plan, as it would be where a limiter shared with all
// that it hears and two that do not hear each other both spent the parts of a third
// (docs/decisions/0008).
//
// When a limiter comes or goes its others learn of it a little apart, and for that
// time their sums differ. So a sum that was the same counts for a moment longer, and
// one that has just been met counts likewise.

const (
	graceMs     = 500.0
	mostClasses = 4 // of a group are told, the largest first
)

// SharingClass is how many of a group hear the same ones.
type SharingClass struct {
	LiveSet uint32 // the sum over those whom they hear
	Count   int
}

// shares is what a limiter knows of those that share with it.
type shares struct {
	mates   []*peer        // of this limiter's group
	set     uint32         // whom this limiter hears, itself among them
	own     uint32         // ... of its group
	heard   int            // of its group, itself among them
	classes []SharingClass // of its group
	part    float64
	validTo float64
}

// mark is one limiter's part in the sum over those that are heard.
func mark(id uint64) uint32 { return uint32(id ^ id>>32) }

// currentShare is the share of each quota that this limiter may use. Counting it anew with
// each request would cost the more the larger the fleet is.
func (s *Enforcer) currentShare(now float64) float64 {
	if now >= s.shares.validTo {
		s.count(now)
	}
	return s.shares.part
}

// count finds who shares with this limiter.
func (s *Enforcer) count(now float64) {
	h := &s.shares
	h.validTo = now + shareMs
	h.own, h.heard = mark(s.self.ID), 1
	for _, p := range h.mates {
		if s.hears(now, p) {
			h.own ^= mark(p.ID)
			h.heard++
		}
	}
	h.set = h.own
	for _, g := range s.groups {
		if s.goesBy(now, g) {
			h.set ^= g.set
		}
	}
	h.classes = append(h.classes[:0], SharingClass{h.set, 1})
	sharing := 1
	for _, p := range h.mates {
		if !s.hears(now, p) {
			continue
		}
		h.tally(p.set)
		if p.set == h.set {
			p.sameAt = now
		}
		if s.shares.with(now, p) {
			sharing++
		}
	}
	slices.SortStableFunc(h.classes, func(a, b SharingClass) int { return b.Count - a.Count })
	h.classes = h.classes[:min(len(h.classes), mostClasses)]
	for _, g := range s.groups {
		if !s.goesBy(now, g) {
			continue
		}
		same := 0
		for _, c := range g.classes {
			if c.LiveSet == h.set {
				same = c.Count
			}
		}
		if same >= g.same || now-g.sameAt > graceMs {
			g.same, g.sameAt = same, now
		}
		sharing += min(g.same, g.heard, g.size)
	}
	h.part = min(1, float64(sharing)/float64(len(s.peers)+1))
	if !s.seeded && 2*sharing > len(s.peers) {
		s.seeded = true
		s.takeSeeds(now)
	}
}

// tally counts one of the group that hears these.
func (h *shares) tally(set uint32) {
	for i := range h.classes {
		if h.classes[i].LiveSet == set {
			h.classes[i].Count++
			return
		}
	}
	h.classes = append(h.classes, SharingClass{set, 1})
}

// with tells whether a limiter of the group shares with this one.
func (h *shares) with(now float64, p *peer) bool { return now-p.sameAt <= graceMs }

// goesBy tells whether another group is heard of.
func (s *Enforcer) goesBy(now float64, g *group) bool { return now-g.at <= s.fresh() }

// LiveSet is the sum over those whom this limiter hears, to be told to them.
func (s *Enforcer) LiveSet(now float64) uint32 {
	s.currentShare(now)
	return s.shares.set
}

// Share is the share of the quotas that this limiter may use, for reports.
func (s *Enforcer) Share(now float64) float64 { return s.currentShare(now) }

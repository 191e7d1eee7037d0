package quota

import "slices"

const (
	// shareCacheMs is how long a computed share is used. Computing it for each request
	// would cost the more the larger the fleet is.
	shareCacheMs = 10.0
	// liveSetGraceMs is how long an equal live set counts after it has become different, and
	// how long one counts as equal that has just been received for the first time. When a
	// limiter comes or goes, the others notice it a little apart, and their live sets differ
	// meanwhile.
	liveSetGraceMs = 500.0
	// maxReportedClasses is how many sharing classes of a group a digest has, the largest
	// first.
	maxReportedClasses = 4
)

// SharingClass is the number of limiters of one group that have the same live set.
type SharingClass struct {
	LiveSet uint32
	Count   int
}

// sharing decides which share of each quota this limiter may spend. It is the type that
// keeps the bound on a tenant's overshoot in a partition.
//
// Each of n limiters owns 1/n of the rate and of the burst of each tenant: its share, held
// in escrow for it. P(i) is the set of limiters whose shares limiter i spends, so
//
//	share(i) = |P(i)| / n
//
// No share may be spent by two limiters that don't pay for each other's units. That is:
//
//	for all i, j: if P(i) and P(j) overlap, i draws the units of j, and j those of i   (1)
//
// P(i) consists of the limiters with the same live set as i. A live set is the set of
// limiters that one receives from, itself among them, directly or by digests of other
// groups; it is sent as one 32-bit sum. Limiters with equal live sets all receive from each
// other, so they draw each other's units and nobody else's. Each limiter has one live set,
// so the classes are disjoint, whatever the partition is, one-way ones included, and (1)
// holds. From (1) follows, for each tenant and each window of T seconds,
//
//	units admitted by all limiters <= rate x T + burst + late                          (2)
//
// where late is what they admit before they have noticed: units that are on their way
// between limiters, and, after a partition or a membership change, requests in the time
// until the live sets have changed (the liveness time-out, liveSetGraceMs, and the messages
// about it: about 1.5 s). The rules of the system allow a tenth of the plan and 20 units
// for it. docs/decisions/0008 has the proof and the ways that were ruled out. What is known
// to break the allowance: messages that take 200 ms (docs/incidents/0019). What is known to
// leave quotas unused: messages lost in bursts (docs/incidents/0018).
type sharing struct {
	groupPeers   []*peer        // the other limiters of this limiter's group
	liveSet      uint32         // of this limiter
	groupLiveSet uint32         // the part of it that is in this limiter's group
	liveCount    int            // limiters in groupLiveSet
	meanLateness float64        // of the last messages of the live ones, in milliseconds
	classes      []SharingClass // of this limiter's group, the largest first
	share        float64        // of each quota, 0 to 1
	validUntil   float64        // all of the above but groupPeers are computed again after it
}

// fingerprint is one limiter's term in the sum over a live set.
func fingerprint(id uint64) uint32 { return uint32(id ^ id>>32) }

// invalidate has the share computed again at its next use.
func (s *sharing) invalidate() { s.validUntil = 0 }

// Share returns the share of each quota that this limiter may spend, from 0 to 1, for
// status reports.
func (e *Enforcer) Share(now float64) float64 { return e.currentShare(now) }

// LiveSet returns the sum over the limiters that this one receives from. It is sent to the
// peers of the group with each usage report.
func (e *Enforcer) LiveSet(now float64) uint32 {
	e.currentShare(now)
	return e.sharing.liveSet
}

// currentShare returns the share that this limiter may spend, computed at most
// shareCacheMs ago.
func (e *Enforcer) currentShare(now float64) float64 {
	if now >= e.sharing.validUntil {
		e.computeShare(now)
	}
	return e.sharing.share
}

// computeShare finds the limiters that share with this one. The order matters: the live set
// must be complete before others are compared with it.
func (e *Enforcer) computeShare(now float64) {
	s := &e.sharing
	s.validUntil = now + shareCacheMs
	e.updateLiveSet(now)
	sharers := 1 + e.countGroupSharers(now)
	s.trimClasses()
	sharers += e.countOtherGroupSharers(now)
	s.share = min(1, float64(sharers)/float64(len(e.peers)+1))
	if !e.inheriting && 2*sharers > len(e.peers) {
		e.startInheriting(now)
	}
}

// updateLiveSet sums up whom this limiter receives from, itself or by digests.
func (e *Enforcer) updateLiveSet(now float64) {
	s := &e.sharing
	s.groupLiveSet, s.liveCount, s.meanLateness = fingerprint(e.self.ID), 1, 0
	for _, p := range s.groupPeers {
		if e.live(now, p) {
			s.groupLiveSet ^= fingerprint(p.ID)
			s.liveCount++
			s.meanLateness += p.lateness.ms
		}
	}
	s.meanLateness /= float64(s.liveCount)
	s.liveSet = s.groupLiveSet
	for _, g := range e.groups {
		if e.groupLive(now, g) {
			s.liveSet ^= g.liveSet
		}
	}
}

// countGroupSharers counts the live peers of the group that share with this limiter, and
// sorts all live ones into classes by their live sets.
func (e *Enforcer) countGroupSharers(now float64) (sharers int) {
	s := &e.sharing
	s.classes = append(s.classes[:0], SharingClass{s.liveSet, 1})
	for _, p := range s.groupPeers {
		if !e.live(now, p) {
			continue
		}
		s.addToClass(p.liveSet)
		if p.liveSet == s.liveSet {
			p.sameLiveSetAt = now
		}
		if p.sharesWithSelf(now) {
			sharers++
		}
	}
	return sharers
}

// countOtherGroupSharers counts the limiters of other live groups that share with this one,
// by the classes in their digests.
func (e *Enforcer) countOtherGroupSharers(now float64) (sharers int) {
	for _, g := range e.groups {
		if !e.groupLive(now, g) {
			continue
		}
		same := g.countWithLiveSet(e.sharing.liveSet)
		if same >= g.sharers || now-g.sharersAt > liveSetGraceMs {
			g.sharers, g.sharersAt = same, now
		}
		sharers += min(g.sharers, g.liveCount, g.size)
	}
	return sharers
}

// addToClass counts one limiter of the group that has this live set.
func (s *sharing) addToClass(liveSet uint32) {
	for i := range s.classes {
		if s.classes[i].LiveSet == liveSet {
			s.classes[i].Count++
			return
		}
	}
	s.classes = append(s.classes, SharingClass{liveSet, 1})
}

// trimClasses keeps the largest classes.
func (s *sharing) trimClasses() {
	slices.SortStableFunc(s.classes, func(a, b SharingClass) int { return b.Count - a.Count })
	s.classes = s.classes[:min(len(s.classes), maxReportedClasses)]
}

// sharesWithSelf reports whether a peer of the group has the same live set as this limiter,
// or had it a moment ago.
func (p *peer) sharesWithSelf(now float64) bool { return now-p.sameLiveSetAt <= liveSetGraceMs }

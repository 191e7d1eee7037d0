package quota

import "slices"

const (
	// shareCacheMs is how long a computed share is used. Recomputing it for each request would be
	// expensive in a large fleet.
	shareCacheMs = 10.0
	// liveSetGraceMs is how long a peer still counts as sharing after its live set has become
	// different from this limiter's, and how long it counts as sharing from its first message on.
	// When a limiter joins or leaves, the others notice at slightly different times, and their live
	// sets differ in between.
	liveSetGraceMs = 500.0
	// maxReportedClasses is the maximum number of sharing classes in a digest. The largest ones are
	// reported.
	maxReportedClasses = 4
)

// SharingClass is the number of limiters of one group that have the same live set.
type SharingClass struct {
	LiveSet uint32
	Count   int
}

// sharing determines the share of each quota that this limiter may spend. It bounds the overshoot
// of a tenant's quota during network partitions.
//
// Each of n limiters owns 1/n of the rate and of the burst of each tenant: its share, held in
// escrow for it. Let P(i) be the set of limiters whose shares limiter i spends:
//
//	share(i) = |P(i)| / n
//
// A share must not be spent by two limiters that do not draw each other's units:
//
//	for all i, j: if P(i) and P(j) overlap, i draws the units of j, and j those of i   (1)
//
// P(i) consists of the limiters with the same live set as i: these share with i. A live set is the
// set of limiters that a limiter receives from, directly or through digests of other groups,
// including itself. It is sent as the 32-bit XOR of the limiters' fingerprints. Limiters with equal
// live sets all receive from each other, so they draw the units of each other and of nobody else.
// Each limiter has one live set, so the classes of limiters with equal live sets are disjoint in
// any partition, also in an asymmetric one, and (1) holds. It follows from (1) that for each tenant
// and each window of T seconds
//
//	units admitted by all limiters <= rate x T + burst + late                          (2)
//
// where late is the number of units that limiters admit on outdated information: while reports of
// units are in transit and, after a partition or a membership change, until the live sets have
// changed (the liveness timeout, liveSetGraceMs, and the messages about the change: about 1.5 s).
// The quota rule allows a tenth of the plan and 20 units for it.
// docs/decisions/0008 has the proof and the rejected alternatives. The allowance is known to be
// exceeded with a message delay of 200 ms (docs/incidents/0019). Quotas are known to be left unused
// when messages are lost in bursts (docs/incidents/0018).
type sharing struct {
	groupPeers   []*peer        // the other limiters of this limiter's group
	liveSet      uint32         // of this limiter
	groupLiveSet uint32         // the part of it that is in this limiter's group
	liveCount    int            // number of limiters in groupLiveSet
	meanLateness float64        // of the last messages of the live group peers, in milliseconds
	classes      []SharingClass // of this limiter's group, largest first
	share        float64        // of each quota, from 0 to 1
	validUntil   float64        // when all fields above except groupPeers are next recomputed
}

// fingerprint returns the contribution of one limiter to the XOR of a live set.
func fingerprint(id uint64) uint32 { return uint32(id ^ id>>32) }

// invalidate causes the share to be recomputed at its next use.
func (s *sharing) invalidate() { s.validUntil = 0 }

// Share returns the share of each quota that this limiter may spend, from 0 to 1, for status
// reports.
func (e *Enforcer) Share(now float64) float64 { return e.currentShare(now) }

// LiveSet returns the XOR of the fingerprints of the limiters that this one receives from. It is
// sent to the peers of the group with each usage report.
func (e *Enforcer) LiveSet(now float64) uint32 {
	e.currentShare(now)
	return e.sharing.liveSet
}

// currentShare returns the share that this limiter may spend, computed at most shareCacheMs ago.
func (e *Enforcer) currentShare(now float64) float64 {
	if now >= e.sharing.validUntil {
		e.computeShare(now)
	}
	return e.sharing.share
}

// computeShare counts the limiters that share with this one. The order matters: the live set must
// be complete before other live sets are compared with it.
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

// updateLiveSet computes the live set from the limiters that this one receives from, directly or
// through digests.
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

// countGroupSharers counts the live peers of the group that share with this limiter, and sorts all
// live ones into classes by their live sets.
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
// according to the classes in their digests.
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

// addToClass counts one limiter of the group with the given live set.
func (s *sharing) addToClass(liveSet uint32) {
	for i := range s.classes {
		if s.classes[i].LiveSet == liveSet {
			s.classes[i].Count++
			return
		}
	}
	s.classes = append(s.classes, SharingClass{liveSet, 1})
}

// trimClasses keeps the largest maxReportedClasses classes.
func (s *sharing) trimClasses() {
	slices.SortStableFunc(s.classes, func(a, b SharingClass) int { return b.Count - a.Count })
	s.classes = s.classes[:min(len(s.classes), maxReportedClasses)]
}

// sharesWithSelf reports whether the live set of a peer of the group equals this limiter's, or did
// within liveSetGraceMs.
func (p *peer) sharesWithSelf(now float64) bool { return now-p.sameLiveSetAt <= liveSetGraceMs }

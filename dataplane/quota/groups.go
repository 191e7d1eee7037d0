package quota

import (
	"cmp"
	"math/bits"
	"slices"
)

// In a small fleet each limiter reports its usage to all others. In a large one that would
// be as many messages for each as there are limiters. There, limiters form groups by their
// zone and the first bits of their ids: within zones, so that where zones are partitioned a
// limiter receives from all on its side, as all of them do. Those of one group report to
// each other as in a small fleet. The sum of a group's usage and its live sets (share.go)
// are reported to each limiter of other groups by two reporters of the group: it goes by
// one of them, and by the other one when the first times out or receives from fewer of its
// group. So nobody depends on one limiter, and each sends some n/G + 2G messages instead of
// n, where there are G groups.

// MaxUngroupedLimiters is the size of a fleet up to which all report to all.
const MaxUngroupedLimiters = 24

// maxReporterAgeMs is how long a reporter that has timed out is remembered.
const maxReporterAgeMs = 10_000.0

// GroupingLevel is how limiters form groups: 0 not at all, else by their zones and by one
// bit of their ids less than the level.
type GroupingLevel uint

// GroupingLevelFor returns the level of a fleet of some limiters in some zones. It has
// about as many groups as make the messages of each limiter the fewest.
func GroupingLevelFor(limiters, zones int) GroupingLevel {
	if limiters <= MaxUngroupedLimiters {
		return 0
	}
	return GroupingLevel(1 + max(0, bits.Len(uint(limiters/2))/2-bits.Len(uint(zones-1))))
}

// Group identifies a group. All limiters of an ungrouped fleet are in the zero Group.
type Group struct {
	zone   string
	idBits uint64 // the first bits of its members' ids
}

// Group returns the group of a limiter.
func (l GroupingLevel) Group(m Member) Group {
	if l == 0 {
		return Group{}
	}
	return Group{m.Zone, m.ID >> (65 - l)}
}

// group is what this limiter knows of another group.
type group struct {
	size      int // members, by this limiter's list
	reporters map[uint64]*reporter
	// Of the last digest from the reporter that this limiter goes by:
	reporter   uint64 // its id
	first      bool   // it is the first of the two reporters
	receivedAt float64
	liveCount  int
	liveSet    uint32
	classes    []SharingClass
	// How many of the group share with this limiter, and when there were last as many.
	sharers   int
	sharersAt float64
}

// reporter is a limiter that sends digests of its group.
type reporter struct {
	incarnation  uint64
	lastReceived float64
	usage        usageTable // the group's sums since the reporter's start
	// countsFromStart: a tenant's first sum is all new. Else it is where the sums begin: others reported it.
	countsFromStart bool
	// undrawn has the units, by tenant, that this one has reported since the last digest of
	// the reporter that this limiter goes by. They are drawn if it goes by this one instead.
	undrawn map[uint64]uint64
	// reachesMoreSince is since when this one receives from more of its group than the
	// reporter that this limiter goes by; 0: it doesn't.
	reachesMoreSince float64
}

// Level returns the level at which this limiter's fleet forms groups.
func (e *Enforcer) Level() GroupingLevel { return e.level }

// regroup forms the groups after a change of members.
func (e *Enforcer) regroup(now float64) {
	e.updateLevel()
	e.dropTimedOutGroups(now)
	s := &e.sharing
	s.groupPeers = s.groupPeers[:0]
	for _, p := range e.peers {
		if e.sameGroup(p.Member) {
			s.groupPeers = append(s.groupPeers, p)
			continue
		}
		id := e.level.Group(p.Member)
		if e.groups[id] == nil {
			// Not live before its first digest, at any time.
			e.groups[id] = &group{receivedAt: -2 * GroupedLivenessTimeoutMs, reporters: map[uint64]*reporter{}}
		}
		e.groups[id].size++
	}
	// In a fixed order: the sum of the peers' lateness depends on it in its last digits.
	slices.SortFunc(s.groupPeers, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
}

// updateLevel sets the grouping level by the size of the fleet.
func (e *Enforcer) updateLevel() {
	zones := map[string]bool{e.self.Zone: true}
	for _, p := range e.peers {
		zones[p.Zone] = true
	}
	level := GroupingLevelFor(len(e.peers)+1, len(zones))
	if level == e.level {
		return
	}
	e.level = level
	clear(e.groups) // their sums are of other groups than the new ones
	for _, p := range e.peers {
		p.incarnation = 0 // regard it as new: one that didn't report for itself has admitted much since
	}
}

// dropTimedOutGroups forgets reporters that timed out long ago, and groups without one.
// The sizes of the others are reset.
func (e *Enforcer) dropTimedOutGroups(now float64) {
	for id, g := range e.groups {
		g.size = 0
		for from, r := range g.reporters {
			if now-r.lastReceived > maxReporterAgeMs {
				delete(g.reporters, from)
			}
		}
		if len(g.reporters) == 0 {
			delete(e.groups, id)
		}
	}
}

// groupLive reports whether this limiter receives digests of another group.
func (e *Enforcer) groupLive(now float64, g *group) bool {
	return now-g.receivedAt <= e.livenessTimeout()
}

// countWithLiveSet returns how many of the group have a live set, by the last digest.
func (g *group) countWithLiveSet(liveSet uint32) (count int) {
	for _, c := range g.classes {
		if c.LiveSet == liveSet {
			count = c.Count
		}
	}
	return count
}

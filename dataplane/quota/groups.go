package quota

import (
	"cmp"
	"math/bits"
	"slices"
)

// In a small fleet each limiter reports its usage to all others. In a large fleet that would take
// as many messages per limiter as there are limiters. Limiters of a large fleet therefore form
// groups by zone and by the leading bits of their IDs. Groups do not span zones: when zones are
// partitioned, each limiter then receives from all limiters on its side, and all of them have the
// same live set.
//
// The limiters of a group report to each other as in a small fleet. The group's total usage and its
// live sets (share.go) are sent to each limiter of the other groups by two reporters, the primary
// and the backup. The receiver uses the digests of one of them, the active reporter, and switches
// to the other one when the active reporter times out or receives from fewer limiters of the group.
// No limiter is a single point of failure, and each sends about n/G + 2G messages instead of n,
// where G is the number of groups.

// MaxUngroupedLimiters is the size of the largest fleet in which all limiters report to all others.
const MaxUngroupedLimiters = 24

// reporterRetentionMs is how long the state of a reporter is kept after its last digest.
const reporterRetentionMs = 10_000.0

// GroupingLevel is how limiters form groups: 0 is a fleet without groups, and a level l above 0
// groups limiters by zone and by the first l-1 bits of their IDs.
type GroupingLevel uint

// GroupingLevelFor returns the level of a fleet with the given numbers of limiters and zones. The
// resulting number of groups approximately minimizes the messages of each limiter.
func GroupingLevelFor(limiters, zones int) GroupingLevel {
	if limiters <= MaxUngroupedLimiters {
		return 0
	}
	return GroupingLevel(1 + max(0, bits.Len(uint(limiters/2))/2-bits.Len(uint(zones-1))))
}

// Group identifies a group. All limiters of a fleet without groups are in the zero Group.
type Group struct {
	zone   string
	idBits uint64 // the leading bits of its members' IDs
}

// Group returns the group of a limiter at this level.
func (l GroupingLevel) Group(m Member) Group {
	if l == 0 {
		return Group{}
	}
	return Group{m.Zone, m.ID >> (65 - l)}
}

// group is the state of another group.
type group struct {
	size      int // limiters of the group, including removed ones whose shares are still reserved
	reporters map[uint64]*reporter
	// From the last digest of the active reporter:
	activeReporter uint64 // ID of the reporter whose digests are used
	primary        bool   // the active reporter is the primary one
	receivedAt     float64
	liveCount      int
	liveSet        uint32
	classes        []SharingClass
	// The number of limiters of the group that share with this one, and when it was last confirmed.
	sharers   int
	sharersAt float64
}

// reporter is the state of a limiter that sends digests of its group.
type reporter struct {
	incarnation  uint64
	lastReceived float64
	usage        usageTable // the group's totals since the reporter's start
	// firstTotalIsNew: a tenant's first total consists of new units. Otherwise it is only the
	// baseline, because other reporters have reported its units.
	firstTotalIsNew bool
	// undrawn holds the units by tenant that this reporter has reported since the last digest of
	// the active reporter. They are drawn if this reporter becomes the active one.
	undrawn map[uint64]uint64
	// widerCoverageSince is since when this reporter receives from more limiters of its group than
	// the active reporter does; 0: it does not.
	widerCoverageSince float64
}

// Level returns the grouping level of the fleet.
func (e *Enforcer) Level() GroupingLevel { return e.level }

// regroup forms the groups after a membership change.
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
			// Not live before its first digest, whatever the current time.
			e.groups[id] = &group{receivedAt: -2 * GroupedLivenessTimeoutMs, reporters: map[uint64]*reporter{}}
		}
		e.groups[id].size++
	}
	// Sorted, because the order of summation affects the last digits of the peers' mean lateness.
	slices.SortFunc(s.groupPeers, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
}

// updateLevel sets the grouping level from the number of limiters and zones.
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
	clear(e.groups) // their totals belong to groups of the previous level
	for _, p := range e.peers {
		p.incarnation = 0 // treat it as new: it may have admitted many units without reporting them here
	}
}

// dropTimedOutGroups deletes reporters whose last digest is older than reporterRetentionMs and
// groups without a reporter, and resets the sizes of the remaining groups.
func (e *Enforcer) dropTimedOutGroups(now float64) {
	for id, g := range e.groups {
		g.size = 0
		for from, r := range g.reporters {
			if now-r.lastReceived > reporterRetentionMs {
				delete(g.reporters, from)
			}
		}
		if len(g.reporters) == 0 {
			delete(e.groups, id)
		}
	}
}

// groupLive reports whether a digest of another group was received within the liveness timeout.
func (e *Enforcer) groupLive(now float64, g *group) bool {
	return now-g.receivedAt <= e.livenessTimeout()
}

// countWithLiveSet returns the number of limiters of the group with the given live set, according
// to the last digest.
func (g *group) countWithLiveSet(liveSet uint32) (count int) {
	for _, c := range g.classes {
		if c.LiveSet == liveSet {
			count = c.Count
		}
	}
	return count
}

package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// reportersPerGroup is how many limiters of a replica group report its usage to each
// limiter of another group: the second one counts while the first sends nothing.
const reportersPerGroup = 2

// hintedNeighbors is how many limiters of its zone, on each side of it by their ids, a
// limiter of a large fleet sends its loads.
const hintedNeighbors = balance.NeighborReach

// SetPeers says which other limiters there are, and at what level they form replica groups
// ([quota.Enforcer.Level]). Pending updates for a limiter that stays are kept.
//
// Messages go to the limiters of the same group, to those of other groups that this one
// reports to, and to those that are sent loads: all in a small fleet, else the neighbors in
// the zone.
func (d *Disseminator) SetPeers(peers []quota.Member, level quota.GroupingLevel) {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b quota.Member) int { return cmp.Compare(a.ID, b.ID) })
	d.regime = FleetSizeOf(len(peers))
	reports := d.reports(peers, level)
	d.greetReporters(peers, level)
	neighbors := d.neighbors(peers)
	previous := map[uint64]*recipient{}
	for _, r := range d.recipients {
		previous[r.ID] = r
	}
	d.recipients = d.recipients[:0]
	own := level.Group(d.self)
	for _, p := range peers {
		r := &recipient{
			Member:         p,
			sameZone:       p.Zone == d.self.Zone,
			groupMember:    level.Group(p) == own,
			reportedTo:     reports[p.ID] > 0,
			secondReporter: reports[p.ID] > 1,
		}
		r.hinted = d.regime == SmallFleet || r.sameZone && neighbors[p.ID]
		if !r.groupMember && !r.reportedTo && !r.hinted {
			continue
		}
		if p := previous[p.ID]; p != nil {
			r.inherit(p)
		}
		d.recipients = append(d.recipients, r)
	}
}

// reports returns the limiters of other groups that this one reports its group's usage to,
// each with this limiter's place among the reporters: 1 for the first, whose figures count
// while it sends, or 2. Reporters are those of the group whose ids give the highest hashes
// with the recipient's (rendezvous hashing), so that a limiter that joins or leaves changes
// the reporters of few.
func (d *Disseminator) reports(peers []quota.Member, level quota.GroupingLevel) map[uint64]int {
	own := level.Group(d.self)
	var groupMembers, others []uint64
	for _, p := range peers {
		if level.Group(p) == own {
			groupMembers = append(groupMembers, p.ID)
		} else {
			others = append(others, p.ID)
		}
	}
	out := map[uint64]int{}
	for _, id := range others {
		if place := reporterPlace(d.self.ID, groupMembers, id); place <= reportersPerGroup {
			out[id] = place
		}
	}
	return out
}

// reporterPlace is the place of a limiter among the reporters of its group to a recipient,
// from 1; all places after reportersPerGroup are returned as the next one.
func reporterPlace(reporter uint64, groupMembers []uint64, recipient uint64) int {
	place, own := 1, reporterRank(reporter, recipient)
	for _, member := range groupMembers {
		rank := reporterRank(member, recipient)
		if rank < own || rank == own && member <= reporter { // the reporter itself may be among them
			continue
		}
		if place++; place > reportersPerGroup {
			break
		}
	}
	return place
}

// reporterRank is the claim of a limiter to report its group to a recipient; the highest
// rank reports first.
func reporterRank(reporter, recipient uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], reporter)
	binary.BigEndian.PutUint64(b[8:], recipient)
	return xxhash.Sum64(b[:])
}

// neighbors returns the limiters of the zone that are next to this one on a ring of ids.
func (d *Disseminator) neighbors(peers []quota.Member) map[uint64]bool {
	ring := []uint64{d.self.ID}
	for _, p := range peers {
		if p.Zone == d.self.Zone {
			ring = append(ring, p.ID)
		}
	}
	slices.Sort(ring)
	position, out := slices.Index(ring, d.self.ID), map[uint64]bool{}
	for step := 1; step <= hintedNeighbors && step < len(ring); step++ {
		out[ring[(position+step)%len(ring)]] = true
		out[ring[(position-step+len(ring))%len(ring)]] = true
	}
	return out
}

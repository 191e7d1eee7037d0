package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// reportersPerGroup is the number of limiters of a group that report its usage to each limiter of
// another group: the primary and the backup reporter. The receiver uses the reports of one of
// them (see [quota.Enforcer.ReceiveDigest]).
const reportersPerGroup = 2

// neighborsPerSide is the number of neighbors in its zone, on each side of it on the ring of
// ids, that a limiter of a large fleet sends its loads to.
const neighborsPerSide = balance.NeighborReach

// SetPeers replaces the list of the other limiters and sets the level at which the fleet forms
// groups ([quota.Enforcer.Level]). Pending updates for limiters that stay are kept.
//
// Messages are sent to the limiters of the same group, to the limiters of other groups that
// this one reports to, and to those that receive loads: all limiters in a small fleet, else the
// neighbors in the zone.
func (d *Disseminator) SetPeers(peers []quota.Member, level quota.GroupingLevel) {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b quota.Member) int { return cmp.Compare(a.ID, b.ID) })
	d.fleetSize = FleetSizeOf(len(peers))
	reporterRanks := d.digestRecipients(peers, level)
	d.scheduleAnnouncements(peers, level)
	neighbors := d.neighbors(peers)
	previous := map[uint64]*recipient{}
	for _, r := range d.recipients {
		previous[r.ID] = r
	}
	d.recipients = d.recipients[:0]
	ownGroup := level.Group(d.self)
	for _, p := range peers {
		r := &recipient{
			Member:         p,
			sameZone:       p.Zone == d.self.Zone,
			groupMember:    level.Group(p) == ownGroup,
			receivesDigest: reporterRanks[p.ID] > 0,
			backupReporter: reporterRanks[p.ID] > 1,
		}
		r.receivesLoads = d.fleetSize == SmallFleet || r.sameZone && neighbors[p.ID]
		if !r.groupMember && !r.receivesDigest && !r.receivesLoads {
			continue
		}
		if p := previous[p.ID]; p != nil {
			r.copyState(p)
		}
		d.recipients = append(d.recipients, r)
	}
}

// digestRecipients returns the limiters of other groups that this one reports its group's usage
// to, each with this limiter's rank among the reporters: 1 for the primary reporter, whose
// reports are preferred, or 2 for the backup. The reporters to a recipient are chosen from
// the group by rendezvous hashing of their ids, so that a limiter that joins or leaves changes
// the reporters of few recipients.
func (d *Disseminator) digestRecipients(peers []quota.Member, level quota.GroupingLevel) map[uint64]int {
	ownGroup := level.Group(d.self)
	var groupMembers, others []uint64
	for _, p := range peers {
		if level.Group(p) == ownGroup {
			groupMembers = append(groupMembers, p.ID)
		} else {
			others = append(others, p.ID)
		}
	}
	ranks := map[uint64]int{}
	for _, id := range others {
		if rank := reporterRank(d.self.ID, groupMembers, id); rank <= reportersPerGroup {
			ranks[id] = rank
		}
	}
	return ranks
}

// reporterRank returns the rank of a limiter among the reporters of its group to a recipient,
// starting at 1. All ranks above reportersPerGroup are returned as reportersPerGroup+1.
func reporterRank(reporter uint64, groupMembers []uint64, recipient uint64) int {
	rank, ownScore := 1, reporterScore(reporter, recipient)
	for _, member := range groupMembers {
		score := reporterScore(member, recipient)
		if score < ownScore || score == ownScore && member <= reporter { // groupMembers may include the reporter itself
			continue
		}
		if rank++; rank > reportersPerGroup {
			break
		}
	}
	return rank
}

// reporterScore returns the rendezvous hash of a reporter and a recipient. The limiter with the
// highest score is the primary reporter.
func reporterScore(reporter, recipient uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], reporter)
	binary.BigEndian.PutUint64(b[8:], recipient)
	return xxhash.Sum64(b[:])
}

// neighbors returns the limiters of the zone that are adjacent to this one on the ring of ids.
func (d *Disseminator) neighbors(peers []quota.Member) map[uint64]bool {
	ring := []uint64{d.self.ID}
	for _, p := range peers {
		if p.Zone == d.self.Zone {
			ring = append(ring, p.ID)
		}
	}
	slices.Sort(ring)
	position, out := slices.Index(ring, d.self.ID), map[uint64]bool{}
	for step := 1; step <= neighborsPerSide && step < len(ring); step++ {
		out[ring[(position+step)%len(ring)]] = true
		out[ring[(position-step+len(ring))%len(ring)]] = true
	}
	return out
}

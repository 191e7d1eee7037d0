package controlplane

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

var linkSeeds = flag.Uint64("links.seeds", 30, "seed count for TestMembersConvergeAfterHundredsOfChangesAndRestarts")

// maxHeartbeatGap is the longest time that a member may wait for its leader: below the election
// timeout.
const maxHeartbeatGap = electionTicks * tickInterval * 4 / 5

// slowLinksCase is a case in which a rejoining member is sent a state of 4 MB.
type slowLinksCase struct {
	name        string
	lossRate    float64
	allSlow     bool // otherwise only the links of the rejoining member are slow
	changeBytes int
	limit       time.Duration
}

// A rejoining member is sent a state of 4 MB over a link of 1 Mbit/s while one change per second is
// proposed. No member misses heartbeats for long enough to start an election, and there is a single
// transfer, however many snapshots the growing log would justify. Regression test: when the snapshot
// was sent as one message, it never arrived.
func TestLargeStateOverASlowLinkCausesNoElection(t *testing.T) {
	t.Parallel()
	for _, c := range []slowLinksCase{
		{name: "one slow link", changeBytes: 2 << 10, limit: 60 * time.Second},
		{name: "all links slow", allSlow: true, changeBytes: 2 << 10, limit: 60 * time.Second},
		{name: "large changes", changeBytes: 41 << 10, limit: 100 * time.Second},
		{name: "losses", lossRate: 0.05, changeBytes: 2 << 10, limit: 150 * time.Second},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) { c.run(t, seed) })
		}
	}
}

func (c *slowLinksCase) run(t *testing.T, seed uint64) {
	t.Helper()
	const rejoining = raft.ID(3)
	s := newLinkSim(t, seed, 4<<20)
	s.start(1)
	s.start(2)
	s.awaitLeader()
	s.proposeMany(200, 2<<10) // while member 3 is down
	s.speed = func(from, to raft.ID) linkSpeed {
		if c.allSlow || from == rejoining || to == rejoining {
			return linkSpeed{mbit, 20 * time.Millisecond}
		}
		return linkSpeed{100 * mbit, time.Millisecond}
	}
	s.lossRate = c.lossRate
	s.run(2 * time.Second)
	term := s.leader().Term()
	s.start(rejoining)
	s.waitUntil("the member knows the leader", time.Second, func() bool { return s.nodes[rejoining].Leader() != 0 })
	preVotes, nextChange := s.preVotes, s.now // the start may have caused pre-votes
	s.longestGap = 0
	took := s.waitUntil("the rejoining member has caught up", c.limit, func() bool {
		if s.now >= nextChange {
			nextChange += time.Second
			s.propose(c.changeBytes)
		}
		leader := s.leader()
		return leader != nil && s.installed > 0 && s.nodes[rejoining].AppliedIndex()+1 >= leader.CommitIndex()
	})
	preVotes = s.preVotes - preVotes
	t.Logf("4 MB in %v, longest heartbeat gap %v, %d pre-vote requests", took, s.longestGap, preVotes)
	if leader := s.leader(); leader == nil || leader.Term() != term {
		t.Error("the transfer caused an election")
	}
	if s.installed != 1 {
		t.Errorf("%d snapshots were installed, want 1", s.installed)
	}
	if c.lossRate > 0 {
		return
	}
	if preVotes != 0 {
		t.Errorf("%d pre-vote requests were sent", preVotes)
	}
	if s.longestGap > maxHeartbeatGap {
		t.Errorf("no message from the leader for %v", s.longestGap)
	}
}

// Hundreds of changes of a few hundred bytes to 41 KB are proposed, up to eight in flight, while
// members are restarted with their disks or partitioned, one at a time. For every seed, two seconds
// after the last fault every member has all committed entries.
func TestMembersConvergeAfterHundredsOfChangesAndRestarts(t *testing.T) {
	t.Parallel()
	installed := 0
	for seed := range *linkSeeds {
		s := newLinkSim(t, seed, 300<<10)
		s.speed = sameSpeed(5*mbit, 5*time.Millisecond)
		s.startAll()
		restarts := &restartFaults{sim: s, changes: 400}
		s.after(time.Second, restarts.next)
		restarts.propose()
		if restarts.proposed < restarts.changes {
			t.Fatalf("seed %d: only %d changes in %v", seed, restarts.proposed, s.now)
		}
		clear(s.partitioned)
		s.startAll()
		s.run(40 * tickInterval)
		if !s.converged() {
			s.logNodes()
			t.Fatalf("seed %d: members have not converged 2 s after the last fault", seed)
		}
		installed += s.installed
	}
	if installed < int(*linkSeeds) {
		t.Errorf("%d snapshots were installed: too few for a meaningful test", installed)
	}
}

// restartFaults restarts or partitions members until a number of changes are proposed.
type restartFaults struct {
	sim      *linkSim
	changes  int // number of changes to propose
	proposed int
	faulty   raft.ID // stopped or partitioned member, 0 if none
}

// next starts a fault or ends the current one, and schedules the next call.
func (f *restartFaults) next() {
	s := f.sim
	switch {
	case f.proposed >= f.changes:
		return
	case f.faulty != 0: // one at a time
		s.start(f.faulty)
		delete(s.partitioned, f.faulty)
		f.faulty = 0
	case s.converged():
		f.faulty = raft.ID(1 + s.rng.IntN(simVoters))
		if s.rng.IntN(3) == 0 {
			s.partitioned[f.faulty] = true
		} else {
			s.stop(f.faulty)
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(3*time.Second))), f.next)
}

// propose proposes the changes, at most eight in flight, for at most five minutes.
func (f *restartFaults) propose() {
	s := f.sim
	for s.now < 5*time.Minute && f.proposed < f.changes {
		if l := s.leader(); l != nil && !s.partitioned[l.Leader()] && l.LastIndex()-l.CommitIndex() < 8 {
			f.proposed++
			s.propose(200 + s.rng.IntN(2)*s.rng.IntN(41<<10))
		}
		s.run(time.Duration(s.rng.Int64N(int64(100 * time.Millisecond))))
	}
}

// logNodes logs the Raft state of each member.
func (s *linkSim) logNodes() {
	s.t.Helper()
	for id, n := range s.nodes {
		s.t.Logf("member %d: %v of term %d, leader %d, applied %d of %d, snapshot %d",
			id, n.Role(), n.Term(), n.Leader(), n.AppliedIndex(), n.LastIndex(), n.SnapshotIndex())
	}
}

// Entries of 400 KB, as for 16,000 routes, are sent over links of 1 Mbit/s to all members. Each takes
// more than 3 s, and no heartbeat waits for more than one chunk of it. Regression test: when each entry
// was sent in a single call, 20 changes caused 20 elections.
func TestLargeEntriesOverSlowLinksCauseNoElection(t *testing.T) {
	t.Parallel()
	const changes = 20
	s := newLinkSim(t, 1, 1<<20)
	s.speed = sameSpeed(mbit, 10*time.Millisecond)
	s.startAll()
	s.waitUntil("a leader", 3*time.Second, func() bool { return s.leader() != nil && s.converged() })
	leader := s.leader()
	preVotes, term, before := s.preVotes, leader.Term(), leader.CommitIndex()
	s.longestGap = 0
	for range changes {
		s.propose(400 << 10)
		s.run(8 * time.Second)
	}
	if s.leader() != leader || leader.Term() != term || s.preVotes != preVotes {
		t.Errorf("term %d after %d, %d pre-vote requests", leader.Term(), term, s.preVotes-preVotes)
	}
	if s.longestGap > maxHeartbeatGap {
		t.Errorf("no message from the leader for %v", s.longestGap)
	}
	if committed := leader.CommitIndex() - before; committed != changes {
		t.Errorf("%d of %d changes were committed", committed, changes)
	}
	t.Logf("longest heartbeat gap %v", s.longestGap)
}

// A member reconnects after a long partition without an election: the leader stays, and the member is
// sent the missed entries from the log or, if it missed more, a snapshot.
func TestReconnectedMemberCausesNoElection(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ missed, snapshots int }{
		{missed: 20, snapshots: 0},
		{missed: 200, snapshots: 1},
	} {
		t.Run(fmt.Sprintf("%d changes missed", c.missed), func(t *testing.T) {
			s := newLinkSim(t, uint64(c.missed), 1<<20)
			s.startAll()
			s.waitUntil("a leader", 3*time.Second, func() bool { return s.leader() != nil && s.converged() })
			s.proposeMany(60, 100) // so that a snapshot is due among the missed changes
			leader := s.leader()
			isolated, term := 1+leader.Leader()%simVoters, leader.Term()
			s.partitioned[isolated] = true
			s.proposeMany(c.missed, 100)
			s.run(20 * time.Second)
			if n := s.nodes[isolated]; n.Term() != term || n.Role() == raft.Leader {
				t.Errorf("while partitioned the member went to term %d from %d, or became leader", n.Term(), term)
			}
			if s.encoded == 0 {
				t.Error("no snapshot was made during the partition")
			}
			delete(s.partitioned, isolated)
			took := s.waitUntil("the member has caught up", 2*time.Second, s.converged)
			if s.leader() != leader || leader.Term() != term {
				t.Errorf("term %d after %d", leader.Term(), term)
			}
			if s.installed != c.snapshots {
				t.Errorf("%d snapshots were installed, want %d", s.installed, c.snapshots)
			}
			t.Logf("caught up on %d changes in %v", c.missed, took)
		})
	}
}

// Idle members encode their snapshot once, wherever their log ends. Regression test: when the log
// ended at a multiple of 64, every message and tick encoded the whole state.
func TestIdleMembersEncodeNoSnapshots(t *testing.T) {
	t.Parallel()
	s := newLinkSim(t, 1, 1<<10)
	s.startAll()
	s.awaitLeader()
	for s.leader().CommitIndex()%64 != 0 || s.encoded < simVoters {
		s.propose(100)
		s.run(20 * time.Millisecond)
	}
	s.run(time.Second) // until followers learn the commit index
	before := s.encoded
	s.run(time.Minute)
	if s.leader().CommitIndex()%64 != 0 || s.encoded != before {
		t.Errorf("%d encodings in an idle minute at index %d", s.encoded-before, s.leader().CommitIndex())
	}
}

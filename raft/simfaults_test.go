package raft

import "testing"

const (
	defaultClockSpeed    = 7 // probability of a tick in half a step, in sixteenths
	maxQueuedWhilePaused = 50
	maxOpenReads         = 20
)

// faultySimCluster adds disks that fail writes, members that pause, clocks that run at different
// speeds, one-way partitions and power failures of all members to simCluster, and checks reads.
type faultySimCluster struct {
	*simCluster
	failingDisks map[ID]int       // remaining steps for which a member's disk fails writes
	paused       map[ID]int       // remaining steps for which a member is paused
	queued       map[ID][]Message // messages that arrive for a paused member
	clockSpeed   map[ID]int       // speed of a member's clock, in sixteenths; 0: defaultClockSpeed
	partitioned  map[[2]ID]bool   // from sender to receiver, one way
	reads        []pendingRead
}

// pendingRead is a read that waits for its leader to confirm a read index.
type pendingRead struct {
	leader    ID
	term      uint64
	round     uint64
	committed uint64 // highest index committed when the read arrived
}

func newFaultySimCluster(t *testing.T, seed uint64) *faultySimCluster {
	return &faultySimCluster{
		simCluster:   newSimCluster(t, seed),
		failingDisks: map[ID]int{},
		paused:       map[ID]int{},
		queued:       map[ID][]Message{},
		clockSpeed:   map[ID]int{},
		partitioned:  map[[2]ID]bool{},
	}
}

// endFaults ends all faults, but does not start members that are down.
func (s *faultySimCluster) endFaults() {
	clear(s.partitioned)
	clear(s.isolated)
	clear(s.failingDisks)
	clear(s.paused)
	clear(s.clockSpeed)
}

// injectFault injects a random fault that a cluster must tolerate: at most one disk is lost at a time.
func (s *faultySimCluster) injectFault() {
	leader := s.leader()
	s.proposeSometimes(leader)
	ids := s.liveIDs()
	if len(ids) == 0 {
		s.startAll()
		return
	}
	victim := ids[s.rng.IntN(len(ids))]
	switch s.rng.IntN(90) {
	case 0:
		s.failingDisks[victim] = 5 + s.rng.IntN(60)
	case 1:
		s.paused[victim] = 5 + s.rng.IntN(80)
	case 2:
		s.clockSpeed[victim] = 3 + s.rng.IntN(14)
	case 3, 4:
		s.partitioned[[2]ID{victim, ids[s.rng.IntN(len(ids))]}] = true
	case 5, 6, 7:
		clear(s.partitioned)
		clear(s.isolated)
	case 8:
		s.isolated[victim] = true
	case 9: // a power failure of all members
		clear(s.nodes)
		clear(s.queued)
	case 10: // a crash of the leader right after it may have acknowledged an entry
		if leader != nil {
			s.crash(leader.cfg.ID)
		}
	case 11, 12, 13, 14, 15:
		s.startAll()
	case 16, 17:
		if !s.loseDisk(leader, victim) {
			return
		}
	}
	s.manageMembers()
}

// proposeSometimes proposes a value at random, if there is a leader.
func (s *faultySimCluster) proposeSometimes(leader *Node) {
	if leader != nil && s.rng.IntN(3) == 0 {
		s.values++
		s.propose(leader, []byte{byte(s.values >> 8), byte(s.values), 1})
	}
}

// loseDisk removes the disk of a member, or of the leader right after it may have acknowledged an entry.
// It returns false if the cluster can't tolerate that now.
func (s *faultySimCluster) loseDisk(leader *Node, victim ID) bool {
	if !s.toleratesDiskLoss(leader) {
		return false
	}
	if s.rng.IntN(2) == 0 {
		victim = leader.cfg.ID
	}
	s.replaceDisk(victim)
	return true
}

// step advances all members that are not paused and delivers the messages in flight.
func (s *faultySimCluster) step() {
	for _, id := range s.liveIDs() {
		if s.paused[id] == 0 {
			s.tick(id)
			s.runHost(id)
			continue
		}
		s.paused[id]--
		if s.paused[id] == 0 {
			s.network = append(s.network, s.queued[id]...) // delivered together after it resumes
			delete(s.queued, id)
		}
	}
	for _, m := range s.takeShuffled() {
		n := s.nodes[m.To]
		unreachable := n == nil || s.isolated[m.From] || s.isolated[m.To] ||
			s.partitioned[[2]ID{m.From, m.To}] || s.failingDisks[m.To] > 0
		if s.paused[m.To] == 0 {
			if s.arrives(m, unreachable) {
				n.Step(m)
				s.runHost(m.To)
			}
			continue
		}
		if lost := s.rng.IntN(100) < percentLost; !lost && !unreachable && len(s.queued[m.To]) < maxQueuedWhilePaused {
			s.queued[m.To] = append(s.queued[m.To], m)
		}
	}
	s.boundNetwork()
	s.checkReads()
}

// tick advances a member by up to two ticks, depending on the speed of its clock.
func (s *faultySimCluster) tick(id ID) {
	clockSpeed := s.clockSpeed[id]
	if clockSpeed == 0 {
		clockSpeed = defaultClockSpeed
	}
	for range 2 {
		if s.rng.IntN(16) < clockSpeed && s.failingDisks[id] == 0 {
			s.nodes[id].Tick()
		}
	}
}

// runHost processes the pending work of a member. If its disk fails writes, it sends nothing and steps
// down as leader, as package controlplane does.
func (s *faultySimCluster) runHost(id ID) {
	n := s.nodes[id]
	if s.failingDisks[id] > 0 {
		s.failingDisks[id]--
		if r := n.Ready(); r.MustSync() {
			n.StepDown()
			return
		}
	}
	s.simCluster.runHost(id)
}

// checkReads starts reads at leaders and checks those that are confirmed: the leader must have applied
// every entry that was committed before the read arrived. The same condition makes it safe for
// a leader to grant a lease to a limiter (package controlplane).
func (s *faultySimCluster) checkReads() {
	if ids := s.liveIDs(); len(ids) > 0 && s.rng.IntN(4) == 0 && len(s.reads) < maxOpenReads {
		id := ids[s.rng.IntN(len(ids))]
		if n := s.nodes[id]; n.Role() == Leader && s.paused[id] == 0 {
			s.reads = append(s.reads, pendingRead{
				leader:    id,
				term:      n.Term(),
				round:     n.NextReadIndexRound(),
				committed: s.highestCommitted(),
			})
			n.BroadcastHeartbeat()
			s.runHost(id)
		}
	}
	var pending []pendingRead
	for _, r := range s.reads {
		n := s.nodes[r.leader]
		if n == nil || n.Role() != Leader || n.Term() != r.term {
			continue
		}
		if !n.HasCommittedInTerm() || n.ConfirmedReadIndexRound() < r.round {
			pending = append(pending, r)
			continue
		}
		if n.AppliedIndex() < r.committed {
			s.fail("member %d confirms a read with applied index %d, but index %d was committed before the read",
				r.leader, n.AppliedIndex(), r.committed)
		}
		s.readsConfirmed++
	}
	s.reads = pending
}

package raft

import "testing"

const (
	defaultClockSpeed    = 7 // of 16: how often a member's clock ticks in half a step
	maxQueuedWhilePaused = 50
	maxOpenReads         = 20
)

// faultySimCluster adds disks that refuse writes, members that pause, clocks that run at
// different speeds, one-way partitions and loss of power of all members, and checks reads.
type faultySimCluster struct {
	*simCluster
	failingDisks map[ID]int       // steps for which a member's disk refuses writes
	paused       map[ID]int       // steps for which a member stands still
	queued       map[ID][]Message // what arrives for it meanwhile
	clockSpeed   map[ID]int       // speed of a member's clock, of 16; 0: defaultPace
	partitioned  map[[2]ID]bool   // one way: from, to
	reads        []pendingRead
}

// pendingRead waits for a leader's read index.
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

// endFaults ends all faults, but for members that are down.
func (s *faultySimCluster) endFaults() {
	clear(s.partitioned)
	clear(s.isolated)
	clear(s.failingDisks)
	clear(s.paused)
	clear(s.clockSpeed)
}

// injectFault has something go wrong at random, within what a cluster must bear: the contents of
// one disk lost at a time.
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
	case 9: // all lose power at once
		clear(s.nodes)
		clear(s.queued)
	case 10: // right after something was acknowledged
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

// proposeSometimes proposes a value, if there is a leader.
func (s *faultySimCluster) proposeSometimes(leader *Node) {
	if leader != nil && s.rng.IntN(3) == 0 {
		s.values++
		s.propose(leader, []byte{byte(s.values >> 8), byte(s.values), 1})
	}
}

// loseDisk loses the disk of a member, or of the leader right after an acknowledgement. It returns
// false if the cluster can't bear that now.
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

// step plays one step of time for all members, and delivers what is in flight.
func (s *faultySimCluster) step() {
	for _, id := range s.liveIDs() {
		if s.paused[id] == 0 {
			s.tick(id)
			s.runHost(id)
			continue
		}
		s.paused[id]--
		if s.paused[id] == 0 {
			s.network = append(s.network, s.queued[id]...) // all at once when it resumes
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

// tick counts up to two ticks of a member's clock.
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

// runHost is the host of a member. With a disk that refuses writes it sends nothing, and gives
// up leadership, as package controlplane does.
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

// checkReads begins reads at leaders, and checks those that are confirmed: the leader must know
// all that was committed before the read arrived. A lease that a leader grants is the same.
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
			s.fail("%d confirms a read with applied index %d, and %d was committed before it",
				r.leader, n.AppliedIndex(), r.committed)
		}
		s.readsConfirmed++
	}
	s.reads = pending
}

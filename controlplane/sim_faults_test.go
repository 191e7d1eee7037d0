package controlplane

import (
	"slices"

	"example.org/elmspan/raft"
)

// The faults that can be planted in the members of a simulation, for the checkers to detect.
const (
	faultReadsUnconfirmed         = "reads without confirming leadership"
	faultRefusesUnconfirmed       = "refuses without confirming leadership"
	faultIgnoresFingerprint       = "distinguishes commands by their revision alone"
	faultRemembersFour            = "remembers only four revisions"
	faultAppliesWithoutEvaluation = "evaluates before proposing, but not when applying"
	faultConfirmsProposed         = "acknowledges before the commit"
	faultAnswersByIndexAlone      = "answers by the index of an entry, whatever its term"
	faultSendsBeforeSync          = "sends before the disk sync"
	faultWipedKeepsID             = "a wiped member keeps its id"
)

// powerOff makes a member lose power. Its disk keeps the saved state.
func (s *registerSim) powerOff(id raft.ID) {
	delete(s.members, id)
	delete(s.frozen, id)
}

// failAfterAcknowledgement injects a fault at a leader right after it has acknowledged a command.
func (s *registerSim) failAfterAcknowledgement(id raft.ID) {
	if !s.losses {
		s.powerOff(id)
		return
	}
	canLoseDisk := s.canLoseDisk(s.members[id])
	switch s.rng.IntN(4) {
	case 0:
		s.powerOff(id)
	case 1: // all members lose power
		clear(s.members)
	case 2: // the leader's disk is lost while all members lose power
		clear(s.members)
		fallthrough
	case 3: // the leader's disk is lost
		s.powerOff(id)
		if canLoseDisk {
			s.wipe(slices.Index(s.slots, id))
		}
	}
}

// wipe replaces the disk of a machine by an empty one, on which a new member starts: with
// faultWipedKeepsID, one with the id of the old member.
func (s *registerSim) wipe(slot int) {
	old := s.slots[slot]
	s.powerOff(old)
	if s.fault == faultWipedKeepsID {
		neighbour := s.slots[(slot+1)%simVoters]
		first := raft.Snapshot{Members: s.disks[neighbour].Snapshot.Members}
		*s.disks[old] = raft.PersistentState{Snapshot: first}
		s.start(old)
		return
	}
	delete(s.disks, old)
	s.lastID++
	s.slots[slot] = s.lastID
	s.disks[s.lastID] = &raft.PersistentState{}
	s.start(s.lastID)
}

// isolate blocks the links of a member: those from it, those to it, or both.
func (s *registerSim) isolate(id raft.ID, from, to bool) {
	for _, other := range s.slots {
		if other != id {
			s.blocked[link{id, other}] = from
			s.blocked[link{other, id}] = to
		}
	}
}

// injectFault injects one random fault, repairs links, restarts a member, or does nothing.
func (s *registerSim) injectFault() {
	slot := s.rng.IntN(len(s.slots))
	target, peer := s.slots[slot], s.slots[s.rng.IntN(len(s.slots))]
	switch event := s.rng.IntN(60); {
	case event == 0:
		s.powerOff(target)
	case event <= 3:
		s.blocked[link{target, peer}] = true
	case event == 4:
		s.isolateLeaders()
	case event <= 6:
		clear(s.blocked)
		clear(s.slow)
	case event == 7:
		s.frozen[target] = 20 + s.rng.IntN(60)
	case event <= 11:
		if s.members[target] == nil {
			s.start(target)
		}
	case event == 12:
		s.restartAll()
	case event == 13:
		if s.losses {
			s.slow[link{target, peer}] = true
		}
	case event == 14:
		s.partitionTemporarily(target)
	case event <= 18:
		s.loseDisk(slot)
	}
}

// loseDisk wipes a machine, in a simulation with losses, if no committed entry can be lost by that.
func (s *registerSim) loseDisk(slot int) {
	leader := s.leader()
	if s.losses && leader != 0 && len(s.partitioned) == 0 && s.canLoseDisk(s.members[leader]) {
		s.wipe(slot)
	}
}

// isolateLeaders blocks all messages to each leader and, with a probability of one half, those from
// it.
func (s *registerSim) isolateLeaders() {
	for _, id := range s.ids() {
		if s.members[id].node.Role() == raft.Leader {
			s.isolate(id, s.rng.IntN(2) == 0, true)
		}
	}
}

// restartAll makes all members lose power and restart.
func (s *registerSim) restartAll() {
	clear(s.members)
	clear(s.frozen)
	for _, id := range s.slots {
		s.start(id)
	}
}

// partitionTemporarily isolates a member for 20 s, in a simulation with losses. With a probability of
// one half it isolates the leader instead.
func (s *registerSim) partitionTemporarily(id raft.ID) {
	if leader := s.leader(); leader != 0 && s.rng.IntN(2) == 0 {
		id = leader
	}
	if s.losses && len(s.partitioned) == 0 {
		s.partitioned[id] = s.now + partitionSteps
	}
}

package controlplane

import (
	"slices"

	"example.org/elmspan/raft"
)

// The faults that can be planted in the members of a simulation, for the checkers to find.
const (
	faultReadsUnconfirmed         = "reads without a confirmation"
	faultRefusesUnconfirmed       = "refuses without a confirmation"
	faultIgnoresFingerprint       = "distinguishes commands by their revision alone"
	faultRemembersFour            = "remembers four revisions"
	faultAppliesWithoutEvaluation = "evaluates before proposing, and not when applying"
	faultConfirmsProposed         = "confirms before it is committed"
	faultAnswersByIndexAlone      = "answers by another's entry"
	faultSendsBeforeSync          = "sends before the disk has synced"
	faultWipedKeepsID             = "a wiped member keeps its id"
)

// powerOff has a member lose power. Its disk keeps what was saved.
func (s *registerSim) powerOff(id raft.ID) {
	delete(s.members, id)
	delete(s.frozen, id)
}

// failAfterAcknowledgement is a fault at a leader right after it has acknowledged something.
func (s *registerSim) failAfterAcknowledgement(id raft.ID) {
	if !s.losses {
		s.powerOff(id)
		return
	}
	canLoseDisk := s.canLoseDisk(s.members[id])
	switch s.rng.IntN(4) {
	case 0:
		s.powerOff(id)
	case 1: // all lose power
		clear(s.members)
	case 2: // one disk is lost while all others lose power
		clear(s.members)
		fallthrough
	case 3: // one disk is lost
		s.powerOff(id)
		if canLoseDisk {
			s.wipe(slices.Index(s.slots, id))
		}
	}
}

// wipe takes a machine's disk away: what starts there is a new member.
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
	s.nextID++
	s.slots[slot] = s.nextID
	s.disks[s.nextID] = &raft.PersistentState{}
	s.start(s.nextID)
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

// injectFault has one thing happen, or nothing.
func (s *registerSim) injectFault() {
	slot := s.rng.IntN(len(s.slots))
	one, other := s.slots[slot], s.slots[s.rng.IntN(len(s.slots))]
	switch event := s.rng.IntN(60); {
	case event == 0:
		s.powerOff(one)
	case event <= 3:
		s.blocked[link{one, other}] = true
	case event == 4:
		s.isolateLeaders()
	case event <= 6:
		clear(s.blocked)
		clear(s.slow)
	case event == 7:
		s.frozen[one] = 20 + s.rng.IntN(60)
	case event <= 11:
		if s.members[one] == nil {
			s.start(one)
		}
	case event == 12:
		s.restartAll()
	case event == 13:
		if s.losses {
			s.slow[link{one, other}] = true
		}
	case event == 14:
		s.isolated(one)
	case event <= 18:
		s.loseDisk(slot)
	}
}

// loseDisk wipes a machine, in a simulation with losses, where that can't lose what is committed.
func (s *registerSim) loseDisk(slot int) {
	leader := s.leader()
	if s.losses && leader != 0 && len(s.partitioned) == 0 && s.canLoseDisk(s.members[leader]) {
		s.wipe(slot)
	}
}

// isolateLeaders cuts each leader off: all that it is sent, and half of the time what it sends.
func (s *registerSim) isolateLeaders() {
	for _, id := range s.ids() {
		if s.members[id].node.Role() == raft.Leader {
			s.isolate(id, s.rng.IntN(2) == 0, true)
		}
	}
}

// restartAll has all members lose power and start again.
func (s *registerSim) restartAll() {
	clear(s.members)
	clear(s.frozen)
	for _, id := range s.slots {
		s.start(id)
	}
}

// isolated cuts a member off for 20 s, in a simulation with losses; half of the time the leader in
// its place.
func (s *registerSim) isolated(id raft.ID) {
	if leader := s.leader(); leader != 0 && s.rng.IntN(2) == 0 {
		id = leader
	}
	if s.losses && len(s.partitioned) == 0 {
		s.partitioned[id] = s.now + longPartition
	}
}

package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/elmspan/raft"
)

// lossKind is how a machine is lost.
type lossKind string

const (
	lossCrash     lossKind = "crash"
	lossPartition lossKind = "cut"
	lossLeave     lossKind = "leave" // asked to end, it has some time; it comes back with its disk
	lossWiped     lossKind = "wiped"
	lossReplaced  lossKind = "replaced" // for good, by one at another address
	lossRestart   lossKind = "restart"
)

var lossKinds = []lossKind{lossCrash, lossPartition, lossLeave, lossWiped, lossReplaced, lossRestart}

// lose has a machine lost. It is lost until it or its successor has been back for repairTicks.
func (s *replacementSim) lose(m *simMachine) {
	kind := lossKinds[s.rng.IntN(len(lossKinds))]
	if s.alwaysLeader {
		kind = lossReplaced
	}
	s.losses = append(s.losses, fmt.Sprintf("%d: %s of %s", s.now, kind, m.addr))
	down := s.rng.IntN(200)
	if s.alwaysLeader {
		down = s.rng.IntN(10)
	}
	switch kind {
	case lossLeave:
		m.leaving, m.killAt, m.lostUntil = true, s.now+killTicks, neverRepaired
		return
	case lossPartition:
		m.partitioned = true
		s.repairAfter(m, down, func() { m.partitioned = false })
		return
	case lossRestart:
		down /= 10
	}
	m.node = nil
	s.repairAfter(m, down, func() { s.comeBack(m, kind) })
}

// comeBack starts a machine that was lost, or its successor.
func (s *replacementSim) comeBack(m *simMachine, kind lossKind) {
	switch kind {
	case lossReplaced:
		m.addr = fmt.Sprint("b", s.nextID)
		s.startEmpty(m)
	case lossWiped:
		s.startEmpty(m)
	default:
		s.start(m)
	}
}

// repairAfter has a machine come back after so many ticks.
func (s *replacementSim) repairAfter(m *simMachine, ticks int, repair func()) {
	at := s.now + 1 + ticks
	m.repair, m.repairAt, m.lostUntil = repair, at, at+repairTicks
}

// leave has a machine that is leaving end once it may, or when it is killed.
func (s *replacementSim) leave(m *simMachine) {
	if s.now%4 == 0 {
		m.node.TransferLeadership()
	}
	if s.now >= m.killAt || !s.formerPolicy && !m.node.NeededForQuorum() {
		m.node, m.leaving = nil, false
		s.repairAfter(m, s.rng.IntN(100), func() { s.start(m) })
	}
}

func (s *replacementSim) isLost(m *simMachine) bool { return m.lostUntil > s.now }

func (s *replacementSim) lostMachines() int {
	lost := 0
	for _, m := range s.machines {
		if s.isLost(m) {
			lost++
		}
	}
	return lost
}

// run has so many losses happen, each as soon as one before is repaired: at most so many at
// once. It returns the first broken rule.
func (s *replacementSim) run(losses, atOnce int) error {
	s.steps(repairTicks)
	for losses > 0 && s.failure == nil {
		s.step()
		m := s.machines[s.rng.IntN(len(s.machines))]
		if s.lostMachines() >= atOnce || s.isLost(m) || s.rng.IntN(3) == 0 {
			continue
		}
		if l := s.leader(); l != nil && !s.isLost(l) && (s.alwaysLeader || s.rng.IntN(3) == 0) {
			m = l // the one that knows most
		}
		s.lose(m)
		losses--
	}
	for s.failure == nil && s.lostMachines() > 0 {
		s.step()
	}
	if s.failure == nil {
		s.checkRepaired()
	}
	if s.failure != nil {
		return fmt.Errorf("%w, after %q", s.failure, s.losses)
	}
	return nil
}

// checkRepaired checks that all machines have what was committed, and that there are as many
// voters as are wanted.
func (s *replacementSim) checkRepaired() {
	highest := slices.Max(slices.Collect(maps.Keys(s.committed)))
	for _, m := range s.machines {
		if applied := m.node.AppliedIndex(); applied+30 < highest {
			s.fail("%d has applied %d of %d entries", m.id, applied, highest)
		}
	}
	// A machine without joint changes may leave one voter more.
	anyNumber := slices.ContainsFunc(s.machines, func(m *simMachine) bool { return m.withoutJoint })
	l := s.leader()
	switch {
	case l == nil || !anyNumber && voterCount(l.node.Members()) != s.voters:
		s.fail("not %d voters", s.voters)
	case l.node.CommitIndex() < highest:
		s.fail("the leader knows that %d entries are committed, %d were", l.node.CommitIndex(), highest)
	}
}

// awaitNewLeader steps until another machine than one leads.
func (s *replacementSim) awaitNewLeader(former *simMachine) (*simMachine, error) {
	for range maxTicksWithout + 1 {
		if l := s.leader(); l != nil && l != former {
			return l, nil
		}
		s.step()
	}
	return nil, errors.New("no new leader")
}

// replaceInTwoSteps is how voters were replaced once: by one more and, 0.2 s later, one less;
// those that do not answer after 3 s, as a leader counts them from its election on. Its proposals may be
// refused; then it makes them again.
func replaceInTwoSteps(n *raft.Node, wanted, ledFor int) {
	if !n.HasCommittedInTerm() {
		return
	}
	members := n.Members()
	promote, demote := -1, -1
	for i, m := range members {
		replaced := slices.ContainsFunc(members[i+1:], func(o raft.Member) bool { return o.Addr == m.Addr })
		sinceResponse := min(n.TicksSinceResponse(m.ID), ledFor)
		switch {
		case m.Voter:
			if replaced || sinceResponse > 60 {
				demote = i
			}
		case replaced || sinceResponse > removeTicks:
			_ = n.ProposeMembers(slices.Delete(slices.Clone(members), i, i+1))
			return
		case sinceResponse < electionTicks && n.CaughtUp(m.ID):
			promote = i
		}
	}
	proposeSwap(n, wanted, promote, demote)
}

// proposeSwap proposes one more voter or one less, of the members at indexes, -1 for none.
func proposeSwap(n *raft.Node, wanted, promote, demote int) {
	next := slices.Clone(n.Members())
	voters := voterCount(next)
	if promote >= 0 && (voters < wanted || voters == wanted && demote >= 0) {
		next[promote].Voter = true
		_ = n.ProposeMembers(next)
		return
	}
	if demote >= 0 && voters > wanted {
		_ = n.ProposeMembers(slices.Delete(next, demote, demote+1))
	}
}

package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/elmspan/raft"
)

// lossKind is the way in which a machine is lost.
type lossKind string

const (
	lossCrash     lossKind = "crash"
	lossPartition lossKind = "cut"
	lossLeave     lossKind = "leave"    // shuts down gracefully within a time limit, and restarts with its disk
	lossWiped     lossKind = "wiped"    // restarts with an empty disk
	lossReplaced  lossKind = "replaced" // permanently lost; an empty machine with another address takes its place
	lossRestart   lossKind = "restart"  // a crash with a tenth of the downtime
)

var lossKinds = []lossKind{lossCrash, lossPartition, lossLeave, lossWiped, lossReplaced, lossRestart}

// injectLoss injects the loss of a machine. The machine counts as lost until it or its replacement
// has been back for repairTicks.
func (s *replacementSim) injectLoss(m *simMachine) {
	kind := lossKinds[s.rng.IntN(len(lossKinds))]
	if s.alwaysLeader {
		kind = lossReplaced
	}
	s.lossLog = append(s.lossLog, fmt.Sprintf("%d: %s of %s", s.now, kind, m.addr))
	downTicks := s.rng.IntN(200)
	if s.alwaysLeader {
		downTicks = s.rng.IntN(10)
	}
	switch kind {
	case lossLeave:
		m.leaving, m.killAt, m.lostUntil = true, s.now+killDelayTicks, neverRepaired
		return
	case lossPartition:
		m.partitioned = true
		s.scheduleRepair(m, downTicks, func() { m.partitioned = false })
		return
	case lossRestart:
		downTicks /= 10
	}
	m.node = nil
	s.scheduleRepair(m, downTicks, func() { s.restart(m, kind) })
}

// restart starts a lost machine, or its replacement.
func (s *replacementSim) restart(m *simMachine, kind lossKind) {
	switch kind {
	case lossReplaced:
		m.addr = fmt.Sprint("b", s.lastID)
		s.startEmpty(m)
	case lossWiped:
		s.startEmpty(m)
	default:
		s.start(m)
	}
}

// scheduleRepair schedules the return of a machine after a number of ticks.
func (s *replacementSim) scheduleRepair(m *simMachine, ticks int, repair func()) {
	at := s.now + 1 + ticks
	m.repair, m.repairAt, m.lostUntil = repair, at, at+repairTicks
}

// stepLeaving advances the shutdown of a leaving machine: it transfers leadership, and stops once no
// quorum needs it or its time limit has passed.
func (s *replacementSim) stepLeaving(m *simMachine) {
	if s.now%4 == 0 {
		m.node.TransferLeadership()
	}
	if s.now >= m.killAt || !s.twoStepPolicy && !m.node.NeededForQuorum() {
		m.node, m.leaving = nil, false
		s.scheduleRepair(m, s.rng.IntN(100), func() { s.start(m) })
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

// run injects a number of losses, each as soon as fewer than maxConcurrent machines are lost. It
// returns the first violation.
func (s *replacementSim) run(losses, maxConcurrent int) error {
	s.steps(repairTicks)
	for losses > 0 && s.failure == nil {
		s.step()
		m := s.machines[s.rng.IntN(len(s.machines))]
		if s.lostMachines() >= maxConcurrent || s.isLost(m) || s.rng.IntN(3) == 0 {
			continue
		}
		if l := s.leader(); l != nil && !s.isLost(l) && (s.alwaysLeader || s.rng.IntN(3) == 0) {
			m = l // the machine with the most complete log
		}
		s.injectLoss(m)
		losses--
	}
	for s.failure == nil && s.lostMachines() > 0 {
		s.step()
	}
	if s.failure == nil {
		s.checkRepaired()
	}
	if s.failure != nil {
		return fmt.Errorf("%w, after losses %q", s.failure, s.lossLog)
	}
	return nil
}

// checkRepaired checks that all machines have applied the committed entries, but for the last 30,
// and that the number of voters is the configured one.
func (s *replacementSim) checkRepaired() {
	highest := slices.Max(slices.Collect(maps.Keys(s.committed)))
	for _, m := range s.machines {
		if applied := m.node.AppliedIndex(); applied+30 < highest {
			s.fail("member %d has applied %d of %d entries", m.id, applied, highest)
		}
	}
	// With a machine that doesn't support joint changes, one voter too many may remain.
	extraVoterAllowed := slices.ContainsFunc(s.machines, func(m *simMachine) bool { return m.withoutJoint })
	l := s.leader()
	switch {
	case l == nil || !extraVoterAllowed && voterCount(l.node.Members()) != s.voters:
		s.fail("no leader, or not %d voters", s.voters)
	case l.node.CommitIndex() < highest:
		s.fail("the leader has commit index %d, but %d was committed", l.node.CommitIndex(), highest)
	}
}

// awaitNewLeader steps until a machine other than the former leader leads.
func (s *replacementSim) awaitNewLeader(former *simMachine) (*simMachine, error) {
	for range maxCommitGap + 1 {
		if l := s.leader(); l != nil && l != former {
			return l, nil
		}
		s.step()
	}
	return nil, errors.New("no new leader")
}

// replaceInTwoSteps is a former replacement policy: it adds a voter and removes another one 0.2 s
// later. A voter is replaced if it has not answered for 3 s, counted from the leader's election at
// the earliest. A refused proposal is repeated at the next call.
func replaceInTwoSteps(n *raft.Node, targetVoters, ticksAsLeader int) {
	if !n.HasCommittedInTerm() {
		return
	}
	members := n.Members()
	promote, demote := -1, -1
	for i, m := range members {
		replaced := slices.ContainsFunc(members[i+1:], func(o raft.Member) bool { return o.Addr == m.Addr })
		sinceResponse := min(n.TicksSinceResponse(m.ID), ticksAsLeader)
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
	proposeVoterChange(n, targetVoters, promote, demote)
}

// proposeVoterChange proposes to promote or to demote a member, both given as indexes, -1 for none.
func proposeVoterChange(n *raft.Node, targetVoters, promote, demote int) {
	next := slices.Clone(n.Members())
	voters := voterCount(next)
	if promote >= 0 && (voters < targetVoters || voters == targetVoters && demote >= 0) {
		next[promote].Voter = true
		_ = n.ProposeMembers(next)
		return
	}
	if demote >= 0 && voters > targetVoters {
		_ = n.ProposeMembers(slices.Delete(next, demote, demote+1))
	}
}

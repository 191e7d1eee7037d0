package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/raft"
)

const (
	repairTicks    = 80      // a machine that has been back for this long counts as repaired
	maxCommitGap   = 100     // steps without a commit before the run fails
	killDelayTicks = 50      // a leaving machine is killed after this time
	neverRepaired  = 1 << 40 // lostUntil while no repair is scheduled
	seedAddrCount  = 3       // machines whose addresses are configured as seeds
)

// replacementSim simulates members on machines that are lost and repaired, with a limit on the number
// that are lost at the same time. It runs the real raft nodes and the real membership policy. A step
// is one tick.
type replacementSim struct {
	seed     uint64
	rng      *rand.Rand
	now      int
	machines []*simMachine
	inFlight []raft.Message
	lastID   raft.ID // last id given to a member that starts with an empty disk
	voters   int     // the configured number

	twoStepPolicy  bool // uses the former policy, see replaceInTwoSteps
	alwaysLeader   bool // each loss takes the leader permanently, and its replacement starts within 10 steps
	mixedVersions  bool // some machines don't support joint changes; changes may leave any number of voters
	observeChanges func([]raft.Member)

	committed     map[uint64]string // by index
	lastCommit    int               // step of the last commit
	longestGap    int               // in steps without a commit
	memberChanges int               // committed membership changes
	nextPayload   int
	lossLog       []string
	failure       error
}

// simMachine is a disk and the member that runs on it.
type simMachine struct {
	id                raft.ID
	addr              string
	disk              raft.PersistentState
	node              *raft.Node // nil while the machine is down
	policy            memberPolicy
	partitioned       bool
	lastNonLeaderStep int  // the last step at which the member was not the leader
	withoutJoint      bool // its version doesn't support joint changes
	leaving           bool
	killAt            int // step at which a leaving machine is killed

	repair    func()
	repairAt  int
	lostUntil int
}

func newReplacementSim(seed uint64, voters, standbys int) *replacementSim {
	s := &replacementSim{
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 3)),
		lastID:    100,
		voters:    voters,
		committed: map[uint64]string{},
	}
	var first []raft.Member
	for i := range voters {
		first = append(first, raft.Member{ID: raft.ID(i + 1), Addr: fmt.Sprint("a", i), Voter: true})
	}
	for i := range voters + standbys {
		m := &simMachine{id: raft.ID(i + 1), addr: fmt.Sprint("a", i)}
		if i < voters {
			m.disk.Snapshot.Members = first
		}
		s.machines = append(s.machines, m)
		s.start(m)
	}
	return s
}

func (s *replacementSim) start(m *simMachine) {
	m.leaving, m.partitioned = false, false
	m.policy = memberPolicy{voters: s.voters, ticks: s.now}
	m.disk.Entries = slices.Clone(m.disk.Entries)
	m.node = raft.New(raft.Config{
		ID:             m.id,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           s.rng.Uint64(),
	}, m.disk)
}

// startEmpty starts a machine with an empty disk, as a new member.
func (s *replacementSim) startEmpty(m *simMachine) {
	s.lastID++
	m.id, m.disk = s.lastID, raft.PersistentState{}
	s.start(m)
}

func (s *replacementSim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("seed %d, step %d: %s", s.seed, s.now, fmt.Sprintf(format, args...))
	}
}

// handleReady makes a machine persist, send and apply its ready batches.
func (s *replacementSim) handleReady(m *simMachine) {
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		m.save(&r)
		for _, msg := range r.Messages {
			msg.SupportsJoint = msg.SupportsJoint && !m.withoutJoint
			s.inFlight = append(s.inFlight, msg)
		}
		for i := range r.CommittedEntries {
			s.recordCommit(m, &r.CommittedEntries[i])
		}
		m.node.Advance(r)
	}
	m.compact()
}

// save stores the hard state, snapshot and entries of a batch.
func (m *simMachine) save(r *raft.Ready) {
	if r.HardState != nil {
		m.disk.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - m.disk.Snapshot.Index - 1
		m.disk.Entries = append(slices.Clip(m.disk.Entries[:keep]), r.Entries...)
	}
}

// compact takes a snapshot if one is due.
func (m *simMachine) compact() {
	applied := m.node.AppliedIndex()
	if applied < m.node.SnapshotIndex()+snapshotEntries {
		return
	}
	if snapshot := m.node.Compact(applied, []byte("s")); snapshot != nil {
		m.disk.Entries = slices.Clone(m.disk.Entries[snapshot.Index-m.disk.Snapshot.Index:])
		m.disk.Snapshot = *snapshot
	}
}

// recordCommit records a committed entry that a machine applies. An entry with the same index that
// another machine has applied must be identical.
func (s *replacementSim) recordCommit(m *simMachine, e *raft.Entry) {
	entry := fmt.Sprint(e.Term, " ", string(e.Data))
	if existing, known := s.committed[e.Index]; known {
		if existing != entry {
			s.fail("index %d had entry %q, but now has %q at member %d", e.Index, existing, entry, m.id)
		}
		return
	}
	s.committed[e.Index], s.lastCommit = entry, s.now
	if e.Members == nil {
		return
	}
	s.memberChanges++
	if s.observeChanges != nil {
		s.observeChanges(e.Members)
	}
	if n := voterCount(e.Members); n != s.voters && !s.twoStepPolicy && !s.mixedVersions {
		s.fail("a membership change leaves %d voters", n)
	}
}

// leader returns a machine that is not partitioned and has committed an entry in its term as a
// leader, nil if there is none.
func (s *replacementSim) leader() *simMachine {
	for _, m := range s.machines {
		if m.node != nil && !m.partitioned && m.node.HasCommittedInTerm() {
			return m
		}
	}
	return nil
}

func (s *replacementSim) step() {
	s.now++
	for _, m := range s.machines {
		s.stepMachine(m)
	}
	if l := s.leader(); l != nil && s.now%3 == 0 {
		s.nextPayload++
		// The error is ignored: a proposal that fails shows in the gap without a commit.
		_, _, _ = l.node.Propose(fmt.Append(nil, s.nextPayload))
		s.handleReady(l)
	}
	for range 2 { // a request and its response take one tick
		s.deliver()
	}
	gap := s.now - s.lastCommit
	s.longestGap = max(s.longestGap, gap)
	if gap > maxCommitGap {
		s.fail("nothing was committed for %d steps", gap)
	}
}

// stepMachine advances a machine by one tick.
func (s *replacementSim) stepMachine(m *simMachine) {
	if m.repair != nil && s.now >= m.repairAt {
		m.repair()
		m.repair = nil
	}
	if m.leaving {
		s.stepLeaving(m)
	}
	if m.node == nil {
		return
	}
	m.node.Tick()
	m.policy.ticks = s.now
	if m.node.Role() != raft.Leader {
		m.lastNonLeaderStep = s.now
	}
	s.reconcileMembers(m)
	if !m.partitioned {
		s.requestJoinOrLeave(m)
	}
	s.handleReady(m)
}

// reconcileMembers makes a machine propose the members that its policy wants. A proposal is refused
// while another change is pending; the next step repeats it.
func (s *replacementSim) reconcileMembers(m *simMachine) {
	if s.twoStepPolicy || m.withoutJoint {
		if s.now%4 == 0 {
			replaceInTwoSteps(m.node, s.voters, s.now-m.lastNonLeaderStep)
		}
		return
	}
	if _, next := m.policy.nextMembers(m.node); next != nil {
		_ = m.node.ProposeMembers(next)
	}
}

// deliver delivers the messages in flight, and loses one in fifty.
func (s *replacementSim) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	for _, msg := range messages {
		from, to := s.machine(msg.From), s.machine(msg.To)
		if from == nil || to == nil || from.partitioned || to.partitioned || to.node == nil || s.rng.IntN(50) == 0 {
			continue
		}
		to.node.Step(msg)
		s.handleReady(to)
	}
}

// requestJoinOrLeave makes the calls of a member that asks to be added or to leave.
func (s *replacementSim) requestJoinOrLeave(m *simMachine) {
	known, _ := isMember(m.node.Members(), m.id)
	switch l := s.leader(); {
	case m.leaving && l != nil && l != m && s.now%4 == 0 && !s.twoStepPolicy:
		l.policy.markLeaving(m.id)
	case (!known || m.node.Leader() == 0) && s.now%joinIntervalTicks == 0:
		s.requestJoin(m)
	}
}

// requestJoin performs one round of a [joiner], with calls that take no time: a machine calls the
// seeds and the members that it knows, then the leaders that they name.
func (s *replacementSim) requestJoin(m *simMachine) {
	var members []string
	for _, other := range m.node.Members() {
		members = append(members, other.Addr)
	}
	candidates := newJoinCandidates(m.addr, s.seeds(), members)
	for wave := candidates.next(); len(wave) > 0; wave = candidates.next() {
		for _, addr := range wave {
			to := s.machineAt(addr)
			if to == nil || to.node == nil || to.partitioned {
				continue
			}
			if to.node.Role() == raft.Leader {
				s.addMember(to, m)
				return
			}
			if leader := s.machine(to.node.Leader()); leader != nil {
				candidates.add(leader.addr)
			}
		}
	}
}

// addMember makes a leader propose to add the member of a machine, unless it is one already.
func (s *replacementSim) addMember(l, m *simMachine) {
	members := l.node.Members()
	if known, _ := isMember(members, m.id); known {
		return
	}
	joining := raft.Member{ID: m.id, Addr: m.addr, SupportsJoint: !m.withoutJoint}
	_ = l.node.ProposeMembers(append(slices.Clone(members), joining)) // if refused, the machine asks again
	s.handleReady(l)
}

// seeds returns the configured seed addresses, which are those of the first machines only.
func (s *replacementSim) seeds() []string {
	var addrs []string
	for _, m := range s.machines[:seedAddrCount] {
		addrs = append(addrs, m.addr)
	}
	return addrs
}

func (s *replacementSim) machineAt(addr string) *simMachine {
	for _, m := range s.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (s *replacementSim) machine(id raft.ID) *simMachine {
	for _, m := range s.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (s *replacementSim) steps(n int) {
	for i := 0; i < n && s.failure == nil; i++ {
		s.step()
	}
}

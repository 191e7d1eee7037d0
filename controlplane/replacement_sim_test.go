package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/raft"
)

const (
	repairTicks     = 80  // a machine that is back for so long counts as repaired
	maxTicksWithout = 100 // a commit
	killTicks       = 50  // a machine that is asked to leave is killed after so long
	neverRepaired   = 1 << 40
	simSeeds        = 3 // machines that the settings of all name
)

// replacementSim are members on machines that are lost one after another, the next one as soon
// as the one before is repaired. The raft nodes and the policy are the real ones, a step is a
// tick.
type replacementSim struct {
	seed     uint64
	rng      *rand.Rand
	now      int
	machines []*simMachine
	net      []raft.Message
	nextID   raft.ID // of the next member with an empty disk
	voters   int     // wanted

	formerPolicy   bool // voters are replaced as they once were, see replaceInTwoSteps
	alwaysLeader   bool // it is the leader that is lost, for good, and its successor is there at once
	mixedVersions  bool // some machines don't support joint changes
	observeChanges func([]raft.Member)

	committed   map[uint64]string // by index
	lastCommit  int               // step
	longestGap  int               // without a commit, in steps
	changes     int               // of members, committed
	nextPayload int
	losses      []string
	failure     error
}

// simMachine is one disk, and the member on it.
type simMachine struct {
	id           raft.ID
	addr         string
	disk         raft.PersistentState
	node         *raft.Node // nil: down
	policy       memberPolicy
	partitioned  bool
	notLeaderAt  int  // the last step at which it didn't lead
	withoutJoint bool // its version doesn't support joint changes
	leaving      bool
	killAt       int // when it is killed, leaving or not

	repair    func()
	repairAt  int
	lostUntil int
}

func newReplacementSim(seed uint64, voters, standbys int) *replacementSim {
	s := &replacementSim{
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 3)),
		nextID:    100,
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

// startEmpty has a machine start with nothing on its disk.
func (s *replacementSim) startEmpty(m *simMachine) {
	s.nextID++
	m.id, m.disk = s.nextID, raft.PersistentState{}
	s.start(m)
}

func (s *replacementSim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("seed %d, step %d: %s", s.seed, s.now, fmt.Sprintf(format, args...))
	}
}

// handleReady has a machine persist, send and apply what is ready.
func (s *replacementSim) handleReady(m *simMachine) {
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		m.save(&r)
		for _, msg := range r.Messages {
			msg.SupportsJoint = msg.SupportsJoint && !m.withoutJoint
			s.net = append(s.net, msg)
		}
		for i := range r.CommittedEntries {
			s.commit(m, &r.CommittedEntries[i])
		}
		m.node.Advance(r)
	}
	m.compact()
}

// save stores a batch.
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

// compact makes a snapshot where one is due.
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

// commit notes an entry that a machine applies, or requires that it is the one of before.
func (s *replacementSim) commit(m *simMachine, e *raft.Entry) {
	entry := fmt.Sprint(e.Term, " ", string(e.Data))
	if had, known := s.committed[e.Index]; known {
		if had != entry {
			s.fail("index %d held %q and now %q at %d", e.Index, had, entry, m.id)
		}
		return
	}
	s.committed[e.Index], s.lastCommit = entry, s.now
	if e.Members == nil {
		return
	}
	s.changes++
	if s.observeChanges != nil {
		s.observeChanges(e.Members)
	}
	if n := voterCount(e.Members); n != s.voters && !s.formerPolicy && !s.mixedVersions {
		s.fail("%d voters", n)
	}
}

// leader is a machine that can commit, as far as it knows.
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
		// Where it can't be proposed, the gap without a commit shows it.
		_, _, _ = l.node.Propose(fmt.Append(nil, s.nextPayload))
		s.handleReady(l)
	}
	for range 2 { // there and back in the time of a tick
		s.deliver()
	}
	gap := s.now - s.lastCommit
	s.longestGap = max(s.longestGap, gap)
	if gap > maxTicksWithout {
		s.fail("nothing was committed for %d steps", gap)
	}
}

// stepMachine has a tick pass at a machine.
func (s *replacementSim) stepMachine(m *simMachine) {
	if m.repair != nil && s.now >= m.repairAt {
		m.repair()
		m.repair = nil
	}
	if m.leaving {
		s.leave(m)
	}
	if m.node == nil {
		return
	}
	m.node.Tick()
	m.policy.ticks = s.now
	if m.node.Role() != raft.Leader {
		m.notLeaderAt = s.now
	}
	s.reconcileMembers(m)
	if !m.partitioned {
		s.callOthers(m)
	}
	s.handleReady(m)
}

// reconcileMembers has a machine propose the members that there should be. A proposal is
// refused where another change is pending; then the next step makes it again.
func (s *replacementSim) reconcileMembers(m *simMachine) {
	if s.formerPolicy || m.withoutJoint {
		if s.now%4 == 0 {
			replaceInTwoSteps(m.node, s.voters, s.now-m.notLeaderAt)
		}
		return
	}
	if _, next := m.policy.nextMembers(m.node); next != nil {
		_ = m.node.ProposeMembers(next)
	}
}

// deliver delivers what was sent; one message in fifty is lost.
func (s *replacementSim) deliver() {
	messages := s.net
	s.net = nil
	for _, msg := range messages {
		from, to := s.machine(msg.From), s.machine(msg.To)
		if from == nil || to == nil || from.partitioned || to.partitioned || to.node == nil || s.rng.IntN(50) == 0 {
			continue
		}
		to.node.Step(msg)
		s.handleReady(to)
	}
}

// callOthers is what a member asks others for: to be taken in, or let go.
func (s *replacementSim) callOthers(m *simMachine) {
	known, _ := isMember(m.node.Members(), m.id)
	switch l := s.leader(); {
	case m.leaving && l != nil && l != m && s.now%4 == 0 && !s.formerPolicy:
		l.policy.markLeaving(m.id)
	case (!known || m.node.Leader() == 0) && s.now%joinIntervalTicks == 0:
		s.requestJoin(m)
	}
}

// requestJoin is a round of a [joiner], in which calls take no time: a machine asks the seeds and the
// members that it knows, then those that they name as leader.
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

// addMember has a leader add a machine's member, unless it is there.
func (s *replacementSim) addMember(l, m *simMachine) {
	members := l.node.Members()
	if known, _ := isMember(members, m.id); known {
		return
	}
	joins := raft.Member{ID: m.id, Addr: m.addr, SupportsJoint: !m.withoutJoint}
	_ = l.node.ProposeMembers(append(slices.Clone(members), joins)) // it asks again
	s.handleReady(l)
}

// seeds are the addresses that each machine is given, of some of the machines only.
func (s *replacementSim) seeds() []string {
	var addrs []string
	for _, m := range s.machines[:simSeeds] {
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

package raft

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	simVoters            = 3
	simElectionTicks     = 10
	simHeartbeatTicks    = 2
	simTrailingEntries   = 6
	simSnapshotInterval  = 16  // entries between two snapshots
	simMaxInFlight       = 200 // messages; beyond this the oldest half is lost
	simConvergenceSteps  = 3000
	simCrashBeforeSync   = 400 // syncs per crash, on average
	simCrashAfterSync    = 800 // Readys per crash, on average
	percentLost          = 4
	percentLostOrDelayed = 14
	percentFaulty        = 18 // lost, delayed or duplicated
)

// simCluster simulates a cluster under faults: messages are lost, delayed, reordered and duplicated;
// members crash, lose unsynced writes or their whole disk, and are replaced. A seed reproduces a run.
type simCluster struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	nodes    map[ID]*Node
	disks    map[ID]*PersistentState
	network  []Message
	isolated map[ID]bool // members whose messages are lost in both directions
	lastID   ID          // of the last member created

	// Observations for the checks.
	committed map[uint64]string // data by index, as first applied by any member
	leaders   map[uint64]ID     // by term

	// Counts that show that a run exercised the code.
	values         int // values proposed
	readsConfirmed int
	installed      int // snapshots installed
	swaps          int // joint changes proposed
}

// newSimCluster starts three voters with empty disks.
func newSimCluster(t *testing.T, seed uint64) *simCluster {
	s := &simCluster{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		nodes:     map[ID]*Node{},
		disks:     map[ID]*PersistentState{},
		isolated:  map[ID]bool{},
		lastID:    100,
		committed: map[uint64]string{},
		leaders:   map[uint64]ID{},
	}
	var initial []Member
	for i := range simVoters {
		initial = append(initial, Member{ID: ID(i + 1), Addr: fmt.Sprint(i + 1), Voter: true, SupportsJoint: true})
	}
	for _, m := range initial {
		s.disks[m.ID] = &PersistentState{Snapshot: Snapshot{Members: initial}}
		s.start(m.ID)
	}
	return s
}

// snapshotData returns the state of the replicated service at an index, which takes several chunks.
func snapshotData(index uint64) []byte {
	return bytes.Repeat(fmt.Append(nil, "state at ", index, ";"), 4)
}

// sortedIDs returns the keys of a map in order, so that a run does not depend on the order of the map.
func sortedIDs[V any](m map[ID]V) []ID { return slices.Sorted(maps.Keys(m)) }

// fail ends the test with a message that has the seed of the run. Functions that a run calls often do
// not call t.Helper, which would take half of the run time.
func (s *simCluster) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

// liveIDs returns the members that are up.
func (s *simCluster) liveIDs() []ID { return sortedIDs(s.nodes) }

// start starts a member from its disk.
func (s *simCluster) start(id ID) {
	d := s.disks[id]
	cfg := Config{
		ID:              id,
		ElectionTicks:   simElectionTicks,
		HeartbeatTicks:  simHeartbeatTicks,
		Seed:            s.rng.Uint64(),
		ChunkBytes:      16 << (s.seed % 4 * 2),
		TrailingEntries: simTrailingEntries,
	}
	s.nodes[id] = New(cfg, PersistentState{
		HardState: d.HardState,
		Snapshot:  d.Snapshot,
		Entries:   slices.Clone(d.Entries),
	})
}

// crash stops a member. Its disk is kept.
func (s *simCluster) crash(id ID) { delete(s.nodes, id) }

// startAll starts all members that are down.
func (s *simCluster) startAll() {
	for _, id := range sortedIDs(s.disks) {
		if s.nodes[id] == nil {
			s.start(id)
		}
	}
}

// replaceDisk removes a member with its disk, and starts a new member with an empty disk.
func (s *simCluster) replaceDisk(id ID) {
	s.crash(id)
	delete(s.disks, id)
	s.lastID++
	s.disks[s.lastID] = &PersistentState{}
	s.start(s.lastID)
}

// leader returns a leader that has committed an entry in its term, nil if there is none.
func (s *simCluster) leader() *Node {
	for _, id := range s.liveIDs() {
		if n := s.nodes[id]; n.Role() == Leader && n.HasCommittedInTerm() {
			return n
		}
	}
	return nil
}

// awaitLeader runs the simulation until there is a leader.
func (s *simCluster) awaitLeader() *Node {
	for s.leader() == nil {
		s.step()
	}
	return s.leader()
}

// propose proposes a value at a leader.
func (s *simCluster) propose(leader *Node, data []byte) {
	if _, _, err := leader.Propose(data); err != nil {
		s.fail("leader rejected a proposal: %v", err)
	}
}

// proposeMembers proposes a membership change and reports whether the leader accepted it.
func (s *simCluster) proposeMembers(leader *Node, members []Member) bool {
	err := leader.ProposeMembers(members)
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrChangePending), errors.Is(err, ErrInvalidChange), errors.Is(err, ErrJointUnsupported):
	default:
		s.fail("leader rejected a membership change: %v", err)
	}
	return false
}

// runHost processes the pending work of a member. The member may crash before or after each sync.
func (s *simCluster) runHost(id ID) {
	n := s.nodes[id]
	for {
		if n.LostDurability() { // members with a rolled-back disk are run by runHostWithoutDisk instead
			s.fail("member %d was notified of lost entries although it kept its disk", id)
		}
		r := n.Ready()
		if r.Empty() {
			break
		}
		if r.MustSync() && s.rng.IntN(simCrashBeforeSync) == 0 {
			s.crash(id)
			return
		}
		s.store(id, r)
		if s.rng.IntN(simCrashAfterSync) == 0 {
			s.crash(id)
			return
		}
		s.network = append(s.network, r.Messages...)
		for _, e := range r.CommittedEntries {
			s.apply(id, e)
		}
		n.Advance(r)
	}
	s.checkOneLeaderPerTerm(n, id)
	s.compactSometimes(n, id)
}

// store writes to a member's disk what must be stored before messages are sent.
func (s *simCluster) store(id ID, r Ready) {
	d := s.disks[id]
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		if !bytes.Equal(r.Snapshot.Data, snapshotData(r.Snapshot.Index)) {
			s.fail("member %d installs %q as the snapshot of index %d", id, r.Snapshot.Data, r.Snapshot.Index)
		}
		s.installed++
		d.Snapshot, d.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		kept := r.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(slices.Clone(d.Entries[:kept]), r.Entries...)
	}
}

// apply checks that all members apply the same data at an index.
func (s *simCluster) apply(id ID, e Entry) {
	if len(e.Data) == 0 {
		return
	}
	if first, found := s.committed[e.Index]; found && first != string(e.Data) {
		s.fail("index %d was applied as %q, but member %d applies %q", e.Index, first, id, e.Data)
	}
	s.committed[e.Index] = string(e.Data)
}

func (s *simCluster) checkOneLeaderPerTerm(n *Node, id ID) {
	if n.Role() != Leader {
		return
	}
	if other, found := s.leaders[n.Term()]; found && other != id {
		s.fail("term %d has two leaders, members %d and %d", n.Term(), other, id)
	}
	s.leaders[n.Term()] = id
}

// compactSometimes makes a snapshot if the applied index is a multiple of simSnapshotInterval.
func (s *simCluster) compactSometimes(n *Node, id ID) {
	applied := n.AppliedIndex()
	if applied == 0 || applied%simSnapshotInterval != 0 {
		return
	}
	if snapshot := n.Compact(applied, snapshotData(applied)); snapshot != nil {
		d := s.disks[id]
		d.Entries = slices.Clone(d.Entries[snapshot.Index-d.Snapshot.Index:])
		d.Snapshot = *snapshot
	}
}

// step advances each live member by one tick or none and delivers the messages in flight.
func (s *simCluster) step() {
	for _, id := range s.liveIDs() {
		if s.rng.IntN(8) > 0 {
			s.nodes[id].Tick()
		}
		s.runHost(id)
	}
	for _, m := range s.takeShuffled() {
		unreachable := s.isolated[m.From] || s.isolated[m.To]
		if !s.arrives(m, unreachable) {
			continue
		}
		if n := s.nodes[m.To]; n != nil {
			n.Step(m)
			s.runHost(m.To)
		}
	}
	s.boundNetwork()
}

// takeShuffled removes all messages from the network and returns them in random order.
func (s *simCluster) takeShuffled() []Message {
	messages := s.network
	s.network = nil
	s.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	return messages
}

// arrives reports whether a message is delivered now. A delayed or duplicated message is put back into
// the network.
func (s *simCluster) arrives(m Message, unreachable bool) bool {
	percent := s.rng.IntN(100)
	switch {
	case unreachable || percent < percentLost:
		return false
	case percent < percentLostOrDelayed:
		s.network = append(s.network, m)
		return false
	case percent < percentFaulty:
		s.network = append(s.network, m)
	}
	return true
}

// boundNetwork drops the oldest messages if there are too many.
func (s *simCluster) boundNetwork() {
	if len(s.network) > simMaxInFlight {
		s.network = s.network[simMaxInFlight/2:]
	}
}

// injectFault injects a random fault that a cluster must tolerate: at most one disk is lost at a time.
func (s *simCluster) injectFault() {
	leader := s.leader()
	if leader != nil && s.rng.IntN(3) == 0 {
		s.values++
		// Every second value is large enough to be sent as a bulk message.
		s.propose(leader, fmt.Appendf(nil, "%*d", 1+s.values%2*maxUrgentBytes, s.values))
	}
	switch s.rng.IntN(60) {
	case 0:
		ids := s.liveIDs()
		if len(ids) > 1 && len(s.isolated) == 0 {
			s.isolated[ids[s.rng.IntN(len(ids))]] = true
		}
	case 1, 2:
		clear(s.isolated)
	case 3, 4, 5:
		s.startAll()
	case 6:
		if !s.toleratesDiskLoss(leader) {
			return
		}
		ids := s.liveIDs()
		s.replaceDisk(ids[s.rng.IntN(len(ids))])
	}
	s.manageMembers()
}

// toleratesDiskLoss reports whether the cluster has fully recovered from the last lost disk: all members
// are up, connected, voters, and have every committed entry, and no membership change is pending. To
// check the latter, it proposes the unchanged members.
func (s *simCluster) toleratesDiskLoss(leader *Node) bool {
	if leader == nil || len(s.nodes) < simVoters || len(s.isolated) > 0 {
		return false
	}
	members := leader.Members()
	for _, m := range members {
		n := s.nodes[m.ID]
		caughtUp := m.ID == leader.cfg.ID || leader.CaughtUp(m.ID)
		if n == nil || !m.Voter || !caughtUp || findMember(n.members, m.ID) == nil {
			return false
		}
	}
	return len(members) == simVoters && len(s.disks) == simVoters && s.proposeMembers(leader, slices.Clone(members))
}

// manageMembers manages the membership as the host of a leader does: it adds new members as learners,
// promotes them to voters once they have caught up, and removes members whose disk was lost. In half
// of the runs it swaps a lost voter for a learner in one change.
func (s *simCluster) manageMembers() {
	leader := s.leader()
	if leader == nil {
		return
	}
	members := leader.Members()
	for _, id := range sortedIDs(s.disks) {
		if findMember(members, id) == nil {
			learner := Member{ID: id, Addr: fmt.Sprint(id), SupportsJoint: true}
			s.proposeMembers(leader, append(slices.Clone(members), learner))
			return
		}
	}
	s.manageOneMember(leader, members)
}

// manageOneMember proposes a change for the first member that needs one.
func (s *simCluster) manageOneMember(leader *Node, members []Member) {
	lostVoter := slices.IndexFunc(members, func(m Member) bool { return m.Voter && s.disks[m.ID] == nil })
	for i, m := range members {
		next := slices.Clone(members)
		hasDisk := s.disks[m.ID] != nil
		canVote := hasDisk && !m.Voter && leader.CaughtUp(m.ID)
		switch {
		case s.seed%2 == 0 && canVote && lostVoter >= 0:
			next[i].Voter, next[lostVoter].Voter = true, false
			if s.proposeMembers(leader, next) {
				s.swaps++
			}
			return
		case !hasDisk && !m.Voter, !hasDisk && len(voterIDs(members)) > simVoters:
			s.proposeMembers(leader, slices.Delete(next, i, i+1))
			return
		case canVote:
			next[i].Voter = true
			s.proposeMembers(leader, next)
			return
		}
	}
}

// highestCommitted returns the highest index at which any member has applied a value.
func (s *simCluster) highestCommitted() (highest uint64) {
	for index := range s.committed {
		highest = max(highest, index)
	}
	return highest
}

// awaitConvergence runs the simulation without injecting further faults, and checks that all members
// converge to the same commit index and that no committed entry is lost.
func (s *simCluster) awaitConvergence() {
	s.t.Helper()
	s.startAll()
	converged := false
	for i := 0; i < simConvergenceSteps && !converged; i++ {
		s.startAll()
		s.manageMembers()
		s.step()
		converged = s.converged()
	}
	if !converged {
		for _, id := range s.liveIDs() {
			n := s.nodes[id]
			s.t.Logf("member %d: %v, term %d, leader %d, commit index %d, last index %d, snapshot %d, members %v",
				id, n.Role(), n.Term(), n.Leader(), n.CommitIndex(), n.LastIndex(), n.SnapshotIndex(), n.Members())
		}
		s.fail("the cluster did not converge")
	}
	highest := s.highestCommitted()
	for _, id := range s.liveIDs() {
		if s.nodes[id].CommitIndex() < highest {
			s.fail("member %d has commit index %d, but index %d was committed", id, s.nodes[id].CommitIndex(), highest)
		}
	}
}

// converged reports whether there is a leader, and all live processes are in its list of members and
// have its commit index.
func (s *simCluster) converged() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	for _, id := range s.liveIDs() {
		if s.nodes[id].CommitIndex() != leader.CommitIndex() || findMember(leader.Members(), id) == nil {
			return false
		}
	}
	return true
}

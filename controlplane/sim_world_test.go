package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// registerSim simulates a control plane without sockets or disks: members that persist, send and
// apply as [Core] does, and clients that send each call to random machines until there is an
// answer. All events derive from the seed.
type registerSim struct {
	simConfig
	fault       string // planted in all members, empty for none
	rng         *rand.Rand
	now         int64 // in steps of one tick, 50 ms
	clock       int64 // logical time: incremented at each event in the history
	faultsEnded bool  // no new faults or calls; calls in progress are completed

	slots   []raft.ID // by machine, the id of the member on it
	lastID  raft.ID   // id of the last member that started with an empty disk
	members map[raft.ID]*simMember
	disks   map[raft.ID]*raft.PersistentState

	inFlight    []raft.Message
	blocked     map[link]bool
	slow        map[link]bool
	partitioned map[raft.ID]int64 // until which step the member is isolated
	frozen      map[raft.ID]int   // for how many more steps the member does nothing

	clients         []*simClient
	history         []porcupine.Operation
	appliedVersions []appliedVersion // in log order
	divergence      error            // set if two members have applied different versions
}

// simConfig is the configuration of a simulation.
type simConfig struct {
	clients, machines, steps int
	// losses adds further faults: lost disks, power losses around a disk sync, temporary
	// partitions, slow links and duplicated messages. It also enables snapshots, which truncate the
	// logs, and membership changes.
	losses     bool
	remembered int // number of applied revisions kept to recognize retried commands
}

// smallSim is for the linearizability checker, whose search grows fast with the history. largeSim, of
// 55 s, is for checkHistory, which takes time proportional to the history.
var (
	smallSim = simConfig{
		clients:    4,
		machines:   3,
		steps:      700,
		remembered: maxAppliedRevisions,
	}
	largeSim = simConfig{
		clients:    8,
		machines:   4,
		steps:      1100,
		losses:     true,
		remembered: maxAppliedRevisions,
	}
)

const (
	simVoters          = 3
	firstReplacementID = raft.ID(100) // members that start with an empty disk have higher ids
	maxCallAttempts    = 300
	snapshotEntries    = 16  // entries between snapshots
	partitionSteps     = 400 // 20 s
	convergenceSteps   = 1500
	maxInFlight        = 300 // messages; beyond it, all but the newest keptInFlight are dropped
	keptInFlight       = 200
	// unknownReturn is the return time of calls without a definite answer, which may take effect
	// at any time.
	unknownReturn = int64(1) << 40
	// maxModelSteps limits the search for a linearization. A search that exceeds it returns
	// Unknown, which fails the test.
	maxModelSteps = 2_000_000
)

// link is the sender and the receiver of one direction of a link.
type link [2]raft.ID

// simMember is a running member.
type simMember struct {
	casRegister
	node     *raft.Node
	policy   memberPolicy
	unsynced []raft.Ready // batches of a member with faultSendsBeforeSync that are not on the disk
}

// appliedVersion is an applied configuration.
type appliedVersion struct {
	base, revision uint64
	fingerprint    fingerprint
	at             int64 // when some member first applied it
}

func newRegisterSim(seed uint64, config simConfig, fault string) *registerSim {
	s := &registerSim{
		simConfig:   config,
		fault:       fault,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		lastID:      firstReplacementID,
		members:     map[raft.ID]*simMember{},
		disks:       map[raft.ID]*raft.PersistentState{},
		blocked:     map[link]bool{},
		slow:        map[link]bool{},
		partitioned: map[raft.ID]int64{},
		frozen:      map[raft.ID]int{},
	}
	var first raft.Snapshot
	for i := range simVoters {
		first.Members = append(first.Members, raft.Member{ID: raft.ID(i + 1), Addr: fmt.Sprint(i), Voter: true})
	}
	for i := range config.machines {
		id := raft.ID(i + 1)
		s.slots = append(s.slots, id)
		s.disks[id] = &raft.PersistentState{}
		if i < simVoters {
			s.disks[id].Snapshot = first
		}
		s.start(id)
	}
	for i := range config.clients {
		s.clients = append(s.clients, &simClient{id: i})
	}
	return s
}

// disksLost returns the number of lost disks.
func (s *registerSim) disksLost() int { return int(s.lastID - firstReplacementID) }

func (s *registerSim) advanceClock() int64 {
	s.clock++
	return s.clock
}

// start starts a member from its disk.
func (s *registerSim) start(id raft.ID) {
	disk := s.disks[id]
	stored := raft.PersistentState{
		HardState: disk.HardState,
		Snapshot:  disk.Snapshot,
		Entries:   slices.Clone(disk.Entries),
	}
	m := &simMember{
		casRegister: casRegister{calls: map[uint64]*pendingCall{}},
		node: raft.New(raft.Config{
			ID:             id,
			ElectionTicks:  electionTicks,
			HeartbeatTicks: heartbeatTicks,
			Seed:           s.rng.Uint64(),
		}, stored),
	}
	m.restore(disk.Snapshot.Data)
	s.members[id] = m
}

// oneIn returns true with a probability of 1/n, and never after the faults have ended.
func (s *registerSim) oneIn(n int) bool { return !s.faultsEnded && s.rng.IntN(n) == 0 }

// canLoseDisk reports whether the cluster tolerates the loss of one disk: all members run, the number
// of voters is simVoters, and the leader accepts a membership change. To find out, it proposes the
// current members unchanged. Some members may lack the last committed entries.
func (s *registerSim) canLoseDisk(leader *simMember) bool {
	voters := 0
	for _, m := range leader.node.Members() {
		if s.members[m.ID] == nil || !slices.Contains(s.slots, m.ID) {
			return false
		}
		if m.Voter {
			voters++
		}
	}
	return voters == simVoters && leader.node.ProposeMembers(slices.Clone(leader.node.Members())) == nil
}

// reconcileMembers adds new members, and lets the leader's policy choose the voters. A proposal is
// refused while another change is pending; the next step repeats it.
func (s *registerSim) reconcileMembers(leader *simMember) {
	members := leader.node.Members()
	for slot, id := range s.slots {
		known := slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == id })
		if s.members[id] != nil && !known {
			joining := raft.Member{ID: id, Addr: fmt.Sprint(slot), SupportsJoint: true}
			_ = leader.node.ProposeMembers(append(slices.Clone(members), joining))
			return
		}
	}
	leader.policy.voters = simVoters
	if _, next := leader.policy.nextMembers(leader.node); next != nil {
		_ = leader.node.ProposeMembers(next)
	}
}

// ids returns the ids of the running members, sorted.
func (s *registerSim) ids() []raft.ID { return slices.Sorted(maps.Keys(s.members)) }

// leader returns a leader that has committed an entry in its term, 0 if there is none.
func (s *registerSim) leader() raft.ID {
	for _, id := range s.ids() {
		if s.members[id].leads() {
			return id
		}
	}
	return 0
}

func (m *simMember) leads() bool {
	return m.node.Role() == raft.Leader && m.node.HasCommittedInTerm()
}

func (s *registerSim) step() {
	s.now++
	if !s.faultsEnded {
		s.injectFault()
	}
	maps.DeleteFunc(s.partitioned, func(_ raft.ID, until int64) bool { return s.now > until })
	for _, id := range s.ids() {
		s.tickMember(id)
	}
	s.deliver()
	for _, c := range s.clients {
		s.stepClient(c)
	}
	for _, id := range s.ids() {
		s.advanceCalls(id)
	}
}

// tickMember advances a member by one tick.
func (s *registerSim) tickMember(id raft.ID) {
	m := s.members[id]
	if m == nil {
		return
	}
	if s.frozen[id] > 0 {
		s.frozen[id]--
		return
	}
	m.node.Tick()
	m.policy.ticks++
	if s.losses && m.node.Role() == raft.Leader {
		s.reconcileMembers(m)
	}
	s.handleReady(id)
}

// deliver delivers the messages in flight in random order. Some are lost, delayed or duplicated.
func (s *registerSim) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	s.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for i := range messages {
		s.deliverMessage(&messages[i])
	}
	if len(s.inFlight) > maxInFlight {
		s.inFlight = s.inFlight[len(s.inFlight)-keptInFlight:]
	}
}

func (s *registerSim) deliverMessage(msg *raft.Message) {
	to, direction := s.members[msg.To], link{msg.From, msg.To}
	switch {
	case to == nil || s.blocked[direction] || s.partitioned[msg.From] > 0 || s.partitioned[msg.To] > 0 || s.oneIn(40):
		return
	case s.frozen[msg.To] > 0 || s.rng.IntN(4) == 0 || s.slow[direction] && s.rng.IntN(12) > 0:
		s.inFlight = append(s.inFlight, *msg) // delayed
		return
	case s.losses && s.oneIn(25):
		s.inFlight = append(s.inFlight, *msg) // duplicated
	}
	to.node.Step(*msg)
	s.handleReady(msg.To)
}

// awaitConvergence ends all faults and steps until all members have converged, all calls have ended,
// and a last read has returned the newest version. It returns an error if that takes more than
// convergenceSteps.
func (s *registerSim) awaitConvergence() error {
	s.endFaults()
	var read *pendingCall
	readAt := raft.ID(0)
	for range convergenceSteps {
		s.step()
		leader := s.leader()
		if leader == 0 || s.hasPendingCalls() || !s.converged() {
			continue
		}
		if leader != readAt {
			read, readAt = &pendingCall{get: true}, leader
		}
		if r, done := s.drive(leader, read); done {
			return s.checkLastRead(leader, &r)
		}
	}
	for _, c := range s.clients {
		if c.busy && !c.in.get {
			s.endCall(c, output{}, true)
		}
	}
	// A forgotten command gets no definite answer, so that its call does not end.
	if s.remembered < maxAppliedRevisions && s.leader() != 0 && s.converged() {
		return nil
	}
	return fmt.Errorf("not converged after %d steps", convergenceSteps)
}

// endFaults ends all faults and starts the members that are down.
func (s *registerSim) endFaults() {
	s.faultsEnded = true
	clear(s.blocked)
	clear(s.slow)
	clear(s.partitioned)
	clear(s.frozen)
	for _, id := range s.slots {
		if s.members[id] == nil {
			s.start(id)
		}
	}
}

func (s *registerSim) hasPendingCalls() bool {
	return slices.ContainsFunc(s.clients, func(c *simClient) bool { return c.busy })
}

// checkLastRead checks that the last read has returned the newest version.
func (s *registerSim) checkLastRead(leader raft.ID, r *api.ControlResponse) error {
	revision := s.members[leader].state.Revision
	n := len(s.appliedVersions)
	switch {
	case n == 0 && r.Status == http.StatusNotFound:
		return nil
	case n > 0 && r.Status == http.StatusOK && revision == s.appliedVersions[n-1].revision:
		return nil
	}
	return fmt.Errorf("the last read returned revision %d with status %d", revision, r.Status)
}

// converged reports whether all members run and have applied the same revisions.
func (s *registerSim) converged() bool {
	var first *State
	for _, id := range s.slots {
		m := s.members[id]
		if m == nil {
			return false
		}
		if first == nil {
			first = &m.state
		}
		if m.state.Revision != first.Revision || !slices.Equal(m.state.Applied, first.Applied) {
			return false
		}
	}
	return true
}

// errStepLimit means that a condition was not met within convergenceSteps.
var errStepLimit = errors.New("condition not met within the step limit")

// stepUntil steps the simulation until a condition holds, for convergenceSteps at most.
func (s *registerSim) stepUntil(condition func() bool) error {
	for range convergenceSteps {
		if condition() {
			return nil
		}
		s.step()
	}
	return errStepLimit
}

// run runs the simulation to the end. It returns the first violation that it detects without a
// check of the history.
func (s *registerSim) run() error {
	for range s.steps {
		s.step()
		if s.divergence != nil {
			return s.divergence
		}
	}
	if err := s.awaitConvergence(); err != nil {
		return err
	}
	return s.divergence
}

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

// registerSim is a control plane without sockets or disks: members that persist, send and
// apply as [Core] does, and clients whose calls go to whichever machine, again and again until
// there is an answer. All that happens comes from the seed.
type registerSim struct {
	simConfig
	fault string // planted, empty for none
	rng   *rand.Rand
	now   int64 // in steps, of a tick of 50 ms
	clock int64 // rises with each event that is ordered
	calm  bool  // no more faults and no more calls but those under way

	slots   []raft.ID // of each machine, the member on it
	nextID  raft.ID   // of the member on the next empty disk
	members map[raft.ID]*simMember
	disks   map[raft.ID]*raft.PersistentState

	net         []raft.Message
	blocked     map[link]bool
	slow        map[link]bool
	partitioned map[raft.ID]int64 // off from all others until that step
	frozen      map[raft.ID]int   // does nothing for so many steps

	clients  []*simClient
	history  []porcupine.Operation
	chain    []appliedVersion // in the order of the log
	diverged error            // two members have applied different versions
}

// simConfig is the size of a simulation.
type simConfig struct {
	clients, machines, steps int
	// losses: disks too are lost, members replaced, logs truncated, links slow.
	losses     bool
	remembered int // revisions, for commands that are sent again
}

// Small simulations are for the checker of linearizability, large ones, of 55 s, for the check
// that takes time in proportion to the history.
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
	firstReplacementID = raft.ID(100) // members with an empty disk have higher ids
	maxCallAttempts    = 300
	snapshotEntries    = 16  // between snapshots
	longPartition      = 400 // steps: 20 s
	convergenceSteps   = 1500
	maxNetwork         = 300 // messages under way; where there are more, the oldest are lost
	keptNetwork        = 200
	// openEnd is the end of calls without a clear answer: they may take effect at any time.
	openEnd = int64(1) << 40
	// maxModelSteps bounds the search for a linearization: beyond it is Unknown, which fails.
	maxModelSteps = 2_000_000
)

// link is one direction between two members: from, to.
type link [2]raft.ID

// simMember is a member that runs.
type simMember struct {
	casRegister
	node     *raft.Node
	policy   memberPolicy
	unsynced []raft.Ready // of one with faultSendsBeforeSync
}

// appliedVersion is a configuration that was applied.
type appliedVersion struct {
	base, revision uint64
	print          fingerprint
	at             int64 // when some member first applied it
}

func newRegisterSim(seed uint64, config simConfig, fault string) *registerSim {
	s := &registerSim{
		simConfig:   config,
		fault:       fault,
		rng:         rand.New(rand.NewPCG(seed, 9)),
		nextID:      firstReplacementID,
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

// disksLost is how many disks were lost.
func (s *registerSim) disksLost() int { return int(s.nextID - firstReplacementID) }

func (s *registerSim) tick() int64 {
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

// chance is one in so many, but none once all is calm.
func (s *registerSim) chance(of int) bool { return !s.calm && s.rng.IntN(of) == 0 }

// canLoseDisk reports whether all members live and no change of members is pending: a disk can be
// lost. Some may lack what was committed last.
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

// reconcileMembers takes members in, and has the leader's policy decide who is to vote. A
// proposal is refused where another change is pending; then the next step makes it again.
func (s *registerSim) reconcileMembers(leader *simMember) {
	members := leader.node.Members()
	for slot, id := range s.slots {
		known := slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == id })
		if s.members[id] != nil && !known {
			joins := raft.Member{ID: id, Addr: fmt.Sprint(slot), SupportsJoint: true}
			_ = leader.node.ProposeMembers(append(slices.Clone(members), joins))
			return
		}
	}
	leader.policy.voters = simVoters
	if _, next := leader.policy.nextMembers(leader.node); next != nil {
		_ = leader.node.ProposeMembers(next)
	}
}

// ids are those of the members that run, in order.
func (s *registerSim) ids() []raft.ID { return slices.Sorted(maps.Keys(s.members)) }

// leader is a member that leads and has committed in its term, 0 for none.
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
	if !s.calm {
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
		s.answer(id)
	}
}

// tickMember has a tick pass at a member.
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

// deliver delivers what was sent, in any order: some of it is lost, late or doubled.
func (s *registerSim) deliver() {
	messages := s.net
	s.net = nil
	s.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for i := range messages {
		s.deliverMessage(&messages[i])
	}
	if len(s.net) > maxNetwork {
		s.net = s.net[len(s.net)-keptNetwork:]
	}
}

func (s *registerSim) deliverMessage(msg *raft.Message) {
	to, way := s.members[msg.To], link{msg.From, msg.To}
	switch {
	case to == nil || s.blocked[way] || s.partitioned[msg.From] > 0 || s.partitioned[msg.To] > 0 || s.chance(40):
		return
	case s.frozen[msg.To] > 0 || s.rng.IntN(4) == 0 || s.slow[way] && s.rng.IntN(12) > 0:
		s.net = append(s.net, *msg) // late
		return
	case s.losses && s.chance(25):
		s.net = append(s.net, *msg) // doubled
	}
	to.node.Step(*msg)
	s.handleReady(msg.To)
}

// awaitConvergence lets calm come, until all members have converged and every call has its end. What has
// not converged by then is in the error.
func (s *registerSim) awaitConvergence() error {
	s.beCalm()
	var read *pendingCall
	readAt := raft.ID(0)
	for range convergenceSteps {
		s.step()
		leader := s.leader()
		if leader == 0 || s.hasCalls() || !s.converged() {
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
			s.end(c, output{}, true)
		}
	}
	// A command that is forgotten has no clear answer, so that its call does not end.
	if s.remembered < maxAppliedRevisions && s.leader() != 0 && s.converged() {
		return nil
	}
	return fmt.Errorf("not converged after %d steps", convergenceSteps)
}

// beCalm ends all faults.
func (s *registerSim) beCalm() {
	s.calm = true
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

func (s *registerSim) hasCalls() bool {
	return slices.ContainsFunc(s.clients, func(c *simClient) bool { return c.busy })
}

// checkLastRead checks that the newest version is read back in the end.
func (s *registerSim) checkLastRead(leader raft.ID, r *api.ControlResponse) error {
	revision := s.members[leader].state.Revision
	n := len(s.chain)
	switch {
	case n == 0 && r.Status == http.StatusNotFound:
		return nil
	case n > 0 && r.Status == http.StatusOK && revision == s.chain[n-1].revision:
		return nil
	}
	return fmt.Errorf("in the end %d is read back, with status %d", revision, r.Status)
}

// converged reports whether all machines have applied the same.
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

// errStepLimit means that a condition did not hold within convergenceSteps.
var errStepLimit = errors.New("not within the limit of steps")

// until steps until a condition holds.
func (s *registerSim) until(condition func() bool) error {
	for range convergenceSteps {
		if condition() {
			return nil
		}
		s.step()
	}
	return errStepLimit
}

// play has all of it happen. It returns the first broken rule that a run finds by itself.
func (s *registerSim) play() error {
	for range s.steps {
		s.step()
		if s.diverged != nil {
			return s.diverged
		}
	}
	if err := s.awaitConvergence(); err != nil {
		return err
	}
	return s.diverged
}

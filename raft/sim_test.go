package raft

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// sim is a core under faults: messages are lost, late and doubled, members
// crash, lose what was not synced or the whole disk, and are replaced.
type sim struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	nodes     map[ID]*Node
	disks     map[ID]*PersistentState
	applied   map[ID][]Entry
	snaps     map[ID]uint64 // index up to which the applied entries begin
	net       []Message
	acked     map[uint64]string // index to data
	leaders   map[uint64]ID     // by term
	next      ID
	cut       map[ID]bool
	value     int
	granted   int // reads that were confirmed
	installed int // snapshots taken over
	swaps     int // joint changes begun
}

func newSim(t *testing.T, seed uint64, n int) *sim {
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[ID]*Node{}, disks: map[ID]*PersistentState{},
		applied: map[ID][]Entry{}, acked: map[uint64]string{}, leaders: map[uint64]ID{}, cut: map[ID]bool{}, next: 100}
	var first []Member
	for i := range n {
		first = append(first, Member{ID: ID(i + 1), Addr: fmt.Sprint(i + 1), Voter: true, SupportsJoint: true})
	}
	for _, m := range first {
		s.disks[m.ID] = &PersistentState{Snapshot: Snapshot{Members: first}}
		s.start(m.ID)
	}
	return s
}

// state is what stands for the log up to an index: some pieces long.
func state(index uint64) []byte { return bytes.Repeat(fmt.Append(nil, "state at ", index, ";"), 4) }

func (s *sim) start(id ID) {
	d := s.disks[id]
	s.applied[id] = nil
	s.nodes[id] = New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: s.rng.Uint64(),
		ChunkBytes: 16 << (s.seed % 4 * 2), TrailingEntries: 6},
		PersistentState{HardState: d.HardState, Snapshot: d.Snapshot, Entries: slices.Clone(d.Entries)})
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d: %s", s.seed, fmt.Sprintf(format, args...))
}

// host carries out what a member has ready. A crash may come between any two steps.
func (s *sim) host(id ID) {
	n, d := s.nodes[id], s.disks[id]
	for n != nil {
		if n.LostDurability() { // nothing here takes an older disk for its own
			s.fail("%d is said to have forgotten what it acknowledged", id)
		}
		r := n.Ready()
		if r.Empty() {
			break
		}
		if r.MustSync() && s.rng.IntN(400) == 0 { // dies before the sync: nothing of it counts
			delete(s.nodes, id)
			return
		}
		if r.HardState != nil {
			d.HardState = *r.HardState
		}
		if r.Snapshot != nil {
			if !bytes.Equal(r.Snapshot.Data, state(r.Snapshot.Index)) {
				s.fail("%d installs %q for the log up to %d", id, r.Snapshot.Data, r.Snapshot.Index)
			}
			s.installed++
			d.Snapshot, d.Entries = *r.Snapshot, nil
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - d.Snapshot.Index - 1
			d.Entries = append(slices.Clone(d.Entries[:keep]), r.Entries...)
		}
		if s.rng.IntN(800) == 0 { // dies after it
			delete(s.nodes, id)
			return
		}
		s.net = append(s.net, r.Messages...)
		if r.Snapshot != nil {
			s.applied[id] = nil
		}
		for _, e := range r.CommittedEntries {
			s.apply(id, e)
		}
		n.Advance(r)
	}
	if n.Role() == Leader {
		if l, ok := s.leaders[n.Term()]; ok && l != id {
			s.fail("term %d has the leaders %d and %d", n.Term(), l, id)
		}
		s.leaders[n.Term()] = id
	}
	if a := n.AppliedIndex(); a > 0 && a%16 == 0 {
		if snap := n.Compact(a, state(a)); snap != nil {
			d.Entries = slices.Clone(d.Entries[snap.Index-d.Snapshot.Index:])
			d.Snapshot = *snap
		}
	}
}

// apply checks that all members agree on each place of the log.
func (s *sim) apply(id ID, e Entry) {
	if len(e.Data) == 0 {
		return
	}
	if had, ok := s.acked[e.Index]; ok && had != string(e.Data) {
		s.fail("place %d held %q and now %q at %d", e.Index, had, e.Data, id)
	}
	s.acked[e.Index] = string(e.Data)
	s.applied[id] = append(s.applied[id], e)
}

func (s *sim) step() {
	for _, id := range s.ids() {
		if s.rng.IntN(8) > 0 {
			s.nodes[id].Tick()
		}
		s.host(id)
	}
	k := len(s.net)
	msgs := s.net
	s.net = nil
	s.rng.Shuffle(k, func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	for _, m := range msgs {
		switch x := s.rng.IntN(100); {
		case s.cut[m.From] || s.cut[m.To] || x < 4:
			continue
		case x < 14:
			s.net = append(s.net, m) // late
			continue
		case x < 18:
			s.net = append(s.net, m) // doubled
		}
		if n := s.nodes[m.To]; n != nil {
			n.Step(m)
			s.host(m.To)
		}
	}
	if len(s.net) > 200 {
		s.net = s.net[100:]
	}
}

func (s *sim) ids() []ID { return sorted(s.nodes) }

func sorted[V any](m map[ID]V) []ID { return slices.Sorted(maps.Keys(m)) }

// restart starts whoever is down.
func (s *sim) restart() {
	for _, id := range sorted(s.disks) {
		if s.nodes[id] == nil {
			s.start(id)
		}
	}
}

func (s *sim) leader() *Node {
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.Role() == Leader && n.HasCommittedInTerm() {
			return n
		}
	}
	return nil
}

// trouble strikes at random, within what the core must bear: one member at a time.
func (s *sim) trouble() {
	l := s.leader()
	if l != nil && s.rng.IntN(3) == 0 {
		s.value++
		l.Propose(fmt.Appendf(nil, "%*d", 1+s.value%2*maxUrgentBytes, s.value)) // each second one on the lane of what is large
	}
	switch s.rng.IntN(60) {
	case 0:
		ids := s.ids()
		if len(ids) > 1 && len(s.cut) == 0 {
			s.cut[ids[s.rng.IntN(len(ids))]] = true
		}
	case 1, 2:
		clear(s.cut)
	case 3, 4, 5: // restarts
		s.restart()
	case 6: // a member loses its disk for good, and an empty one comes in its place
		if l == nil || len(s.nodes) < 3 || len(s.cut) > 0 || !s.whole(l) {
			return // one loss at a time: the one before must be made good
		}
		ids := s.ids()
		old := ids[s.rng.IntN(len(ids))]
		delete(s.nodes, old)
		delete(s.disks, old)
		s.next++
		s.disks[s.next] = &PersistentState{}
		s.start(s.next)
	}
	s.tend()
}

// whole tells that three voters are there, live, and have all that is agreed.
func (s *sim) whole(l *Node) bool {
	for _, m := range l.Members() {
		if n := s.nodes[m.ID]; n == nil || !m.Voter || m.ID != l.cfg.ID && !l.CaughtUp(m.ID) || findMember(n.members, m.ID) == nil {
			return false
		}
	}
	return len(l.Members()) == 3 && len(s.disks) == 3 && l.ProposeMembers(slices.Clone(l.Members())) == nil
}

// tend does what the host of a leader does: takes in and takes out.
func (s *sim) tend() {
	l := s.leader()
	if l == nil {
		return
	}
	ms := l.Members()
	for _, id := range sorted(s.disks) {
		if findMember(ms, id) == nil {
			l.ProposeMembers(append(slices.Clone(ms), Member{ID: id, Addr: fmt.Sprint(id), SupportsJoint: true}))
			return
		}
	}
	gone := slices.IndexFunc(ms, func(m Member) bool { return m.Voter && s.disks[m.ID] == nil })
	for i, m := range ms {
		next := slices.Clone(ms)
		switch _, there := s.disks[m.ID]; {
		case s.seed%2 == 0 && there && !m.Voter && gone >= 0 && l.CaughtUp(m.ID): // half the runs: one decision
			next[i].Voter, next[gone].Voter = true, false
			if l.ProposeMembers(next) == nil {
				s.swaps++
			}
			return
		case !there && !m.Voter:
			l.ProposeMembers(slices.Delete(next, i, i+1))
			return
		case there && !m.Voter && l.CaughtUp(m.ID):
			next[i].Voter = true
			l.ProposeMembers(next)
			return
		case !there && len(voterIDs(ms)) > 3:
			l.ProposeMembers(slices.Delete(next, i, i+1))
			return
		}
	}
}

// Whatever happens within what the core must bear, no two members differ on a
// place of the log, no term has two leaders, and once all is calm every live
// member has everything that was ever agreed on. A seed reproduces a run.
func TestAgreementUnderFaults(t *testing.T) {
	t.Parallel()
	installed, swaps := 0, 0
	for seed := range uint64(1200) {
		s := newSim(t, seed, 3)
		for range 600 {
			s.trouble()
			s.step()
		}
		clear(s.cut)
		s.settle()
		installed += s.installed
		swaps += s.swaps
	}
	if installed < 1000 {
		t.Errorf("%d snapshots were taken over: too few to say anything", installed)
	}
	t.Log(swaps, "joint changes")
	if swaps < 300 {
		t.Errorf("%d swaps are too few to say anything", swaps)
	}
}

// settle lets calm come and checks that the core comes together with all that
// was ever agreed on.
func (s *sim) settle() {
	s.t.Helper()
	s.restart()
	done := false
	for i := 0; i < 3000 && !done; i++ {
		s.restart()
		s.tend()
		s.step()
		l := s.leader()
		done = l != nil
		for _, id := range s.ids() {
			done = done && s.nodes[id].CommitIndex() == l.CommitIndex() && findMember(l.Members(), id) != nil
		}
	}
	if !done {
		for _, id := range s.ids() {
			n := s.nodes[id]
			s.t.Logf("%d %v term %d leader %d commit %d last %d snap %d members %v", id, n.role, n.hardState.Term, n.leader, n.log.committed, n.LastIndex(), n.log.snapshot.Index, n.members)
		}
		s.fail("the core did not come together again")
	}
	highest := uint64(0)
	for at := range s.acked {
		highest = max(highest, at)
	}
	for _, id := range s.ids() {
		if s.nodes[id].CommitIndex() < highest {
			s.fail("%d has agreed up to %d, but %d was acknowledged", id, s.nodes[id].CommitIndex(), highest)
		}
	}
}

// A leader that is cut off steps down within an election time, and one that a
// majority answers confirms its rounds.
func TestLeaderKnowsThatItLeads(t *testing.T) {
	t.Parallel()
	s := newSim(t, 5, 3)
	s.rng = rand.New(rand.NewPCG(99, 99))
	for s.leader() == nil {
		s.step()
	}
	l := s.leader()
	need := l.NextReadIndexRound()
	l.BroadcastHeartbeat()
	for i := 0; l.ConfirmedReadIndexRound() < need; i++ {
		if i > 50 {
			t.Fatal("a round is never confirmed")
		}
		s.step()
	}
	s.cut[l.cfg.ID] = true
	for i := 0; l.Role() == Leader; i++ {
		if i > 60 {
			t.Fatal("a leader that is cut off goes on leading")
		}
		before := l.ConfirmedReadIndexRound()
		s.step()
		if l.Role() == Leader && l.ConfirmedReadIndexRound() != before && i > 5 {
			t.Fatal("a round is confirmed without a majority")
		}
	}
}

// A change of two voters at once, or before the last one is through, is refused.
func TestOneChangeAtATime(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3, 3)
	for s.leader() == nil {
		s.step()
	}
	l := s.leader()
	ms := l.Members()
	two := append(slices.Clone(ms), Member{ID: 50, Voter: true}, Member{ID: 51, Voter: true})
	if err := l.ProposeMembers(two); err != ErrInvalidChange {
		t.Errorf("two voters at once: %v", err)
	}
	if err := l.ProposeMembers(append(slices.Clone(ms), Member{ID: 50})); err != nil {
		t.Fatal(err)
	}
	if err := l.ProposeMembers(append(slices.Clone(ms), Member{ID: 51})); err != ErrChangePending {
		t.Errorf("a second change at once: %v", err)
	}
}

// An answer to an earlier round, that comes late, confirms no later one: the
// leader may have been replaced in between. Fails where rounds are not echoed.
func TestLateAnswersConfirmNothing(t *testing.T) {
	t.Parallel()
	s := newSim(t, 11, 3)
	for s.leader() == nil {
		s.step()
	}
	l := s.leader()
	for _, m := range l.Members() {
		if m.ID != l.cfg.ID {
			l.Step(Message{Kind: AppendEntriesReply, From: m.ID, To: l.cfg.ID, Term: l.Term(), Index: l.LastIndex(), Round: l.heartbeatRound})
		}
	}
	late, need := l.heartbeatRound, l.NextReadIndexRound()
	if l.ConfirmedReadIndexRound() != late {
		t.Fatalf("round %d is confirmed, %d was answered by all", l.ConfirmedReadIndexRound(), late)
	}
	l.BroadcastHeartbeat()
	for _, m := range l.Members() {
		if m.ID != l.cfg.ID {
			l.Step(Message{Kind: AppendEntriesReply, From: m.ID, To: l.cfg.ID, Term: l.Term(), Index: l.LastIndex(), Round: late})
		}
	}
	if l.ConfirmedReadIndexRound() >= need {
		t.Error("late answers confirmed a later round")
	}
}

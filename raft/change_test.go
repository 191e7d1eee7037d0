package raft

import (
	"slices"
	"testing"
)

// hand is a few members whose messages arrive where a test says so.
type hand struct {
	t     *testing.T
	nodes map[ID]*Node
	net   []Message
	down  map[ID]bool
}

func newHand(t *testing.T, voters, learners int) *hand {
	h := &hand{t: t, nodes: map[ID]*Node{}, down: map[ID]bool{}}
	var ms []Member
	for i := range voters + learners {
		ms = append(ms, Member{ID: ID(i + 1), Voter: i < voters, SupportsJoint: true})
	}
	for _, m := range ms {
		h.nodes[m.ID] = New(Config{ID: m.ID, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}, PersistentState{Snapshot: Snapshot{Members: ms}})
	}
	h.elect(1)
	return h
}

// play carries all out and lets messages between those who are up arrive.
func (h *hand) play() {
	for {
		for _, id := range sorted(h.nodes) {
			n := h.nodes[id]
			for r := n.Ready(); !r.Empty() && !h.down[id]; r = n.Ready() {
				h.net = append(h.net, r.Messages...)
				n.Advance(r)
			}
		}
		if len(h.net) == 0 {
			return
		}
		m := h.net[0]
		h.net = h.net[1:]
		if n := h.nodes[m.To]; n != nil && !h.down[m.To] && !h.down[m.From] {
			n.Step(m)
		}
	}
}

// only leaves these up.
func (h *hand) only(ids ...ID) {
	for id := range h.nodes {
		h.down[id] = !slices.Contains(ids, id)
	}
}

// elect has a member that is needed stand for election, with time gone by.
func (h *hand) elect(id ID) {
	for other, n := range h.nodes {
		if n.Role() != Leader {
			n.electionElapsed = n.cfg.ElectionTicks
		}
		if other != id {
			n.electionTimeout = 1 << 30
		}
	}
	h.nodes[id].electionTimeout = 0
	h.nodes[id].Tick()
	h.play()
}

// swapped are members with the vote of one given to another.
func swapped(ms []Member, from, to ID) []Member {
	out := slices.Clone(ms)
	findMember(out, from).Voter, findMember(out, to).Voter = false, true
	return out
}

// While one voter is being swapped for another, majorities of both sets agree,
// confirm that the leader leads, and keep it leading; with both, the change goes
// through by itself.
func TestASwapNeedsBothSets(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		up   []ID
		ok   bool
	}{{"the new set alone", []ID{1, 4}, false}, {"the old set alone", []ID{1, 3}, false}, {"both, the old voter and the new one", []ID{1, 3, 4}, true},
		{"both, by one that is in both", []ID{1, 2}, true}} {
		h := newHand(t, 3, 1)
		l := h.nodes[1]
		if !l.HasCommittedInTerm() {
			t.Fatal("no leader")
		}
		h.only(c.up...)
		before := l.CommitIndex()
		if err := l.ProposeMembers(swapped(l.Members(), 3, 4)); err != nil {
			t.Fatal(err)
		}
		need := l.NextReadIndexRound()
		l.BroadcastHeartbeat()
		h.play()
		if got := l.CommitIndex() > before; got != c.ok {
			t.Errorf("%s: agreed %v", c.name, got)
		}
		if got := l.ConfirmedReadIndexRound() >= need; got != c.ok {
			t.Errorf("%s: confirmed %v", c.name, got)
		}
		if got := len(outgoingVoterIDs(l.Members())) == 0 && !l.MembershipChangePending(); got != c.ok {
			t.Errorf("%s: through %v: %v", c.name, got, l.Members())
		}
		for range 25 {
			l.Tick()
			h.play()
		}
		if got := l.Role() == Leader; got != c.ok {
			t.Errorf("%s: leads on %v", c.name, got)
		}
	}
}

// The one that loses its vote is the only one left that has the change, beside the
// leader that made it and is lost: it is still elected, and what it has is kept.
// (Fails where only voters stand: it can't vote for those whose log is shorter, and
// the core stands still although a majority is there.)
func TestTheOnlyCopyOfAChange(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func([]Member) []Member
	}{{"one less", func(ms []Member) []Member {
		out := slices.Clone(ms)
		out[3].Voter = false
		return out
	}}, {"a swap", func(ms []Member) []Member { return swapped(ms, 3, 4) }}} {
		h, leaver := newHand(t, 3, 1), ID(3)
		if c.name == "one less" {
			h, leaver = newHand(t, 4, 0), 4
			h.only(1, 4)
		}
		l := h.nodes[1]
		if err := l.ProposeMembers(c.change(l.Members())); err != nil {
			t.Fatal(err)
		}
		if c.name == "a swap" { // the joint entry is agreed; the final one reaches 3 alone
			for len(outgoingVoterIDs(l.Members())) == 0 || l.CommitIndex() < l.membersIndex {
				r := l.Ready()
				l.Advance(r)
				for _, m := range r.Messages {
					h.nodes[m.To].Step(m)
				}
				for id := ID(2); id <= 4; id++ {
					r := h.nodes[id].Ready()
					h.nodes[id].Advance(r)
					for _, m := range r.Messages {
						if l.Step(m); len(outgoingVoterIDs(l.Members())) == 0 {
							break
						}
					}
				}
				if len(outgoingVoterIDs(l.Members())) == 0 {
					break
				}
			}
			h.only(1, 3)
		}
		h.play()
		n := h.nodes[leaver]
		if n.LastIndex() != l.LastIndex() || n.isVoter() {
			t.Fatalf("%s: it has %d places of %d, votes %v", c.name, n.LastIndex(), l.LastIndex(), n.isVoter())
		}
		last := n.LastIndex()
		h.only(2, 3, 4)
		h.elect(2)
		h.elect(leaver)
		serves := 0
		for id := ID(2); id <= 4; id++ {
			if k := h.nodes[id]; k.HasCommittedInTerm() && k.CommitIndex() >= last {
				serves++
			}
		}
		if serves != 1 || n.Role() == Leader || n.NeededForQuorum() {
			t.Errorf("%s: %d serve; the one without a vote is %v, needed %v", c.name, serves, n.Role(), n.NeededForQuorum())
		}
	}
}

// A new leader that finds a joint change finishes it.
func TestANewLeaderFinishesASwap(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 1)
	l := h.nodes[1]
	if err := l.ProposeMembers(swapped(l.Members(), 1, 4)); err != nil {
		t.Fatal(err)
	}
	r := l.Ready()
	l.Advance(r)
	for _, m := range r.Messages {
		h.nodes[m.To].Step(m) // all have it, and nobody's answer arrives
	}
	h.net = nil
	h.only(2, 3, 4)
	h.elect(3)
	n := h.nodes[3]
	if !n.HasCommittedInTerm() || n.MembershipChangePending() || len(outgoingVoterIDs(n.Members())) != 0 || findMember(n.Members(), 1).Voter || !findMember(n.Members(), 4).Voter {
		t.Errorf("serves %v, members %v", n.HasCommittedInTerm(), n.Members())
	}
	// The old leader still believes that it leads, and confirms nothing.
	need := l.NextReadIndexRound()
	l.BroadcastHeartbeat()
	h.down[1] = false
	h.play()
	if l.ConfirmedReadIndexRound() >= need && l.Role() == Leader || l.Role() == Leader {
		t.Error("a leader without a vote goes on")
	}
	for range retransmitAfter(n.progress[1].inflightBytes) { // what went out while it was down is lost, and goes out again in time
		n.Tick()
		h.play()
	}
	if l.NeededForQuorum() {
		t.Error("a member whose vote is gone, and that knows it, is needed")
	}
}

// A leader that swaps itself out leads until that is agreed, and hands leadership on.
func TestALeaderSwapsItselfOut(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 1)
	l := h.nodes[1]
	if err := l.ProposeMembers(swapped(l.Members(), 1, 4)); err != nil {
		t.Fatal(err)
	}
	h.play()
	next := 0
	for _, id := range []ID{2, 3, 4} {
		if h.nodes[id].HasCommittedInTerm() {
			next++
		}
	}
	if l.Role() == Leader || next != 1 || h.nodes[2].MembershipChangePending() {
		t.Errorf("it is %v, %d others serve, %v", l.Role(), next, h.nodes[2].Members())
	}
}

// What a change may be, and when.
func TestWhichChangesAreTaken(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 2)
	l := h.nodes[1]
	ms := l.Members()
	with := func(set []Member, of func(*Member)) []Member {
		out := slices.Clone(set)
		for i := range out {
			of(&out[i])
		}
		return out
	}
	for name, c := range map[string]struct {
		set  []Member
		want error
	}{
		"two more":                            {with(ms, func(m *Member) { m.Voter = true }), ErrInvalidChange},
		"two less":                            {with(ms, func(m *Member) { m.Voter = m.ID == 1 }), ErrInvalidChange},
		"none":                                {with(ms, func(m *Member) { m.Voter = false }), ErrInvalidChange},
		"two for two":                         {with(ms, func(m *Member) { m.Voter = m.ID == 1 || m.ID > 3 }), ErrInvalidChange},
		"a swap that drops":                   {slices.DeleteFunc(swapped(ms, 3, 4), func(m Member) bool { return m.ID == 3 }), ErrInvalidChange},
		"a swap for one that isn't a learner": {append(with(ms, func(m *Member) { m.Voter = m.ID < 3 }), Member{ID: 9, Voter: true, SupportsJoint: true}), ErrJointUnsupported},
		"a swap that claims an outgoing set":  {with(swapped(ms, 3, 4), func(m *Member) { m.Outgoing = true }), nil},
	} {
		n := l.Clone()
		if err := n.ProposeMembers(c.set); err != c.want {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		} else if err == nil && !slices.Equal(outgoingVoterIDs(n.Members()), []ID{1, 2, 3}) {
			t.Errorf("%s: out go %v", name, outgoingVoterIDs(n.Members()))
		}
	}
	old := with(ms, func(m *Member) { m.SupportsJoint = m.ID != 2 })
	if err := l.ProposeMembers(old); err != nil {
		t.Fatal(err)
	}
	h.play()
	if err := l.ProposeMembers(swapped(l.Members(), 3, 4)); err != ErrJointUnsupported {
		t.Errorf("a swap with a voter of an older version: %v", err)
	}
}

// A change asks nobody for a majority that it can't give.
func TestBears(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		up       []ID
		from, to ID
		want     bool
	}{
		"it has all, and is silent":    {[]ID{1, 2}, 2, 4, false},
		"all there":                    {[]ID{1, 2, 3, 4}, 3, 4, true},
		"the one that goes is gone":    {[]ID{1, 2, 4}, 3, 4, true},
		"the new one isn't there":      {[]ID{1, 2, 3}, 3, 4, false},
		"nobody of the old voters":     {[]ID{1, 4}, 3, 4, false},
		"no majority of the new ones":  {[]ID{1, 3}, 3, 4, false},
		"it goes itself, and 2 is out": {[]ID{1, 3, 4}, 1, 4, true},
	} {
		h := newHand(t, 3, 1)
		l := h.nodes[1]
		h.only(c.up...)
		for range 9 {
			l.Tick()
			h.play()
		}
		if name != "it has all, and is silent" {
			if _, _, err := l.Propose([]byte("v")); err != nil {
				t.Fatal(err)
			}
		}
		h.play()
		l.Tick()
		l.Tick()
		h.play()
		if got := l.CanCommitMembers(swapped(l.Members(), c.from, c.to)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Of two that ask for pre-votes at once one waits, so that they don't split the votes.
func TestTwoPreVotesAtOnce(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 0)
	h.only(2, 3)
	for _, id := range []ID{2, 3} {
		n := h.nodes[id]
		n.electionElapsed, n.electionTimeout = 100, 0
		n.Tick()
	}
	h.play()
	if !h.nodes[2].HasCommittedInTerm() || h.nodes[3].Role() != Follower || h.nodes[2].Term() != 2 {
		t.Errorf("%v and %v in term %d", h.nodes[2].Role(), h.nodes[3].Role(), h.nodes[2].Term())
	}
}

// A new leader has heard of nobody yet: it takes no change of voters for one that is borne.
func TestANewLeaderHasHeardOfNobody(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 1)
	l := h.nodes[1]
	for _, p := range l.progress {
		p.responded = false // as it is right after an election
	}
	if next := swapped(l.Members(), 3, 4); l.CanCommitMembers(next) {
		t.Error("borne, by members that were never heard of")
	}
}

// A member whose vote was taken while it was cut off comes back believing that it
// votes: it unseats nobody, raises no term, confirms nothing, and learns how things stand.
// One that was dropped unseats nobody either.
func TestOneThatIsOutDisturbsNobody(t *testing.T) {
	t.Parallel()
	for _, dropped := range []bool{false, true} {
		h := newHand(t, 3, 1)
		l, out := h.nodes[1], h.nodes[3]
		h.only(1, 2, 4)
		if err := l.ProposeMembers(swapped(l.Members(), 3, 4)); err != nil {
			t.Fatal(err)
		}
		h.play()
		if dropped {
			if err := l.ProposeMembers(slices.DeleteFunc(slices.Clone(l.Members()), func(m Member) bool { return m.ID == 3 })); err != nil {
				t.Fatal(err)
			}
			h.play()
		}
		out.electionTimeout = 1
		term := l.Term()
		for range 200 { // it asks for votes all the time
			for _, id := range sorted(h.nodes) {
				h.nodes[id].Tick()
			}
			h.play()
		}
		if !out.isVoter() || out.Term() != term {
			t.Fatalf("dropped %v: it votes by its log: %v, term %d", dropped, out.isVoter(), out.Term())
		}
		h.only(1, 2, 3, 4)
		for range 100 {
			for _, id := range sorted(h.nodes) {
				h.nodes[id].Tick()
			}
			h.play()
		}
		if l.Role() != Leader || l.Term() != term || out.Role() == Leader {
			t.Errorf("dropped %v: the leader is %v in term %d, was in %d", dropped, l.Role(), l.Term(), term)
		}
		if !dropped && (out.isVoter() || out.Leader() != 1 || out.CommitIndex() != l.CommitIndex()) {
			t.Errorf("it votes: %v, follows %d, knows %d of %d", out.isVoter(), out.Leader(), out.CommitIndex(), l.CommitIndex())
		}
	}
}

// A new leader counts the silence of the one before it from when that was last heard.
func TestSilenceOfTheLastLeader(t *testing.T) {
	t.Parallel()
	h := newHand(t, 3, 0)
	h.nodes[1].BroadcastHeartbeat()
	h.play()
	h.only(2, 3)
	for range 30 {
		h.nodes[2].Tick()
		h.nodes[3].Tick()
	}
	h.net = nil
	h.elect(2)
	if n := h.nodes[2]; n.Role() != Leader || n.TicksSinceResponse(1) < 30 || n.TicksSinceResponse(3) > 1 {
		t.Errorf("%v, the last leader is silent for %d ticks, the other for %d", n.Role(), n.TicksSinceResponse(1), n.TicksSinceResponse(2))
	}
}

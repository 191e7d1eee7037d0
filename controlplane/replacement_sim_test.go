package controlplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/raft"
)

const (
	syncTicks   = 80  // after so long a machine that is back is whole again
	mostSilence = 100 // without anything agreed on
)

// site is a core on machines that are lost one after another, the next one as soon
// as the one before is whole again. The members and the policy are the real ones, a step
// is a tick.
type site struct {
	rng      *rand.Rand
	machines []*machine
	net      []raft.Message
	agreed   map[uint64]string
	wanted   int
	next     raft.ID
	now      int
	value    int
	last     int    // step at which something was agreed on
	fault    string // what is done as it once was
	changes  int    // of members, agreed on
	silence  int    // the longest time without anything agreed on
	seed     uint64
	bad      error
	story    []string
	see      func([]raft.Member) // of each agreed change
	mixed    bool                // some machines are of an older version
	hard     bool                // it is the leader each time, for good, and its successor is there at once
}

// machine is one disk, and the process on it.
type machine struct {
	id       raft.ID
	addr     string
	disk     raft.PersistentState
	node     *raft.Node // nil: down
	policy   memberPolicy
	cut      bool
	ledSince int
	older    bool // doesn't understand joint changes
	leaving  bool
	until    int // when it is killed, leaving or not

	back      func() // makes it whole again
	backAt    int
	lostUntil int
}

func newSite(seed uint64, voters, standBy int, fault string) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 3)), agreed: map[uint64]string{}, wanted: voters, next: 100, fault: fault, seed: seed}
	var first []raft.Member
	for i := range voters {
		first = append(first, raft.Member{ID: raft.ID(i + 1), Addr: fmt.Sprint("a", i), Voter: true})
	}
	for i := range voters + standBy {
		m := &machine{id: raft.ID(i + 1), addr: fmt.Sprint("a", i)}
		if i < voters {
			m.disk.Snapshot.Members = first
		}
		s.machines = append(s.machines, m)
		s.start(m)
	}
	return s
}

func (s *site) start(m *machine) {
	m.leaving, m.cut = false, false
	m.policy = memberPolicy{voters: s.wanted, ticks: s.now}
	m.disk.Entries = slices.Clone(m.disk.Entries)
	m.node = raft.New(raft.Config{ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: s.rng.Uint64()}, m.disk)
}

// empty has a machine start with nothing on its disk.
func (s *site) empty(m *machine) {
	s.next++
	m.id, m.disk = s.next, raft.PersistentState{}
	s.start(m)
}

func (s *site) fail(format string, args ...any) {
	if s.bad == nil {
		s.bad = fmt.Errorf("seed %d, step %d: %s", s.seed, s.now, fmt.Sprintf(format, args...))
	}
}

func (s *site) carry(m *machine) {
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
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
		for _, msg := range r.Messages {
			msg.SupportsJoint = msg.SupportsJoint && !m.older
			s.net = append(s.net, msg)
		}
		for _, e := range r.CommittedEntries {
			text := fmt.Sprint(e.Term, " ", string(e.Data))
			if had, is := s.agreed[e.Index]; is && had != text {
				s.fail("place %d held %q and now %q at %d", e.Index, had, text, m.id)
			} else if !is {
				s.agreed[e.Index], s.last = text, s.now
				if e.Members != nil {
					s.changes++
					if s.see != nil {
						s.see(e.Members)
					}
					if k := voterCount(e.Members); k != s.wanted && s.fault == "" && !s.mixed {
						s.fail("%d voters", k)
					}
				}
			}
		}
		m.node.Advance(r)
	}
	if a := m.node.AppliedIndex(); a >= m.node.SnapshotIndex()+16 {
		if c := m.node.Compact(a, []byte("s")); c != nil {
			m.disk.Entries = slices.Clone(m.disk.Entries[c.Index-m.disk.Snapshot.Index:])
			m.disk.Snapshot = *c
		}
	}
}

// leader is one that can agree on something, as far as it knows.
func (s *site) leader() *machine {
	for _, m := range s.machines {
		if m.node != nil && !m.cut && m.node.HasCommittedInTerm() {
			return m
		}
	}
	return nil
}

func (s *site) step() {
	s.now++
	for _, m := range s.machines {
		if m.back != nil && s.now >= m.backAt {
			m.back()
			m.back = nil
		}
		if m.leaving {
			s.end(m)
		}
		if m.node == nil {
			continue
		}
		m.node.Tick()
		m.policy.ticks = s.now
		if m.node.Role() != raft.Leader {
			m.ledSince = s.now
		}
		if s.fault == "two steps" || m.older {
			if s.now%4 == 0 {
				twoSteps(m.node, s.wanted, s.now-m.ledSince)
			}
		} else if _, next := m.policy.nextMembers(m.node); next != nil {
			m.node.ProposeMembers(next)
		}
		if l := s.leader(); l != nil && l != m && !m.cut {
			s.call(m, l)
		}
		s.carry(m)
	}
	if l := s.leader(); l != nil && s.now%3 == 0 {
		s.value++
		l.node.Propose(fmt.Append(nil, s.value))
		s.carry(l)
	}
	for range 2 { // two ways in the time of a tick
		msgs := s.net
		s.net = nil
		for _, msg := range msgs {
			from, to := s.by(msg.From), s.by(msg.To)
			if from == nil || to == nil || from.cut || to.cut || to.node == nil || s.rng.IntN(50) == 0 {
				continue
			}
			to.node.Step(msg)
			s.carry(to)
		}
	}
	s.silence = max(s.silence, s.now-s.last)
	if s.now-s.last > mostSilence {
		s.fail("nothing was agreed on for %d steps", s.now-s.last)
	}
}

// call is what a member asks the leader by calls: to be taken in, or let go.
func (s *site) call(m, l *machine) {
	ms := l.node.Members()
	known := slices.ContainsFunc(ms, func(x raft.Member) bool { return x.ID == m.id })
	switch {
	case m.leaving && s.now%4 == 0 && s.fault != "two steps":
		l.policy.markLeaving(m.id)
	case !known && s.now%8 == 0:
		l.node.ProposeMembers(append(slices.Clone(ms), raft.Member{ID: m.id, Addr: m.addr, SupportsJoint: !m.older}))
		s.carry(l)
	}
}

func (s *site) by(id raft.ID) *machine {
	for _, m := range s.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (s *site) steps(n int) {
	for i := 0; i < n && s.bad == nil; i++ {
		s.step()
	}
}

// lose has a machine lost in one of the ways in which they are. It is lost until it or
// its successor has been back for so long that it counts as whole.
func (s *site) lose(m *machine) {
	ways := []string{"crash", "cut", "leave", "wiped", "replaced", "restart"}
	how := ways[s.rng.IntN(len(ways))]
	if s.hard {
		how = "replaced"
	}
	s.story = append(s.story, fmt.Sprintf("%d: %s of %s", s.now, how, m.addr))
	down, back := s.rng.IntN(200), func() { s.start(m) }
	if s.hard {
		down = s.rng.IntN(10)
	}
	switch how {
	case "cut":
		m.cut = true
		back = func() { m.cut = false }
	case "leave": // told to end, it has some time; it comes back with its disk
		m.leaving, m.until, m.lostUntil = true, s.now+50, never
		return
	case "restart":
		down /= 10
	case "wiped":
		back = func() { s.empty(m) }
	case "replaced": // for good, by one at another address
		back = func() {
			m.addr = fmt.Sprint("b", s.next)
			s.empty(m)
		}
	}
	if how != "cut" {
		m.node = nil
	}
	s.back(m, down, back)
}

const never = 1 << 40

// back has something happen that makes a machine whole again.
func (s *site) back(m *machine, after int, do func()) {
	at := s.now + 1 + after
	m.back, m.backAt, m.lostUntil = do, at, at+syncTicks
}

// end has a machine that is leaving do so once it may.
func (s *site) end(m *machine) {
	if s.now%4 == 0 {
		m.node.TransferLeadership()
	}
	if s.now >= m.until || s.fault == "" && !m.node.NeededForQuorum() {
		m.node, m.leaving = nil, false
		s.back(m, s.rng.IntN(100), func() { s.start(m) })
	}
}

// days are runs of losses, one as soon as one before is made good: so many at once.
func (s *site) days(losses, atOnce int) error {
	s.steps(syncTicks)
	for losses > 0 && s.bad == nil {
		s.step()
		lost := 0
		for _, m := range s.machines {
			if m.lostUntil > s.now {
				lost++
			}
		}
		if m := s.machines[s.rng.IntN(len(s.machines))]; lost < atOnce && m.lostUntil <= s.now && s.rng.IntN(3) > 0 {
			if l := s.leader(); l != nil && l.lostUntil <= s.now && (s.hard || s.rng.IntN(3) == 0) {
				m = l // the one that knows most
			}
			s.lose(m)
			losses--
		}
	}
	for s.bad == nil && slices.ContainsFunc(s.machines, func(m *machine) bool { return m.lostUntil > s.now }) {
		s.step()
	}
	if s.bad == nil {
		highest := slices.Max(slices.Collect(maps.Keys(s.agreed)))
		for _, m := range s.machines {
			if m.node.AppliedIndex()+30 < highest {
				s.fail("%d has %d places of %d", m.id, m.node.AppliedIndex(), highest)
			}
		}
		older := slices.ContainsFunc(s.machines, func(m *machine) bool { return m.older }) // it may leave one voter more
		if l := s.leader(); l == nil || !older && voterCount(l.node.Members()) != s.wanted {
			s.fail("not %d voters", s.wanted)
		} else if l.node.CommitIndex() < highest {
			s.fail("the leader knows that %d places are agreed, %d were", l.node.CommitIndex(), highest)
		}
	}
	if s.bad != nil {
		return fmt.Errorf("%w, after %q", s.bad, s.story)
	}
	return nil
}

func voterCount(ms []raft.Member) (n int) {
	for _, m := range ms {
		if m.Voter {
			n++
		}
	}
	return n
}

// twoSteps is how voters were replaced once: by one more and, 0.2 s later, one less;
// silent ones after 3 s, as a leader counts them from its election on.
func twoSteps(n *raft.Node, wanted, ledFor int) {
	if !n.HasCommittedInTerm() {
		return
	}
	ms := n.Members()
	ready, gone, voters := -1, -1, 0
	for i, m := range ms {
		after := slices.ContainsFunc(ms[i+1:], func(o raft.Member) bool { return o.Addr == m.Addr })
		switch quiet := min(n.TicksSinceResponse(m.ID), ledFor); {
		case m.Voter:
			voters++
			if after || quiet > 60 {
				gone = i
			}
		case after || quiet > removeTicks:
			n.ProposeMembers(slices.Delete(slices.Clone(ms), i, i+1))
			return
		case quiet < electionTicks && n.CaughtUp(m.ID):
			ready = i
		}
	}
	next := slices.Clone(ms)
	switch {
	case ready >= 0 && (voters < wanted || voters == wanted && gone >= 0):
		next[ready].Voter = true
		n.ProposeMembers(next)
	case gone >= 0 && voters > wanted:
		n.ProposeMembers(slices.Delete(next, gone, gone+1))
	}
}

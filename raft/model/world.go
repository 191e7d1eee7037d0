// Package model is a small world of members that agree, with everything that can
// happen to them, to be walked through whole (package explore). The members are the
// real ones of package agreement. Elections may begin anywhere at any time, with
// pre-votes and calm left out: whatever is safe here is safe with any clocks.
package model

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"example.org/elmspan/lab/modelcheck"
	"example.org/elmspan/raft"
)

// Bounds are how often things may happen in a world. What is on its way from one
// member to another is bounded too: of more than InFlight messages the oldest is lost.
type Bounds struct {
	Members    int  `help:"Voters at the start." default:"3"`
	Elections  int  `help:"Elections begun." default:"2"`
	Candidates int  `help:"Members that may begin elections; 0: all."`
	Values     int  `help:"Values proposed." default:"1"`
	Beats      int  `help:"Rounds of heartbeats beside those that follow on something." default:"1"`
	Crashes    int  `help:"Members that end and start again with their disks." default:"1"`
	Resigns    int  `help:"Leaders that step down by themselves." default:"0"`
	Doubled    int  `help:"Messages that arrive twice." default:"0"`
	Changes    int  `help:"Changes of who votes: one more, or one less." default:"0"`
	Swaps      int  `help:"Changes of one voter for another: joint ones." default:"0"`
	Led        bool `help:"Member 1 is elected already, and all have heard of it."`
	Out        int  `help:"The only voter that is changed for another; 0: any."`
	Snapshots  int  `help:"Logs that are cut off behind a snapshot." default:"0"`
	Pieces     int  `help:"Messages that a snapshot takes; 0: one."`
	Tail       int  `help:"Entries that stay behind a snapshot."`
	Damaged    int  `help:"Pieces of snapshots that arrive with other bytes." default:"0"`
	InFlight   int  `help:"Messages on the way from one member to another." default:"1"`
	Entries    int  `help:"Entries of the log in one message; 0: as many as there are."`
}

func (b Bounds) String() string {
	candidates := b.Candidates
	if candidates == 0 {
		candidates = b.Members
	}
	return fmt.Sprintf("%d members, %d elections by %d, %d values, %d beats, %d crashes, %d resigns, %d doubled, %d changes, %d swaps, %d snapshots in %d pieces, tails of %d, %d damaged, %d in flight",
		b.Members, b.Elections, candidates, b.Values, b.Beats, b.Crashes, b.Resigns, b.Doubled, b.Changes, b.Swaps, b.Snapshots, max(1, b.Pieces), b.Tail, b.Damaged, b.InFlight)
}

// never is a time that does not come: time is what the walk decides.
const never = 1 << 40

// heartbeat is so many ticks, after which what was sent may be sent again too.
const heartbeat = 4

// world is one state.
type world struct {
	left    Bounds // what may still happen
	members []*member
	net     []raft.Message
	agreed  []raft.Entry // from place 1 on, as it was first applied anywhere
	leaders []raft.ID    // by term
	rounds  []round
	damaged bool // something was, on its way
	bad     error
}

type member struct {
	id   raft.ID
	most int // entries in a message
	tail int // entries behind a snapshot
	node *raft.Node
	disk raft.PersistentState
	// applied is the furthest that it ever had, of which the disk holds all.
	applied uint64
}

// round is a round of heartbeats, and how much was agreed when it began.
type round struct {
	leader raft.ID
	term   uint64
	round  uint64
	agreed int
}

// New returns the world's first state: members with empty disks.
func New(b Bounds) modelcheck.State {
	var ms []raft.Member
	for i := range b.Members {
		ms = append(ms, raft.Member{ID: raft.ID(i + 1), Voter: true, SupportsJoint: true})
	}
	for i := range b.Swaps { // learners, known to understand joint changes
		ms = append(ms, raft.Member{ID: raft.ID(b.Members + i + 1), SupportsJoint: true})
	}
	w := &world{left: b}
	for i := range b.Members + b.Changes + b.Swaps { // those that are not voters yet stand by
		m := &member{id: raft.ID(i + 1), most: b.Entries, tail: b.Tail, disk: raft.PersistentState{Snapshot: raft.Snapshot{Members: ms}}}
		m.start()
		w.members = append(w.members, m)
	}
	if b.Led {
		first := w.members[0].node
		first.Step(raft.Message{Kind: raft.TimeoutNow, From: 2, To: 1, Term: first.Term()})
		for w.host(0); len(w.net) > 0; {
			m := w.net[0]
			w.net = w.net[1:]
			w.members[m.To-1].node.Step(m)
			w.host(int(m.To) - 1)
		}
	}
	return w
}

func (m *member) start() {
	m.node = raft.New(raft.Config{ID: m.id, ElectionTicks: never, HeartbeatTicks: heartbeat, MaxEntriesPerMessage: m.most,
		TrailingEntries: cmp.Or(m.tail, -1), ChunkBytes: 1, MaxInflightChunks: 1},
		raft.PersistentState{HardState: m.disk.HardState, Snapshot: m.disk.Snapshot, Entries: slices.Clone(m.disk.Entries)})
}

func (w *world) clone() *world {
	c := *w
	c.members = slices.Clone(w.members)
	c.net, c.agreed = slices.Clone(w.net), slices.Clip(w.agreed)
	c.leaders, c.rounds = slices.Clone(w.leaders), slices.Clip(w.rounds)
	return &c
}

// at gives a clone its own copy of a member, to be changed.
func (w *world) at(i int) *member {
	m := *w.members[i]
	m.node = m.node.Clone()
	w.members[i] = &m
	return &m
}

// state is what stands for the log up to an index, in so many pieces.
func state(index uint64, pieces int) []byte { return bytes.Repeat([]byte{byte(index)}, max(1, pieces)) }

// Next implements [modelcheck.State].
func (w *world) Next(yield func(string, modelcheck.State) bool) {
	// try plays one event at a member; false ends the walk.
	try := func(i int, event string, spend *int, do func(c *world, m *member) bool) bool {
		if spend != nil && *spend == 0 {
			return true
		}
		if spend != nil {
			*spend--
			defer func() { *spend++ }()
		}
		c := w.clone()
		if !do(c, c.at(i)) {
			return true
		}
		return yield(event, c.host(i))
	}
	for k, msg := range w.net {
		i := int(msg.To) - 1
		deliver := func(c *world, m *member) bool {
			m.node.Step(msg)
			return true
		}
		if msg.Kind == raft.SnapshotChunk && !try(i, fmt.Sprint("arrives damaged: ", describe(msg)), &w.left.Damaged, func(c *world, m *member) bool {
			c.net = slices.Delete(c.net, k, k+1)
			s := *msg.Snapshot
			s.Data = []byte{0xff}
			bad := msg
			bad.Snapshot = &s
			m.node.Step(bad)
			c.damaged = true
			return true
		}) {
			return
		}
		if !try(i, fmt.Sprint("arrives: ", describe(msg)), nil, func(c *world, m *member) bool {
			c.net = slices.Delete(c.net, k, k+1)
			return deliver(c, m)
		}) || !try(i, fmt.Sprint("arrives, and once more later: ", describe(msg)), &w.left.Doubled, deliver) {
			return
		}
	}
	for i, m := range w.members {
		id, n := m.id, m.node
		leads := n.Role() == raft.Leader
		ok := try(i, fmt.Sprint("election begun by ", id), &w.left.Elections, func(_ *world, m *member) bool {
			other := raft.ID(1)
			if id == 1 {
				other = 2
			}
			m.node.Step(raft.Message{Kind: raft.TimeoutNow, From: other, To: id, Term: m.node.Term()})
			return !leads && m.node.Role() != raft.Follower && (w.left.Candidates == 0 || i < w.left.Candidates)
		}) && try(i, fmt.Sprint("crash of ", id), &w.left.Crashes, func(_ *world, m *member) bool {
			m.start()
			return true
		})
		if !ok {
			return
		}
		if a := n.AppliedIndex(); a > n.SnapshotIndex() && !try(i, fmt.Sprint("snapshot at ", id), &w.left.Snapshots, func(_ *world, m *member) bool {
			s := m.node.Compact(a, state(a, w.left.Pieces))
			if s != nil {
				m.disk.Entries = slices.Clone(m.disk.Entries[s.Index-m.disk.Snapshot.Index:])
				m.disk.Snapshot = *s
			}
			return s != nil
		}) {
			return
		}
		if !leads {
			continue
		}
		ok = try(i, fmt.Sprint("value at ", id), &w.left.Values, func(_ *world, m *member) bool {
			_, _, err := m.node.Propose([]byte{byte('a' + w.left.Values)})
			return err == nil
		}) && try(i, fmt.Sprint("beat of ", id), &w.left.Beats, func(c *world, m *member) bool {
			c.begin(m)
			for range heartbeat {
				m.node.Tick()
			}
			return true
		}) && try(i, fmt.Sprint("leader ", id, " steps down"), &w.left.Resigns, func(_ *world, m *member) bool {
			m.node.StepDown()
			return true
		})
		if !ok {
			return
		}
		for _, set := range changes(n.Members(), len(w.members)) {
			if !try(i, fmt.Sprint("voters to be ", voters(set), " at ", id), &w.left.Changes, func(_ *world, m *member) bool {
				return m.node.ProposeMembers(set) == nil
			}) {
				return
			}
		}
		for _, set := range swaps(n.Members(), len(w.members), w.left.Out) {
			if !try(i, fmt.Sprint("one voter for another: ", voters(set), " at ", id), &w.left.Swaps, func(_ *world, m *member) bool {
				return m.node.ProposeMembers(set) == nil
			}) {
				return
			}
		}
	}
}

// begin notes a round that is about to begin.
func (w *world) begin(m *member) {
	w.rounds = append(w.rounds, round{m.id, m.node.Term(), m.node.NextReadIndexRound(), len(w.agreed)})
}

// changes are the sets of voters one step away, and one that is further.
func changes(now []raft.Member, most int) (out [][]raft.Member) {
	for id := raft.ID(1); int(id) <= most; id++ {
		set := slices.DeleteFunc(slices.Clone(now), func(m raft.Member) bool { return m.ID == id })
		if len(set) == len(now) {
			set = append(set, raft.Member{ID: id, Voter: true})
		}
		if len(set) > 0 {
			out = append(out, set)
		}
	}
	if last := raft.ID(most); !slices.ContainsFunc(now, func(m raft.Member) bool { return m.ID == last }) {
		out = append(out, []raft.Member{{ID: 1, Voter: true}, {ID: last, Voter: true}}) // a leap: not to be taken
	}
	return out
}

// swaps are the sets with one voter less and another more; the one that loses its
// vote, out or any, stays.
func swaps(now []raft.Member, most, out int) (sets [][]raft.Member) {
	for id := raft.ID(1); int(id) <= most; id++ {
		in := slices.IndexFunc(now, func(m raft.Member) bool { return m.ID == id })
		if in >= 0 && now[in].Voter {
			continue
		}
		for i := range now {
			if !now[i].Voter || out != 0 && now[i].ID != raft.ID(out) {
				continue
			}
			set := slices.Clone(now)
			set[i].Voter = false
			if in >= 0 {
				set[in].Voter = true
			} else {
				set = append(set, raft.Member{ID: id, Voter: true, SupportsJoint: true})
			}
			sets = append(sets, set)
		}
	}
	return sets
}

func voters(ms []raft.Member) (ids []raft.ID) {
	for _, m := range ms {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// host carries out what a member has ready: it is on disk before anything goes out.
// A crash in between is one whose messages are lost.
func (w *world) host(i int) *world {
	m := w.members[i]
	for {
		r := m.node.Ready()
		if r.Empty() {
			break
		}
		if r.HardState != nil {
			m.disk.HardState = *r.HardState
		}
		if s := r.Snapshot; s != nil {
			if !bytes.Equal(s.Data, state(s.Index, w.left.Pieces)) || s.Index < m.applied {
				w.fail("%d, which has applied %d places, installs %x for the log up to %d", m.id, m.applied, s.Data, s.Index)
			}
			m.disk.Snapshot, m.disk.Entries = *r.Snapshot, nil
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - m.disk.Snapshot.Index - 1
			m.disk.Entries = append(slices.Clone(m.disk.Entries[:keep]), r.Entries...)
		}
		for _, msg := range r.Messages {
			w.send(msg)
		}
		for _, e := range r.CommittedEntries {
			w.apply(m.id, e)
		}
		m.node.Advance(r)
		m.applied = m.node.AppliedIndex()
	}
	if m.node.Role() == raft.Leader {
		term := int(m.node.Term())
		for len(w.leaders) <= term {
			w.leaders = append(w.leaders, 0)
		}
		if l := w.leaders[term]; l != 0 && l != m.id {
			w.fail("term %d has the leaders %d and %d", term, l, m.id)
		}
		w.leaders[term] = m.id
	}
	return w
}

// send puts a message on its way, and loses the oldest of too many.
func (w *world) send(msg raft.Message) {
	same := func(m raft.Message) bool { return m.From == msg.From && m.To == msg.To }
	if int(msg.To) > len(w.members) {
		return
	}
	n := 0
	for _, m := range w.net {
		if same(m) {
			n++
		}
	}
	if n >= w.left.InFlight {
		i := slices.IndexFunc(w.net, same)
		w.net = slices.Delete(w.net, i, i+1)
	}
	w.net = append(w.net, msg)
}

// apply checks that all agree on each place of the log.
func (w *world) apply(id raft.ID, e raft.Entry) {
	at := int(e.Index) - 1
	switch {
	case at == len(w.agreed):
		w.agreed = append(w.agreed, e)
	case at > len(w.agreed):
		w.fail("%d applies place %d, before it %d are agreed", id, e.Index, len(w.agreed))
	case w.agreed[at].Term != e.Term || !bytes.Equal(w.agreed[at].Data, e.Data):
		w.fail("place %d held %q of term %d, and now %q of term %d at %d", e.Index, w.agreed[at].Data, w.agreed[at].Term, e.Data, e.Term, id)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.bad == nil {
		w.bad = fmt.Errorf(format, args...)
	}
}

// Check implements [modelcheck.State].
func (w *world) Check() error {
	if w.bad != nil {
		return w.bad
	}
	for _, m := range w.members {
		n := m.node
		if n.CommitIndex() > n.LastIndex() {
			return fmt.Errorf("%d knows that %d places are agreed and has %d", m.id, n.CommitIndex(), n.LastIndex())
		}
		if n.RejectedSnapshots() > 0 && !w.damaged {
			return fmt.Errorf("%d refuses a snapshot whose pieces came as they were sent", m.id)
		}
		if !n.HasCommittedInTerm() {
			continue
		}
		for _, r := range w.rounds {
			if r.leader == m.id && r.term == n.Term() && n.ConfirmedReadIndexRound() >= r.round && int(n.CommitIndex()) < r.agreed {
				return fmt.Errorf("%d has confirmed that it leads and knows %d of %d places that were agreed before", m.id, n.CommitIndex(), r.agreed)
			}
		}
	}
	return nil
}

// AppendKey implements [modelcheck.State].
func (w *world) AppendKey(b []byte) []byte {
	l := w.left
	for _, v := range []int{l.Elections, l.Values, l.Beats, l.Crashes, l.Resigns, l.Doubled, l.Changes, l.Swaps, l.Snapshots, l.Damaged, len(w.agreed), len(w.net)} {
		b = append(b, byte(v))
	}
	for _, e := range w.agreed {
		b = append(binary.AppendUvarint(b, e.Term), e.Data...)
		b = append(b, ';')
	}
	for _, id := range w.leaders {
		b = append(b, byte(id))
	}
	for _, r := range w.rounds {
		b = append(b, byte(r.leader), byte(r.term), byte(r.round), byte(r.agreed))
	}
	for _, m := range w.members {
		b = m.node.AppendKey(append(b, '|'))
	}
	keys := make([][]byte, 0, len(w.net))
	for i := range w.net { // in what order they were sent matters between two members only
		keys = append(keys, w.net[i].AppendKey([]byte{byte(w.net[i].From), byte(w.net[i].To)}))
	}
	slices.SortStableFunc(keys, func(x, y []byte) int { return bytes.Compare(x[:2], y[:2]) })
	for _, k := range keys {
		b = append(append(b, '/'), k...)
	}
	return b
}

func describe(m raft.Message) string {
	kind := [...]string{"", "pre-vote", "answer to a pre-vote", "vote?", "vote", "append", "appended", "snapshot", "campaign", "piece", "piece taken", "forgotten"}[m.Kind]
	if m.Reject {
		kind = "no: " + kind
	}
	return fmt.Sprintf("%s %d to %d, term %d, place %d of term %d, %d entries, agreed %d, round %d", kind, m.From, m.To, m.Term, m.Index, m.LogTerm,
		len(m.Entries), m.Commit, m.Round)
}

package raft

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// alone is a member of three whose others are played by the test.
func alone(id ID, check func(*Snapshot) error) *Node {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1, ChunkBytes: 8, TrailingEntries: 4, ValidateSnapshot: check},
		PersistentState{Snapshot: Snapshot{Members: members}})
}

// carried does all that is ready, and returns what was to be sent and installed.
func carried(n *Node) (sent []Message, installed []*Snapshot) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		if r.Snapshot != nil {
			installed = append(installed, r.Snapshot)
		}
		n.Advance(r)
		sent = append(sent, r.Messages...)
	}
	return sent, installed
}

// pieces are the messages that bring a snapshot.
func pieces(from ID, term uint64, s Snapshot, size int) (out []Message) {
	for at := 0; at < len(s.Data); at += size {
		p := s
		p.Data = s.Data[at:min(len(s.Data), at+size)]
		out = append(out, Message{Kind: SnapshotChunk, From: from, To: 1, Term: term, Snapshot: &p, Offset: uint64(at), SnapshotSize: uint64(len(s.Data)), SnapshotChecksum: xxhash.Sum64(s.Data)})
	}
	return out
}

// Pieces of three snapshots, of two leaders of two terms and of the same index with other
// bytes, damaged, doubled, lost, in any order: what is installed is one of the three,
// whole, and never one behind what is known to be agreed. Where nothing is damaged and
// one leader sends, nothing is refused either.
func TestPiecesMixed(t *testing.T) {
	t.Parallel()
	whole, refused := 0, uint64(0)
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := alone(1, nil)
		snaps := []Snapshot{{Index: 20, Term: 2, Data: state(20)}, {Index: 30, Term: 2, Data: state(30)}, {Index: 20, Term: 2, Data: bytes.ToUpper(state(20))}}
		var ms []Message
		calm := seed%3 == 0
		for i, s := range snaps {
			term := uint64(3 + i%2)
			if calm {
				if term = 3; i == 2 {
					break
				}
			}
			for range 2 {
				ms = append(ms, pieces(ID(2+i%2), term, s, 16)...)
			}
		}
		if rng.IntN(2) == 0 { // nearly in order
			for range 6 {
				i, j := rng.IntN(len(ms)), rng.IntN(len(ms))
				ms[i], ms[j] = ms[j], ms[i]
			}
		} else {
			rng.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
		}
		at := uint64(0)
		for range 3 {
			for _, m := range ms {
				if !calm && rng.IntN(60) == 0 {
					s := *m.Snapshot
					s.Data = slices.Clone(s.Data)
					s.Data[rng.IntN(len(s.Data))] ^= 1 << rng.IntN(8)
					m.Snapshot = &s
				}
				n.Step(m)
				_, got := carried(n)
				for _, s := range got {
					if s.Index <= at || !slices.ContainsFunc(snaps, func(o Snapshot) bool { return o.Index == s.Index && bytes.Equal(o.Data, s.Data) }) {
						t.Fatalf("seed %d: behind %d it installs %q for the log up to %d", seed, at, s.Data, s.Index)
					}
					at = s.Index
					whole++
				}
			}
		}
		if refused += n.RejectedSnapshots(); calm && n.RejectedSnapshots() > 0 {
			t.Fatalf("seed %d: %d refused, and nothing was damaged", seed, n.RejectedSnapshots())
		}
	}
	if whole < 1000 || refused < 20 {
		t.Errorf("%d installed, %d refused: too few to say anything", whole, refused)
	}
}

// A leader goes on with pieces where the member is, sends what was lost again, keeps to
// the same snapshot while new ones are made, and one that is refused comes again only
// after a while; the member installs it once it can.
func TestTransferGoesOn(t *testing.T) {
	t.Parallel()
	unreadable := errors.New("unreadable")
	var fault error
	l, f := leads(t), alone(2, func(*Snapshot) error { return fault })
	for range 10 {
		l.Propose([]byte("x"))
		answer(l, 3)
	}
	data := bytes.Repeat([]byte("0123456789"), 20)
	if l.Compact(l.AppliedIndex(), data) == nil {
		t.Fatal("no snapshot")
	}
	sent, first, installed := 0, l.SnapshotIndex(), 0
	lose := func(int) bool { return false }
	pass := func(ticks int) {
		for range ticks {
			l.Tick()
			out, _ := carried(l)
			for len(out) > 0 {
				m := out[0]
				out = out[1:]
				switch {
				case m.Kind == SnapshotChunk && m.To == 2:
					if m.Snapshot.Index != first {
						t.Fatalf("pieces of %d, it began with %d", m.Snapshot.Index, first)
					}
					if sent++; lose(sent) {
						continue
					}
					fallthrough
				case m.To == 2:
					f.Step(m)
					back, got := carried(f)
					installed += len(got)
					for _, r := range back {
						l.Step(r)
					}
				case m.To == 3 && m.Kind == AppendEntries:
					l.Step(Message{Kind: AppendEntriesReply, From: 3, To: 1, Term: m.Term, Round: m.Round, Index: m.Index + uint64(len(m.Entries))})
				}
				more, _ := carried(l)
				out = append(out, more...)
			}
		}
	}
	fault = unreadable
	pass(60)
	if installed != 0 || f.RejectedSnapshots() == 0 || f.RejectedSnapshots() > 3 || f.CommitIndex() != 0 {
		t.Fatalf("%d installed, %d refused in 60 ticks", installed, f.RejectedSnapshots())
	}
	for range 2 { // new snapshots meanwhile; the log still goes on from the first
		l.Propose([]byte("y"))
		pass(1)
		l.Compact(l.AppliedIndex(), data[:50])
	}
	fault, sent = nil, 0
	lose = func(k int) bool { return k%5 == 0 }
	pass(200)
	if installed != 1 || f.CommitIndex() != l.CommitIndex() || sent > 60 {
		t.Errorf("%d installed with %d pieces, it knows %d of %d", installed, sent, f.CommitIndex(), l.CommitIndex())
	}
}

// leads returns a member that leads, with the others of its making.
func leads(t *testing.T) *Node {
	n := alone(1, nil)
	for i := 0; n.Role() != Leader; i++ {
		if i > 100 {
			t.Fatal("no leader")
		}
		n.Tick()
		out, _ := carried(n)
		for _, m := range out {
			if m.Kind == PreVoteRequest || m.Kind == VoteRequest {
				n.Step(Message{Kind: m.Kind + 1, From: m.To, To: 1, Term: m.Term})
			}
		}
	}
	answer(n, 3)
	return n
}

// answer has one member take all that the leader has.
func answer(l *Node, id ID) {
	carried(l)
	l.Step(Message{Kind: AppendEntriesReply, From: id, To: 1, Term: l.Term(), Index: l.LastIndex()})
	carried(l)
}

// A snapshot that comes late, from before what is agreed here, changes nothing, though
// its place is not in the log any more.
func TestLateSnapshot(t *testing.T) {
	t.Parallel()
	n := alone(1, nil)
	for _, at := range []uint64{20, 10} {
		n.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: &Snapshot{Index: at, Term: 2, Data: state(at)}})
		for _, m := range pieces(2, 3, Snapshot{Index: at, Term: 2, Data: state(at)}, 16) {
			n.Step(m)
		}
		carried(n)
	}
	if n.SnapshotIndex() != 20 || n.CommitIndex() != 20 || n.AppliedIndex() != 20 {
		t.Errorf("snapshot %d, agreed %d, applied %d", n.SnapshotIndex(), n.CommitIndex(), n.AppliedIndex())
	}
}

// What is installed counts as applied only when the host has taken it over: until then,
// as while its disk refuses writes, nobody is answered as if it were.
func TestInstalledIsNotApplied(t *testing.T) {
	t.Parallel()
	n := alone(1, nil)
	n.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: &Snapshot{Index: 20, Term: 2, Data: state(20)}})
	if n.AppliedIndex() != 0 {
		t.Errorf("applied up to %d before the host did anything", n.AppliedIndex())
	}
	carried(n)
	if n.AppliedIndex() != 20 {
		t.Errorf("applied up to %d", n.AppliedIndex())
	}
}

// A tail stays behind a snapshot, its first place with its term: a member that is a
// little behind is sent entries, one that is further behind the snapshot.
func TestTail(t *testing.T) {
	t.Parallel()
	l := leads(t)
	l.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: l.Term() + 4, Index: 1, LogTerm: 1, Commit: 6, Entries: []Entry{
		{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 3}, {Index: 5, Term: 3}, {Index: 6, Term: 4}}})
	carried(l)
	if l.Compact(6, state(6)) == nil || l.log.base != 2 || l.log.baseTerm != 2 || l.SnapshotIndex() != 6 || l.LastIndex() != 6 || l.Term() != 5 {
		t.Errorf("base %d of term %d, snapshot %d, last %d", l.log.base, l.log.baseTerm, l.SnapshotIndex(), l.LastIndex())
	}
	for at, want := range map[uint64]uint64{1: 0, 2: 2, 3: 2, 4: 3, 6: 4, 7: 0} {
		if got := l.log.term(at); got != want {
			t.Errorf("term of %d: %d, want %d", at, got, want)
		}
	}
	small := New(Config{ID: 1, SnapshotBytes: 1 << 10, SnapshotEntries: 100}, PersistentState{Entries: []Entry{{Index: 1, Term: 1, Data: make([]byte, 400)}, {Index: 2, Term: 1, Data: make([]byte, 400)}}})
	small.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 1, Index: 2, LogTerm: 1, Commit: 2})
	if carried(small); small.SnapshotDue() {
		t.Error("due before its bytes")
	}
	small.Step(Message{Kind: AppendEntries, From: 2, To: 1, Term: 1, Index: 2, LogTerm: 1, Commit: 3, Entries: []Entry{{Index: 3, Term: 1, Data: make([]byte, 400)}}})
	if carried(small); !small.SnapshotDue() || small.Compact(3, nil) == nil || small.log.base != 2 || small.SnapshotDue() {
		t.Errorf("base %d: of 1 KB a half stays", small.log.base)
	}
}

// Heartbeats go out beside what is large and overtake it: none of them is turned down
// for an entry that is still on its way, which is not sent again for it.
func TestHeartbeatsOvertakeEntries(t *testing.T) {
	t.Parallel()
	l, f := leads(t), alone(2, nil)
	var out []Message // entries on their way
	beats := 0
	pass := func() {
		for sent, _ := carried(l); len(sent) > 0; sent, _ = carried(l) {
			for _, m := range sent {
				if m.To != 2 {
					continue
				}
				if m.IsBulk() {
					out = append(out, m)
					continue
				}
				beats++
				f.Step(m)
				back, _ := carried(f)
				for _, r := range back {
					l.Step(r)
				}
			}
		}
	}
	for range 6 {
		l.Tick()
		pass()
	}
	if l.progress[2].matchIndex != l.LastIndex() {
		t.Fatal("the follower is not in step")
	}
	l.Propose(make([]byte, 10<<10))
	l.Propose(make([]byte, 10<<10))
	pass()
	beats = 0
	for range 5 {
		l.BroadcastHeartbeat()
		pass()
	}
	if len(out) != 1 || beats != 5 || l.progress[2].acknowledgedRound != l.heartbeatRound {
		t.Fatalf("%d messages with entries, %d heartbeats, round %d of %d answered", len(out), beats, l.progress[2].acknowledgedRound, l.heartbeatRound)
	}
	l.ReportSendFailure(2) // it is not to come
	l.BroadcastHeartbeat()
	pass()
	if len(out) != 2 || beats != 6 {
		t.Fatalf("after a loss: %d messages with entries, %d heartbeats", len(out), beats)
	}
	for len(out) > 0 {
		m := out[0]
		out = out[1:]
		f.Step(m)
		back, _ := carried(f)
		for _, r := range back {
			l.Step(r)
		}
		pass()
	}
	if f.LastIndex() != l.LastIndex() || l.CommitIndex() != l.LastIndex() {
		t.Errorf("it has %d of %d, agreed are %d", f.LastIndex(), l.LastIndex(), l.CommitIndex())
	}
}

// Two answers that the log doesn't fit, one to a heartbeat and one to the entries beside
// it, have what is missing sent once.
func TestOneRejectionCounts(t *testing.T) {
	t.Parallel()
	l := leads(t)
	for range 9 {
		l.Propose(make([]byte, 2<<10))
		answer(l, 3)
	}
	p := l.progress[2]
	p.nextIndex = l.LastIndex() + 1
	for range 2 {
		l.Step(Message{Kind: AppendEntriesReply, From: 2, To: 1, Term: l.Term(), Index: 4, Reject: true, RejectedIndex: l.LastIndex()})
	}
	sent, _ := carried(l)
	if p.nextIndex != 5 || len(sent) != 1 || sent[0].Index != 4 {
		t.Errorf("%d messages, next is %d", len(sent), p.nextIndex)
	}
}

// A new leader that has the same snapshot goes on with it where the one before left off.
func TestAnotherLeaderGoesOn(t *testing.T) {
	t.Parallel()
	n := alone(1, nil)
	s := Snapshot{Index: 20, Term: 2, Data: state(20)}
	first, second := pieces(2, 3, s, 16), pieces(3, 4, s, 16)
	n.Step(first[0])
	n.Step(first[1])
	carried(n)
	n.Step(second[0])
	sent, _ := carried(n)
	if len(sent) != 1 || sent[0].To != 3 || sent[0].Offset != 32 || sent[0].Reject {
		t.Fatalf("it is told %+v", sent)
	}
	for _, m := range second[2:] {
		n.Step(m)
	}
	if _, got := carried(n); len(got) != 1 || !bytes.Equal(got[0].Data, state(20)) || n.RejectedSnapshots() != 0 {
		t.Errorf("%d installed, %d refused", len(got), n.RejectedSnapshots())
	}
}

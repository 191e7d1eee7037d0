package raft

import "github.com/cespare/xxhash/v2"

// A snapshot that does not fit into one message goes to a member in pieces, each
// acknowledged by how many bytes of it the member holds; so a loss costs a piece, and
// neither a slow link nor the size of the state keeps a member from catching up
// (docs/decisions/0013). Heartbeats, votes and entries go on beside it.

const (
	// pieceBytes is the size of a piece, where the settings name none: a link of 1 Mbit/s
	// carries it in 130 ms, a quarter of an election time. So many are on their way at once.
	pieceBytes = 16 << 10
	window     = 2
	// slowest is a link's speed in bytes a tick of 50 ms that time-outs still allow for: 1 Mbit/s.
	slowest = 6250
	// mostDoublings bounds by how much longer is waited after each time in vain.
	mostDoublings = 3
	// refusedTicks is for how long a snapshot that was refused is not sent again; longer
	// after each refusal.
	refusedTicks = 10
	// silentTicks is for how long a member that takes a snapshot may say nothing before the
	// log is not kept for it any more.
	silentTicks = 60
	// MostSnapshot bounds the bytes of a snapshot that is taken in.
	MaxSnapshotBytes = 64 << 20
)

// transfer is a snapshot on its way to a member, as its leader sees it. It stays the
// same one, whatever snapshots are made meanwhile, while the log goes on from it.
type transfer struct {
	snap     Snapshot
	sum      uint64
	acked    int // bytes that the member holds
	sent     int
	waited   int // ticks since the last progress
	tries    int // times in a row that this was too long
	refusals int
	hold     int // ticks for which nothing is sent
}

// resendTicks of waiting, and what the bytes take on the slowest link.
func resendAfter(bytes int) int { return resendTicks + bytes/slowest }

func (x *transfer) tick() {
	if x.hold > 0 {
		x.hold--
		return
	}
	if x.waited++; x.waited >= resendAfter(x.sent-x.acked)<<min(x.tries, mostDoublings) {
		x.again()
		x.tries++
	}
}

// again sends what is not acknowledged once more.
func (x *transfer) again() { x.sent, x.waited = x.acked, 0 }

// sendSnapshot sends a member the next pieces of a snapshot, the whole where it is small.
func (n *Node) sendSnapshot(id ID, p *progress) {
	x := p.snapshot
	if x == nil || x.snap.Index < n.base { // none, or the log doesn't go on from it any more
		x = &transfer{snap: n.snap, sum: xxhash.Sum64(n.snap.Data)}
		p.snapshot, p.catchUp = x, true
	}
	if x.hold > 0 {
		return
	}
	size := len(x.snap.Data)
	if size <= n.cfg.ChunkBytes { // as members of before pieces know it
		if x.sent == 0 {
			s := x.snap
			n.send(Message{Kind: InstallSnapshot, To: id, Term: n.hard.Term, Round: n.round, Snapshot: &s})
			x.sent = max(1, size)
		}
		return
	}
	for x.sent < size && x.sent-x.acked < n.cfg.MaxInflightChunks*n.cfg.ChunkBytes {
		s := x.snap
		end := min(size, x.sent+n.cfg.ChunkBytes)
		s.Data = s.Data[x.sent:end:end]
		n.send(Message{Kind: SnapshotChunk, To: id, Term: n.hard.Term, Round: n.round, Snapshot: &s,
			Offset: uint64(x.sent), SnapshotSize: uint64(size), SnapshotChecksum: x.sum})
		x.sent = end
	}
}

// pieceTaken takes in how much of a snapshot a member holds.
func (n *Node) pieceTaken(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.heard(m.Round, n.round)
	x := p.snapshot
	if x == nil || m.Index != x.snap.Index || m.SnapshotChecksum != x.sum {
		return // of another one
	}
	at := int(min(m.Offset, uint64(len(x.snap.Data))))
	switch {
	case m.Reject: // it came, and can't be used there
		if x.hold == 0 {
			x.hold = refusedTicks << min(x.refusals, 5)
			x.refusals++
		}
		x.acked, x.tries = 0, 0
		x.again()
		return
	case at > x.acked:
		x.acked, x.sent, x.waited, x.tries = at, max(x.sent, at), 0, 0
	case at < x.acked && x.tries > 0: // it has lost what it had, as after a restart
		x.acked = at
		x.again()
	default:
		return // doubled or late
	}
	n.sendSnapshot(m.From, p)
}

// Lost tells a leader that what was on its way to a member beside heartbeats did not
// arrive: it may be sent again before its time.
func (n *Node) ReportSendFailure(id ID) {
	p := n.peers[id]
	if p == nil {
		return
	}
	p.paused = false
	if x := p.snapshot; x != nil && x.hold == 0 {
		x.again()
		x.tries = max(x.tries, 1)
	}
}

// keepsFor tells that a live member takes a snapshot, or has taken one and not yet all
// that came meanwhile: the log must go on from there.
func (n *Node) keepsFor() bool {
	for _, p := range n.peers {
		if p.catchUp && p.quiet < silentTicks && (p.snapshot == nil || p.snapshot.refusals == 0) {
			return true
		}
	}
	return false
}

// assembly is a snapshot of which pieces have come: those up to len(snap.Data). Equal
// index, term, size and sum are the same bytes, whoever sends them.
type assembly struct {
	snap Snapshot
	size uint64
	sum  uint64
	term uint64 // of the latest leader that sent a piece of it
}

func (a *assembly) of(m *Message) bool {
	return a.snap.Index == m.Snapshot.Index && a.snap.Term == m.Snapshot.Term && a.size == m.SnapshotSize && a.sum == m.SnapshotChecksum
}

// older tells that a message has a later snapshot. A leader's only become later; a new
// leader's may be earlier than that of the one before.
func (a *assembly) older(m *Message) bool {
	return m.Term > a.term || m.Snapshot.Index > a.snap.Index
}

// takePiece puts a piece to those that have come. What is whole is installed.
func (n *Node) takePiece(m Message) {
	s := m.Snapshot
	if n.has(s) {
		n.incoming = nil
		n.install(m)
		return
	}
	a := n.incoming
	switch {
	case a == nil || !a.of(&m) && a.older(&m):
		a = &assembly{snap: *s, size: m.SnapshotSize, sum: m.SnapshotChecksum}
		a.snap.Data = make([]byte, 0, m.SnapshotSize) // once: no piece moves the others
		n.incoming = a
	case !a.of(&m):
		return // late, of a transfer that was given up
	}
	a.term = m.Term
	reply := Message{Kind: SnapshotChunkReply, To: m.From, Term: n.hard.Term, Round: m.Round, Index: s.Index, SnapshotChecksum: m.SnapshotChecksum}
	if m.Offset == uint64(len(a.snap.Data)) { // else doubled, or one before it is missing
		a.snap.Data = append(a.snap.Data, s.Data...)
	}
	reply.Offset = uint64(len(a.snap.Data))
	if reply.Offset < a.size {
		n.send(reply)
		return
	}
	n.incoming = nil
	if xxhash.Sum64(a.snap.Data) != a.sum { // damaged on its way
		n.refused++
		reply.Reject, reply.Offset = true, 0
		n.send(reply)
		return
	}
	m.Snapshot = &a.snap
	n.install(m)
}

// has tells that all that a snapshot stands for is here.
func (n *Node) has(s *Snapshot) bool {
	return s.Index <= n.commit || s.Index <= n.last() && n.term(s.Index) == s.Term
}

// install takes a whole snapshot over, unless all of it is here. One that the host
// can't read is refused: this member stays at what it has.
func (n *Node) install(m Message) {
	s := m.Snapshot
	switch {
	case n.has(s):
		n.commit = max(n.commit, s.Index)
	case n.cfg.ValidateSnapshot != nil && n.cfg.ValidateSnapshot(s) != nil:
		n.refused++
		n.send(Message{Kind: SnapshotChunkReply, To: m.From, Term: n.hard.Term, Round: m.Round, Index: s.Index, SnapshotChecksum: xxhash.Sum64(s.Data), Reject: true})
		return
	default:
		n.snap, n.entries, n.installed, n.incoming = *s, nil, s, nil
		n.base, n.baseTerm = s.Index, s.Term
		n.commit, n.stored = s.Index, s.Index
		n.findMembers()
	}
	n.send(Message{Kind: AppendEntriesReply, To: m.From, Term: n.hard.Term, Round: m.Round, Index: max(n.commit, s.Index)})
}

// ---- When to make one ----

// weight is what an entry counts toward the bounds of what is held, in bytes.
func weight(e *Entry) int { return len(e.Data) + 64*(1+len(e.Members)) }

// SnapshotDue tells that the log has grown enough for a snapshot of what is applied.
// While a member catches up from one the leader waits, so that the log goes on from it: until
// what is held is larger than the snapshot, when a new one is the shorter way.
func (n *Node) SnapshotDue() bool {
	if n.applied <= n.snap.Index {
		return false
	}
	bytes := 0
	for i := range n.entries[:n.applied-n.base] {
		bytes += weight(&n.entries[i])
	}
	if n.role == Leader && n.keepsFor() {
		return bytes >= max(n.cfg.SnapshotBytes, len(n.snap.Data))
	}
	return bytes >= n.cfg.SnapshotBytes || n.applied-n.snap.Index >= uint64(n.cfg.SnapshotEntries)
}

// Compact makes data a snapshot of the log up to an applied index. A tail stays for
// members that are a little behind: at most half of what makes a snapshot due.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	if index <= n.snap.Index || index > n.applied || index > n.stored {
		return nil
	}
	s := Snapshot{Index: index, Term: n.term(index), Members: n.snap.Members, Data: data}
	for _, e := range n.entries[:index-n.base] {
		if e.Members != nil {
			s.Members = e.Members
		}
	}
	first, bytes := index, 0 // the tail begins behind it
	for first > n.base && index-first < uint64(max(0, n.cfg.TrailingEntries)) {
		if bytes += weight(&n.entries[first-n.base-1]); bytes > n.cfg.SnapshotBytes/2 {
			break
		}
		first--
	}
	term := n.term(first)
	n.entries = append([]Entry(nil), n.entries[first-n.base:]...)
	n.base, n.baseTerm, n.snap = first, term, s
	return &s
}

// Refused returns how many snapshots came damaged or could not be read here.
func (n *Node) RejectedSnapshots() uint64 { return n.refused }

package raft

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// Config are a member's settings, in ticks of the host.
type Config struct {
	ID                   ID
	ElectionTicks        int // least time without a leader before an election; up to twice as long
	HeartbeatTicks       int
	Seed                 uint64
	MaxEntriesPerMessage int // of one message; 0: 32

	// The log is due to be cut behind a snapshot after so many entries (0: 64), or so many
	// bytes of them (0: 512 KB), of which so many entries stay (0: 64; less than 0: none).
	SnapshotEntries, SnapshotBytes, TrailingEntries int
	// Of a snapshot a message carries so many bytes (0: 16 KB), and so many messages are
	// on their way (0: 2).
	ChunkBytes, MaxInflightChunks int
	// Check, where set, tells whether the host can take over a snapshot; one that it can't
	// is refused. It must depend on the snapshot alone.
	ValidateSnapshot func(*Snapshot) error
}

const (
	// mostEntries, if the settings name none, and mostBytes bound the entries of one
	// message. One entry goes out whatever its size.
	mostEntries = 32
	mostBytes   = 16 << 10
	// A message with so many bytes at most travels with the heartbeats; see [Message.Bulk].
	smallBytes = 1 << 10
	// resendTicks is how long entries that are on their way are waited for before
	// they are sent again, and longer for many bytes (resendAfter). To send them with
	// each heartbeat would fill the memory of a leader whose link is slow (docs/incidents/0006).
	resendTicks = 4
	// When the log is cut, and what stays of it. Members hold it in memory.
	logEntries, tailEntries = 64, 64
	logBytes                = 512 << 10
)

// The errors of Propose and Change.
var (
	ErrNotLeader        = errors.New("raft: not the leader")
	ErrChangePending    = errors.New("raft: a change of members is not through yet")
	ErrInvalidChange    = errors.New("raft: a change may add one voter and take the vote of one at most")
	ErrJointUnsupported = errors.New("raft: not all voters are known to understand joint changes")
)

// Node is one member. It is not safe for concurrent use.
type Node struct {
	cfg Config
	src *rand.PCG
	rng *rand.Rand // draws from src

	hard     HardState
	snap     Snapshot
	entries  []Entry // behind base, which is not behind the snapshot
	base     uint64  // place before the first entry that is held
	baseTerm uint64  // ... and its term
	members  []Member
	since    uint64   // index of the entry or snapshot that named them
	before   []Member // as they were before that entry

	role      Role
	leader    ID
	commit    uint64
	applied   uint64 // handed to the host for applying
	stored    uint64 // index of the last entry handed to the host for storing
	hardDirty bool
	installed *Snapshot // to be stored and applied
	incoming  *assembly // a snapshot that comes in pieces
	refused   uint64
	forgot    bool
	out       []Message

	led     ID  // the last leader that was heard of
	ledAgo  int // ... so many ticks ago
	elapsed int // ticks since the last sign of a leader, or as leader of the last quorum check
	timeout int
	beat    int
	votes   map[ID]bool
	prevote bool
	force   bool

	peers map[ID]*progress // as leader
	round uint64           // of heartbeats
}

// progress is what a leader knows of a member.
type progress struct {
	match, next uint64
	matchRound  uint64 // the latest round when match was last raised
	round       uint64 // the latest that it has answered
	active      bool   // heard of since the last quorum check
	paused      bool   // entries are out; heartbeats carry none meanwhile
	out         uint64 // ... up to this index
	outBytes    int
	waited      int // ... for so many ticks
	quiet       int // ticks since it was heard of
	snapshot    *transfer
	catchUp     bool // a snapshot was sent, and not all since then is there
	answered    bool // it has answered this leader
	joint       bool // ... and said that it understands joint changes
}

// heard notes that a member has answered a round, of those that there were.
func (p *progress) heard(round, rounds uint64) {
	p.active, p.quiet, p.answered = true, 0, true
	p.round = max(p.round, min(round, rounds))
}

// New returns a member with what its disk holds.
func New(cfg Config, s PersistentState) *Node {
	if cfg.MaxEntriesPerMessage == 0 {
		cfg.MaxEntriesPerMessage = mostEntries
	}
	cfg.SnapshotEntries, cfg.SnapshotBytes = cmp.Or(cfg.SnapshotEntries, logEntries), cmp.Or(cfg.SnapshotBytes, logBytes)
	cfg.TrailingEntries = cmp.Or(cfg.TrailingEntries, tailEntries)
	cfg.ChunkBytes, cfg.MaxInflightChunks = cmp.Or(cfg.ChunkBytes, pieceBytes), cmp.Or(cfg.MaxInflightChunks, window)
	src := rand.NewPCG(cfg.Seed, uint64(cfg.ID))
	n := &Node{cfg: cfg, src: src, rng: rand.New(src), hard: s.HardState, snap: s.Snapshot, entries: s.Entries,
		base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	n.commit, n.applied, n.stored = s.Snapshot.Index, s.Snapshot.Index, n.last()
	n.findMembers()
	n.follow(0)
	// After a start of all there is no leader to be heard of. Where there is one, its
	// followers do not answer the pre-vote that comes too early.
	n.timeout = 2 + n.rng.IntN(max(1, cfg.ElectionTicks/2))
	return n
}

// ---- What the host may ask ----

// Role returns what the member is; Leader whom it follows, 0 if nobody.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader that this member follows, 0 if none is known.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Members returns the members as of the end of the log. It is not to be changed.
func (n *Node) Members() []Member { return n.members }

// Commit returns the index up to which the log is agreed.
func (n *Node) CommitIndex() uint64 { return n.commit }

// SnapshotIndex returns the index of the latest snapshot; some entries before it may be held.
func (n *Node) SnapshotIndex() uint64 { return n.snap.Index }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.last() }

// Applied returns the index up to which entries were handed out for applying.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// Quiet returns for how many ticks a leader has not heard of a member.
func (n *Node) TicksSinceResponse(id ID) int {
	if p := n.peers[id]; p != nil {
		return p.quiet
	}
	return 0
}

// CaughtUp tells a leader that a member has all that is agreed.
func (n *Node) CaughtUp(id ID) bool {
	p := n.peers[id]
	return p != nil && p.match >= n.commit
}

// Serves tells that this member leads and has agreed on something in its term:
// what it has applied is all that was ever acknowledged.
func (n *Node) HasCommittedInTerm() bool {
	return n.role == Leader && n.term(n.commit) == n.hard.Term
}

// NextRound returns the round that a majority must answer to confirm that
// this member still leads now; Confirmed the latest such round.
func (n *Node) NextReadIndexRound() uint64 { return n.round + 1 }

// Confirmed returns the latest round of heartbeats that a majority has answered.
func (n *Node) ConfirmedReadIndexRound() uint64 {
	return n.quorum(func(p *progress) uint64 { return p.round }, n.round)
}

// Forgot tells that this member holds less than it has acknowledged, as its leader knows:
// its disk is one of earlier. It must promise nothing more under its id.
func (n *Node) LostDurability() bool { return n.forgot }

// ---- The log ----

func (n *Node) last() uint64 { return n.base + uint64(len(n.entries)) }

// term is the term of an entry; 0 where it is not known.
func (n *Node) term(index uint64) uint64 {
	switch {
	case index == n.base:
		return n.baseTerm
	case index > n.base && index <= n.last():
		return n.entries[index-n.base-1].Term
	}
	return 0
}

func (n *Node) after(index uint64, most int) []Entry {
	if index >= n.last() || index < n.base {
		return nil
	}
	es := n.entries[index-n.base:]
	return slices.Clip(es[:min(most, len(es))])
}

// portion is what one message carries of the entries behind an index.
func (n *Node) portion(index uint64) []Entry {
	es, bytes := n.after(index, n.cfg.MaxEntriesPerMessage), 0
	for i := range es {
		if bytes += weight(&es[i]); bytes > mostBytes && i > 0 {
			return slices.Clip(es[:i])
		}
	}
	return es
}

// findMembers takes the members of the last entry that names them: a change
// holds from where it stands in the log, agreed or not.
func (n *Node) findMembers() {
	n.members, n.since, n.before = n.snap.Members, n.snap.Index, nil
	named := false
	for i := len(n.entries) - 1; i >= 0; i-- {
		switch e := &n.entries[i]; {
		case e.Members == nil:
		case named:
			n.before = e.Members
			return
		default:
			n.members, n.since, n.before, named = e.Members, e.Index, n.snap.Members, true
		}
	}
}

// write puts entries behind an index, in place of what stands there.
func (n *Node) write(after uint64, es []Entry) {
	keep := n.entries[:after-n.base]
	n.entries = append(slices.Clip(keep), es...)
	n.stored = min(n.stored, after)
	n.findMembers()
}

// ---- Time ----

// Tick tells that one tick has passed.
func (n *Node) Tick() {
	n.elapsed++
	n.ledAgo++
	if n.role != Leader {
		if n.elapsed >= n.timeout && n.NeededForQuorum() {
			n.campaign(true)
		}
		return
	}
	for _, p := range n.peers {
		p.quiet++
		if p.waited++; p.waited >= resendAfter(p.outBytes) {
			p.paused = false
		}
		if p.snapshot != nil {
			p.snapshot.tick()
		}
	}
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		heard := n.quorum(func(p *progress) uint64 {
			if p.active {
				return 1
			}
			return 0
		}, 1)
		for _, p := range n.peers {
			p.active = false
		}
		if heard == 0 { // alone: whoever has the majority elects another
			n.follow(0)
			return
		}
	}
	if n.beat++; n.beat >= n.cfg.HeartbeatTicks {
		n.BroadcastHeartbeat()
	}
}

// Beat makes a leader send a round of heartbeats now.
func (n *Node) BroadcastHeartbeat() {
	if n.role != Leader {
		return
	}
	n.beat = 0
	n.round++
	n.appendAll(true)
}

// votes1 tells whether this member is a voter, of either set of a joint change.
func (n *Node) votes1() bool {
	m := find(n.members, n.cfg.ID)
	return m != nil && m.votes()
}

// Needed tells that a majority may still need this member: it is a voter, or the
// change that takes its vote isn't known to be agreed. Until then it stands for
// election too: it may be the only one left that holds that change, and then it
// can't vote for those who don't.
func (n *Node) NeededForQuorum() bool {
	if n.votes1() {
		return true
	}
	m := find(n.before, n.cfg.ID)
	return n.since > n.commit && m != nil && m.votes()
}

// ---- Elections ----

func (n *Node) follow(leader ID) {
	n.role, n.leader, n.votes, n.peers = Follower, leader, nil, nil
	n.elapsed, n.timeout = 0, n.cfg.ElectionTicks+n.rng.IntN(max(1, n.cfg.ElectionTicks))
}

func (n *Node) newTerm(term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard, n.hardDirty = HardState{Term: term}, true
	}
	n.follow(leader)
}

func (n *Node) campaign(pre bool) {
	n.role, n.leader, n.votes, n.prevote = Candidate, 0, map[ID]bool{n.cfg.ID: true}, pre
	n.elapsed, n.timeout = 0, n.cfg.ElectionTicks+n.rng.IntN(max(1, n.cfg.ElectionTicks))
	kind, term := PreVoteRequest, n.hard.Term+1
	if !pre {
		kind = VoteRequest
		n.hard, n.hardDirty = HardState{Term: term, Vote: n.cfg.ID}, true
	}
	for _, m := range n.members {
		if m.votes() && m.ID != n.cfg.ID {
			n.send(Message{Kind: kind, To: m.ID, Term: term, Index: n.last(), LogTerm: n.term(n.last()), LeadershipTransfer: n.force})
		}
	}
	n.count()
}

// count ends an election once a majority of each set of voters has said yes, or so
// many of one have said no that it can't.
func (n *Node) count() {
	won, lost := true, false
	for _, set := range sets(n.members) {
		yes, no, all := 0, 0, len(set)
		for _, id := range set {
			if v, ok := n.votes[id]; ok && v {
				yes++
			} else if ok {
				no++
			}
		}
		won = won && 2*yes > all
		lost = lost || 2*no >= all && no > 0
	}
	switch {
	case won && n.prevote:
		n.campaign(false)
	case won:
		n.lead()
	case lost:
		n.follow(0)
	}
}

func (n *Node) lead() {
	n.role, n.leader, n.votes, n.force, n.elapsed = Leader, n.cfg.ID, nil, false, 0
	n.peers = map[ID]*progress{}
	n.track()
	if p := n.peers[n.led]; p != nil { // its silence doesn't begin with this election
		p.quiet = n.ledAgo
	}
	n.write(n.last(), []Entry{{Index: n.last() + 1, Term: n.hard.Term}}) // so that earlier terms can be agreed on
	n.advance()
	n.BroadcastHeartbeat()
}

// track makes progress records for the members, and drops those of others.
func (n *Node) track() {
	for id := range n.peers {
		if find(n.members, id) == nil {
			delete(n.peers, id)
		}
	}
	for _, m := range n.members {
		if m.ID != n.cfg.ID && n.peers[m.ID] == nil {
			n.peers[m.ID] = &progress{next: n.last() + 1, active: true}
		}
	}
}

// quorum is the highest figure that a majority of the voters reaches; while a joint
// change is under way, majorities of both sets.
func (n *Node) quorum(of func(*progress) uint64, own uint64) uint64 {
	return n.quorumOf(n.members, of, own)
}

func (n *Node) quorumOf(members []Member, of func(*progress) uint64, own uint64) uint64 {
	least := uint64(math.MaxUint64)
	for _, set := range sets(members) {
		if len(set) == 0 {
			return 0
		}
		vs := make([]uint64, len(set))
		for i, id := range set {
			if id == n.cfg.ID {
				vs[i] = own
			} else if p := n.peers[id]; p != nil {
				vs[i] = of(p)
			}
		}
		least = min(least, majority(vs))
	}
	return least
}

// majority is the highest figure that more than half of them reach.
func majority(vs []uint64) uint64 {
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

// Transfer makes a leader that is about to end call an election at the member
// that knows most.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	var best ID
	for _, m := range n.members {
		if p := n.peers[m.ID]; m.Voter && p != nil && p.quiet < n.cfg.ElectionTicks &&
			(best == 0 || p.match > n.peers[best].match) {
			best = m.ID
		}
	}
	if best != 0 && n.peers[best].match == n.last() {
		n.send(Message{Kind: TimeoutNow, To: best, Term: n.hard.Term})
	}
}

// Resign makes a member give up leadership, as when its disk fails.
func (n *Node) StepDown() {
	if n.role == Leader {
		n.follow(0)
	}
}

// ---- What a leader is asked for ----

// Propose adds an entry and returns its place.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return n.last() + 1, n.hard.Term, n.add(Entry{Data: data})
}

// Change proposes new members: at most one more voter, and one less. Both at once, a
// swap, is a joint change: its entry names both sets of voters, and while it is the
// last that names members, majorities of both elect, agree and confirm; once it is
// agreed, the leader adds the entry with the new set alone. The one that loses its
// vote in a swap has to stay in the list; a change of its own may drop it later.
//
// Errors: [ErrNotLeader]; [ErrPending] while a change is under way or nothing of this
// term is agreed; [ErrStep] for more than that; [ErrJoint] for a swap before all voters
// of both sets are written down to understand one: add and remove one by one then.
func (n *Node) ProposeMembers(members []Member) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.HasCommittedInTerm() || n.MembershipChangePending() { // the leader's own term must be agreed on before
		return ErrChangePending
	}
	next, added, taken, dropped := slices.Clone(members), 0, 0, 0
	for i := range next {
		m := &next[i]
		o := find(n.members, m.ID)
		m.Outgoing = o != nil && o.Voter
		if m.Voter && !m.Outgoing {
			added++
		}
	}
	for _, o := range n.members {
		switch m := find(next, o.ID); {
		case o.Voter && m == nil:
			taken, dropped = taken+1, dropped+1
		case o.Voter && !m.Voter:
			taken++
		}
	}
	if added > 1 || taken > 1 || added+dropped > 1 || len(voters(next)) == 0 {
		return ErrInvalidChange
	}
	if joint := added+taken > 1; !joint {
		next = settled(next)
	} else if !n.SupportsJointConsensus(next) {
		return ErrJointUnsupported
	}
	return n.add(Entry{Members: next})
}

// settled are members without a set on its way out.
func settled(members []Member) []Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Outgoing = false
	}
	return out
}

// Changing tells that a change of members is under way: its last entry isn't agreed.
func (n *Node) MembershipChangePending() bool {
	return n.since > n.commit || len(outgoing(n.members)) > 0
}

// Understood tells a leader that all voters, as they are and those to be, understand
// joint changes. One that doesn't would elect and agree by one set alone.
func (n *Node) SupportsJointConsensus(members []Member) bool {
	for _, m := range slices.Concat(n.members, members) {
		if o := find(n.members, m.ID); m.votes() && (o == nil || !o.SupportsJoint) {
			return false
		}
	}
	return true
}

// Heard tells a leader whether a member has answered it, and whether it understands
// joint changes by what it said last.
func (n *Node) PeerResponse(id ID) (heard, joint bool) {
	if id == n.cfg.ID {
		return true, true
	}
	p := n.peers[id]
	return p != nil && p.answered, p != nil && p.joint
}

// Bears tells a leader that a change to these members asks nobody for a majority that
// it can't give: a majority of the voters as they are, and of those to be, were heard of
// within an election time, and each voter to be that is none yet has all that is agreed.
func (n *Node) CanCommitMembers(members []Member) bool {
	if n.role != Leader {
		return false
	}
	for _, m := range members {
		if o := find(n.members, m.ID); m.Voter && m.ID != n.cfg.ID && (o == nil || !o.Voter) && !n.CaughtUp(m.ID) {
			return false
		}
	}
	heard := func(p *progress) uint64 {
		if p.answered && p.quiet < n.cfg.ElectionTicks {
			return 1
		}
		return 0
	}
	return n.quorum(heard, 1) == 1 && n.quorumOf(members, heard, 1) == 1
}

// leaveJoint adds the entry with the new set alone once the joint one is agreed, by a
// leader of whose term something is.
func (n *Node) leaveJoint() {
	if n.role == Leader && len(outgoing(n.members)) > 0 && n.since <= n.commit && n.HasCommittedInTerm() {
		n.add(Entry{Members: settled(n.members)})
	}
}

func (n *Node) add(e Entry) error {
	e.Index, e.Term = n.last()+1, n.hard.Term
	n.write(n.last(), []Entry{e})
	n.track()
	n.advance()
	n.appendAll(false)
	return nil
}

// appendAll sends each member what it lacks, in their order.
func (n *Node) appendAll(heartbeat bool) {
	for _, m := range n.members {
		if p := n.peers[m.ID]; p != nil {
			n.append(m.ID, p, heartbeat)
		}
	}
}

// append sends a member what it lacks. A heartbeat goes out in any case, and never
// waits for what is large: it goes beside it, and may overtake it. It asks whether the
// log fits up to where the next entries go; beside a snapshot it fits any log.
func (n *Node) append(id ID, p *progress, heartbeat bool) {
	m := Message{Kind: AppendEntries, To: id, Term: n.hard.Term, Commit: n.commit, Round: n.round}
	if p.next > n.base {
		m.Index, m.LogTerm = p.next-1, n.term(p.next-1)
		if !p.paused {
			m.Entries = n.portion(m.Index)
		}
	}
	if heartbeat && (len(m.Entries) == 0 || m.IsBulk()) {
		h := m
		h.Entries = nil
		n.send(h)
	}
	if p.next <= n.base {
		n.sendSnapshot(id, p)
		return
	}
	if len(m.Entries) == 0 {
		return
	}
	n.send(m)
	p.paused, p.out, p.outBytes, p.waited = true, m.Index+uint64(len(m.Entries)), m.PayloadSize(), 0
}

// advance agrees on what a majority has stored, if it is of this term.
func (n *Node) advance() {
	if n.role != Leader {
		return
	}
	if at := n.quorum(func(p *progress) uint64 { return p.match }, n.stored); at > n.commit && n.term(at) == n.hard.Term {
		n.commit = at
		if !n.NeededForQuorum() { // its vote went by its own change, which is agreed
			n.TransferLeadership()
			n.follow(0)
		}
	}
	n.leaveJoint()
}

package raft

import "math/rand/v2"

// Node is one member. It is not safe for concurrent use: every field and method is for the
// host's one goroutine, or under the host's lock.
type Node struct {
	cfg Config // with defaults; never changed
	// random draws the election time-outs, and nothing else, from randomSource. [Node.Clone]
	// copies the source, so that a clone draws the same.
	randomSource *rand.PCG
	random       *rand.Rand

	// hardState is the term and vote. hardStateDirty is set until the host has stored it.
	hardState      HardState
	hardStateDirty bool
	log            entryLog // the replicated log, and how far it is committed and applied

	// members are those of the last entry that names them, committed or not (4.1), and
	// membersIndex is its index, or that of the snapshot. previousMembers are those before
	// it; nil if the snapshot names them.
	members         []Member
	membersIndex    uint64
	previousMembers []Member

	role   Role
	leader ID // whom this member follows in its term; 0: nobody is known

	messages []Message // to be sent with the next Ready
	// installedSnapshot has replaced the log, and is for the host to store and apply; nil: none.
	installedSnapshot *Snapshot
	// incomingSnapshot is one of which some chunks have arrived; nil: none.
	incomingSnapshot  *snapshotAssembly
	rejectedSnapshots uint64 // since the start of the process
	// lostDurability is one-way: once true it stays.
	lostDurability bool

	// lastLeader is the last leader of which a message arrived, in any term, and
	// lastLeaderTicks how many ticks ago.
	lastLeader      ID
	lastLeaderTicks int

	// electionElapsed counts ticks: on a leader since the last quorum check, on others
	// since the last message of a leader, vote granted, or election begun here. Members
	// other than the leader begin an election when it reaches electionTimeout.
	electionElapsed int
	electionTimeout int

	// votes are the answers in the election that this candidate holds, its own vote among
	// them; nil on others. preVote is set in a pre-vote.
	votes   map[ID]bool
	preVote bool

	// progress has a record for each other member; nil unless this member leads.
	progress map[ID]*progress
	// heartbeatElapsed counts the ticks since the last heartbeat round of this leader.
	heartbeatElapsed int
	// heartbeatRound numbers the heartbeats that this member has sent, in any term: no
	// number is used twice by one process.
	heartbeatRound uint64
}

// minFirstElectionTicks is the minimum time before the first election of a process.
const minFirstElectionTicks = 2

// New returns a member with what its disk holds.
func New(cfg Config, state PersistentState) *Node {
	cfg = cfg.withDefaults()
	source := rand.NewPCG(cfg.Seed, uint64(cfg.ID))
	n := &Node{
		cfg:          cfg,
		randomSource: source,
		random:       rand.New(source),
		hardState:    state.HardState,
		log:          newEntryLog(state),
	}
	n.updateMembers()
	n.becomeFollower(0)
	// The first election comes early: after a start of all members there is no leader to
	// wait for. Where there is one, its followers do not answer the pre-vote.
	n.electionTimeout = minFirstElectionTicks + n.random.IntN(max(1, cfg.ElectionTicks/2))
	return n
}

// Role returns whether the member is a follower, a candidate or the leader.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader that this member follows, 0 if none is known.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Members returns the members as of the end of the log. The caller must not change the slice.
func (n *Node) Members() []Member { return n.members }

// CommitIndex returns the highest index that is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.committed }

// SnapshotIndex returns the index of the latest snapshot. Some entries before it may be held.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// AppliedIndex returns the highest index that the host has applied; see [Node.Advance].
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// RejectedSnapshots returns how many snapshots arrived damaged, or were refused by
// [Config.ValidateSnapshot], since the start of the process.
func (n *Node) RejectedSnapshots() uint64 { return n.rejectedSnapshots }

// LostDurability reports whether this member's log lacks entries that it has acknowledged, as its
// leader found: its disk is an earlier one. The host must stop the member, and start it anew
// only with an empty disk and a new ID.
func (n *Node) LostDurability() bool { return n.lostDurability }

// Tick counts one tick of time: elections, heartbeats, quorum checks and retransmissions follow.
func (n *Node) Tick() {
	n.electionElapsed++
	n.lastLeaderTicks++
	if n.role != Leader {
		if n.electionElapsed >= n.electionTimeout && n.NeededForQuorum() {
			n.campaign(preVoteCampaign)
		}
		return
	}
	for _, p := range n.progress {
		p.tick()
	}
	if n.electionElapsed >= n.cfg.ElectionTicks && !n.checkQuorum() {
		n.becomeFollower(0)
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.BroadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority has answered this leader since the last check. A
// leader without one steps down (6.2): the others may have elected another.
func (n *Node) checkQuorum() bool {
	n.electionElapsed = 0
	active := n.hasQuorum(n.members, func(p *progress) bool { return p.recentlyActive })
	for _, p := range n.progress {
		p.recentlyActive = false
	}
	return active
}

// send puts a message into the next Ready.
func (n *Node) send(m Message) {
	m.From, m.SupportsJoint = n.cfg.ID, m.Kind == AppendEntriesReply
	n.messages = append(n.messages, m)
}

package raft

import "math/rand/v2"

// Node is the state machine of one member. It is not safe for concurrent use: the host calls it
// from a single goroutine or under a lock.
type Node struct {
	cfg Config // with defaults; immutable
	// random draws election timeouts, and nothing else, from randomSource. [Node.Clone] copies
	// the source, so that a clone draws the same timeouts.
	randomSource *rand.PCG
	random       *rand.Rand

	// hardState is the current term and vote. hardStateDirty is set while the host has yet to
	// store it.
	hardState      HardState
	hardStateDirty bool
	log            entryLog

	// members are those of the last entry that lists members, committed or not (4.1), or of the
	// snapshot, and membersIndex is the index of that entry or snapshot. previousMembers are
	// the members before that entry; nil if members are those of the snapshot.
	members         []Member
	membersIndex    uint64
	previousMembers []Member

	role   Role
	leader ID // of the current term; 0: unknown

	messages []Message // to be sent with the next Ready
	// installedSnapshot has replaced the log and waits for the host to store and apply it; nil:
	// none.
	installedSnapshot *Snapshot
	// incomingSnapshot is a snapshot of which some chunks have been received; nil: none.
	incomingSnapshot  *snapshotAssembly
	rejectedSnapshots uint64 // since the start of the process
	lostDurability    bool   // never reset

	// lastLeader is the last leader that this member has received a message from, in any term,
	// and lastLeaderTicks the number of ticks since then.
	lastLeader      ID
	lastLeaderTicks int

	// electionElapsed counts ticks: on a leader since the last quorum check; on other members
	// since the last message of a leader, the last vote granted, the last election that this
	// member started, or the last time that it became a follower. Members other than the
	// leader start an election when it reaches electionTimeout.
	electionElapsed int
	electionTimeout int

	// votes are the replies that this candidate has received in the current election, and its
	// own vote; nil on other members. preVote is set if the last election that this member
	// started was a pre-vote.
	votes   map[ID]bool
	preVote bool

	// progress tracks the replication to the other members; nil unless this member is the leader.
	progress map[ID]*progress
	// heartbeatElapsed counts the ticks since the last heartbeat round of this leader.
	heartbeatElapsed int
	// heartbeatRound is the number of the last heartbeat round that this member has started. It
	// is not reset with the term, so that a process never reuses a round number.
	heartbeatRound uint64
}

// minFirstElectionTicks is the minimum time from the start of a process to its first election.
const minFirstElectionTicks = 2

// New returns a member that starts from its stored state.
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
	// The first election timeout is shorter: after a start of all members there is no leader to
	// wait for. If there is one, its followers do not reply to the pre-vote.
	n.electionTimeout = minFirstElectionTicks + n.random.IntN(max(1, cfg.ElectionTicks/2))
	return n
}

// Role returns the current role of the member.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, 0 if none is known.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Members returns the members as of the end of the log. The caller must not change the slice.
func (n *Node) Members() []Member { return n.members }

// CommitIndex returns the highest index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.committed }

// SnapshotIndex returns the index of the latest snapshot. The log may still have entries before it.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// AppliedIndex returns the highest index that the host has applied; see [Node.Advance].
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// RejectedSnapshots returns the number of snapshots that were rejected since the start of the
// process, because they were corrupt or because [Config.ValidateSnapshot] failed.
func (n *Node) RejectedSnapshots() uint64 { return n.rejectedSnapshots }

// LostDurability reports whether the leader has found that this member's log lacks entries that
// the member had acknowledged, as when its disk was rolled back to an earlier state. The host must
// stop the member, and may restart it only with an empty disk and a new ID.
func (n *Node) LostDurability() bool { return n.lostDurability }

// Tick advances the member's timers by one tick. This may start an election, a heartbeat round, a
// quorum check or retransmissions.
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

// checkQuorum reports whether a majority has replied to this leader since the last check, and starts
// the next check interval. A leader without a majority steps down (6.2), because the others may have
// elected another leader.
func (n *Node) checkQuorum() bool {
	n.electionElapsed = 0
	active := n.hasQuorum(n.members, func(p *progress) bool { return p.recentlyActive })
	for _, p := range n.progress {
		p.recentlyActive = false
	}
	return active
}

// send adds a message to the next Ready.
func (n *Node) send(m Message) {
	m.From, m.SupportsJoint = n.cfg.ID, m.Kind == AppendEntriesReply
	n.messages = append(n.messages, m)
}

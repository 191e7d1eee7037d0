package controlplane

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// checkMessages checks the messages that a member sends against the current contents of its disk.
func (p *memberProcess) checkMessages(d *api.DeliverRequest) {
	c := p.cluster
	p.core.mu.Lock()
	role, term, members := p.core.host.node.Role(), p.core.host.node.Term(), p.core.host.node.Members()
	p.core.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	if d.Chunk != nil {
		c.failLocked("unexpected chunked message: chunks are not checked")
	}
	for i := range d.Messages {
		m := &d.Messages[i]
		c.counts.messages++
		if p.unsynced != nil {
			c.counts.duringWrite++
		}
		check := messageCheck{
			cluster:   c,
			disk:      p.disk,
			message:   m,
			candidate: role == raft.Candidate && m.Term == term,
		}
		if claim := check.nonDurableClaim(); claim != "" {
			hard := p.disk.stored.HardState
			c.failLocked("%x: sent %s that its disk does not hold (stored term %d, vote %x, last index %d): %+v",
				uint64(p.disk.id), claim, hard.Term, uint64(hard.Vote), p.disk.lastIndex(), m)
		}
		leads := role == raft.Leader && m.Term == term
		if m.Kind == raft.AppendEntries && m.Commit > c.commitIndex && leads {
			c.checkCommit(m, members)
		}
	}
}

// messageCheck checks one message against the disk of its sender. The caller holds the cluster's mutex.
type messageCheck struct {
	cluster   *faultyCluster
	disk      *simulatedDisk
	message   *raft.Message
	candidate bool // the sender is a candidate in the message's term
}

// nonDurableClaim names the first claim in a message that the sender's disk does not hold; it
// returns an empty string if there is none.
//
// Votes and acknowledgements in a message of a term before the stored one are not checked: the
// same batch may have stored a later term. Nor is the log position in a vote request of a sender
// that is no longer a candidate: such a sender counts no votes, and may have truncated its log in
// the same batch, because of entries from the leader of that term.
func (c *messageCheck) nonDurableClaim() string {
	m, hard := c.message, c.disk.stored.HardState
	withoutTerm := m.Kind == raft.PreVoteRequest || m.Kind == raft.PreVoteReply && !m.Reject
	if !withoutTerm && m.Term > hard.Term {
		return "a term"
	}
	switch m.Kind {
	case raft.AppendEntries:
		if m.LogTerm > 0 {
			c.recordSentTerm(m.Index, m.LogTerm)
		}
		for _, e := range m.Entries {
			c.recordSentTerm(e.Index, e.Term)
		}
	case raft.SnapshotChunk, raft.InstallSnapshot:
		c.recordSentTerm(m.Snapshot.Index, m.Snapshot.Term)
	case raft.VoteRequest, raft.VoteReply:
		return c.nonDurableVote()
	case raft.AppendEntriesReply:
		return c.nonDurableAcknowledgement()
	}
	return ""
}

func (c *messageCheck) nonDurableVote() string {
	m, hard := c.message, c.disk.stored.HardState
	if m.Term != hard.Term {
		return ""
	}
	if m.Kind == raft.VoteReply {
		if !m.Reject && hard.Vote != m.To {
			return "a vote"
		}
		return ""
	}
	if hard.Vote != m.From || c.candidate && !c.disk.holds(m.Index, m.LogTerm) {
		return "a vote for itself"
	}
	return ""
}

// recordSentTerm records the term of an entry that the leader of a term sent. Two leaders in one
// term are detected by entries that differ at the same index.
func (c *messageCheck) recordSentTerm(index, term uint64) {
	sent := c.cluster.sentTerms[c.message.Term]
	if sent == nil {
		sent = map[uint64]uint64{}
		c.cluster.sentTerms[c.message.Term] = sent
	}
	if other, known := sent[index]; known && other != term {
		c.cluster.failLocked("term %d has two leaders: entry %d was sent with terms %d and %d",
			c.message.Term, index, other, term)
	}
	sent[index] = term
}

func (c *messageCheck) nonDurableAcknowledgement() string {
	m := c.message
	if m.Reject || m.Term != c.disk.stored.HardState.Term || m.Index == 0 {
		return ""
	}
	c.cluster.counts.acknowledgements++
	term, known := c.cluster.sentTerms[m.Term][m.Index]
	switch {
	case !known && m.Index > c.disk.stored.Snapshot.Index:
		return "an acknowledgement of an entry that no leader sent"
	case !c.disk.holds(m.Index, term):
		return "an acknowledgement"
	}
	return ""
}

// quorumCount counts the voters of a configuration, and those that have stored an entry.
type quorumCount struct {
	voters, holding int
}

func (q *quorumCount) add(holds bool) {
	q.voters++
	if holds {
		q.holding++
	}
}

func (q *quorumCount) isMajority() bool {
	return 2*q.holding > q.voters
}

// checkCommit checks a commit index that a leader sends for the first time: a majority of the
// voters must have stored the entry and, during a joint change, a majority of the outgoing voters.
func (c *faultyCluster) checkCommit(m *raft.Message, members []raft.Member) {
	term, known := c.sentTerms[m.Term][m.Commit]
	if !known {
		return
	}
	var incoming, outgoing quorumCount
	for _, member := range members {
		disk := c.disks[member.ID]
		holds := disk != nil && disk.holds(m.Commit, term)
		if member.Voter {
			incoming.add(holds)
		}
		if member.Outgoing {
			outgoing.add(holds)
		}
	}
	if !incoming.isMajority() || outgoing.voters > 0 && !outgoing.isMajority() {
		c.failLocked("a leader sent commit index %d (entry of term %d) without a majority: voters %+v, "+
			"outgoing voters %+v, members %+v", m.Commit, term, incoming, outgoing, members)
	}
	c.commitIndex = m.Commit
}

// checkApplied checks the revisions that a member has applied against those that other members
// have applied, and against the commands that were sent and those that were refused.
func (c *faultyCluster) checkApplied(p *memberProcess) {
	p.core.mu.Lock()
	applied := slices.Clone(p.core.store.state.Applied)
	p.core.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	common := min(len(applied), len(c.appliedRevisions))
	if !slices.Equal(applied[:common], c.appliedRevisions[:common]) {
		c.failLocked("one member has applied %v, another one %v", applied, c.appliedRevisions)
		return
	}
	for _, a := range applied[common:] {
		before := uint64(0)
		if n := len(c.appliedRevisions); n > 0 {
			before = c.appliedRevisions[n-1].Revision
		}
		command, sent := c.sentCommands[a.fingerprint]
		if !sent || command.base != before || command.revision != a.Revision {
			c.failLocked("revision %d was applied on top of %d, the command was %+v", a.Revision, before, command)
		}
		c.appliedRevisions = append(c.appliedRevisions, a)
	}
	for _, a := range c.appliedRevisions {
		if c.refusedCommands[a.fingerprint] {
			c.failLocked("revision %d was refused and was applied", a.Revision)
		}
	}
}

// converged reports whether every machine has applied every revision that any of them has, and
// every entry that it knows to be committed, with one leader and no pending membership change.
func (c *faultyCluster) converged() bool {
	leaders := 0
	for _, m := range c.machines {
		core := m.process.core
		core.mu.Lock()
		applied, node := len(core.store.state.Applied), core.host.node
		caughtUp := node.Leader() != 0 && !node.MembershipChangePending() && node.AppliedIndex() == node.CommitIndex()
		if node.HasCommittedInTerm() {
			leaders++
		}
		core.mu.Unlock()
		c.locked(func() { caughtUp = caughtUp && applied == len(c.appliedRevisions) })
		if !caughtUp {
			return false
		}
	}
	return leaders == 1
}

// checkHistory checks the complete history against the revisions that all members have finally
// applied, and checks that it is linearizable.
func (c *faultyCluster) checkHistory() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.applied = len(c.appliedRevisions)
	for _, op := range c.history {
		in, out := op.Input.(input), op.Output.(output)
		applied := slices.ContainsFunc(c.appliedRevisions, func(a appliedRevision) bool {
			return a.fingerprint == in.fingerprint
		})
		if !in.get && out.status == http.StatusOK && !applied {
			c.failLocked("revision %d on top of %d was acknowledged and lost", in.revision, in.base)
		}
	}
	if c.failure != nil {
		return c.failure
	}
	h := &registerSim{history: c.history}
	if got := h.linearizable(); got != porcupine.Ok {
		return fmt.Errorf("the history is not linearizable: %v%s", got, describeHistory(h.history))
	}
	return nil
}

func describeHistory(history []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(output)
		fmt.Fprintf(&b, "\nclient %d, time %d to %d: get %t, base %d, revision %d: status %d, revision %d",
			op.ClientId, op.Call, op.Return, in.get, in.base, in.revision, out.status, out.revision)
	}
	return b.String()
}

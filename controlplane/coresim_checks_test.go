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

// checkMessages holds what a member sends against what its disk holds at this moment.
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
		c.failLocked("a chunked message: it is not checked")
	}
	for i := range d.Messages {
		m := &d.Messages[i]
		c.counts.messages++
		if p.unsynced != nil {
			c.counts.besideWrite++
		}
		check := messageCheck{
			cluster:   c,
			disk:      p.disk,
			message:   m,
			candidate: role == raft.Candidate && m.Term == term,
		}
		if claim := check.undurableClaim(); claim != "" {
			hard := p.disk.stored.HardState
			c.failLocked("%x: %s is sent, and its disk holds term %d, vote %x, up to %d: %+v",
				uint64(p.disk.id), claim, hard.Term, uint64(hard.Vote), p.disk.lastIndex(), m)
		}
		leads := role == raft.Leader && m.Term == term
		if m.Kind == raft.AppendEntries && m.Commit > c.commitIndex && leads {
			c.checkCommit(m, members)
		}
	}
}

// messageCheck holds one message against the disk of its sender. It is made under the mutex.
type messageCheck struct {
	cluster   *faultyCluster
	disk      *simulatedDisk
	message   *raft.Message
	candidate bool // the sender is a candidate of the message's term
}

// undurableClaim names what a message claims that the sender's disk does not hold, empty
// where there is nothing.
//
// A message of an earlier term than the stored one claims nothing any more: its batch may
// hold what came after. Nor does the log of a sender that is no candidate any more: it counts
// no votes, and the leader of its term may have had the end of its log truncated in the same
// batch.
func (c *messageCheck) undurableClaim() string {
	m, hard := c.message, c.disk.stored.HardState
	withoutTerm := m.Kind == raft.PreVoteRequest || m.Kind == raft.PreVoteReply && !m.Reject
	if !withoutTerm && m.Term > hard.Term {
		return "a term"
	}
	switch m.Kind {
	case raft.AppendEntries:
		if m.LogTerm > 0 {
			c.noteSent(m.Index, m.LogTerm)
		}
		for _, e := range m.Entries {
			c.noteSent(e.Index, e.Term)
		}
	case raft.SnapshotChunk, raft.InstallSnapshot:
		c.noteSent(m.Snapshot.Index, m.Snapshot.Term)
	case raft.VoteRequest, raft.VoteReply:
		return c.undurableVote()
	case raft.AppendEntriesReply:
		return c.undurableAcknowledgement()
	}
	return ""
}

func (c *messageCheck) undurableVote() string {
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

// noteSent notes the term of an entry that a leader sent: two leaders of one term would differ.
func (c *messageCheck) noteSent(index, term uint64) {
	sent := c.cluster.sentTerms[c.message.Term]
	if sent == nil {
		sent = map[uint64]uint64{}
		c.cluster.sentTerms[c.message.Term] = sent
	}
	if other, known := sent[index]; known && other != term {
		c.cluster.failLocked("term %d has two leaders: entry %d is of terms %d and %d",
			c.message.Term, index, other, term)
	}
	sent[index] = term
}

func (c *messageCheck) undurableAcknowledgement() string {
	m := c.message
	if m.Reject || m.Term != c.disk.stored.HardState.Term || m.Index == 0 {
		return ""
	}
	c.cluster.counts.acknowledgements++
	term, known := c.cluster.sentTerms[m.Term][m.Index]
	switch {
	case !known && m.Index > c.disk.stored.Snapshot.Index:
		return "an acknowledgement of what no leader sent"
	case !c.disk.holds(m.Index, term):
		return "an acknowledgement"
	}
	return ""
}

// quorumCount counts the voters that hold an entry.
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

// checkCommit holds a commit index that a leader sends for the first time against the disks.
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
		c.failLocked("a leader sends that %d of term %d is committed, which of the voters %+v hold, "+
			"of those before %+v: %+v", m.Commit, term, incoming, outgoing, members)
	}
	c.commitIndex = m.Commit
}

// checkApplied holds what a member has applied against what others have, and against what was
// sent and refused.
func (c *faultyCluster) checkApplied(p *memberProcess) {
	p.core.mu.Lock()
	applied := slices.Clone(p.core.store.state.Applied)
	p.core.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	common := min(len(applied), len(c.chain))
	if !slices.Equal(applied[:common], c.chain[:common]) {
		c.failLocked("a member has applied %v, another %v", applied, c.chain)
		return
	}
	for _, a := range applied[common:] {
		before := uint64(0)
		if n := len(c.chain); n > 0 {
			before = c.chain[n-1].Revision
		}
		command, sent := c.commands[a.fingerprint]
		if !sent || command.base != before || command.revision != a.Revision {
			c.failLocked("revision %d is applied on top of %d, the command was %+v", a.Revision, before, command)
		}
		c.chain = append(c.chain, a)
	}
	for _, a := range c.chain {
		if c.refused[a.fingerprint] {
			c.failLocked("revision %d was refused and is applied", a.Revision)
		}
	}
}

// converged reports whether all machines have applied all that any has, under one leader.
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
		c.locked(func() { caughtUp = caughtUp && applied == len(c.chain) })
		if !caughtUp {
			return false
		}
	}
	return leaders == 1
}

// checkHistory holds the whole history against what all have applied in the end.
func (c *faultyCluster) checkHistory() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.applied = len(c.chain)
	for _, op := range c.history {
		in, out := op.Input.(input), op.Output.(output)
		applied := slices.ContainsFunc(c.chain, func(a appliedRevision) bool { return a.fingerprint == in.print })
		if !in.get && out.status == http.StatusOK && !applied {
			c.failLocked("revision %d on %d was acknowledged and is gone", in.revision, in.base)
		}
	}
	if c.failure != nil {
		return c.failure
	}
	h := &registerSim{history: c.history}
	if got := h.linearizable(); got != porcupine.Ok {
		return fmt.Errorf("not the history of one register: %v%s", got, describeHistory(h.history))
	}
	return nil
}

func describeHistory(history []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(output)
		fmt.Fprintf(&b, "\n%d: %d to %d: get %t, base %d, revision %d: %d, revision %d",
			op.ClientId, op.Call, op.Return, in.get, in.base, in.revision, out.status, out.revision)
	}
	return b.String()
}

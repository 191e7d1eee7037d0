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

// leave holds what leaves a member against what its store holds at this moment.
func (l *life) leave(d *api.DeliverRequest) {
	w := l.w
	l.core.mu.Lock()
	role, term, sets := l.core.host.node.Role(), l.core.host.node.Term(), l.core.host.node.Members()
	l.core.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	if d.Chunk != nil {
		w.failed("a message in parts: it is not looked at")
	}
	for i := range d.Messages {
		m := &d.Messages[i]
		w.seen.sent++
		if l.pending != nil {
			w.seen.beside++
		}
		if why := w.promises(l.p, m, role == raft.Candidate && m.Term == term); why != "" {
			w.failed("%x: %s leaves, and its store holds term %d, vote %x, up to %d: %+v", uint64(l.p.id), why,
				l.p.stored.HardState.Term, uint64(l.p.stored.HardState.Vote), l.p.stored.Snapshot.Index+uint64(len(l.p.stored.Entries)), m)
		}
		if m.Kind == raft.AppendEntries && m.Commit > w.agreed && role == raft.Leader && m.Term == term {
			w.majority(m, sets)
		}
	}
}

// promises tells what a message says that the sender's store does not bear out. What is of
// an earlier term than the stored one is none any more: its batch may hold what came after.
// Nor is the log of one that is no candidate any more: it counts no votes, and the leader
// of its term may have had it cut off its log's end in the same batch.
func (w *coreWorld) promises(p *platter, m *raft.Message, stands bool) (why string) {
	hard := p.stored.HardState
	if m.Kind != raft.PreVoteRequest && (m.Kind != raft.PreVoteReply || m.Reject) && m.Term > hard.Term {
		return "a term"
	}
	terms := w.told[m.Term]
	tell := func(index, term uint64) {
		if terms == nil {
			terms = map[uint64]uint64{}
			w.told[m.Term] = terms
		}
		if t, known := terms[index]; known && t != term {
			w.failed("term %d has two leaders: entry %d is of terms %d and %d", m.Term, index, t, term)
		}
		terms[index] = term
	}
	switch m.Kind {
	case raft.AppendEntries:
		if m.LogTerm > 0 {
			tell(m.Index, m.LogTerm)
		}
		for _, e := range m.Entries {
			tell(e.Index, e.Term)
		}
	case raft.SnapshotChunk, raft.InstallSnapshot:
		tell(m.Snapshot.Index, m.Snapshot.Term)
	case raft.VoteRequest:
		if m.Term == hard.Term && (hard.Vote != m.From || stands && !p.holds(m.Index, m.LogTerm)) {
			return "a candidate's word"
		}
	case raft.VoteReply:
		if !m.Reject && m.Term == hard.Term && hard.Vote != m.To {
			return "a vote"
		}
	case raft.AppendEntriesReply:
		if m.Reject || m.Term != hard.Term || m.Index == 0 {
			return ""
		}
		w.seen.checked++
		if t, known := terms[m.Index]; !known && m.Index > p.stored.Snapshot.Index {
			return "an acknowledgement of what no leader sent"
		} else if !p.holds(m.Index, t) {
			return "an acknowledgement"
		}
	}
	return ""
}

// majority holds what a leader tells to be agreed, for the first time, against the stores.
func (w *coreWorld) majority(m *raft.Message, members []raft.Member) {
	t, known := w.told[m.Term][m.Commit]
	if !known {
		return
	}
	has, of, old, ofOld := 0, 0, 0, 0
	for _, x := range members {
		p := w.stores[x.ID]
		holds := p != nil && p.holds(m.Commit, t)
		if x.Voter {
			if of++; holds {
				has++
			}
		}
		if x.Outgoing {
			if ofOld++; holds {
				old++
			}
		}
	}
	if 2*has <= of || ofOld > 0 && 2*old <= ofOld {
		w.failed("a leader tells that %d of term %d is agreed, which %d of %d voters have stored, %d of %d before: %+v", m.Commit, t, has, of, old, ofOld, members)
	}
	w.agreed = m.Commit
}

// look holds what a member has taken against what others have.
func (w *coreWorld) look(l *life) {
	l.core.mu.Lock()
	has := slices.Clone(l.core.store.state.Applied)
	l.core.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	k := min(len(has), len(w.chain))
	if !slices.Equal(has[:k], w.chain[:k]) {
		w.failed("a member has taken %v, another %v", has, w.chain)
		return
	}
	for _, v := range has[k:] {
		before := uint64(0)
		if n := len(w.chain); n > 0 {
			before = w.chain[n-1].Revision
		}
		if o, sent := w.orders[v.fingerprint]; !sent || o.base != before || o.revision != v.Revision {
			w.failed("revision %d is taken on top of %d, ordered was %+v", v.Revision, before, o)
		}
		w.chain = append(w.chain, v)
	}
	for _, v := range w.chain {
		if w.refused[v.fingerprint] {
			w.failed("revision %d was refused and is in a member's past", v.Revision)
		}
	}
}

// level tells that all machines have all that was taken, by one leader.
func (w *coreWorld) level() bool {
	led := 0
	for _, m := range w.machines {
		c := m.life.core
		c.mu.Lock()
		k, n := len(c.store.state.Applied), c.host.node
		ok := n.Leader() != 0 && !n.MembershipChangePending() && n.AppliedIndex() == n.CommitIndex()
		if n.HasCommittedInTerm() {
			led++
		}
		c.mu.Unlock()
		w.mu.Lock()
		ok = ok && k == len(w.chain)
		w.mu.Unlock()
		if !ok {
			return false
		}
	}
	return led == 1
}

// verdict holds the whole history against what all have in the end.
func (w *coreWorld) verdict() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.taken = len(w.chain)
	for _, op := range w.history {
		in, out := op.Input.(input), op.Output.(output)
		is := slices.ContainsFunc(w.chain, func(v appliedRevision) bool { return v.fingerprint == in.print })
		if !in.get && out.status == http.StatusOK && !is {
			w.failed("revision %d on %d was acknowledged and is gone", in.revision, in.base)
		}
	}
	if w.fault != nil {
		return w.fault
	}
	h := &world{history: w.history}
	if got := h.linearizable(); got != porcupine.Ok {
		var b strings.Builder
		for _, op := range h.history {
			in, out := op.Input.(input), op.Output.(output)
			fmt.Fprintf(&b, "\n%d: %d to %d: get %t, base %d, revision %d: %d, revision %d", op.ClientId, op.Call, op.Return, in.get, in.base, in.revision, out.status, out.revision)
		}
		return fmt.Errorf("not the history of one register: %v%s", got, &b)
	}
	return nil
}

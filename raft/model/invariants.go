package model

import (
	"bytes"
	"fmt"

	"example.org/elmspan/raft"
)

// Check implements [modelcheck.State]: it returns the first violated invariant, nil if all hold.
func (s *state) Check() error {
	if s.violation != nil {
		return s.violation
	}
	for _, m := range s.members {
		if m.node.CommitIndex() > m.node.LastIndex() {
			return fmt.Errorf("member %d has commit index %d and last index %d",
				m.id, m.node.CommitIndex(), m.node.LastIndex())
		}
		if m.node.RejectedSnapshots() > 0 && !s.corrupted {
			return fmt.Errorf("member %d rejects a snapshot that arrived uncorrupted", m.id)
		}
		if err := s.checkReadIndex(m); err != nil {
			return err
		}
	}
	return nil
}

// checkReadIndex returns an error if a member has confirmed a read index request without having every
// entry that was committed before the request.
func (s *state) checkReadIndex(m *member) error {
	if !m.node.HasCommittedInTerm() {
		return nil
	}
	for _, r := range s.requests {
		confirmed := r.leader == m.id && r.term == m.node.Term() && m.node.ConfirmedReadIndexRound() >= r.round
		if confirmed && int(m.node.CommitIndex()) < r.committed {
			return fmt.Errorf("member %d confirmed a read index with commit index %d, after %d entries were committed",
				m.id, m.node.CommitIndex(), r.committed)
		}
	}
	return nil
}

// recordViolation records the first invariant that an action violates.
func (s *state) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// apply applies a committed entry at a member, and checks that all members apply the same entry at an
// index, without gaps.
func (s *state) apply(id raft.ID, e raft.Entry) {
	position := int(e.Index) - 1
	if position > len(s.committed) {
		s.recordViolation("member %d applies index %d after %d committed entries", id, e.Index, len(s.committed))
		return
	}
	if position == len(s.committed) {
		s.committed = append(s.committed, e)
		return
	}
	if first := s.committed[position]; first.Term != e.Term || !bytes.Equal(first.Data, e.Data) {
		s.recordViolation("index %d was applied as %q of term %d, but member %d applies %q of term %d",
			e.Index, first.Data, first.Term, id, e.Data, e.Term)
	}
}

// checkInstalled checks that an installed snapshot is one that was created, and that it is not older
// than the member's applied state.
func (s *state) checkInstalled(m *member, snapshot *raft.Snapshot) {
	if !bytes.Equal(snapshot.Data, snapshotData(snapshot.Index, s.remaining.Chunks)) || snapshot.Index < m.applied {
		s.recordViolation("member %d, which has applied index %d, installs %x as the snapshot of index %d",
			m.id, m.applied, snapshot.Data, snapshot.Index)
	}
}

// observeLeader records the leader of a term, and checks that the term has no other.
func (s *state) observeLeader(id raft.ID, term int) {
	for len(s.leaders) <= term {
		s.leaders = append(s.leaders, 0)
	}
	if other := s.leaders[term]; other != 0 && other != id {
		s.recordViolation("term %d has two leaders, members %d and %d", term, other, id)
	}
	s.leaders[term] = id
}

// observeReadRequest records a read index request that the next heartbeat round is to confirm.
func (s *state) observeReadRequest(m *member) {
	s.requests = append(s.requests, readRequest{
		leader:    m.id,
		term:      m.node.Term(),
		round:     m.node.NextReadIndexRound(),
		committed: len(s.committed),
	})
}

package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// restore has a member go on with the state of a snapshot.
func (m *simMember) restore(data []byte) {
	m.state = State{}
	if len(data) == 0 {
		return
	}
	if err := cbor.Unmarshal(data, &m.state); err != nil {
		panic(err)
	}
}

// save leaves on the disk what a Save of the store does: all of it or nothing.
func (s *registerSim) save(id raft.ID, r raft.Ready) {
	d := s.disks[id]
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		d.Snapshot, d.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(slices.Clone(d.Entries[:keep]), r.Entries...)
	}
}

// handleReady has a member persist, send and apply what is ready.
func (s *registerSim) handleReady(id raft.ID) {
	m := s.members[id]
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		if !s.handleBatch(id, m, r) {
			return
		}
	}
	s.syncLater(id, m)
	s.compact(id, m)
}

// handleBatch handles one batch. It returns false where the member lost power.
func (s *registerSim) handleBatch(id raft.ID, m *simMember, r raft.Ready) bool {
	if r.MustSync() && !s.persist(id, m, r) {
		return false
	}
	s.net = append(s.net, r.Messages...)
	if r.Snapshot != nil {
		m.restore(r.Snapshot.Data)
	}
	applied := false
	for _, e := range r.CommittedEntries {
		applied = s.apply(m, e) || applied
	}
	m.node.Advance(r)
	if !applied || m.node.Role() != raft.Leader || !s.chance(30) {
		return true
	}
	s.answer(id) // what was acknowledged was acknowledged; then power is lost
	if s.members[id] == m {
		s.failAfterAcknowledgement(id)
	}
	return false
}

// persist saves a batch. It returns false where power was lost before or after the sync.
func (s *registerSim) persist(id raft.ID, m *simMember, r raft.Ready) bool {
	if s.losses && s.chance(400) { // before: nothing of it is kept
		s.powerOff(id)
		return false
	}
	if s.fault == faultSendsBeforeSync {
		m.unsynced = append(m.unsynced, r)
	} else {
		s.save(id, r)
	}
	if s.losses && s.chance(800) { // after
		s.powerOff(id)
		return false
	}
	return true
}

// syncLater saves, at some time, what a member with faultSendsBeforeSync has not.
func (s *registerSim) syncLater(id raft.ID, m *simMember) {
	if len(m.unsynced) == 0 || s.rng.IntN(4) != 0 {
		return
	}
	for _, r := range m.unsynced {
		s.save(id, r)
	}
	m.unsynced = nil
}

// compact makes a snapshot where one is due.
func (s *registerSim) compact(id raft.ID, m *simMember) {
	applied := m.node.AppliedIndex()
	due := applied%snapshotEntries == 0 && applied > m.node.SnapshotIndex()
	if !s.losses || !due || len(m.unsynced) > 0 {
		return
	}
	data, err := cbor.Marshal(m.state)
	if err != nil {
		panic(err)
	}
	if snapshot := m.node.Compact(applied, data); snapshot != nil {
		d := s.disks[id]
		d.Entries = slices.Clone(d.Entries[snapshot.Index-d.Snapshot.Index:])
		d.Snapshot = *snapshot
	}
}

// apply applies an entry as the register does, or as one with a planted fault. It notes the
// version that it brings, and returns whether it brings one.
func (s *registerSim) apply(m *simMember, e raft.Entry) bool {
	before := m.state.Revision
	switch {
	case s.fault == faultAppliesWithoutEvaluation && len(e.Data) > 0:
		applyWithoutEvaluation(m, e)
	default:
		if c := m.calls[e.Index]; c != nil && s.fault == faultAnswersByIndexAlone {
			c.term = e.Term
		}
		m.apply(e)
	}
	if m.state.Revision == before {
		return false
	}
	newest := m.state.Applied[len(m.state.Applied)-1]
	s.note(appliedVersion{before, newest.Revision, newest.fingerprint, s.tick()})
	if s.fault == faultRemembersFour {
		m.state.Applied = slices.Clone(m.state.Applied[max(0, len(m.state.Applied)-4):])
	} else {
		m.state.trimApplied(s.remembered)
	}
	return true
}

// applyWithoutEvaluation applies the command of an entry whatever the state is.
func applyWithoutEvaluation(m *simMember, e raft.Entry) {
	var command replaceCommand
	if err := cbor.Unmarshal(e.Data, &command); err != nil {
		panic(err)
	}
	m.state.Revision, m.state.Compressed = command.Revision, command.Compressed
	m.state.Applied = append(m.state.Applied, appliedRevision{command.Revision, command.fingerprint()})
	if c := m.calls[e.Index]; c != nil && c.term == e.Term {
		delete(m.calls, e.Index)
		c.response = &api.ControlResponse{Status: http.StatusOK}
	}
}

// note adds a version that a member applied to the chain, or requires that it is in it.
func (s *registerSim) note(v appliedVersion) {
	i, known := s.version(v.revision)
	if known {
		if had := s.chain[i]; had.print != v.print || had.base != v.base {
			s.diverged = fmt.Errorf("a member applies %d on top of %d, another one applied another on top of %d",
				v.revision, v.base, had.base)
		}
		return
	}
	if n := len(s.chain); n > 0 {
		last := s.chain[n-1]
		switch {
		case i < n:
			s.diverged = fmt.Errorf("a member applies %d, and %d was applied before", v.revision, last.revision)
			return
		case last.revision != v.base:
			s.diverged = fmt.Errorf("%d is applied on top of %d, while %d was current",
				v.revision, v.base, last.revision)
		}
	}
	s.chain = append(s.chain, v)
}

// version returns the index in the chain of a version, and whether it is there.
func (s *registerSim) version(revision uint64) (int, bool) {
	return slices.BinarySearchFunc(s.chain, revision, func(v appliedVersion, revision uint64) int {
		return cmp.Compare(v.revision, revision)
	})
}

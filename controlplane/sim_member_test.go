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

// restore replaces the state of a member by that of a snapshot.
func (m *simMember) restore(data []byte) {
	m.state = State{}
	if len(data) == 0 {
		return
	}
	if err := cbor.Unmarshal(data, &m.state); err != nil {
		panic(err)
	}
}

// save stores a batch on the disk atomically, as Save of the store does.
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

// handleReady makes a member persist, send and apply its ready batches.
func (s *registerSim) handleReady(id raft.ID) {
	m := s.members[id]
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		if !s.handleBatch(id, m, r) {
			return
		}
	}
	s.syncDeferred(id, m)
	s.compact(id, m)
}

// handleBatch handles one batch. It returns false if the member lost power.
func (s *registerSim) handleBatch(id raft.ID, m *simMember, r raft.Ready) bool {
	if r.MustSync() && !s.persist(id, m, r) {
		return false
	}
	s.inFlight = append(s.inFlight, r.Messages...)
	if r.Snapshot != nil {
		m.restore(r.Snapshot.Data)
	}
	applied := false
	for _, e := range r.CommittedEntries {
		applied = s.apply(m, e) || applied
	}
	m.node.Advance(r)
	if !applied || m.node.Role() != raft.Leader || !s.oneIn(30) {
		return true
	}
	s.advanceCalls(id) // sends the acknowledgements before the member fails
	if s.members[id] == m {
		s.failAfterAcknowledgement(id)
	}
	return false
}

// persist saves a batch. It returns false if power was lost before or after the sync.
func (s *registerSim) persist(id raft.ID, m *simMember, r raft.Ready) bool {
	if s.losses && s.oneIn(400) { // before the sync: the batch is lost
		s.powerOff(id)
		return false
	}
	if s.fault == faultSendsBeforeSync {
		m.unsynced = append(m.unsynced, r)
	} else {
		s.save(id, r)
	}
	if s.losses && s.oneIn(800) { // after the sync
		s.powerOff(id)
		return false
	}
	return true
}

// syncDeferred saves, with a probability of one in four, the batches that a member with
// faultSendsBeforeSync has not synced.
func (s *registerSim) syncDeferred(id raft.ID, m *simMember) {
	if len(m.unsynced) == 0 || s.rng.IntN(4) != 0 {
		return
	}
	for _, r := range m.unsynced {
		s.save(id, r)
	}
	m.unsynced = nil
}

// compact takes a snapshot if one is due, in a simulation with losses.
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

// apply applies an entry as the register does, or as a register with the planted fault does. If the
// entry produces a new version, apply records it and returns true.
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
	s.recordVersion(appliedVersion{before, newest.Revision, newest.fingerprint, s.advanceClock()})
	if s.fault == faultRemembersFour {
		m.state.Applied = slices.Clone(m.state.Applied[max(0, len(m.state.Applied)-4):])
	} else {
		m.state.trimApplied(s.remembered)
	}
	return true
}

// applyWithoutEvaluation applies the command of an entry unconditionally.
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

// recordVersion appends a version that a member applied to appliedVersions. A version that another
// member has applied must be identical.
func (s *registerSim) recordVersion(v appliedVersion) {
	i, known := s.findVersion(v.revision)
	if known {
		if existing := s.appliedVersions[i]; existing.fingerprint != v.fingerprint || existing.base != v.base {
			s.divergence = fmt.Errorf("members applied different versions of revision %d, on top of %d and of %d",
				v.revision, v.base, existing.base)
		}
		return
	}
	if n := len(s.appliedVersions); n > 0 {
		last := s.appliedVersions[n-1]
		switch {
		case i < n:
			s.divergence = fmt.Errorf("a member applied revision %d, but %d was applied before",
				v.revision, last.revision)
			return
		case last.revision != v.base:
			s.divergence = fmt.Errorf("revision %d was applied on top of %d, while %d was current",
				v.revision, v.base, last.revision)
		}
	}
	s.appliedVersions = append(s.appliedVersions, v)
}

// findVersion returns the index of a revision in appliedVersions, and whether it is there.
func (s *registerSim) findVersion(revision uint64) (int, bool) {
	return slices.BinarySearchFunc(s.appliedVersions, revision, func(v appliedVersion, revision uint64) int {
		return cmp.Compare(v.revision, revision)
	})
}

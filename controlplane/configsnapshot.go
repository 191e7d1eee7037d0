package controlplane

import (
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// decodedSnapshot is a snapshot, decoded into the form that a configStore uses.
type decodedSnapshot struct {
	index, term uint64
	state       State
	rows        *api.ConfigRows // nil: there is no configuration
}

// decodeSnapshot decodes a snapshot completely, including the rows that watchers are sent.
func decodeSnapshot(s *raft.Snapshot) (*decodedSnapshot, error) {
	d := &decodedSnapshot{index: s.Index, term: s.Term}
	if len(s.Data) == 0 {
		return d, nil
	}
	if err := cbor.Unmarshal(s.Data, &d.state); err != nil {
		return nil, err
	}
	var err error
	d.rows, err = buildRows(&d.state, nil)
	return d, err
}

// checkSnapshot returns an error if a snapshot can't be installed. A member that skipped the
// snapshot would serve an older state, and might become the leader with it.
func (s *configStore) checkSnapshot(snapshot *raft.Snapshot) error {
	decoded, err := decodeSnapshot(snapshot)
	if err != nil {
		if s.unreadableIndex != snapshot.Index {
			s.unreadableIndex = snapshot.Index
			s.cfg.Log.Error("snapshot is unreadable",
				"index", snapshot.Index, "bytes", len(snapshot.Data), "error", err)
		}
		return err
	}
	s.checkedSnapshot = decoded
	return nil
}

// installSnapshot replaces the state by that of a snapshot which the node has installed. Calls
// whose entries the snapshot covers end without a result: their clients repeat them.
func (s *configStore) installSnapshot(snapshot *raft.Snapshot) error {
	decoded := s.checkedSnapshot
	if decoded == nil || decoded.index != snapshot.Index || decoded.term != snapshot.Term {
		var err error
		s.mu.Unlock()
		decoded, err = decodeSnapshot(snapshot)
		s.mu.Lock()
		if err != nil { // unexpected: the snapshot was checked before
			return err
		}
	}
	s.checkedSnapshot = nil
	s.adopt(decoded)
	s.endCallsUpTo(snapshot.Index)
	s.cfg.Log.Info("snapshot installed",
		"index", snapshot.Index, "bytes", len(snapshot.Data), "revision", s.state.Revision)
	return nil
}

// adopt makes the state of a decoded snapshot the applied state.
func (s *configStore) adopt(d *decodedSnapshot) {
	s.state, s.rows = d.state, d.rows
	if d.rows != nil {
		s.watches.configs.Replace(d.rows.Revision, d.rows.Rows)
	}
}

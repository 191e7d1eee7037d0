package controlplane

import (
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// decodedSnapshot is a snapshot in the form that is answered from.
type decodedSnapshot struct {
	index, term uint64
	state       State
	rows        *api.ConfigRows // nil: it holds no configuration
}

// decodeSnapshot reads a snapshot completely, down to the rows that watchers are sent.
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

// checkSnapshot reports whether a snapshot can be installed. A member that went on without would
// answer from an older state, and might lead with it.
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
// whose entries it stands for end without a result: their clients ask again.
func (s *configStore) installSnapshot(snapshot *raft.Snapshot) error {
	decoded := s.checkedSnapshot
	if decoded == nil || decoded.index != snapshot.Index || decoded.term != snapshot.Term {
		var err error
		s.mu.Unlock()
		decoded, err = decodeSnapshot(snapshot)
		s.mu.Lock()
		if err != nil { // it was checked before it was installed
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

// adopt makes a decoded snapshot the state that is answered from.
func (s *configStore) adopt(d *decodedSnapshot) {
	s.state, s.rows = d.state, d.rows
	if d.rows != nil {
		s.watches.configs.Replace(d.rows.Revision, d.rows.Rows)
	}
}

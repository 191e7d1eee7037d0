package controlplane

import (
	"fmt"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// configChange is one configuration on its way through this package. Each stage fills in
// fields and changes none of those before:
//
//   - received: an [api.ReplaceRequest], the bytes that an operator sent;
//   - validated (configStore.validate): base, revision, content, rows and entry are set;
//   - proposed (casRegister.advance): a pendingCall holds it, with the term and index of its entry;
//   - committed (configStore.buildCommitted): made anew from the log, with revision, rows and
//     delta; a follower was never sent the other fields;
//   - applied (configStore.applyEntries): it is State and rows of the store, and in its table.
type configChange struct {
	base     uint64      // the revision that it replaces
	revision uint64      // its own
	content  fingerprint // of the bytes as they were sent
	entry    []byte      // the log entry that brings it
	// rows are shared with others and never changed.
	rows  *api.ConfigRows
	delta versioned.RowDiff // from the rows applied before
}

// newConfigChange validates a configuration. Rows that are as they were before are shared.
func newConfigChange(q *api.ReplaceRequest, content fingerprint, before *api.ConfigRows) (*configChange, error) {
	rows, err := api.ValidateConfig(q.Config, before)
	if err == nil {
		err = validateSize(q.Config)
	}
	if err != nil {
		return nil, err
	}
	entry, err := encodeReplaceCommand(q.Base, rows.Revision, q.Config)
	if err != nil {
		return nil, err
	}
	return &configChange{base: q.Base, revision: rows.Revision, content: content, rows: rows, entry: entry}, nil
}

// isNewestOf reports whether a state's newest configuration is this one.
func (c *configChange) isNewestOf(s *State) bool {
	n := len(s.Applied)
	return n > 0 && s.Revision == c.revision && s.Applied[n-1] == appliedRevision{c.revision, c.content}
}

// validateSize returns why a sound configuration could not be sent to watchers once it is
// committed: it could not be unpacked again. That its rows can be read follows from its
// soundness (api.FuzzParseConfig); to read them here too would cost a leader some MB.
func validateSize(config []byte) error {
	if len(config) > api.MaxConfigBytes {
		return fmt.Errorf("%d bytes, %d at most", len(config), api.MaxConfigBytes)
	}
	return nil
}

// buildRows returns the newest configuration of a state as rows, nil where there is none. What
// it has in common with the one before is shared.
func buildRows(s *State, before *api.ConfigRows) (*api.ConfigRows, error) {
	if s.Revision == 0 {
		return nil, nil
	}
	data, err := s.Config()
	if err != nil {
		return nil, err
	}
	rows, err := api.BuildConfigRows(data, before)
	if err == nil && rows.Revision != s.Revision {
		err = fmt.Errorf("revision %d holds one that says %d", s.Revision, rows.Revision)
	}
	return rows, err
}

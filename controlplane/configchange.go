package controlplane

import (
	"fmt"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// configChange is one change of the configuration in progress. Each stage sets further fields and
// leaves the earlier ones unchanged:
//
//   - received: an [api.ReplaceRequest], the bytes that an operator sent;
//   - validated (configStore.validate): base, revision, content, rows and entry are set;
//   - proposed (casRegister.advance): a pendingCall holds it, with the term and index of its entry;
//   - committed (configStore.buildCommitted): rebuilt from the log, with revision, rows and delta;
//     a follower never has the other fields;
//   - applied (configStore.applyEntries): it is in the store's State and rows, and in the table of
//     the watchServer.
type configChange struct {
	base     uint64      // the revision that it replaces
	revision uint64      // its own
	content  fingerprint // of the configuration as it was sent
	entry    []byte      // the data of its log entry
	// rows are shared with other parts and never changed.
	rows  *api.ConfigRows
	delta versioned.RowDiff // from the rows applied before
}

// newConfigChange validates the configuration of a request and returns the change that makes it the
// newest one. Rows that equal those in before are shared.
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

// isNewestOf reports whether this is the newest configuration of a state.
func (c *configChange) isNewestOf(s *State) bool {
	n := len(s.Applied)
	return n > 0 && s.Revision == c.revision && s.Applied[n-1] == appliedRevision{c.revision, c.content}
}

// validateSize returns an error if a valid configuration is too large to be decompressed again,
// and so could not be sent to watchers once it is committed. That the rows of a valid configuration
// can be decoded is tested by api.FuzzParseConfig; decoding them here too would cost a leader some
// MB.
func validateSize(config []byte) error {
	if len(config) > api.MaxConfigBytes {
		return fmt.Errorf("the configuration has %d bytes, the maximum is %d", len(config), api.MaxConfigBytes)
	}
	return nil
}

// buildRows returns the newest configuration of a state as rows, nil if there is none. Rows that
// equal those in before are shared.
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
		err = fmt.Errorf("the stored configuration of revision %d has revision %d", s.Revision, rows.Revision)
	}
	return rows, err
}

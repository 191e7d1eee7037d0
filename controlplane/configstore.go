package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/versioned"
)

// configStore answers the operator's calls, and applies what is committed: a linearizable
// compare and swap of one configuration. All fields are guarded by Core.mu, which is given up
// while a large configuration is parsed, compared or encoded.
type configStore struct {
	cfg     *CoreConfig
	mu      *sync.Mutex // Core.mu
	host    *raftHost
	reads   *readIndexBatcher
	watches *watchServer
	notify  *notifier

	casRegister
	rows      *api.ConfigRows // the applied configuration as rows; nil: there is none yet
	validated *configChange   // the last that an operator sent: it is often sent again
	// checkedSnapshot is the one that was checked last, until it is installed.
	checkedSnapshot *decodedSnapshot
	unreadableIndex uint64 // of the last snapshot that can't be read, to log it once
}

// Replace commits a configuration that replaces a given revision.
func (s *configStore) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	change, err := s.validate(q)
	if err != nil {
		return &api.ControlResponse{Status: http.StatusBadRequest, Reason: err.Error()}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.call(ctx, &pendingCall{configChange: *change})
	return &r, nil
}

// Get reads the configuration, or another part of the state, as of after the call.
func (s *configStore) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	s.mu.Lock()
	r := s.call(ctx, &pendingCall{get: true})
	state := s.state
	s.mu.Unlock()
	if r.Status != http.StatusOK {
		return &r, nil
	}
	var err error
	switch {
	case q.Versions:
		r.Versions = state.Revisions()
	case q.State:
		r.Config, err = Export(&state)
	case q.Revision != 0:
		r.Config, err = state.ConfigAt(q.Revision)
		if errors.Is(err, ErrRevisionNotKept) {
			reason := fmt.Sprintf("revision %d is not remembered; there are %v", q.Revision, state.Revisions())
			return &api.ControlResponse{Status: http.StatusNotFound, Reason: reason}, nil
		}
	default:
		r.Config, err = state.Config()
	}
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// validate makes a received configuration a validated one, which can be proposed. Called
// without the mutex, as a large one takes long to parse.
func (s *configStore) validate(q *api.ReplaceRequest) (*configChange, error) {
	content := fingerprintOf(q.Config)
	s.mu.Lock()
	last, before := s.validated, s.rows
	s.mu.Unlock()
	if last != nil && last.content == content && last.base == q.Base {
		return last, nil
	}
	change, err := newConfigChange(q, content, before)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.leads() {
		s.validated = change
	}
	return change, nil
}

// call advances a call until it has its result or its context ends. Called under the
// mutex, which it gives up while it waits.
func (s *configStore) call(ctx context.Context, p *pendingCall) api.ControlResponse {
	for {
		if s.host.suspended && p.index == 0 {
			return api.ControlResponse{Leader: s.host.leaderAddr()}
		}
		before := p.index
		progress := s.advance(s.host.node, p)
		switch {
		case progress.done && progress.result.Status == 0:
			return api.ControlResponse{Leader: s.host.leaderAddr()}
		case progress.done:
			return progress.result
		case p.index != before:
			s.host.handleReady()
			continue
		case progress.needsRound:
			s.reads.scheduleHeartbeat()
		}
		acknowledged, changed := s.notify.acknowledged, s.notify.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-acknowledged:
		case <-changed:
		case <-ctx.Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.drop(p)
			return api.ControlResponse{}
		}
	}
}

// applyEntries applies committed entries, and publishes the newest configuration: of several at
// once, as after a start, the last alone. Its rows are made before, with the mutex given up, and
// the batch is applied in one step. An error means that the configuration can't be sent to
// watchers; then nothing of the batch is applied.
func (s *configStore) applyEntries(entries []raft.Entry) error {
	committed, err := s.buildCommitted(entries)
	if err != nil { // it was validated before it was proposed, by a member that could read it
		return err
	}
	for _, e := range entries {
		s.applyEntry(e)
	}
	if committed != nil {
		s.rows = committed.rows
		s.watches.publish(committed)
	}
	return nil
}

// buildCommitted returns the configuration that entries make the newest, with its rows and how
// they differ from those before; nil where they bring none. It gives the mutex up: nothing else
// changes the state meanwhile, see raftHost.handling.
func (s *configStore) buildCommitted(entries []raft.Entry) (*configChange, error) {
	state, before, tableRows, known := s.state, s.rows, s.watches.configs.Rows(), s.validated
	s.mu.Unlock()
	defer s.mu.Lock()
	revision := state.Revision
	for _, e := range entries {
		if len(e.Data) > 0 {
			state.Apply(e.Data)
		}
	}
	if state.Revision == revision {
		return nil, nil
	}
	committed := &configChange{revision: state.Revision}
	if known != nil && known.isNewestOf(&state) {
		committed.rows = known.rows
	} else {
		var err error
		if committed.rows, err = buildRows(&state, before); err != nil {
			return nil, fmt.Errorf("revision %d: %w", state.Revision, err)
		}
	}
	committed.delta = versioned.DiffRows(tableRows, committed.rows.Rows)
	return committed, nil
}

// applyEntry applies one committed entry, and gives the call that proposed it its result.
func (s *configStore) applyEntry(e raft.Entry) {
	proposedHere := s.calls[e.Index] != nil
	if s.apply(e) {
		s.cfg.Log.Info("configuration applied", "revision", s.state.Revision, "index", e.Index)
	}
	if proposedHere {
		s.notify.notifyReaders()
	}
}

// encodeSnapshot encodes the present state, with the mutex given up.
func (s *configStore) encodeSnapshot() ([]byte, error) {
	state := s.state
	s.mu.Unlock()
	defer s.mu.Lock()
	return cbor.Marshal(state)
}

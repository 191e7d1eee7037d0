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

// configStore serves the operators' calls and applies committed entries: a linearizable
// compare-and-swap register that holds one configuration. All fields are guarded by Core.mu, which
// is released while a large configuration is parsed, compared or encoded.
type configStore struct {
	cfg     *CoreConfig
	mu      *sync.Mutex // Core.mu
	host    *raftHost
	reads   *readIndexBatcher
	watches *watchServer
	notify  *notifier

	casRegister
	rows      *api.ConfigRows // the applied configuration as rows; nil: there is none yet
	validated *configChange   // the last validated change: operators often send it again
	// checkedSnapshot is the last snapshot that was checked, until it is installed.
	checkedSnapshot *decodedSnapshot
	unreadableIndex uint64 // of the last unreadable snapshot, which is logged once
}

// Replace commits a configuration that replaces a given revision; see [Core.Replace].
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

// Get reads the configuration or another part of the state, linearizably; see [Core.Get].
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
	case q.Revisions:
		r.Revisions = state.Revisions()
	case q.State:
		r.Config, err = Export(&state)
	case q.Revision != 0:
		r.Config, err = state.ConfigAt(q.Revision)
		if errors.Is(err, ErrRevisionNotKept) {
			reason := fmt.Sprintf("revision %d is not kept; those kept are %v", q.Revision, state.Revisions())
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

// validate turns a received configuration into a validated change, which can be proposed. Called
// without the mutex, because parsing a large configuration takes long.
func (s *configStore) validate(q *api.ReplaceRequest) (*configChange, error) {
	content := fingerprintOf(q.Config)
	s.mu.Lock()
	lastValidated, before := s.validated, s.rows
	s.mu.Unlock()
	if lastValidated != nil && lastValidated.content == content && lastValidated.base == q.Base {
		return lastValidated, nil
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

// call advances a call until it has a result or its context ends. Called with the mutex held,
// which is released while the call waits.
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

// applyEntries applies committed entries and publishes the newest configuration. If a batch has
// several configurations, as after a start, only the last is published. Its rows are built first,
// without the mutex; then the batch is applied in one step. An error means that the configuration
// can't be sent to watchers; in that case no entry of the batch is applied.
func (s *configStore) applyEntries(entries []raft.Entry) error {
	committed, err := s.buildCommitted(entries)
	if err != nil { // unexpected: the member that proposed the configuration had validated it
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

// buildCommitted returns the newest configuration after the given entries, with its rows and their
// difference from the previous rows; nil if the entries don't change the configuration. It
// releases the mutex: nothing else changes the state meanwhile, see raftHost.handling.
func (s *configStore) buildCommitted(entries []raft.Entry) (*configChange, error) {
	state, before, tableRows, lastValidated := s.state, s.rows, s.watches.configs.Rows(), s.validated
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
	if lastValidated != nil && lastValidated.isNewestOf(&state) {
		committed.rows = lastValidated.rows
	} else {
		var err error
		if committed.rows, err = buildRows(&state, before); err != nil {
			return nil, fmt.Errorf("revision %d: %w", state.Revision, err)
		}
	}
	committed.delta = versioned.DiffRows(tableRows, committed.rows.Rows)
	return committed, nil
}

// applyEntry applies one committed entry, and sets the result of the call that proposed it.
func (s *configStore) applyEntry(e raft.Entry) {
	proposedHere := s.calls[e.Index] != nil
	if s.apply(e) {
		s.cfg.Log.Info("configuration applied", "revision", s.state.Revision, "index", e.Index)
	}
	if proposedHere {
		s.notify.notifyReaders()
	}
}

// encodeSnapshot encodes the present state; the mutex is released meanwhile.
func (s *configStore) encodeSnapshot() ([]byte, error) {
	state := s.state
	s.mu.Unlock()
	defer s.mu.Lock()
	return cbor.Marshal(state)
}

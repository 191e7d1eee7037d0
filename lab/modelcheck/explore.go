// Package modelcheck explores all states that a small model can reach: every order of its
// events within stated bounds. Random simulation finds likely faults; an exhaustive exploration
// finds those that need five unlikely events in a row, and shows that within the bounds there
// is none. Models hold the real state machines, cloned at each step.
package modelcheck

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a model.
type State interface {
	// Next calls yield for each state that one event leads to, with a description of the
	// event, until yield returns false. The state itself is not changed.
	Next(yield func(event string, next State) bool)
	// AppendKey appends everything that later states and Check depend on. Two states with
	// equal keys count as one.
	AppendKey(b []byte) []byte
	// Check returns the invariant that the state violates, nil if none.
	Check() error
}

// Report is what an exploration saw.
type Report struct {
	States int64 // distinct states
	Events int64 // transitions, those to known states among them
}

func (r Report) String() string { return fmt.Sprintf("%d states, %d events", r.States, r.Events) }

// ViolationError is a state that violates an invariant, and how the model reached it.
type ViolationError struct {
	Err  error
	Path []string // events, from the initial state
}

func (f *ViolationError) Error() string {
	return fmt.Sprintf("%v, after %d events:\n  %s", f.Err, len(f.Path), strings.Join(f.Path, "\n  "))
}

func (f *ViolationError) Unwrap() error { return f.Err }

// ErrBound means that an exploration ended before it had seen all states.
var ErrBound = errors.New("modelcheck: more states than the bound")

// shards is the number of parts of the set of known states, so that workers seldom wait for
// each other.
const shards = 64

// exploration is one call of Explore.
type exploration struct {
	ctx    context.Context
	end    context.CancelCauseFunc
	bound  int64 // of states; 0: none
	shards [shards]struct {
		sync.Mutex
		known map[uint64]struct{} // hashes of keys
	}
	states, events atomic.Int64
	jobs           chan job
	pending        sync.WaitGroup // jobs that have not ended
}

// job is a state from which a worker continues.
type job struct {
	state State
	path  []string // events, from the initial state
}

// Explore visits all states that start leads to, depth first, with so many workers. It ends with a
// [*ViolationError] at the first state that violates an invariant, with [ErrBound] after so many
// states (0: no bound), or with the context's error. The number of states does not depend on
// the workers' order. States are told apart by 64 bits of a hash: among ten million, two are
// taken for one with a probability of 3 in a million.
func Explore(ctx context.Context, start State, bound int64, workers int) (Report, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	e := &exploration{ctx: ctx, end: end, bound: bound, jobs: make(chan job, workers)}
	for i := range e.shards {
		e.shards[i].known = map[uint64]struct{}{}
	}
	e.pending.Add(1)
	e.jobs <- job{start, nil}
	var running sync.WaitGroup
	for range max(1, workers) {
		running.Go(e.work)
	}
	e.pending.Wait()
	close(e.jobs)
	running.Wait()
	return Report{e.states.Load(), e.events.Load()}, context.Cause(ctx)
}

// work takes jobs until there are none left.
func (e *exploration) work() {
	var key []byte
	for j := range e.jobs {
		e.visit(j.state, &j.path, &key)
		e.pending.Done()
	}
}

// isNew reports whether a state was not known before, and makes it known.
func (e *exploration) isNew(hash uint64) bool {
	s := &e.shards[hash%shards]
	s.Lock()
	defer s.Unlock()
	if _, known := s.known[hash]; known {
		return false
	}
	s.known[hash] = struct{}{}
	return true
}

// visit checks a state and goes on to those that it leads to. Where a worker is idle it takes the
// next state, else this one does. path and key are the worker's buffers.
func (e *exploration) visit(s State, path *[]string, key *[]byte) {
	*key = s.AppendKey((*key)[:0])
	if !e.isNew(xxhash.Sum64(*key)) || e.ctx.Err() != nil {
		return
	}
	states := e.states.Add(1)
	if err := s.Check(); err != nil {
		e.end(&ViolationError{err, slices.Clone(*path)})
		return
	}
	if e.bound > 0 && states > e.bound {
		e.end(ErrBound)
		return
	}
	s.Next(func(event string, next State) bool {
		e.events.Add(1)
		*path = append(*path, event)
		e.pending.Add(1)
		select {
		case e.jobs <- job{next, slices.Clone(*path)}:
		default:
			e.pending.Done()
			e.visit(next, path, key)
		}
		*path = (*path)[:len(*path)-1]
		return e.ctx.Err() == nil
	})
}

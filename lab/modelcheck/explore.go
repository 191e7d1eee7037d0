// Package modelcheck walks all states that a small world can come to: every order of
// its events within stated bounds. Seeds find faults that are likely; a walk finds
// those that need five unlikely things in a row, and shows that within the bounds
// there is none. Worlds hold the real state machines, cloned at each step.
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

// State is one state of a world.
type State interface {
	// Next calls yield for each state that one event leads to, with the event in
	// words, until yield returns false. The state itself stays as it is.
	Next(yield func(event string, next State) bool)
	// AppendKey adds all that the future and Check depend on. Two states with equal
	// keys are one.
	AppendKey(b []byte) []byte
	// Check returns what is wrong with the state, nil if nothing is.
	Check() error
}

// Report is what a walk saw.
type Report struct {
	States int64 // different ones
	Events int64 // steps taken, those to states seen before among them
}

func (r Report) String() string { return fmt.Sprintf("%d states, %d events", r.States, r.Events) }

// Fault is a state that should not be, and how the world came to it.
type Fault struct {
	Err  error
	Path []string // events, from the start
}

func (f *Fault) Error() string {
	return fmt.Sprintf("%v, after %d events:\n  %s", f.Err, len(f.Path), strings.Join(f.Path, "\n  "))
}

func (f *Fault) Unwrap() error { return f.Err }

// ErrBound tells that a walk has not seen all states.
var ErrBound = errors.New("modelcheck: more states than were to be seen")

// shards is into how many parts the states seen are split, so that those who walk
// seldom wait for each other.
const shards = 64

type walk struct {
	ctx    context.Context
	end    context.CancelCauseFunc
	most   int64
	shards [shards]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
	states, events atomic.Int64
	jobs           chan job
	open           sync.WaitGroup // jobs that have not ended
}

// job is a state from which somebody goes on.
type job struct {
	state State
	path  []string
}

// Walk goes through all states from start on, depth first, on so many goroutines.
// It ends with a [*Fault] at the first state that should not be, with [ErrBound]
// after so many states (0: no bound), or with the context's error. How many states
// there are does not depend on who comes first. States are told apart by 64 bits of
// a hash: among ten million two are taken for one with a chance of 3 in a million.
func Walk(ctx context.Context, start State, most int64, goroutines int) (Report, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	w := &walk{ctx: ctx, end: end, most: most, jobs: make(chan job, goroutines)}
	for i := range w.shards {
		w.shards[i].seen = map[uint64]struct{}{}
	}
	w.open.Add(1)
	w.jobs <- job{start, nil}
	var workers sync.WaitGroup
	for range max(1, goroutines) {
		workers.Go(func() {
			var key []byte
			for j := range w.jobs {
				w.visit(j.state, &j.path, &key)
				w.open.Done()
			}
		})
	}
	w.open.Wait()
	close(w.jobs)
	workers.Wait()
	return Report{w.states.Load(), w.events.Load()}, context.Cause(ctx)
}

// fresh tells whether a state was not seen before.
func (w *walk) fresh(h uint64) bool {
	s := &w.shards[h%shards]
	s.Lock()
	defer s.Unlock()
	if _, seen := s.seen[h]; seen {
		return false
	}
	s.seen[h] = struct{}{}
	return true
}

func (w *walk) visit(s State, path *[]string, key *[]byte) {
	*key = s.AppendKey((*key)[:0])
	if !w.fresh(xxhash.Sum64(*key)) || w.ctx.Err() != nil {
		return
	}
	n := w.states.Add(1)
	if err := s.Check(); err != nil {
		w.end(&Fault{err, slices.Clone(*path)})
		return
	}
	if w.most > 0 && n > w.most {
		w.end(ErrBound)
		return
	}
	s.Next(func(event string, next State) bool {
		w.events.Add(1)
		*path = append(*path, event)
		w.open.Add(1)
		select {
		case w.jobs <- job{next, slices.Clone(*path)}: // somebody has nothing to do
		default:
			w.open.Done()
			w.visit(next, path, key)
		}
		*path = (*path)[:len(*path)-1]
		return w.ctx.Err() == nil
	})
}

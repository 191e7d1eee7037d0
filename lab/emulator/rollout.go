package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
)

const (
	changeEvery   = 300 * time.Millisecond // between two changes of an operator during a roll-out
	rolloutPoll   = 50 * time.Millisecond
	endTimeout    = 30 * time.Second       // from SIGTERM to SIGKILL: longer than a busy machine needs
	downAfterKill = 500 * time.Millisecond // all machines together
	// The rule that a fleet breaks where a roll-out leaves a machine behind.
	upgradeRule = "UPGRADE"
)

// rollout restarts a fleet, machine by machine, into another build of the gateway
// while an operator brings changes, then kills all machines at once and starts them
// again. What it finds wrong goes into the fleet's log.
type rollout struct {
	fleet   *Fleet
	program string // absolute path of the build to go to
}

// RollOut has the fleet change over to another build of the gateway once the day's
// traffic has run its length; traffic goes on until that is done. Call it before Run.
func (f *Fleet) RollOut(program string) error {
	path, err := executable(program)
	if err != nil {
		return err
	}
	f.rollout = &rollout{fleet: f, program: path}
	return nil
}

// executable returns the path under which the system shows a process of a program.
func executable(program string) (string, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	if path, err = filepath.EvalSymlinks(path); err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("emulator: %s is no program", path)
	}
	return path, nil
}

// run changes the fleet over. An error ends the day; a broken rule does not.
func (r *rollout) run(ctx context.Context) error {
	f := r.fleet
	begun := time.Now()
	before, _ := f.operator.counts()
	stopChanges := r.bringChanges(ctx)
	err := r.restartEach(ctx)
	stopChanges()
	if err != nil {
		return err
	}
	rolled := time.Since(begun)
	after, _ := f.operator.counts()
	changes := after - before
	if changes == 0 {
		f.log.Violation("CONFIG", "no change was acknowledged during the roll-out")
	}
	killed := time.Now()
	if err := r.killAll(ctx); err != nil {
		return err
	}
	back := time.Since(killed)
	revision, err := r.inForceEverywhere(ctx)
	if err != nil {
		return err
	}
	f.note("rolled out to %s in %.1f s, %d changes acknowledged meanwhile", r.program, rolled.Seconds(), changes)
	f.note("all killed at once and ready again after %.1f s", back.Seconds())
	f.note("%d of %d machines on the new build, configuration %d in force on all",
		r.onNewBuild(), len(f.nodes), revision)
	return nil
}

// bringChanges has an operator bring one change after the other until the function
// that it returns is called, which waits for the last one.
func (r *rollout) bringChanges(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var changes sync.WaitGroup
	changes.Go(func() {
		for backoff.Sleep(ctx, changeEvery) {
			// Not under ctx: a change that was begun is brought to its end.
			r.fleet.operator.change(context.WithoutCancel(ctx))
		}
	})
	return func() {
		cancel()
		changes.Wait()
	}
}

// restartEach ends each machine's process in order and has it started with the new
// build; the next machine's turn comes when it is ready and knows what was confirmed.
func (r *rollout) restartEach(ctx context.Context) error {
	for _, n := range r.fleet.nodes {
		r.fleet.event("%s goes to %s", n.name, r.program)
		n.setProgram(r.program)
		old := n.process()
		n.terminate(endTimeout)
		if state := old.cmd.ProcessState; !state.Success() {
			r.fleet.log.Violation(upgradeRule, "%s did not end in order: %v", n.name, state)
		}
		revision := r.fleet.operator.revision()
		ready := func(s *nodeStatus) bool { return s.restarted(n, old) && s.has(revision) }
		if err := r.wait(ctx, n, ready); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills every process at once, waits for their ends and for all to be ready.
func (r *rollout) killAll(ctx context.Context) error {
	r.fleet.event("all are killed")
	old := make([]running, len(r.fleet.nodes))
	for i, n := range r.fleet.nodes {
		old[i] = n.process()
		n.setHeld(true)
	}
	for _, n := range r.fleet.nodes {
		n.signal(syscall.SIGKILL)
	}
	for i := range old {
		<-old[i].ended
	}
	backoff.Sleep(ctx, downAfterKill)
	for _, n := range r.fleet.nodes {
		n.setHeld(false)
	}
	for i, n := range r.fleet.nodes {
		if err := r.wait(ctx, n, func(s *nodeStatus) bool { return s.restarted(n, old[i]) }); err != nil {
			return err
		}
	}
	return nil
}

// inForceEverywhere waits until each machine serves by the newest configuration that
// was acknowledged, and returns its revision.
func (r *rollout) inForceEverywhere(ctx context.Context) (uint64, error) {
	if !r.fleet.operator.change(ctx) { // and one more, so that the new builds alone agree on it
		r.fleet.log.Violation("CONFIG", "no change was acknowledged after all had been killed")
	}
	revision := r.fleet.operator.revision()
	for _, n := range r.fleet.nodes {
		if err := r.wait(ctx, n, func(s *nodeStatus) bool { return s.has(revision) }); err != nil {
			return revision, err
		}
	}
	return revision, nil
}

// onNewBuild counts the machines whose process is of the new build; each other one
// breaks the rule.
func (r *rollout) onNewBuild() (count int) {
	for _, n := range r.fleet.nodes {
		path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", n.process().cmd.Process.Pid))
		switch {
		case err != nil:
			r.fleet.log.Violation(upgradeRule, "%s: which program it runs can't be told: %v", n.name, err)
		case path != r.program:
			r.fleet.log.Violation(upgradeRule, "%s still runs %s", n.name, path)
		default:
			count++
		}
	}
	return count
}

// wait asks a machine what it knows until that is enough. Too long is an error: the
// machine is named, and its log says more.
func (r *rollout) wait(ctx context.Context, n *node, enough func(*nodeStatus) bool) error {
	var last *nodeStatus
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if s, err := n.status(ctx); err == nil {
			if last = s; enough(s) {
				return nil
			}
		}
		if !backoff.Sleep(ctx, rolloutPoll) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("emulator: the roll-out stops: %s is not ready with the newest configuration after %v (%v); "+
		"see its log below %s", n.name, readyTimeout, last, n.dir)
}

// nodeStatus is the part of a gateway's /v1/Status that a roll-out goes by. All builds
// show these fields.
type nodeStatus struct {
	Limiter *struct {
		Ready    bool
		Revision uint64
	}
	Core *struct {
		Role     string
		Revision uint64
	}
}

// String implements fmt.Stringer. A nil status is that of a machine that did not answer.
func (s *nodeStatus) String() string {
	if s == nil {
		return "no status"
	}
	return fmt.Sprintf("limiter %+v, core %+v", s.Limiter, s.Core)
}

// errNoStatus: a machine did not answer with its state.
var errNoStatus = errors.New("no status")

// status asks a machine's process for its state.
func (n *node) status(ctx context.Context) (*nodeStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.control+"/v1/Status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := localClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errNoStatus, n.name, err)
	}
	defer func() { _ = resp.Body.Close() }() // all of it was read, or it is of no use
	var s nodeStatus
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errNoStatus, n.name, err)
	}
	return &s, nil
}

// restarted reports whether another process than the old one runs and is ready.
func (s *nodeStatus) restarted(n *node, old running) bool {
	return n.process().cmd != old.cmd && s.Limiter != nil && s.Limiter.Ready
}

// has reports whether the machine, and its member of the core if it has one, are at a
// revision of the configuration or past it.
func (s *nodeStatus) has(revision uint64) bool {
	return s.Limiter != nil && s.Limiter.Revision >= revision && (s.Core == nil || s.Core.Revision >= revision)
}

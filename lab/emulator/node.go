package emulator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/settings"
)

const (
	restartDelay = 300 * time.Millisecond // from the end of a process to the next start
	killTimeout  = 7 * time.Second        // from SIGTERM to SIGKILL, at the end of a day
)

// node is one machine with its process. What stands before the mutex is set when the
// fleet is laid out.
type node struct {
	name, zone, ip, dir   string
	front, ready, control string // addresses of its listeners
	metrics               string
	core                  bool // it has a disk and is a member of the control plane
	log                   *checker.Log

	mu      sync.Mutex
	program string // that is started next
	current running
	held    bool // is not started again for now
	ordered bool // the end of the current process was ordered
}

// running is a process that was started; the zero value is none.
type running struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended and was waited for
}

// supervise starts the machine's process, and again whenever it ends, until the context
// does. unexpected is called for each end that nobody ordered.
func (n *node) supervise(ctx context.Context, args []string, unexpected func(*os.ProcessState)) error {
	for ctx.Err() == nil {
		state, err := n.runOnce(args)
		if err != nil {
			return fmt.Errorf("emulator: %s: %w", n.name, err)
		}
		if !n.endWasOrdered() && ctx.Err() == nil {
			unexpected(state)
		}
		held := true
		for held && backoff.Sleep(ctx, restartDelay) {
			held = n.isHeld()
		}
	}
	return nil
}

// runOnce starts the process and waits for its end. An error is one of the start.
func (n *node) runOnce(args []string) (*os.ProcessState, error) {
	out, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd, ended := n.command(args), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	if err := n.start(running{cmd, ended}); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	waitErr := cmd.Wait()
	close(ended)
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) { // how it exited is in the state
		return nil, errors.Join(waitErr, out.Close())
	}
	return cmd.ProcessState, out.Close()
}

// command is the command line of the machine's next process.
func (n *node) command(args []string) *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.program, args...)
	cmd.Env = []string{
		settings.NodeFileEnv + "=" + n.settingsPath(),
		settings.TuningFileEnv + "=" + n.tuningPath(),
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + n.dir,
	}
	return cmd
}

// start starts a process. Under the mutex: a signal finds it started or not at all.
func (n *node) start(process running) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current, n.ordered = process, false
	n.log.Started(n.front)
	return process.cmd.Start()
}

// process is the one that was started last.
func (n *node) process() running {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// setProgram has the machine's next process be of a program.
func (n *node) setProgram(path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program = path
}

// setHeld has the machine's process not be started again for now, or no longer.
func (n *node) setHeld(held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = held
}

func (n *node) isHeld() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

func (n *node) endWasOrdered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ordered
}

// signal sends the process a signal.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current.cmd == nil || n.current.cmd.Process == nil {
		return
	}
	n.ordered = n.ordered || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	switch sig {
	case syscall.SIGKILL:
		n.log.Disturbed(n.front, restartDelay)
	case syscall.SIGTERM:
		n.log.Terminated(n.front)
	}
	_ = n.current.cmd.Process.Signal(sig) // it may have ended just now
}

// terminate ends the process in order, and outright if that takes longer than a time.
func (n *node) terminate(timeout time.Duration) {
	n.signal(syscall.SIGTERM)
	ended := n.process().ended
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
		n.signal(syscall.SIGKILL)
		<-ended
	}
}

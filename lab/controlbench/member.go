package controlbench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
)

const (
	dirPerm  = 0o700
	filePerm = 0o600
	dataDir  = "data"
	logFile  = "log"
)

// member is one process of the control plane.
type member struct {
	cmd  *exec.Cmd
	log  *os.File
	pid  int
	home string
	// ended gets the result of the process once; kill puts it back, so that it may be called again.
	ended chan error
	// peakMB is written by the goroutine that samples alone.
	peakMB atomicFloat
}

// atomicFloat is a figure that one goroutine writes and another reads.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64       { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(value float64) { f.bits.Store(math.Float64bits(value)) }

// nodeFile is a member's settings file, with gaps for what differs between members.
const nodeFile = `node_name = "core-%d"
served_roles = ["edge", "control"]
ip = %q
zone = "z"
internal_port_range = [%d, %d]
seed_peers = [%s]
bootstrap = true
quorum_member = true
data_dir = %q
[listeners]
front_port = %q
ready_port = %q
control_port = %q
[fault_tolerance]
machine_failures = %d
[timing_bounds]
drain_ms = 4000
grace_s = 6
config_apply_ms = 4000
strict_revocation = true
revoke_ms = 5000
[cloud_api]
address = %q
rate_per_s = %g
`

func (b *bench) nodeText(i int, home string) string {
	var seeds []string
	for k := range b.spec.Members {
		seeds = append(seeds, fmt.Sprintf("%q", b.addr(k, controlPort)))
	}
	return fmt.Sprintf(nodeFile,
		i, memberIP(i), b.ports[internalPort], b.ports[internalPort]+1, strings.Join(seeds, ", "),
		filepath.Join(home, dataDir), b.addr(i, frontPort), b.addr(i, readyPort), b.addr(i, controlPort),
		b.spec.Members/2, b.platform.addr, b.spec.Calls)
}

// startMember starts a member's process, the first time or again, on the data that it left.
func (b *bench) startMember(ctx context.Context, i int) (*member, error) {
	home := filepath.Join(b.dir, fmt.Sprint("core-", i))
	if err := os.MkdirAll(filepath.Join(home, dataDir), dirPerm); err != nil {
		return nil, err
	}
	path := filepath.Join(home, "node.toml")
	if err := os.WriteFile(path, []byte(b.nodeText(i, home)), filePerm); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(home, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, b.program[0], b.program[1:]...)
	// With gctrace the log says what the heap holds.
	cmd.Env = append(os.Environ(), "ELMSPAN_NODE_FILE="+path, "GODEBUG=gctrace=1")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("controlbench: %w", err), log.Close())
	}
	m := &member{cmd: cmd, log: log, pid: cmd.Process.Pid, home: home, ended: make(chan error, 1)}
	go func() { m.ended <- cmd.Wait() }() // ends with the process, which close kills
	return m, nil
}

// kill ends the process as a loss of its machine's power does, but for the disk.
func (m *member) kill() error {
	err := m.cmd.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	result := <-m.ended // that it was killed is no error
	m.ended <- result
	if closeErr := m.log.Close(); !errors.Is(closeErr, os.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return err
}

// restartMember starts a member that was killed. Its peak of memory goes on.
func (b *bench) restartMember(ctx context.Context, i int) error {
	m, err := b.startMember(ctx, i)
	if err != nil {
		return err
	}
	m.peakMB.store(b.members[i].peakMB.load())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[i] = m
	return nil
}

// Package controlbench measures the core at a size that no emulated fleet has: three
// or five real processes on loopback that lead and follow, with hundreds or thousands
// of hollow watchers that ask as limiters do over links of a limiter's speed, while
// routes, quotas and servers change, watchers start all at once and members are lost.
// It reports, for the leader and its followers apart, processor time, memory, bytes
// and what goes to disk, and how long the last watcher waits for what was acknowledged.
package controlbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// Spec says what to measure.
type Spec struct {
	Limiters int           `help:"Watchers that ask as limiters do." default:"300"`
	Routes   int           `help:"Routes of the configuration." default:"1600"`
	Servers  int           `help:"Servers on the platform's list." default:"300"`
	Tenants  int           `help:"Tenants of the configuration, each with a key and a quota." default:"100"`
	Services int           `help:"Services of the configuration, among which routes and servers are divided." default:"3"`
	Calls    float64       `help:"Calls a second that the platform allows the leader (rate_per_s)." default:"200"`
	Members  int           `help:"Members of the core: 3 or 5." default:"3"`
	Changes  int           `help:"Configurations brought, one a second, each with one other weight." default:"5"`
	Release  int           `help:"Servers replaced a second, for as many seconds as there are changes." default:"8"`
	LinkMbps float64       `help:"Link of a watcher: it takes each piece of a difference no faster." default:"5"`
	Whole    bool          `help:"Watchers forget what they have before each change, so that each is told the whole."`
	Rest     time.Duration `help:"How long they rest, to see what an idle core costs." default:"3s"`
	Herd     bool          `help:"All watchers lose what they have and their connections, and start at once."`
	Restarts bool          `help:"A follower is killed and started again, then the leader, then all members at once, with watchers that lose what they have."`
	Seed     uint64        `default:"1"`
}

func (s *Spec) check() error {
	var errs []error
	for name, v := range map[string]int{"limiters": s.Limiters, "routes": s.Routes, "servers": s.Servers, "changes": s.Changes,
		"tenants": s.Tenants, "services": s.Services} {
		if v < 1 {
			errs = append(errs, fmt.Errorf("--%s: %d: 1 at least", name, v))
		}
	}
	if s.Release < 0 || s.Release > s.Servers {
		errs = append(errs, fmt.Errorf("--release: %d: from 0 to --servers", s.Release))
	}
	if !(s.Calls > 0) {
		errs = append(errs, fmt.Errorf("--calls: %v: above 0", s.Calls))
	}
	if s.Members != 3 && s.Members != 5 {
		errs = append(errs, fmt.Errorf("--members: %d: 3 or 5", s.Members))
	}
	if !(s.LinkMbps > 0) {
		errs = append(errs, fmt.Errorf("--link-mbps: %v: above 0", s.LinkMbps))
	}
	return errors.Join(errs...)
}

// After so long without what is waited for a run ends with an error.
var (
	startsIn = 60 * time.Second
	takesIn  = 60 * time.Second // until the last watcher has what was acknowledged
)

const (
	changeGap = time.Second
	lead      = 200 * time.Millisecond
)

// run is one measurement.
type run struct {
	spec     Spec
	rng      *rand.Rand
	ports    [5]int     // internal (two), front, ready, control
	mu       sync.Mutex // over the following
	procs    []*proc
	platform *platform
	config   api.Config
	watchers []*watcher
	counts   counts
	news     chan taken
	control  http.Client
	start1   func(i int) (*proc, error) // starts a member, the first time or again
}

// Run starts the core with a program and its arguments (as "elmspan gateway"), puts
// settings, data and logs into a folder, and measures.
func Run(ctx context.Context, spec Spec, program []string, dir string) (*Report, error) {
	if err := spec.check(); err != nil {
		return nil, err
	}
	r := &run{spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 1)), counts: counts{begun: time.Now()}, control: http.Client{Timeout: 5 * time.Second}}
	defer r.end()
	if err := r.start(ctx, program, dir); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// ip is a loopback address of this run alone, as far as can be.
func ip(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8%64, pid%256, 10+i)
}

func (r *run) start(ctx context.Context, program []string, dir string) error {
	var held []net.Listener
	for i := range r.ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip(0), "0"))
		if err != nil {
			return fmt.Errorf("controlbench: %w", err)
		}
		held = append(held, l)
		r.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range held {
		l.Close()
	}
	var err error
	if r.platform, err = startPlatform(r.spec.Servers, r.spec.Services, r.spec.Calls); err != nil {
		return err
	}
	r.start1 = func(i int) (*proc, error) { return r.startProcess(ctx, program, dir, i) }
	for i := range r.spec.Members {
		p, err := r.start1(i)
		if err != nil {
			return err
		}
		r.procs = append(r.procs, p)
	}
	return nil
}

// members are the processes as they are now.
func (r *run) members() []*proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.procs)
}

func (r *run) addr(i, port int) string { return net.JoinHostPort(ip(i), fmt.Sprint(r.ports[port])) }

// proc is one process of the core.
type proc struct {
	cmd  *exec.Cmd
	log  *os.File
	pid  int
	home string
	ends chan error
	// peakMB is written by the goroutine that samples alone.
	peakMB peak
}

// peak is a figure that one goroutine writes and another reads.
type peak struct{ bits atomic.Uint64 }

func (p *peak) Load() float64   { return math.Float64frombits(p.bits.Load()) }
func (p *peak) Store(v float64) { p.bits.Store(math.Float64bits(v)) }

func (r *run) startProcess(ctx context.Context, program []string, dir string, i int) (*proc, error) {
	home := filepath.Join(dir, fmt.Sprint("core-", i))
	if err := os.MkdirAll(filepath.Join(home, "data"), 0o700); err != nil {
		return nil, err
	}
	var seeds []string
	for k := range r.spec.Members {
		seeds = append(seeds, fmt.Sprintf("%q", r.addr(k, 4)))
	}
	text := fmt.Sprintf("node_name = \"core-%d\"\nserved_roles = [\"edge\", \"control\"]\nip = %q\nzone = \"z\"\ninternal_port_range = [%d, %d]\n"+
		"seed_peers = [%s]\nbootstrap = true\nquorum_member = true\ndata_dir = %q\n[listeners]\nfront_port = %q\nready_port = %q\ncontrol_port = %q\n"+
		"[fault_tolerance]\nmachine_failures = %d\n[timing_bounds]\ndrain_ms = 4000\ngrace_s = 6\nconfig_apply_ms = 4000\nstrict_revocation = true\nrevoke_ms = 5000\n"+
		"[cloud_api]\naddress = %q\nrate_per_s = %g\n",
		i, ip(i), r.ports[0], r.ports[0]+1, strings.Join(seeds, ", "), filepath.Join(home, "data"), r.addr(i, 2), r.addr(i, 3), r.addr(i, 4), r.spec.Members/2, r.platform.addr, r.spec.Calls)
	path := filepath.Join(home, "node.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(home, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, program[0], program[1:]...)
	cmd.Env = append(os.Environ(), "ELMSPAN_NODE_FILE="+path, "GODEBUG=gctrace=1") // what the heap holds is told in the log
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("controlbench: %w", err)
	}
	p := &proc{cmd: cmd, log: log, pid: cmd.Process.Pid, home: home, ends: make(chan error, 1)}
	go func() { p.ends <- cmd.Wait() }() // ends with the process, which end kills
	return p, nil
}

// kill ends the process as a loss of its machine's power does, but for the disk.
func (p *proc) kill() {
	p.cmd.Process.Kill()
	<-p.ends
	p.ends <- nil // it may be killed again
	p.log.Close()
}

// end stops all that was started.
func (r *run) end() {
	r.stopWatchers()
	for _, p := range r.procs {
		p.kill()
	}
	if r.platform != nil {
		r.platform.close()
	}
}

// bring sends the configuration until it is acknowledged, and returns when it was.
func (r *run) bring(ctx context.Context, base uint64) (time.Time, error) {
	body, err := cbor.Marshal(&r.config)
	if err != nil {
		return time.Time{}, err
	}
	last := "no answer"
	for end := time.Now().Add(startsIn); time.Now().Before(end) && ctx.Err() == nil; {
		for i := range r.spec.Members {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr(i, 4)+"/v1/Config.Replace", strings.NewReader(string(body)))
			if err != nil {
				return time.Time{}, err
			}
			req.Header.Set("Base-Revision", fmt.Sprint(base))
			resp, err := r.control.Do(req)
			if err != nil {
				last = err.Error()
				continue
			}
			why, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)) // what is left out is only said
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
			last = fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(why)))
		}
		time.Sleep(lead)
	}
	return time.Time{}, fmt.Errorf("controlbench: revision %d was not acknowledged: %s", r.config.Revision, last)
}

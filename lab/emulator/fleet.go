package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/keys"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/settings"
)

const (
	againAfter  = 300 * time.Millisecond // a process that ended is started again
	readyWait   = 30 * time.Second
	killWait    = 7 * time.Second // after SIGTERM
	firstIP     = 10              // 127.10.0.1 is the first machine of the first zone
	mostPerZone = 100
	hostName    = "emulator.example" // that clients ask for
)

// epoch is what times on the steady clock are counted from.
var epoch = time.Now()

// Fleet is a fleet that runs, with its stand-ins.
type Fleet struct {
	spec     *scenario.Day
	args     []string // of the gateway
	dir      string
	log      io.Writer
	ledger   *checker.Log
	start    atomic.Int64 // of traffic, in ns since epoch
	platform *platform
	nodes    []*node
	operator *operator
	load     *load
	drawing  sync.Mutex // over rng
	rng      *rand.Rand
	ports    ports
	exits    atomic.Int64 // of processes, by themselves
	lives    int
	rollout  *rollout // nil: the machines keep the build that they began with

	noting sync.Mutex // over notes
	notes  []string   // for the report
}

// ports are alike on all machines.
type ports struct{ front, ready, control, internal, server, metrics int }

// node is one machine with its process.
type node struct {
	name, zone, ip, dir   string
	front, ready, control string
	metrics               string
	core                  bool

	mu      sync.Mutex
	program string // that is started next
	now     running
	hold    bool // is not started again for now
	meant   bool // its end was ordered
}

// running is a process that was started; the zero value is none.
type running struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended and was waited for
}

// NewFleet lays a fleet out in a folder. Program is the gateway's command line.
func NewFleet(spec *scenario.Day, program []string, dir string, log io.Writer) (*Fleet, error) {
	if spec.PerZone > mostPerZone {
		return nil, fmt.Errorf("emulator: machines_per_zone: %d: up to %d; more can be simulated", spec.PerZone, mostPerZone)
	}
	for i := range spec.Faults {
		if t := &spec.Faults[i]; !t.Emulated() {
			return nil, fmt.Errorf("emulator: troubles.%d.kind: %s can only be simulated", i, t.Kind)
		}
	}
	f := &Fleet{spec: spec, args: program[1:], dir: dir, log: log, rng: rand.New(rand.NewPCG(spec.Seed, 3))}
	f.begin()
	f.ledger = checker.New(spec.RetryBudget, f.sinceStart)
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	f.ports = ports{base, base + 1, base + 2, base + 4, base + 3, base + 16}
	for zi, z := range spec.Zones {
		for i := range spec.PerZone {
			ip := fmt.Sprintf("127.%d.0.%d", firstIP+zi, i+1)
			n := &node{program: program[0], name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, ip: ip, core: i == 0 && zi < 3 || len(spec.Zones) < 3 && i < 3 && zi == 0,
				front: fmt.Sprint(ip, ":", f.ports.front), ready: fmt.Sprint(ip, ":", f.ports.ready), control: fmt.Sprint(ip, ":", f.ports.control),
				metrics: fmt.Sprint(ip, ":", f.ports.metrics)}
			n.dir = filepath.Join(dir, n.name)
			if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o755); err != nil {
				return nil, fmt.Errorf("emulator: %w", err)
			}
			f.nodes = append(f.nodes, n)
		}
	}
	if f.platform, err = startPlatform("127.200.0.1:0", f.ledger); err != nil {
		return nil, err
	}
	f.operator = newOperator(f)
	f.load = newLoad(f)
	return f, nil
}

// freePorts finds a row of ports that nobody listens on.
func freePorts() (int, error) {
	for range 50 {
		base := 20000 + 20*rand.IntN(1000)
		ok := true
		for p := base; p < base+20 && ok; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
			if ok = err == nil; ok {
				l.Close()
			}
		}
		if ok {
			return base, nil
		}
	}
	return 0, errors.New("emulator: no row of free ports")
}

// tuning writes a machine's tuning file: metrics are kept, and keys are there
// where the day wants them.
func (f *Fleet) tuning(n *node, ca string) error {
	text := fmt.Sprintf("[metrics]\naddress = %q\n", n.metrics)
	if ca != "" {
		dir := filepath.Join(n.dir, "keys")
		if err := keys.Issue(ca, dir, n.name, net.ParseIP(n.ip), 1, time.Now()); err != nil {
			return err
		}
		text += fmt.Sprintf("[tls]\ndir = %q\n", dir)
	}
	if err := os.WriteFile(filepath.Join(n.dir, "tuning.toml"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	return nil
}

// settings writes a machine's settings file.
func (f *Fleet) settings(n *node, bootstrap bool) error {
	var seeds []string
	for _, o := range f.nodes {
		if o.core {
			seeds = append(seeds, fmt.Sprintf("%q", o.control))
		}
	}
	data, quorum := "", false
	if n.core {
		data, quorum = filepath.Join(n.dir, "data"), true
	}
	text := fmt.Sprintf(`node_name = %q
role = "gateway"
served_roles = ["edge", "control"]
ip = %q
zone = %q
region = "loopback"
internal_port_range = [%d, %d]
seed_peers = [%s]
bootstrap = %v
quorum_member = %v
data_dir = %q
[listeners]
front_port = %q
ready_port = %q
control_port = %q
[request_limits]
max_fds = 2000
[fault_tolerance]
machine_failures = 1
[timing_bounds]
drain_ms = %d
grace_s = 6
config_apply_ms = %d
strict_revocation = true
revoke_ms = %d
quota_window_s = %v
quota_overshoot = %v
quota_slack = %v
retry_budget_ratio = %v
retry_window_s = %v
retry_budget_slack = %v
[cloud_api]
address = %q
rate_per_s = %v
`, n.name, n.ip, n.zone, f.ports.internal, f.ports.internal+10, strings.Join(seeds, ", "), bootstrap, quorum, data,
		n.front, n.ready, n.control, checker.DrainMs, checker.ConfigApplyMs, checker.RevokeMs, checker.QuotaWindowS, checker.QuotaOvershoot, checker.QuotaSlack,
		f.spec.RetryBudget.Ratio, f.spec.RetryBudget.WindowS, f.spec.RetryBudget.Slack, f.platform.addr, cloudPerS)
	if err := os.WriteFile(filepath.Join(n.dir, "node.toml"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	return nil
}

// keep starts a machine's process, and again whenever it ends, until the context does.
func (f *Fleet) keep(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		out, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			fmt.Fprintln(f.log, "emulator:", err)
			return
		}
		n.mu.Lock()
		program := n.program
		n.mu.Unlock()
		cmd := exec.Command(program, f.args...)
		cmd.Env = []string{settings.NodeFileEnv + "=" + filepath.Join(n.dir, "node.toml"), settings.TuningFileEnv + "=" + filepath.Join(n.dir, "tuning.toml"),
			"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir}
		cmd.Stdout, cmd.Stderr = out, out
		ended := make(chan struct{})
		n.mu.Lock()
		err = cmd.Start()
		n.now, n.meant = running{cmd, ended}, false
		n.mu.Unlock()
		if err != nil {
			fmt.Fprintln(f.log, "emulator:", err)
			out.Close()
			return
		}
		cmd.Wait()
		out.Close()
		close(ended)
		n.mu.Lock()
		if !n.meant && ctx.Err() == nil {
			f.exits.Add(1)
			fmt.Fprintf(f.log, "emulator: %s ended by itself: %v\n", n.name, cmd.ProcessState)
		}
		n.mu.Unlock()
		for first := true; ctx.Err() == nil; first = false {
			n.mu.Lock()
			hold := n.hold
			n.mu.Unlock()
			if !hold && !first {
				break
			}
			time.Sleep(againAfter)
		}
	}
}

// signal sends a process a signal that may end it.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now.cmd != nil && n.now.cmd.Process != nil {
		n.meant = n.meant || sig == syscall.SIGKILL || sig == syscall.SIGTERM
		n.now.cmd.Process.Signal(sig)
	}
}

// process is the one that was started last.
func (n *node) process() running {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

// setProgram has the machine's next process be of a program.
func (n *node) setProgram(path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program = path
}

// setHold has the machine's process not be started again for now, or no longer.
func (n *node) setHold(hold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hold = hold
}

// end stops a process in order, and outright if that takes too long.
func (n *node) end() {
	n.signal(syscall.SIGTERM)
	ended := n.process().ended
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(killWait):
		n.signal(syscall.SIGKILL)
		<-ended
	}
}

// Run plays the day and returns its report.
func (f *Fleet) Run(ctx context.Context) (*checker.Report, error) {
	for _, n := range f.nodes {
		if err := f.settings(n, true); err != nil {
			return nil, err
		}
	}
	ca := ""
	if f.spec.Keys {
		ca = filepath.Join(f.dir, "authority")
		if err := keys.InitAuthority(ca, time.Now()); err != nil {
			return nil, err
		}
	}
	for _, n := range f.nodes {
		if err := f.tuning(n, ca); err != nil {
			return nil, err
		}
	}
	if err := f.startServers(); err != nil {
		return nil, err
	}
	life, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, n := range f.nodes {
		tasks.Go(func() { f.keep(life, n) })
		tasks.Go(func() {
			for life.Err() == nil {
				f.platform.check(n.ready)
				time.Sleep(checkEvery)
			}
		})
	}
	defer func() {
		stop()
		var ends sync.WaitGroup
		for _, n := range f.nodes {
			ends.Go(n.end)
		}
		ends.Wait()
		tasks.Wait()
		for _, s := range f.platform.pick(f.perm, 1<<20) {
			s.stop()
		}
	}()
	fmt.Fprintf(f.log, "%d processes in %d zones, %d servers; logs below %s\n", len(f.nodes), len(f.spec.Zones), len(f.platform.servers), f.dir)
	if err := f.operator.first(ctx); err != nil {
		return nil, err
	}
	if err := f.settled(ctx); err != nil {
		return nil, err
	}
	for _, n := range f.nodes { // from here on no start is the first one
		if err := f.settings(n, false); err != nil {
			return nil, err
		}
	}
	f.begin()
	fmt.Fprintf(f.log, "all ready; traffic for %.0f s\n", f.spec.LengthS)
	traffic, endTraffic := context.WithCancel(life)
	defer endTraffic()
	var rollout error
	tasks.Go(func() {
		defer endTraffic()
		if backoff.Sleep(life, time.Duration(f.spec.LengthS*float64(time.Second))) && f.rollout != nil {
			rollout = f.rollout.run(ctx)
		}
	})
	for _, t := range f.spec.Faults {
		tasks.Go(func() { f.strike(life, t) })
	}
	tasks.Go(func() {
		for backoff.Sleep(traffic, 5*time.Second) {
			fmt.Fprintln(f.log, f.load.tally.Progress(f.ledger))
		}
	})
	f.load.run(traffic)
	if rollout != nil {
		return nil, rollout
	}
	f.operator.readBack(ctx)
	return f.report(), ctx.Err()
}

func (f *Fleet) settled(ctx context.Context) error {
	for end := time.Now().Add(readyWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		in := 0
		for _, n := range f.nodes {
			if f.platform.in(n.ready) {
				in++
			}
		}
		if in == len(f.nodes) {
			return nil
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("emulator: not all limiters were ready after %v; see their logs below %s", readyWait, f.dir))
}

// entry is the limiter that a client of a zone gets for a new connection.
func (f *Fleet) entry(zone, client int) *node {
	for k := range f.spec.Zones {
		z := f.spec.Zones[(zone+k)%len(f.spec.Zones)]
		var in []*node
		for _, n := range f.nodes {
			if n.zone == z && f.platform.in(n.ready) {
				in = append(in, n)
			}
		}
		if len(in) > 0 {
			return in[uint32(client)*2654435761>>16%uint32(len(in))]
		}
	}
	return nil
}

// begin has traffic start now.
func (f *Fleet) begin() { f.start.Store(int64(time.Since(epoch))) }

// since is a time as one since the start of traffic.
func (f *Fleet) since(t time.Time) time.Duration { return t.Sub(epoch) - time.Duration(f.start.Load()) }

func (f *Fleet) sinceStart() time.Duration { return f.since(time.Now()) }

func (f *Fleet) report() *checker.Report {
	r := f.load.tally.Report(f.ledger)
	f.platform.mu.Lock()
	r.Notes = append(r.Notes, fmt.Sprintf("%d calls to the platform; %d lives of servers", f.platform.calls, f.lives))
	f.platform.mu.Unlock()
	f.operator.mu.Lock()
	r.Notes = append(r.Notes, fmt.Sprintf("%d configurations acknowledged, %d missed", len(f.operator.acks), f.operator.missed))
	r.MissedChanges = f.operator.missed
	f.operator.mu.Unlock()
	f.noting.Lock()
	r.Notes = append(r.Notes, f.notes...)
	f.noting.Unlock()
	r.UnexpectedExits = int(f.exits.Load())
	return r
}

// note adds a line to the report.
func (f *Fleet) note(format string, args ...any) {
	f.noting.Lock()
	defer f.noting.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

func (f *Fleet) startServers() error {
	for i := range f.spec.Services {
		for k := range f.spec.Services[i].Servers {
			if _, err := f.startServer(&f.spec.Services[i], f.spec.Zones[k%len(f.spec.Zones)], "127.201.0.1:0"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startServer(v *scenario.Service, zone, addr string) (*server, error) {
	classes := map[string]*scenario.Class{}
	for i := range f.spec.Classes {
		if c := &f.spec.Classes[i]; c.Service == v.Name {
			classes["/"+c.Name+"/"] = c
		}
	}
	f.platform.mu.Lock()
	f.lives++
	life := f.lives
	f.platform.mu.Unlock()
	s, err := startServer(fmt.Sprintf("i-%s-%d", v.Name, life), addr, zone, v, classes, f.ledger, f.spec.Seed+uint64(life))
	if err == nil {
		f.platform.add(s)
	}
	return s, err
}

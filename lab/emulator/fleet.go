package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

const (
	readyTimeout  = 30 * time.Second
	readyPoll     = 50 * time.Millisecond
	progressEvery = 5 * time.Second
	hostName      = "emulator.example" // that clients ask for

	platformAddress = "127.200.0.1:0"
	serverAddress   = "127.201.0.1:0"
)

// epoch is what times on the steady clock are counted from.
var epoch = time.Now()

// Fleet is a fleet with its stand-ins. Fields without a mutex of their own beside them
// are set by [NewFleet] and guard themselves.
type Fleet struct {
	spec *scenario.Day
	args []string // of the gateway
	dir  string
	out  io.Writer // for progress

	log      *checker.Log
	start    atomic.Int64 // of traffic, in ns since epoch
	platform *platform
	nodes    []*node
	operator *operator
	load     *load
	faults   []scheduledFault
	ports    ports
	rollout  *rollout     // nil: the machines keep the build that they began with
	exits    atomic.Int64 // of processes, by themselves
	// pipeliners is how many clients have kept many requests unanswered so far.
	pipeliners atomic.Int64
	servers    atomic.Int64 // that were started

	rngMu sync.Mutex
	rng   *rand.Rand

	notesMu sync.Mutex
	notes   []string // for the report
}

// NewFleet lays a fleet out in a folder. program is the gateway's command line; out gets
// a line on each step.
func NewFleet(spec *scenario.Day, program []string, dir string, out io.Writer) (*Fleet, error) {
	if spec.PerZone > maxPerZone {
		return nil, fmt.Errorf("emulator: machines_per_zone: %d: up to %d; more can be simulated",
			spec.PerZone, maxPerZone)
	}
	f := &Fleet{spec: spec, args: program[1:], dir: dir, out: out, rng: rand.New(rand.NewPCG(spec.Seed, 3))}
	for i := range spec.Faults {
		fault, err := newFault(spec, &spec.Faults[i])
		if err != nil {
			return nil, fmt.Errorf("emulator: troubles.%d.kind: %w", i, err)
		}
		f.faults = append(f.faults, fault)
	}
	f.startClock()
	f.log = checker.New(spec.RetryBudget, f.sinceStart)
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	f.ports = ports{
		front:    base + frontPort,
		ready:    base + readyPort,
		control:  base + controlPort,
		internal: base + internalPort,
		metrics:  base + metricsPort,
	}
	if err := f.layOut(program[0]); err != nil {
		return nil, err
	}
	if f.platform, err = startPlatform(platformAddress, f.log); err != nil {
		return nil, err
	}
	f.operator = newOperator(f)
	f.load = newLoad(f)
	return f, nil
}

// Run plays the day and returns its report. When it returns all processes have ended.
func (f *Fleet) Run(ctx context.Context) (*checker.Report, error) {
	if err := f.writeSettings(true); err != nil {
		return nil, err
	}
	if err := f.writeTuning(); err != nil {
		return nil, err
	}
	if err := f.startServers(); err != nil {
		return nil, err
	}
	// Machines and faults go on until the day is over, whatever becomes of ctx.
	running, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	f.startNodes(running, &tasks)
	defer func() {
		stop()
		f.stopAll()
		tasks.Wait()
	}()
	if err := f.waitReady(ctx); err != nil {
		return nil, err
	}
	// From here on no start is the first one.
	if err := f.writeSettings(false); err != nil {
		return nil, err
	}
	f.startClock()
	f.log.TrafficStarts()
	f.printf("all ready; traffic for %.0f s", f.spec.LengthS)
	for _, fault := range f.faults {
		tasks.Go(func() { f.strike(running, fault) })
	}
	var quotas quotaMetrics
	tasks.Go(func() { quotas.watch(running, f) })
	if err := f.serveTraffic(ctx, running, &tasks); err != nil {
		return nil, err
	}
	quotas.note(ctx, f)
	f.operator.readBack(ctx)
	return f.report(), ctx.Err()
}

// startNodes starts all machines, and the platform's checks of their readiness.
func (f *Fleet) startNodes(ctx context.Context, tasks *sync.WaitGroup) {
	for _, n := range f.nodes {
		tasks.Go(func() {
			err := n.supervise(ctx, f.args, func(state *os.ProcessState) {
				f.exits.Add(1)
				f.printf("emulator: %s ended by itself: %v", n.name, state)
				f.note("%s ended by itself at %.1f s: %v", n.name, f.sinceStart().Seconds(), state)
			})
			if err != nil {
				f.printf("%v", err)
			}
		})
		tasks.Go(func() {
			for ok := true; ok; ok = backoff.Sleep(ctx, checkEvery) {
				f.platform.check(n.ready)
			}
		})
	}
	f.printf("%d processes in %d zones, %d servers; logs below %s",
		len(f.nodes), len(f.spec.Zones), len(f.platform.servers), f.dir)
}

// stopAll ends all machines in order, and the servers.
func (f *Fleet) stopAll() {
	var ends sync.WaitGroup
	for _, n := range f.nodes {
		ends.Go(func() { n.terminate(killTimeout) })
	}
	ends.Wait()
	for _, s := range f.platform.all() {
		s.stop()
	}
}

// waitReady brings the first configuration and waits until all limiters are ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	if err := f.operator.first(ctx); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if f.allReady() {
			return nil
		}
		if !backoff.Sleep(ctx, readyPoll) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("emulator: not all limiters were ready after %v; see their logs below %s", readyTimeout, f.dir)
}

func (f *Fleet) allReady() bool {
	for _, n := range f.nodes {
		if !f.platform.inService(n.ready) {
			return false
		}
	}
	return true
}

// serveTraffic sends the day's requests for its length, and on through a roll-out.
func (f *Fleet) serveTraffic(ctx, running context.Context, tasks *sync.WaitGroup) error {
	traffic, endTraffic := context.WithCancel(running)
	defer endTraffic()
	var rolloutErr error
	tasks.Go(func() {
		defer endTraffic()
		if backoff.Sleep(running, seconds(f.spec.LengthS)) && f.rollout != nil {
			rolloutErr = f.rollout.run(ctx)
		}
	})
	tasks.Go(func() {
		for backoff.Sleep(traffic, progressEvery) {
			f.printf("%s", f.load.counter.Progress(f.log))
		}
	})
	f.load.run(traffic) // returns once traffic has ended, so rolloutErr is set
	return rolloutErr
}

// entry is the limiter that a client of a zone gets for a new connection, nil where none
// is in service: one of its zone, else of the next.
func (f *Fleet) entry(zone, client int) *node {
	for k := range f.spec.Zones {
		z := f.spec.Zones[(zone+k)%len(f.spec.Zones)]
		var in []*node
		for _, n := range f.nodes {
			if n.zone == z && f.platform.inService(n.ready) {
				in = append(in, n)
			}
		}
		if len(in) > 0 {
			return in[spread(client)%uint32(len(in))]
		}
	}
	return nil
}

// spread is a number by which clients are spread over limiters.
func spread(client int) uint32 { return uint32(client) * 2654435761 >> 16 }

// startClock has traffic start now.
func (f *Fleet) startClock() { f.start.Store(int64(time.Since(epoch))) }

// since is a time as one since the start of traffic.
func (f *Fleet) since(t time.Time) time.Duration { return t.Sub(epoch) - time.Duration(f.start.Load()) }

func (f *Fleet) sinceStart() time.Duration { return f.since(time.Now()) }

// printf writes a line on progress. Nothing depends on whether it can be written.
func (f *Fleet) printf(format string, args ...any) { _, _ = fmt.Fprintf(f.out, format+"\n", args...) }

// event writes a line on progress with the time.
func (f *Fleet) event(format string, args ...any) {
	f.printf("%5.1f s  %s", f.sinceStart().Seconds(), fmt.Sprintf(format, args...))
}

// note adds a line to the report.
func (f *Fleet) note(format string, args ...any) {
	f.notesMu.Lock()
	defer f.notesMu.Unlock()
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// report closes the day. Call it once traffic has ended.
func (f *Fleet) report() *checker.Report {
	acks, missed := f.operator.counts()
	f.note("%d calls to the platform; %d lives of servers", f.platform.callCount(), f.servers.Load())
	f.note("%d configurations acknowledged, %d missed", acks, missed)
	r := f.load.counter.Report(f.log)
	f.notesMu.Lock()
	defer f.notesMu.Unlock()
	r.Notes, r.MissedChanges, r.UnexpectedExits = f.notes, missed, int(f.exits.Load())
	return r
}

func (f *Fleet) startServers() error {
	for i := range f.spec.Services {
		for k := range f.spec.Services[i].Servers {
			if err := f.startServer(&f.spec.Services[i], f.spec.Zones[k%len(f.spec.Zones)], serverAddress); err != nil {
				return err
			}
		}
	}
	return nil
}

// startServer starts a server of a service and puts it on the platform's list.
func (f *Fleet) startServer(service *scenario.Service, zone, addr string) error {
	classes := map[string]*scenario.Class{}
	for i := range f.spec.Classes {
		if c := &f.spec.Classes[i]; c.Service == service.Name {
			classes["/"+c.Name+"/"] = c
			classes["/"+addedRoutePrefix+c.Name+"/"] = c
		}
	}
	incarnation := f.servers.Add(1)
	s := newServer(fmt.Sprintf("i-%s-%d", service.Name, incarnation), zone, service, classes, f.log,
		f.spec.Seed+uint64(incarnation))
	if err := s.start(addr); err != nil {
		return err
	}
	f.platform.add(s)
	return nil
}

// perm draws an order at random. Faults strike at the same time.
func (f *Fleet) perm(n int) []int {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return f.rng.Perm(n)
}

// someNodes draws machines at random.
func (f *Fleet) someNodes(count int) []*node {
	var some []*node
	for _, i := range f.perm(len(f.nodes)) {
		if len(some) < count {
			some = append(some, f.nodes[i])
		}
	}
	return some
}

// someServers draws servers of the platform's list at random.
func (f *Fleet) someServers(count int) []*server {
	all := f.platform.all()
	var some []*server
	for _, i := range f.perm(len(all)) {
		if len(some) < count {
			some = append(some, all[i])
		}
	}
	return some
}

// seconds is a number of seconds, as a day's file has them.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

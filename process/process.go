// Package process puts the planes together into one process of the system: the
// data plane where the role serves clients, the operator's interface where it
// serves control, a member of the core where the machine has a disk as well.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
	"example.org/elmspan/keys"
	"example.org/elmspan/membership"
	"example.org/elmspan/raft"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
)

const (
	lookEvery   = time.Second // at the settings file, for changes without a signal
	keysEvery   = 5           // looks between two at the keys
	stopLinger  = 100 * time.Millisecond
	headerTimes = 2 * time.Second
	voters      = 3 // wanted, for one loss; two more for each further one
	// leaveFor is how long after it was told to end a process may stay for a member of
	// the core to hand its vote on, of the 6 s that it has until it is killed.
	leaveFor = 4 * time.Second
)

// Options are what a process is started with.
type Options struct {
	SettingsPath string           // path of the node's file
	TuningPath   string           // path of the tuning file, for changes of it; may be empty
	Tuning       *settings.Tuning // what it said at the start
	Log          *slog.Logger
	// Level, where set, follows log.level when the tuning file is read again.
	Level *slog.LevelVar
}

// Process is one running process.
type Process struct {
	Options
	log   *slog.Logger
	ring  *keys.Keyring      // nil: the system's own processes speak in the clear
	meter *telemetry.Metrics // nil: none are kept
	seed  uint64             // of all that is drawn at random; each goroutine has a source of its own
	cfg   atomic.Pointer[settings.Node]
	look  chan struct{}

	conns   *api.ConnPool
	client  *controlplane.Client
	host    *host // of a member of the core; nil where the settings ask for none
	gateway *dataplane.Gateway
	members *membership.Service

	internal  *grpc.Server
	control   *http.Server
	guard     guarded
	listening []net.Listener
	metered   net.Listener // of the metrics
	peers     atomic.Int64 // limiters known
	newsAt    atomic.Int64 // when the core last answered, since start
	start     time.Time

	// Of who is there, as [membership.Service] tells; see [Process.peersChanged].
	edges map[string]bool   // limiters, by name
	cores map[string]string // addresses of machines of the core, by name

	// Of the goroutine that watches:
	whole      [2]bool // tables of which the whole is asked for
	coreFailed bool    // the core in this process could not answer

	localCall atomic.Bool // the core in this process is at work on a call
}

// New opens what the settings ask for.
func New(o Options) (*Process, error) {
	cfg, err := settings.Read(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	seed, log, tune := rand.Uint64(), o.Log, o.Tuning
	p := &Process{Options: o, log: log, seed: seed, look: make(chan struct{}, 1), start: time.Now(),
		edges: map[string]bool{}, cores: map[string]string{}}
	if tune.TLS.Dir != "" {
		if p.ring, err = keys.Open(tune.TLS.Dir); err != nil {
			return nil, fmt.Errorf("tls.dir: %w", err)
		}
		log.Info("keys", "dir", tune.TLS.Dir, "expires", p.ring.Expires())
	}
	p.conns = api.NewConnPool(p.ring)
	p.cfg.Store(cfg)
	p.client = &controlplane.Client{Conns: p.conns, Log: log, Name: cfg.Name}
	p.client.Status = p.status
	p.client.SetMembers("", cfg.SeedAddrs())
	if err := p.open(cfg, seed); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *Process) open(cfg *settings.Node, seed uint64) (err error) {
	if addr := p.Tuning.Metrics.Address; addr != "" {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("metrics.address: %w", err)
		}
		p.meter, p.metered = telemetry.New(), l
		p.gauges()
	}
	if cfg.CoreMember() {
		p.host = &host{dir: filepath.Join(cfg.DataDir, "log"), client: p.client, log: p.log,
			cfg: controlplane.CoreConfig{Addr: cfg.InternalAddr(), Seeds: cfg.SeedAddrs(),
				Voters: max(voters, 2*cfg.Tolerance.Machines+1), Conns: p.conns, Log: p.log, Seed: seed}}
		if err = p.host.begin(cfg.Bootstrap); err != nil {
			return err
		}
	}
	if cfg.Serves("edge") {
		if p.gateway, err = dataplane.New(cfg, dataplane.Options{Seed: seed, Log: p.log, Upstream: p.Tuning.Upstream, Link: p.Tuning.Link, Keys: p.ring, Metrics: p.meter,
			Stranger: func(addr string) { p.members.ExchangeWith(addr) }}); err != nil {
			return err
		}
	}
	self := api.Peer{Name: cfg.Name, Addr: cfg.InternalAddr(), Zone: cfg.Zone, StartID: seed, Edge: cfg.Serves("edge"), Core: p.host != nil && p.host.whyOut() == ""}
	if !cfg.Serves("edge") { // two processes of one machine have one node name
		self.Name += "/" + cfg.Role
	}
	p.members = membership.New(self, func() []string { return p.cfg.Load().SeedAddrs() }, p.conns, seed, p.log, p.peersChanged)
	p.internal = api.NewServer(p.ring)
	api.RegisterMembership(p.internal, p.members)
	if p.host != nil {
		api.RegisterControl(p.internal, p.host)
	}
	api.RegisterBootstrap(p.internal, p.host) // a seed without a member answers as well
	l, err := api.Listen(context.Background(), cfg.InternalAddr())
	if err != nil {
		return fmt.Errorf("internal_port_range: %w", err)
	}
	p.listening = append(p.listening, l)
	if cfg.Serves("control") {
		if l, err = net.Listen("tcp", cfg.Listeners.Control); err != nil {
			return fmt.Errorf("listeners.control_port: %w", err)
		}
		p.listening = append(p.listening, l)
		handler, err := p.guard.open(&p.Tuning.Control, p.client.Handler(), p.log)
		if err != nil {
			return err
		}
		p.control = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimes,
			IdleTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)}
	}
	return nil
}

func (p *Process) close() error {
	var errs []error
	for _, l := range p.listening {
		errs = append(errs, l.Close())
	}
	if p.metered != nil {
		errs = append(errs, p.metered.Close())
	}
	return errors.Join(append(errs, p.host.close())...)
}

// Reload has the settings file read again.
func (p *Process) Reload() {
	select {
	case p.look <- struct{}{}:
	default:
	}
}

// Run serves until the context ends, then leaves in order.
func (p *Process) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { p.internal.Serve(p.listening[0]) })
	if p.control != nil {
		tasks.Go(func() { p.control.Serve(p.guard.listener(p.listening[1])) })
	}
	if p.host != nil {
		tasks.Go(func() { p.host.run(work) })
	}
	tasks.Go(func() { p.members.Run(work) })
	tasks.Go(func() { p.watch(work) })
	tasks.Go(func() { p.discover(work) })
	tasks.Go(func() { p.reloads(work) })
	if p.meter != nil {
		tasks.Go(func() {
			if err := p.meter.Serve(work, p.metered); err != nil {
				p.log.Error("metrics are not shown any more", "err", err)
			}
		})
	}
	p.log.Info("started", "name", p.cfg.Load().Name, "core", p.host != nil && p.host.whyOut() == "", "internal", p.cfg.Load().InternalAddr())
	left := make(chan struct{})
	gone := context.AfterFunc(ctx, func() { // leadership and vote are handed on while the traffic is finished
		defer close(left)
		end := time.NewTimer(leaveFor)
		defer end.Stop()
		var done <-chan struct{}
		if core := p.host.core(); core != nil {
			done = core.Leave()
		}
		p.members.Leave(work)
		if done != nil {
			select {
			case <-done:
			case <-end.C:
				p.log.Warn("leaving with a vote that wasn't handed on in time")
			}
		}
	})
	defer gone()
	if p.gateway != nil {
		p.gateway.Run(ctx)
	} else {
		<-ctx.Done()
		time.Sleep(stopLinger)
	}
	<-left
	if p.control != nil {
		end, cancel := context.WithTimeout(work, stopLinger)
		p.control.Shutdown(end)
		cancel()
	}
	stop()
	p.internal.Stop()
	if p.control != nil {
		p.control.Close()
	}
	p.conns.Close()
	tasks.Wait()
	return p.host.close()
}

// peersChanged takes in the processes of which something has changed.
func (p *Process) peersChanged(changed []api.Peer) {
	core := false
	for _, q := range changed {
		if q.Edge && q.State != membership.Dead {
			p.edges[q.Name] = true
		} else {
			delete(p.edges, q.Name)
		}
		was, is := p.cores[q.Name], ""
		if q.Core && q.State == membership.Alive {
			is = q.Addr
		}
		if was == is {
			continue
		}
		if core = true; is == "" {
			delete(p.cores, q.Name)
		} else {
			p.cores[q.Name] = is
		}
	}
	p.peers.Store(int64(max(1, len(p.edges))))
	if core {
		var addrs []string
		for _, name := range slices.Sorted(maps.Keys(p.cores)) {
			addrs = append(addrs, p.cores[name])
		}
		p.client.SetFallbacks(addrs)
	}
	if p.gateway != nil {
		p.gateway.ChangePeers(changed)
	}
}

// gauges has the metrics show what is known of the core.
func (p *Process) gauges() {
	core := func(name string, of func(controlplane.CoreStatus) float64) {
		p.meter.Gauge(name, func() float64 {
			c := p.host.core()
			if c == nil {
				return 0
			}
			return of(c.Status())
		})
	}
	truth := map[bool]float64{true: 1}
	core("elmspan_core_leader", func(s controlplane.CoreStatus) float64 { return truth[s.Role == raft.Leader.String()] })
	core("elmspan_core_term", func(s controlplane.CoreStatus) float64 { return float64(s.Term) })
	core("elmspan_core_commit_index", func(s controlplane.CoreStatus) float64 { return float64(s.Commit) })
	core("elmspan_core_disk_fails", func(s controlplane.CoreStatus) float64 { return truth[s.DiskFails] })
	p.meter.Gauge("elmspan_core_news_age_seconds", func() float64 { return (time.Since(p.start) - time.Duration(p.newsAt.Load())).Seconds() })
}

// reloads reads the settings file again at a signal, or when it has changed.
func (p *Process) reloads(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	sum, ticks := p.sum(), 0
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-p.look:
			forced = true
		case <-t.C:
		}
		if ticks++; forced || ticks%keysEvery == 0 {
			p.renew()
		}
		now := p.sum()
		if now == sum && !forced {
			continue
		}
		cfg, err := settings.Read(p.SettingsPath)
		if err != nil {
			p.log.Warn("kept the settings: the new ones can't be used", "err", err)
			continue
		}
		sum = now
		p.cfg.Store(cfg)
		if p.gateway != nil {
			p.gateway.Settings(cfg)
		}
	}
}

// renew takes over new keys and what else may change while the process runs.
func (p *Process) renew() {
	if p.ring != nil {
		switch changed, err := p.ring.Reload(); {
		case err != nil:
			p.log.Warn("kept the keys: the new ones can't be used", "err", err)
		case changed:
			p.log.Info("keys read again", "expires", p.ring.Expires())
		}
	}
	p.guard.renew(p.log)
	if p.Level == nil || p.TuningPath == "" {
		return
	}
	tune, err := settings.ReadTuning(p.TuningPath)
	if err != nil {
		p.log.Warn("kept the tuning: the new one can't be used", "err", err)
		return
	}
	var level slog.Level
	if level.UnmarshalText([]byte(tune.Log.Level)) == nil && level != p.Level.Level() {
		p.Level.Set(level)
		p.log.Info("log level", "level", level)
	}
}

func (p *Process) sum() uint64 {
	data, err := os.ReadFile(p.SettingsPath)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// status is what the process shows of itself.
func (p *Process) status() any {
	var s struct {
		Name    string
		Limiter *dataplane.Status        `json:",omitempty"`
		Core    *controlplane.CoreStatus `json:",omitempty"`
		CoreOut string                   `json:",omitempty"` // why it takes no part in the core
		Peers   []string
	}
	s.Name = p.cfg.Load().Name
	if p.gateway != nil {
		v := p.gateway.Status()
		s.Limiter = &v
	}
	if c := p.host.core(); c != nil {
		v := c.Status()
		s.Core = &v
	}
	s.CoreOut = p.host.whyOut()
	for _, q := range p.members.Peers() {
		s.Peers = append(s.Peers, fmt.Sprintf("%s %s %s", q.Name, q.Addr, [...]string{"alive", "leaving", "dead"}[min(2, q.State)]))
	}
	return s
}

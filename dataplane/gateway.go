package dataplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/silverscale/api"
	"example.org/silverscale/dataplane/limiter"
	"example.org/silverscale/dataplane/quota"
	"example.org/silverscale/internal/connpool"
	"example.org/silverscale/keys"
	"example.org/silverscale/membership"
	"example.org/silverscale/settings"
	"example.org/silverscale/telemetry"
)

const (
	reservedFDs    = 300
	defaultFDs     = 1024
	revokeMargin   = 500 * time.Millisecond
	readyAfter     = 2500 * time.Millisecond // without a word of others: this limiter is alone
	listenersClose = 2600 * time.Millisecond // after SIGTERM: the platform has noticed by then
	graceSpare     = 700 * time.Millisecond
)

// Options are what a gateway is given besides its node's settings.
type Options struct {
	Seed     uint64
	Log      *slog.Logger
	Upstream settings.ServerTuning
	Keys     *keys.Ring         // nil: words between limiters are not sealed
	Metrics  *telemetry.Metrics // nil: none are kept
	// Stranger, where set, is told the address of a limiter that speaks to this one
	// and is not known here. It must not block.
	Stranger func(addr string)
}

// Gateway is the data plane of one process.
type Gateway struct {
	cfg   *settings.Node
	log   *slog.Logger
	meter *telemetry.Metrics
	ring  *keys.Ring

	stranger func(addr string)
	start    time.Time
	life     uint64
	self     uint64 // hash of the name
	pool     *connpool.Pool[string]
	lease    time.Duration // how long a grant holds; 0: none is needed
	open     time.Duration // how long connections are taken after SIGTERM

	view     atomic.Pointer[view]
	leaseTo  atomic.Int64 // time since start, in ns, until which keyed requests are served
	draining atomic.Bool
	inHand   atomic.Int64
	met      atomic.Bool // other limiters were heard of, or there are none

	mu      sync.Mutex // over the following
	rng     *rand.Rand
	limiter *limiter.Limiter
	addrs   map[uint64]netip.AddrPort // of other limiters
	conns   map[*clientConn]struct{}
	servers uint64 // version of the list

	udp     *net.UDPConn
	front   net.Listener
	ready   *http.Server
	readyOn net.Listener
	tasks   sync.WaitGroup
}

// New returns a gateway that listens. It is not ready before it has a
// configuration, servers and, where keys are strictly revoked, a lease.
func New(cfg *settings.Node, o Options) (*Gateway, error) {
	seed, log := o.Seed, o.Log
	g := &Gateway{cfg: cfg, log: log, meter: o.Metrics, ring: o.Keys, stranger: o.Stranger, start: time.Now(), life: rand.Uint64(), self: xxhash.Sum64String(cfg.Name),
		rng: rand.New(rand.NewPCG(seed, 0xfa7e)), addrs: map[uint64]netip.AddrPort{},
		conns: map[*clientConn]struct{}{}, open: listenersClose}
	fds := cfg.Limits.MaxFDs
	if fds == 0 {
		fds = defaultFDs
	}
	g.pool = connpool.New[string]((fds-reservedFDs)/2, o.Upstream.Connect(), o.Upstream.Idle())
	g.limiter = limiter.New(0, limiter.Config{Self: g.self, Life: g.life, Zone: cfg.Zone, Seed: seed,
		RetryRatio: cfg.Timing.RetryRatio, RetrySlack: cfg.Timing.RetrySlack})
	if cfg.Timing.StrictRevocation {
		g.lease = settings.Millis(cfg.Timing.RevokeMs) - revokeMargin
	}
	var err error
	if g.front, err = net.Listen("tcp", cfg.Listeners.Front); err != nil {
		return nil, fmt.Errorf("listeners.front_port: %w", err)
	}
	if g.readyOn, err = net.Listen("tcp", cfg.Listeners.Ready); err != nil {
		return nil, errors.Join(fmt.Errorf("listeners.ready_port: %w", err), g.front.Close())
	}
	at, err := netip.ParseAddrPort(cfg.InternalAddr())
	if err == nil {
		g.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("internal_port_range: %w", err), g.front.Close(), g.readyOn.Close())
	}
	g.ready = &http.Server{Handler: http.HandlerFunc(g.readiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	g.gauges()
	return g, nil
}

// gauges has the metrics show what is known at the time.
func (g *Gateway) gauges() {
	of := func(name string, f func() float64) { g.meter.Gauge(name, f) }
	of("elmspan_ready", func() float64 {
		if g.Ready() {
			return 1
		}
		return 0
	})
	of("elmspan_requests_in_flight", func() float64 { return float64(g.inHand.Load()) })
	of("elmspan_config_revision", func() float64 { return float64(g.Revision()) })
	of("elmspan_lease_left_seconds", func() float64 { return (time.Duration(g.leaseTo.Load()) - g.now()).Seconds() })
	locked := func(name string, f func() int) {
		of(name, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(f())
		})
	}
	locked("elmspan_client_connections", func() int { return len(g.conns) })
	locked("elmspan_peers", func() int { return g.limiter.Others() })
	locked("elmspan_peers_told", func() int { return g.limiter.Targets() })
	locked("elmspan_servers", func() int { return len(g.limiter.Members()) })
}

// now is the time since the start, on the steady clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Ready tells whether new connections are welcome.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.able() }

func (g *Gateway) able() bool {
	g.mu.Lock()
	listed := g.servers != 0
	g.mu.Unlock()
	return g.view.Load() != nil && listed && g.Leased() && (g.met.Load() || g.now() > readyAfter)
}

// Leased tells whether keyed requests may be served now.
func (g *Gateway) Leased() bool { return g.lease == 0 || int64(g.now()) < g.leaseTo.Load() }

func (g *Gateway) readiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends, then finishes what it has taken.
func (g *Gateway) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.Background())
	g.tasks.Go(func() { g.pool.Sweep(work) })
	g.tasks.Go(func() { g.gossip(work) })
	g.tasks.Go(func() { g.hear(work) })
	g.tasks.Go(func() { g.ready.Serve(g.readyOn) })
	g.tasks.Go(g.accept)
	<-ctx.Done()
	g.drain()
	stop()
	g.ready.Close()
	g.udp.Close()
	g.tasks.Wait()
}

// drain leaves in order: not ready at once, but taking what still comes until
// the platform has noticed; answers say that the connection closes.
func (g *Gateway) drain() {
	begun := time.Now()
	g.draining.Store(true)
	g.log.Info("draining", "in_hand", g.inHand.Load())
	time.Sleep(g.open)
	g.front.Close()
	end := begun.Add(time.Duration(g.cfg.Timing.GraceS*float64(time.Second)) - graceSpare)
	for time.Now().Before(end) {
		g.wakeIdle()
		g.mu.Lock()
		n := len(g.conns)
		g.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.mu.Lock()
	for c := range g.conns {
		c.nc.Close()
	}
	g.mu.Unlock()
	g.log.Info("drained", "after_ms", time.Since(begun).Milliseconds(), "in_hand", g.inHand.Load())
}

// wakeIdle ends connections that wait for a request.
func (g *Gateway) wakeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.wakeIfIdle()
	}
}

// SetConfig takes over a configuration. An older one than is there is ignored.
func (g *Gateway) SetConfig(c *api.Config) {
	if v := g.view.Load(); v != nil && v.revision >= c.Revision {
		return
	}
	v := newView(c)
	g.mu.Lock()
	g.limiter.Plans(inMs(g.now()), v.plans)
	g.mu.Unlock()
	g.view.Store(v)
	g.log.Info("configuration", "revision", c.Revision, "routes", len(c.Routes), "tenants", len(c.Tenants))
}

// Revision is the version in force, 0 if none.
func (g *Gateway) Revision() uint64 {
	if v := g.view.Load(); v != nil {
		return v.revision
	}
	return 0
}

// Grant extends the lease of a limiter that asked at a time since the start.
func (g *Gateway) Grant(asked time.Duration) {
	g.leaseTo.Store(max(g.leaseTo.Load(), int64(asked+g.lease)))
}

// Since returns the time since the start, for Grant.
func (g *Gateway) Since() time.Duration { return g.now() }

// Servers is the version of the list that is held; SetServers takes one over.
func (g *Gateway) Servers() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers
}

// SetServers takes over a list of servers. Version 0 is a list that this
// limiter asked the platform for itself.
func (g *Gateway) SetServers(version uint64, list []api.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version != 0 && version <= g.servers {
		return
	}
	g.servers = max(g.servers, version, 1)
	g.limiter.Servers(inMs(g.now()), list)
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		g.pool.Update(s.ID, s.Addr, 0, s.State != api.Draining)
	}
	g.pool.KeepOnly(listed)
	g.log.Debug("servers", "version", version, "n", len(list))
}

// SetPeers takes over which processes there are.
func (g *Gateway) SetPeers(all []api.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []quota.Member
	clear(g.addrs)
	for _, p := range all {
		if p.Name == g.cfg.Name || !p.Edge || p.State == membership.Dead {
			continue
		}
		addr, err := netip.ParseAddrPort(p.Addr)
		if err != nil {
			continue
		}
		id := xxhash.Sum64String(p.Name)
		g.addrs[id] = addr
		peers = append(peers, quota.Member{ID: id, Zone: p.Zone})
	}
	g.limiter.Peers(inMs(g.now()), peers)
	if len(all) > 1 {
		g.met.Store(true)
	}
}

// Settings takes over what a changed settings file may change while it runs.
func (g *Gateway) Settings(n *settings.Node) {
	g.log.Info("settings read again", "cloud", n.Cloud.Address, "seeds", len(n.Seeds))
}

// Status is what a limiter shows of itself.
type Status struct {
	Ready, Draining bool
	Revision        uint64
	LeaseLeftMs     int64 // below 0: it has run out
	InHand          int64
	Connections     int // of clients
	Peers           int // other limiters
	Servers         []ServerStatus
}

// ServerStatus is how a limiter sees a server.
type ServerStatus struct {
	ID, Service, Zone, State string
	Out                      int     // requests of this limiter's
	Load                     float64 // of all limiters', as told
}

// Status returns what this limiter knows.
func (g *Gateway) Status() Status {
	s := Status{Ready: g.Ready(), Draining: g.draining.Load(), Revision: g.Revision(), InHand: g.inHand.Load(),
		LeaseLeftMs: (time.Duration(g.leaseTo.Load()) - g.now()).Milliseconds()}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.Connections, s.Peers = len(g.conns), g.limiter.Others()
	for _, m := range g.limiter.Members() {
		s.Servers = append(s.Servers, ServerStatus{m.ID, m.Upstream, m.Zone, m.State, m.Out(), m.Load(inMs(g.now()))})
	}
	return s
}

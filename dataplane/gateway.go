package dataplane

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/internal/connpool"
	"example.org/elmspan/internal/datagram"
	"example.org/elmspan/keys"
	"example.org/elmspan/membership"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
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
	Upstream settings.UpstreamTuning
	Link     settings.LinkTuning
	Keys     *keys.Keyring      // nil: words between limiters are not sealed
	Metrics  *telemetry.Metrics // nil: none are kept
	// UnknownPeer, where set, is told the address of a limiter that speaks to this one
	// and is not known here. It must not block.
	UnknownPeer func(addr string)
}

// Gateway is the data plane of one process.
type Gateway struct {
	cfg   *settings.Node
	log   *slog.Logger
	meter *telemetry.Metrics
	ring  *keys.Keyring

	stranger func(addr string)
	start    time.Time
	link     *link.Pacer
	life     uint64
	self     uint64 // hash of the name
	pool     *connpool.Pool[string]
	rules    attempt.Rules
	lease    time.Duration // how long a grant holds; 0: none is needed
	open     time.Duration // how long connections are taken after SIGTERM
	linger   time.Duration // how long what a client still sends is read past
	writeFor time.Duration // how long a client may take to be sent an answer

	view     atomic.Pointer[view]
	leaseTo  atomic.Int64 // time since start, in ns, until which keyed requests are served
	draining atomic.Bool
	inHand   atomic.Int64
	met      atomic.Bool // other limiters were heard of, or there are none

	mu       sync.Mutex // over the following
	rng      *rand.Rand
	limiter  *limiter.Limiter
	others   map[uint64]other // limiters, by the hashes of their names
	regroups int              // how often the limiter was told who there is
	conns    map[*clientConn]struct{}
	servers  servers
	waiting  map[*limiter.Flight]chan struct{} // for places on the link
	berthing bool                              // a look at them is due

	udp     *datagram.Socket // of the goroutine that gossips, once it runs
	front   net.Listener
	ready   *http.Server
	readyOn net.Listener
	tasks   sync.WaitGroup
}

// New returns a gateway that listens. It is not ready before it has a
// configuration, servers and, where keys are strictly revoked, a lease.
func New(cfg *settings.Node, o Options) (*Gateway, error) {
	seed, log := o.Seed, o.Log
	g := &Gateway{cfg: cfg, log: log, meter: o.Metrics, ring: o.Keys, stranger: o.UnknownPeer, start: time.Now(), life: rand.Uint64(), self: xxhash.Sum64String(cfg.Name),
		rules: attempt.DefaultRules(),
		rng:   rand.New(rand.NewPCG(seed, 0xfa7e)), others: map[uint64]other{},
		conns: map[*clientConn]struct{}{}, waiting: map[*limiter.Flight]chan struct{}{}, open: listenersClose, linger: lingerFor, writeFor: writeFor}
	fds := cfg.Limits.MaxFDs
	if fds == 0 {
		fds = defaultFDs
	}
	g.pool = connpool.New[string]((fds-reservedFDs)/2, o.Upstream.Connect(), o.Upstream.Idle())
	g.link = link.New(cfg.Limits.LinkMbps, o.Link.Fill)
	g.pool.Control = g.link.Control
	g.limiter = limiter.New(0, limiter.Config{Self: g.self, Life: g.life, Zone: cfg.Zone, Seed: seed,
		RetryRatio: cfg.Timing.RetryRatio, RetrySlack: cfg.Timing.RetrySlack, LinkPerS: g.link.BulkBytesPerS(), Words: o.Link.GossipBudget(cfg.Limits.LinkMbps, cfg.Limits.CPUShare)})
	if cfg.Timing.StrictRevocation {
		g.lease = settings.Millis(cfg.Timing.RevokeMs) - revokeMargin
	}
	var err error
	// What is accepted has the listener's buffers.
	front := net.ListenConfig{Control: g.link.Control, KeepAlive: -1}
	if g.front, err = front.Listen(context.Background(), "tcp", cfg.Listeners.Front); err != nil {
		return nil, fmt.Errorf("listeners.front_port: %w", err)
	}
	if g.readyOn, err = net.Listen("tcp", cfg.Listeners.Ready); err != nil {
		return nil, errors.Join(fmt.Errorf("listeners.ready_port: %w", err), g.front.Close())
	}
	at, err := netip.ParseAddrPort(cfg.InternalAddr())
	if err == nil {
		g.udp, err = datagram.Listen(at)
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
	of("elmspan_quota_part", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.limiter.Part(inMs(g.now()))
	})
	of("elmspan_dark_zones", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.limiter.Dark(inMs(g.now()))))
	})
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
	locked("elmspan_regroups_total", func() int { return g.regroups })
	locked("elmspan_servers", func() int { return len(g.limiter.Members()) })
}

// now is the time since the start, on the steady clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Ready tells whether new connections are welcome.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.able() }

func (g *Gateway) able() bool {
	return g.view.Load() != nil && g.EndpointsVersion() != 0 && g.HasLease() && (g.met.Load() || g.now() > readyAfter)
}

// HasLease tells whether keyed requests may be served now.
func (g *Gateway) HasLease() bool { return g.lease == 0 || int64(g.now()) < g.leaseTo.Load() }

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
	g.tasks.Go(func() { g.ready.Serve(g.readyOn) })
	g.tasks.Go(g.accept)
	<-ctx.Done()
	g.drain()
	stop()
	g.ready.Close()
	g.tasks.Wait()
	g.udp.Close()
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

// other is another limiter, as words reach it.
type other struct {
	addr netip.AddrPort
	zone string
}

// ApplyPeers takes in the processes of which something has changed. One that only
// started again, at the same address or another, is the same limiter: the groups of
// limiters and whose servers are whose stay as they are.
func (g *Gateway) ApplyPeers(changed []api.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	regroup := false
	for _, p := range changed {
		if p.Name == g.cfg.Name {
			continue
		}
		g.met.Store(true)
		id := xxhash.Sum64String(p.Name)
		was, had := g.others[id]
		addr, err := netip.ParseAddrPort(p.Addr)
		if !p.Edge || p.State == membership.Dead || err != nil {
			delete(g.others, id)
			regroup = regroup || had
			continue
		}
		g.others[id] = other{addr, p.Zone}
		regroup = regroup || !had || was.zone != p.Zone
	}
	if !regroup {
		return
	}
	peers := make([]quota.Member, 0, len(g.others))
	for id, o := range g.others {
		peers = append(peers, quota.Member{ID: id, Zone: o.zone})
	}
	slices.SortFunc(peers, func(a, b quota.Member) int { return cmp.Compare(a.ID, b.ID) })
	g.limiter.Peers(inMs(g.now()), peers)
	g.regroups++
}

// SettingsReloaded takes over what a changed settings file may change while it runs.
func (g *Gateway) SettingsReloaded(n *settings.Node) {
	g.log.Info("settings read again", "cloud", n.Cloud.Address, "seeds", len(n.SeedPeers))
}

// Status is what a limiter shows of itself.
type Status struct {
	Ready, Draining bool
	Revision        uint64
	LeaseLeftMs     int64 // below 0: it has run out
	InHand          int64
	Connections     int      // of clients
	QuotaPart       float64  // of each quota that this limiter may use: 1 where it hears all others, and they each other
	DarkZones       []string `json:",omitempty"` // whose servers are passed over
	Peers           int      // other limiters
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
	s.Connections, s.Peers, s.QuotaPart = len(g.conns), g.limiter.Others(), g.limiter.Part(inMs(g.now()))
	s.DarkZones = g.limiter.Dark(inMs(g.now()))
	for _, m := range g.limiter.Members() {
		s.Servers = append(s.Servers, ServerStatus{m.ID, m.Upstream, m.Zone, m.State, m.Out(), m.Load(inMs(g.now()))})
	}
	return s
}

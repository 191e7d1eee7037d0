package dataplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/internal/connpool"
	"example.org/elmspan/internal/datagram"
	"example.org/elmspan/keys"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
	"example.org/elmspan/versioned"
)

const (
	// reservedFDs is the number of file descriptors reserved for everything but connections to clients and to servers.
	// Connections to servers may use half of the rest; the other half is left to connections to clients.
	reservedFDs = 300
	defaultFDs  = 1024 // assumed limit if the settings state none

	// rngStream makes the gateway's random numbers independent of other generators with the same seed.
	rngStream = 0xfa7e
)

// Options are the parameters of a gateway besides the settings of its node.
type Options struct {
	Seed     uint64 // of the random numbers for jitter and the choice of servers
	Log      *slog.Logger
	Upstream settings.UpstreamTuning
	Link     settings.LinkTuning
	Keys     *keys.Keyring      // nil: gossip messages are not encrypted
	Metrics  *telemetry.Metrics // nil: no metrics are collected
	// UnknownPeer, if not nil, is called with the address of a gateway that sent a gossip message but is not a known
	// peer. It must not block.
	UnknownPeer func(addr string)
}

// Gateway is the data plane of one process. Its methods are safe for concurrent use, except that ApplyConfig may be
// called by one goroutine at a time only.
type Gateway struct {
	node    *settings.Node // immutable
	log     *slog.Logger
	metrics *telemetry.Metrics // nil: no metrics are collected
	clock   clock

	guarded   *guardedLimiter
	router    router
	lease     lease
	peers     peerTable
	endpoints endpointList
	readiness readiness
	listener  clientListener
	forwarder forwarder
	gossip    gossipHost

	tasks sync.WaitGroup // the goroutines that Run starts and those of client connections
}

// New returns a gateway with open listeners. It becomes ready once it has a configuration, servers, its peers (or finds
// none within noPeersGrace) and, under strict key revocation, a lease.
func New(cfg *settings.Node, o Options) (*Gateway, error) {
	g := &Gateway{node: cfg, log: o.Log, metrics: o.Metrics, clock: clock{time.Now()}}
	incarnation := rand.Uint64()
	self := xxhash.Sum64String(cfg.Name)
	pacer := link.New(cfg.Limits.LinkMbps, o.Link.Fill)
	g.guarded = &guardedLimiter{
		clock:   g.clock,
		rng:     rand.New(rand.NewPCG(o.Seed, rngStream)),
		limiter: limiter.New(0, limiterConfig(cfg, o, self, incarnation, pacer)),
	}
	pool := newPool(cfg, o.Upstream, pacer)
	g.router = router{log: o.Log, guarded: g.guarded}
	g.lease = lease{clock: g.clock}
	if cfg.Timing.StrictRevocation {
		g.lease.duration = leaseDuration(settings.Millis(cfg.Timing.RevokeMs))
	}
	g.peers = peerTable{self: cfg.Name, guarded: g.guarded, byID: map[uint64]peer{}}
	g.endpoints = endpointList{log: o.Log, guarded: g.guarded, pool: pool}
	g.readiness = readiness{
		clock: g.clock, router: &g.router, endpoints: &g.endpoints, lease: &g.lease, peers: &g.peers,
	}
	g.forwarder = forwarder{
		log: o.Log, metrics: o.Metrics, clock: g.clock, guarded: g.guarded, router: &g.router, pool: pool,
		link: pacer, gossip: &g.gossip, rules: attempt.DefaultRules(),
		shutdown: newShutdown(), waiting: map[*limiter.RequestState]chan *response{},
	}
	g.listener = clientListener{
		log: o.Log, metrics: o.Metrics, link: pacer, router: &g.router, lease: &g.lease, readiness: &g.readiness,
		forwarder: &g.forwarder, tasks: &g.tasks, conns: map[*clientConn]struct{}{},
		acceptFor: acceptAfterTerm, linger: defaultLinger, writeTimeout: defaultWriteTimeout,
	}
	g.gossip = gossipHost{
		log: o.Log, metrics: o.Metrics, guarded: g.guarded, peers: &g.peers, pool: pool, link: pacer,
		keyring: o.Keys, self: self, incarnation: incarnation, unknownPeer: o.UnknownPeer,
	}
	if err := g.listen(cfg); err != nil {
		return nil, err
	}
	g.registerGauges()
	return g, nil
}

// gossipCapacity returns the capacity of the machine and the fraction of it that gossip may use.
func gossipCapacity(cfg *settings.Node, o Options) gossip.Capacity {
	return gossip.Capacity{
		LinkMbps:     cfg.Limits.LinkMbps,
		LinkFraction: o.Link.Gossip,
		CPUCores:     cfg.Limits.CPUShare,
		CPUFraction:  o.Link.GossipCPU,
	}
}

// limiterConfig returns the configuration of the limiter's state machine.
func limiterConfig(cfg *settings.Node, o Options, self, incarnation uint64, pacer *link.Pacer) limiter.Config {
	return limiter.Config{
		Self: self, Incarnation: incarnation, Zone: cfg.Zone, Seed: o.Seed,
		RetryRatio: cfg.Timing.RetryRatio, RetrySlack: cfg.Timing.RetrySlack,
		QuotaWindowS:       cfg.Timing.QuotaWindowS,
		QuotaSlack:         cfg.Timing.QuotaSlack,
		LinkBytesPerSecond: pacer.BulkBytesPerS(),
		GossipBudget:       gossipCapacity(cfg, o).Budget(),
	}
}

// newPool returns the pool of connections to servers. It may use half of the file descriptors that are not reserved.
func newPool(cfg *settings.Node, tuning settings.UpstreamTuning, l *link.Pacer) *connpool.Pool[string] {
	fds := cfg.Limits.MaxFDs
	if fds == 0 {
		fds = defaultFDs
	}
	pool := connpool.New[string]((fds-reservedFDs)/2, tuning.Connect(), tuning.Idle())
	pool.Control = l.Control
	return pool
}

// listen opens the three sockets: clients, readiness probe, gossip. If one fails, it closes the others.
func (g *Gateway) listen(cfg *settings.Node) error {
	if err := g.listener.listen(cfg.Listeners.Front); err != nil {
		return err
	}
	if err := g.readiness.listen(cfg.Listeners.Ready, g.log); err != nil {
		return errors.Join(err, g.listener.tcp.Close())
	}
	addr, err := netip.ParseAddrPort(cfg.InternalAddr())
	if err == nil {
		g.gossip.socket, err = datagram.Listen(addr)
	}
	if err != nil {
		err = fmt.Errorf("internal_port_range: %w", err)
		return errors.Join(err, g.listener.tcp.Close(), g.readiness.listener.Close())
	}
	return nil
}

// Run serves until the context ends, then drains: it finishes the requests in flight and returns.
func (g *Gateway) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.Background())
	g.tasks.Go(func() { g.forwarder.pool.Sweep(background) })
	g.tasks.Go(func() { g.gossip.run(background) })
	g.tasks.Go(g.readiness.serve)
	g.tasks.Go(g.listener.accept)
	<-ctx.Done()
	g.listener.drain(time.Duration(g.node.Timing.GraceS * float64(time.Second)))
	stop()
	g.readiness.close()
	g.tasks.Wait()
	_ = g.gossip.socket.Close() // all goroutines that use it have ended
}

// Close closes the sockets of a gateway that was never run.
func (g *Gateway) Close() error {
	return errors.Join(g.listener.tcp.Close(), g.readiness.listener.Close(), g.gossip.socket.Close())
}

// Ready reports whether the gateway should receive new connections.
func (g *Gateway) Ready() bool { return g.readiness.ready() }

// HasLease reports whether the lease on the configuration is valid, so that requests may be served.
func (g *Gateway) HasLease() bool { return g.lease.valid() }

// ExtendLease extends the lease. requestedAt is when the extension was requested, as time since the start; see Uptime.
func (g *Gateway) ExtendLease(requestedAt time.Duration) { g.lease.extend(requestedAt) }

// Uptime returns the time since the start, for ExtendLease.
func (g *Gateway) Uptime() time.Duration { return g.clock.now() }

// ApplyConfig applies a delta to the configuration. If the delta does not fit the current revision, it changes nothing
// and returns an error.
func (g *Gateway) ApplyConfig(delta *versioned.DeltaReader) error { return g.router.apply(delta) }

// Revision returns the revision of the current configuration, 0 if there is none.
func (g *Gateway) Revision() uint64 { return g.router.revision() }

// ApplyEndpoints applies a delta to the server list. clockMs is the present time on the clock to which the times in the
// list refer. Servers that this gateway has seen draining or removed stay so.
func (g *Gateway) ApplyEndpoints(delta *versioned.DeltaReader, clockMs float64) error {
	return g.endpoints.apply(delta, clockMs)
}

// EndpointsVersion returns the version of the current server list, 0 if there is none.
func (g *Gateway) EndpointsVersion() uint64 { return g.endpoints.currentVersion() }

// MergeDiscovered merges a server list that this gateway queried from the platform itself because the control plane is
// unreachable.
func (g *Gateway) MergeDiscovered(answer []api.Server) { g.endpoints.mergeDiscovered(answer) }

// ApplyPeers updates the table of peers from processes whose records have changed.
func (g *Gateway) ApplyPeers(changed []api.Peer) { g.peers.apply(changed) }

// SettingsReloaded logs that the settings file was reloaded.
func (g *Gateway) SettingsReloaded(n *settings.Node) {
	g.log.Info("settings reloaded", "cloud", n.Cloud.Address, "seeds", len(n.SeedPeers))
}

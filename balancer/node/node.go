package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/elmspan/balancer"
	"example.org/elmspan/internal/connpool"
)

const (
	// acceptAfterStop is how long new connections are accepted after SIGTERM: clients open new
	// ones for up to 0.4 s.
	acceptAfterStop = 500 * time.Millisecond
	// After SIGTERM, requests in flight may run for the longest deadline of all classes, but at
	// most for maxDrainWait, which the platform's grace period covers. Those that are still in
	// flight drainSlack later are ended, so that their clients get a response before SIGKILL.
	maxDrainWait = 3 * time.Second
	drainSlack   = 450 * time.Millisecond
)

// Node runs one limiter on network sockets. It is the only caller of its [balancer.Limiter].
// Create one with [New].
type Node struct {
	cfg          *Config
	log          *slog.Logger
	inputLog     *rateLimitedLog // warnings about clients, servers, peers and entries of server lists
	discoveryLog *rateLimitedLog // failed calls to discovery
	pool         *pool
	clients      *clientConns
	peers        *peerLink // nil if peer messages are disabled
	listener     net.Listener
	httpServer   *http.Server
	start        time.Time
	startMs      float64 // start in Unix milliseconds

	reloadRequests   chan struct{} // requests to reload the configuration
	discoveryAddress chan string   // new addresses of the discovery service

	stopping atomic.Bool // set at SIGTERM: responses carry Connection: close

	// mu is held while the limiter handles an event and its actions are performed. It guards the
	// fields below and those of requests and attempts that are marked so.
	mu            sync.Mutex
	limiter       *balancer.Limiter
	queue         []balancer.Event // waiting for handleQueue
	requests      map[string]*request
	hasServers    bool      // a list with at least one server was applied
	drainDeadline time.Time // zero until SIGTERM; all requests in flight end by then
	closed        bool      // set when Run ends: events are ignored
}

// New returns a Node that listens for clients but does not serve them yet.
func New(cfg *Config, logger *slog.Logger) (*Node, error) {
	limiter, err := balancer.New(cfg.Settings.Limiter, cfg.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, log: logger, limiter: limiter, requests: map[string]*request{},
		inputLog: &rateLimitedLog{logger: logger}, discoveryLog: &rateLimitedLog{logger: logger},
		start: now, startMs: float64(now.UnixMicro()) / 1000,
		reloadRequests: make(chan struct{}, 1), discoveryAddress: make(chan string),
	}
	upstream, clients := socketBudget(cfg.Limits.Sockets)
	n.pool = connpool.New[uint64](upstream, cfg.Settings.ConnectTimeout, cfg.Settings.IdleTimeout*9/10)
	n.clients = newClientConns(clients)
	listen := net.ListenConfig{Control: limitReceiveBuffer}
	if n.listener, err = listen.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	if cfg.Settings.Limiter.Caps.Peers {
		if n.peers, err = newPeerLink(cfg); err != nil {
			_ = n.listener.Close() // no connection has been accepted yet
			return nil, err
		}
	}
	n.httpServer = n.newServer(log.New(n.inputLog, "", 0))
	return n, nil
}

// Addr returns the address that clients connect to.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Run serves requests until the context is canceled, then drains those in flight.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	n.applyList(balancer.Persisted, n.cfg.KnownServers)
	tasks.Go(func() { n.followDiscovery(background) })
	tasks.Go(func() { n.handleReloads(background) })
	tasks.Go(func() { n.pool.Sweep(background) })
	if n.peers != nil {
		tasks.Go(n.sendToPeers)
		tasks.Go(n.receiveFromPeers)
	}
	served := make(chan error, 1)
	go func() { served <- n.httpServer.Serve(n.listener) }()
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		err = n.drain()
	}
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if n.peers != nil {
		_ = n.peers.conn.Close() // ends receiveFromPeers
		close(n.peers.queue)     // nothing is queued any more, as closed is set
	}
	_ = n.httpServer.Close() // if connections are still open, drain has logged it
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// drain stops serving without losing a request. http.Server.Shutdown alone would close the
// listener at once, which resets connections that clients are opening.
func (n *Node) drain() error {
	begun := time.Now()
	deadline := begun.Add(min(n.cfg.Settings.LongestDeadline, maxDrainWait) + drainSlack)
	n.mu.Lock()
	n.drainDeadline = deadline
	n.mu.Unlock()
	n.stopping.Store(true)
	n.log.Info("stopping")
	time.Sleep(acceptAfterStop) // meanwhile, responses carry Connection: close
	expire := time.AfterFunc(time.Until(deadline), n.expireRequests)
	defer expire.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(100*time.Millisecond))
	defer cancel()
	n.clients.closeUnused()
	if err := n.httpServer.Shutdown(ctx); err != nil {
		n.log.Warn("stopped with connections open", "error", err)
	}
	n.log.Info("stopped", "after", time.Since(begun).Round(time.Millisecond).String())
	return nil
}

func msSince(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }

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
	// acceptAfterStop is how long after SIGTERM connections are still accepted: clients make
	// new ones for up to 0.4 s.
	acceptAfterStop = 500 * time.Millisecond
	// The platform waits for no deadline longer than maxDrainWait. What is in flight
	// stopSlack after it is ended, so that it has a response before SIGKILL.
	maxDrainWait = 3 * time.Second
	stopSlack    = 450 * time.Millisecond
)

// Node is one limiter on sockets. It is the only caller of the module. Make one with [New].
type Node struct {
	cfg          *Config
	log          *slog.Logger
	inputLog     *rateLimitedLog
	discoveryLog *rateLimitedLog
	pool         *pool
	clients      *clientConns
	peers        *peerLink // nil where limiters send each other no messages
	listener     net.Listener
	httpServer   *http.Server
	start        time.Time
	startMs      float64 // start in Unix milliseconds

	reloadRequests   chan struct{} // the configuration is to be read again
	discoveryAddress chan string   // a new address of discovery

	stopping atomic.Bool // answers say Connection: close

	// mu is held during each call of the module and its actions. It guards the fields below
	// and those of requests and attempts that say so.
	mu         sync.Mutex
	limiter    *balancer.Limiter
	queue      []balancer.Event
	requests   map[string]*request
	hasServers bool      // some server is known
	stopBy     time.Time // zero until SIGTERM; what is in hand ends by then
	closed     bool
}

// New returns a Node that listens but does not serve yet.
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
	listen := net.ListenConfig{Control: boundBuffer}
	if n.listener, err = listen.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listening to clients: %w", err)
	}
	if cfg.Settings.Limiter.Caps.Peers {
		if n.peers, err = newPeerLink(cfg); err != nil {
			_ = n.listener.Close() // nothing was served yet
			return nil, err
		}
	}
	n.httpServer = n.newServer(log.New(n.inputLog, "", 0))
	return n, nil
}

// Addr is the address that clients connect to.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Run serves until the context ends, then finishes the requests in flight.
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
		tasks.Go(n.receivePeers)
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
		_ = n.peers.conn.Close() // ends receivePeers
		close(n.peers.queue)     // nothing is sent any more: closed is set
	}
	_ = n.httpServer.Close() // what is still open was logged by drain
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// drain ends the service without losing a request. http.Server.Shutdown alone
// would close the listener at once and reset what is on its way to it.
func (n *Node) drain() error {
	begun := time.Now()
	stopBy := begun.Add(min(n.cfg.Settings.LongestDeadline, maxDrainWait) + stopSlack)
	n.mu.Lock()
	n.stopBy = stopBy
	n.mu.Unlock()
	n.stopping.Store(true)
	n.log.Info("stopping")
	time.Sleep(acceptAfterStop) // answers say Connection: close by now
	expire := time.AfterFunc(time.Until(stopBy), n.expire)
	defer expire.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), stopBy.Add(100*time.Millisecond))
	defer cancel()
	n.clients.closeUnused()
	if err := n.httpServer.Shutdown(ctx); err != nil {
		n.log.Warn("stopped with connections open", "error", err)
	}
	n.log.Info("stopped", "after", time.Since(begun).Round(time.Millisecond).String())
	return nil
}

func msSince(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }

package node

import (
	"cmp"
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

// request is a client's request from its arrival to its final response. The client's
// goroutine carries out its attempts, one at a time.
type request struct {
	call
	id     string
	stopAt time.Time // attempts end by then, so that the response comes in time

	// Under the node's mutex:
	attempts   int
	current    *attempt // the attempt that is out or about to go out
	final      *response
	lastResult balancer.Result
	wakeup     chan struct{} // wakes the client's goroutine; nil until it waits
}

// call is the part of a request that is forwarded to a server unchanged.
type call struct {
	method, target, host                   string
	requestID, idempotencyKey, contentType string // headers
	body                                   []byte
}

// attempt is one StartAttempt of the module.
type attempt struct {
	req    *request
	number int
	host   *host
	stopAt time.Time
	sentAt time.Time

	// Under the node's mutex:
	claimed bool // the client's goroutine carries it out
	ended   bool // the module has its Outcome
	conn    *conn
	cancel  context.CancelFunc // ends a connect
}

// response is the final response to a client.
type response struct {
	status       int
	body         []byte
	contentType  string // content type
	retryAfterMs float64
}

// noResponse stands for the response of a request whose client is gone.
var noResponse = &response{}

// New returns a Node that listens but does not serve yet.
func New(cfg *Config, logger *slog.Logger) (*Node, error) {
	limiter, err := balancer.New(cfg.Settings.Module, cfg.Seed)
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
	n.pool = connpool.New[uint64](upstream, cfg.Settings.ConnTimeout, cfg.Settings.ConnIdle*9/10)
	n.clients = newClientConns(clients)
	listen := net.ListenConfig{Control: boundBuffer}
	if n.listener, err = listen.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listening to clients: %w", err)
	}
	if cfg.Settings.Module.Caps.Peers {
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

// now is the module's clock: Unix milliseconds at the start, from there on the
// monotonic clock, so that a server's born_ms is on the same clock.
func (n *Node) now() float64 { return n.startMs + float64(time.Since(n.start).Microseconds())/1000 }

// dispatch passes the module an event and carries out its actions.
func (n *Node) dispatch(ev balancer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleEvent(ev)
}

// handleEvent is dispatch with the mutex held. Events that actions cause are queued: Handle is
// not called again while its actions are carried out, as they are valid until its next call.
func (n *Node) handleEvent(ev balancer.Event) {
	if n.closed {
		return
	}
	n.queue = append(n.queue, ev)
	n.handleQueue()
}

// handleQueue passes the module the queued events.
func (n *Node) handleQueue() {
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.limiter.Handle(n.now(), n.queue[i]) {
			n.perform(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

// perform carries out one action. It never blocks.
func (n *Node) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		n.startAttempt(a)
	case balancer.Reject:
		// Without a time to retry after, a client would retry at once.
		n.setFinal(a.ID, &response{status: http.StatusTooManyRequests,
			retryAfterMs: cmp.Or(a.RetryAfterMs, capacityRetryAfterMs)})
	case balancer.Fail:
		n.setFinal(a.ID, &response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && r.current != nil && r.current.number == a.Attempt {
			n.cancelAttempt(r.current)
		}
	case balancer.SetTimer:
		wait := millis(a.At - n.now())
		time.AfterFunc(max(0, wait), func() { n.dispatch(balancer.TimerFired{Name: a.Name}) })
	case balancer.ProbeServer:
		go n.probe(a.Server)
	case balancer.SendPeer:
		if n.peers != nil {
			n.peers.send(a.To, a.Data)
		}
	case balancer.Log:
		n.log.Info(a.Line)
	case balancer.WatchEndpoints, balancer.FetchEndpoints:
		// The watch of discovery runs all the time and brings what these request.
	}
}

// startAttempt starts an attempt, or queues the outcome of one that can't start.
func (n *Node) startAttempt(a balancer.StartAttempt) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	at := &attempt{req: r, number: r.attempts, sentAt: time.Now(), stopAt: r.stopAt}
	r.attempts++
	if a.TimeoutMs != 0 {
		if stop := at.sentAt.Add(millis(a.TimeoutMs)); stop.Before(at.stopAt) {
			at.stopAt = stop
		}
	}
	at.host = n.pool.Host(a.Server)
	maxAttempts := n.cfg.Settings.Module.Caps.MaxAttempts
	switch {
	case r.final != nil, !at.sentAt.Before(r.stopAt), maxAttempts > 0 && at.number >= maxAttempts:
		n.queueOutcome(at, a.Server, balancer.NotSent)
	case at.host == nil, r.current != nil && !r.current.ended: // servers that the list has, one at a time
		n.queueOutcome(at, a.Server, balancer.ConnectFailed)
	default:
		// An attempt that was canceled may still occupy the client's goroutine, which closes
		// its connection before it takes this one. So what the module forwards right after a
		// Canceled outcome is not rejected.
		r.current = at
		r.wake()
	}
}

// queueOutcome queues the Outcome of an attempt that was not ended by a response.
func (n *Node) queueOutcome(at *attempt, server uint64, result balancer.Result) {
	at.ended = true
	at.req.lastResult = result
	n.queue = append(n.queue, balancer.Outcome{ID: at.req.id, Attempt: at.number, Server: server, Result: result,
		LatencyMs: msSince(at.sentAt), Final: at.req.final != nil, Load: noLoad})
}

// cancelAttempt stops waiting for an attempt. Its connection is closed before the client's
// goroutine can begin another one.
func (n *Node) cancelAttempt(at *attempt) {
	if at.ended {
		return
	}
	n.queueOutcome(at, at.host.ID, balancer.Canceled)
	if at.conn != nil {
		at.conn.Close()
	}
	if at.cancel != nil {
		at.cancel()
	}
}

// setFinal sets the final response of a request. The first one stays.
func (n *Node) setFinal(id string, a *response) {
	r := n.requests[id]
	if r == nil || r.final != nil {
		return
	}
	if a.status == http.StatusBadGateway && r.lastResult == balancer.TimedOut {
		a.status = http.StatusGatewayTimeout
	}
	r.final = a
	if r.current != nil {
		n.cancelAttempt(r.current)
	}
	r.wake()
}

// submit passes a request to the module. It returns false for an id that is in flight already:
// the module would ignore the second one.
func (n *Node) submit(r *request, ev balancer.Submit) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil {
		return false
	}
	n.requests[r.id] = r
	if !n.stopBy.IsZero() && n.stopBy.Before(r.stopAt) {
		r.stopAt = n.stopBy
	}
	ev.TimeoutMs = float64(time.Until(r.stopAt)) / float64(time.Millisecond)
	n.handleEvent(ev)
	return true
}

// awaitNext waits for the next attempt of a request, or its final response.
func (n *Node) awaitNext(r *request) (*attempt, *response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if at := r.current; at != nil && !at.claimed && !at.ended {
			at.claimed = true
			return at, nil
		}
		if r.final != nil {
			return nil, r.final
		}
		left := time.Until(r.stopAt)
		if left <= 0 { // the module has not ended it: the client gets a response all the same
			n.setFinal(r.id, &response{status: http.StatusGatewayTimeout})
			n.handleEvent(balancer.ClientDisconnected{ID: r.id})
			continue
		}
		if r.wakeup == nil {
			r.wakeup = make(chan struct{}, 1)
		}
		n.mu.Unlock()
		t := time.NewTimer(left)
		select {
		case <-r.wakeup:
		case <-t.C:
		}
		t.Stop()
		n.mu.Lock()
	}
}

// wake wakes the client's goroutine.
func (r *request) wake() {
	if r.wakeup != nil {
		select {
		case r.wakeup <- struct{}{}:
		default:
		}
	}
}

// finishAttempt reports how an attempt ended. The module has the outcome already of one that
// was canceled meanwhile.
func (n *Node) finishAttempt(at *attempt, rep attemptResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := at.req
	if r.current == at {
		r.current = nil
	}
	if at.ended {
		return
	}
	at.ended = true
	r.lastResult = rep.result
	if rep.result == balancer.Success && r.final == nil {
		r.final = &response{status: http.StatusOK, body: rep.body, contentType: rep.contentType}
	}
	n.handleEvent(balancer.Outcome{ID: r.id, Attempt: at.number, Server: at.host.ID, Result: rep.result,
		LatencyMs: msSince(at.sentAt), Final: r.final != nil, Load: rep.load})
}

// abandon ends a request whose client is gone.
func (n *Node) abandon(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.final != nil {
		return
	}
	n.setFinal(r.id, noResponse)
	n.handleEvent(balancer.ClientDisconnected{ID: r.id})
}

// removeRequest drops a request that has its final response.
func (n *Node) removeRequest(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, r.id)
}

// expire ends the attempts that are still in flight when the node must stop.
func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		r.stopAt = n.stopBy
		if r.current != nil && r.current.conn != nil {
			_ = r.current.conn.SetDeadline(n.stopBy) // a closed connection has ended already
		}
		if r.current != nil && r.current.cancel != nil {
			r.current.cancel()
		}
	}
}

func msSince(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }

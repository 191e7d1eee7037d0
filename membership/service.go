package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	// heartbeatInterval is the mean time between heartbeats. Each delay has a jitter of ±10%,
	// so that processes started at the same time do not stay synchronized.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the timeout of one heartbeat call.
	heartbeatTimeout = 450 * time.Millisecond
	// joinInterval is the time between heartbeats of a process that knows no peers yet.
	joinInterval = heartbeatInterval / 5
	// maxJoinSeeds is the maximum number of seeds to which such a process sends each heartbeat.
	maxJoinSeeds = 3
	// minExchangeInterval is the minimum time between exchanges started by ExchangeWith.
	minExchangeInterval = 100 * time.Millisecond
)

// Service runs a [View]: it sends and answers heartbeats. It implements [api.Membership] and is
// safe for concurrent use.
type Service struct {
	conns    *api.ConnPool
	log      *slog.Logger
	start    time.Time
	seeds    func() []string // internal addresses
	onChange func([]api.Peer)
	tasks    sync.WaitGroup // running exchanges

	mu            sync.Mutex // guards the fields below; held during calls of onChange
	rng           *rand.Rand
	view          *View
	inFlight      map[string]bool // addresses with an exchange in progress
	notifiedCount uint64          // ChangeCount of the view at the last call of onChange
	exchangedAt   time.Duration   // time of the last exchange started by ExchangeWith
	reconnectAt   time.Duration   // time of the next heartbeat to a process that is not known to be alive
	ctx           context.Context // of Run; nil while Run is not active
}

// New returns a service for the process self. seeds returns the internal addresses that a
// process without known peers contacts to join. seed seeds the random generator, which makes
// the jitter reproducible. onChange is called with the changed processes, which may include
// self. Its calls do not overlap, and it must not call the service.
func New(self api.Peer, seeds func() []string, conns *api.ConnPool, seed uint64, log *slog.Logger,
	onChange func([]api.Peer),
) *Service {
	return &Service{
		conns:    conns,
		log:      log,
		start:    time.Now(),
		seeds:    seeds,
		onChange: onChange,
		rng:      rand.New(rand.NewPCG(seed, 0xbea7)),
		view:     NewView(self),
		inFlight: map[string]bool{},
	}
}

// now returns the time since the start, plus 1 ns as the view takes 0 for unset.
func (s *Service) now() time.Duration { return time.Since(s.start) + time.Nanosecond }

// Run sends heartbeats until ctx is done, and returns after all exchanges have completed.
func (s *Service) Run(ctx context.Context) {
	s.begin(ctx)
	defer s.end()
	for ctx.Err() == nil {
		s.sendHeartbeats(ctx)
		backoff.Sleep(ctx, s.nextDelay())
	}
}

func (s *Service) begin(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// end waits for the running exchanges. From then on ExchangeWith starts no more.
func (s *Service) end() {
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.tasks.Wait()
}

// nextDelay returns the time until the next heartbeat.
func (s *Service) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := heartbeatInterval*9/10 + backoff.Jitter(heartbeatInterval/5, s.rng)
	if len(s.view.peers) == 0 {
		return joinInterval
	}
	return delay
}

// ExchangeWith starts an exchange with the process at an internal address. It is meant to be
// called when a message arrives from an address that belongs to no known peer: learning of the
// sender by gossip would take a second. Calls within 100 ms of the last exchange that
// ExchangeWith started have no effect.
func (s *Service) ExchangeWith(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.inFlight[addr] || s.now()-s.exchangedAt < minExchangeInterval {
		return
	}
	s.exchangedAt = s.now()
	s.startExchange(s.ctx, addr, s.view.Heartbeat(s.now()))
}

// Leave notifies the watchers that this process is leaving. It does not wait for their
// responses; Run does before it returns.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.view.Leave()
	s.mu.Unlock()
	s.sendHeartbeats(ctx)
}

// Peers returns all known processes, including self and dead ones, sorted by name.
func (s *Service) Peers() []api.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Peers()
}

// Heartbeat implements [api.Membership].
func (s *Service) Heartbeat(_ context.Context, q *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.view.HandleHeartbeat(s.now(), q)
	s.notifyChanges()
	return r, nil
}

// sendHeartbeats runs failure detection and starts an exchange with each watcher, or with some
// seeds if there are no watchers.
func (s *Service) sendHeartbeats(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.view.DetectFailures(s.now()) {
		s.log.Warn("peer declared dead: no heartbeat in time", "peer", name)
	}
	addrs := s.watcherAddrs()
	if len(addrs) == 0 {
		addrs = s.randomSeeds()
	}
	heartbeat := s.view.Heartbeat(s.now())
	if addr := s.reconnectAddr(); addr != "" && !s.inFlight[addr] {
		s.startExchangeOn(ctx, addr, heartbeat, s.dial)
	}
	for _, addr := range addrs {
		if addr != s.view.self.Addr && !s.inFlight[addr] {
			s.startExchange(ctx, addr, heartbeat)
		}
	}
	s.notifyChanges()
}

// watcherAddrs returns the addresses of this process's watchers. The caller holds mu.
func (s *Service) watcherAddrs() []string {
	var addrs []string
	for _, name := range s.view.Watchers(s.view.self.Name) {
		if p, ok := s.view.Peer(name); ok {
			addrs = append(addrs, p.Addr)
		}
	}
	return addrs
}

// reconnectAddr returns the address of a process that is not known to be alive, if it is time to
// send a heartbeat to one, and "" otherwise. The caller holds mu.
func (s *Service) reconnectAddr() string {
	now := s.now()
	if now < s.reconnectAt {
		return ""
	}
	isFirst := s.reconnectAt == 0
	s.reconnectAt = now + reconnectInterval/2 + backoff.Jitter(reconnectInterval, s.rng)
	if isFirst { // a process that has just started joins by its seeds
		return ""
	}
	addrs := s.view.ReconnectAddrs(s.seeds())
	if len(addrs) == 0 {
		return ""
	}
	return addrs[s.rng.IntN(len(addrs))]
}

// randomSeeds returns up to maxJoinSeeds randomly selected seeds. The caller holds mu.
func (s *Service) randomSeeds() []string {
	seeds := slices.Clone(s.seeds())
	s.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(maxJoinSeeds, len(seeds))]
}

// startExchange runs an exchange in a new goroutine, on the pool's connection. The caller holds mu.
func (s *Service) startExchange(ctx context.Context, addr string, heartbeat *api.HeartbeatRequest) {
	s.startExchangeOn(ctx, addr, heartbeat, s.pooledConn)
}

// connect returns a connection to an address, and the function that the exchange calls at its end.
type connect func(addr string) (conn *grpc.ClientConn, release func(), err error)

// pooledConn returns the pool's connection, which stays open.
func (s *Service) pooledConn(addr string) (conn *grpc.ClientConn, release func(), err error) {
	conn, err = s.conns.Conn(addr)
	return conn, func() {}, err
}

// dial returns a connection for one exchange with a process that may be gone for good.
func (s *Service) dial(addr string) (conn *grpc.ClientConn, release func(), err error) {
	conn, err = s.conns.Dial(addr)
	return conn, func() { _ = conn.Close() }, err // fails only on a closed connection
}

// startExchangeOn runs an exchange in a new goroutine. The caller holds mu.
func (s *Service) startExchangeOn(
	ctx context.Context, addr string, heartbeat *api.HeartbeatRequest, connectTo connect,
) {
	s.inFlight[addr] = true
	s.tasks.Go(func() {
		if conn, release, err := connectTo(addr); err == nil {
			s.exchange(ctx, conn, addr, heartbeat)
			release()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, addr)
	})
}

// exchange sends a heartbeat, and that of the second round if one is needed.
func (s *Service) exchange(
	ctx context.Context, conn *grpc.ClientConn, addr string, heartbeat *api.HeartbeatRequest,
) {
	for heartbeat != nil {
		response, err := s.call(ctx, conn, heartbeat)
		if err != nil {
			s.log.Debug("heartbeat failed", "addr", addr, "error", err)
			return
		}
		heartbeat = s.handleResponse(response)
	}
}

func (s *Service) call(
	ctx context.Context, conn *grpc.ClientConn, q *api.HeartbeatRequest,
) (*api.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return api.CallHeartbeat(ctx, conn, q)
}

// handleResponse processes a response and returns the heartbeat of the second round, or nil.
func (s *Service) handleResponse(r *api.HeartbeatResponse) *api.HeartbeatRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.view.HandleResponse(s.now(), r)
	s.notifyChanges()
	return next
}

// notifyChanges calls onChange if the view has changed. The caller holds mu.
func (s *Service) notifyChanges() {
	if s.notifiedCount == s.view.ChangeCount {
		return
	}
	s.notifiedCount = s.view.ChangeCount
	s.onChange(s.view.TakeChanges())
}

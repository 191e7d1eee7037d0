package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	// heartbeatInterval is the mean time between heartbeats. Each pause is up to a tenth
	// shorter or longer, so that processes that began together spread out.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the deadline of one call.
	heartbeatTimeout = 450 * time.Millisecond
	// joinInterval is the time between heartbeats of a process that knows nobody.
	joinInterval = heartbeatInterval / 5
	// maxJoinSeeds is how many seeds such a process sends each heartbeat to.
	maxJoinSeeds = 3
	// minExchangeInterval is the shortest time between two calls of ExchangeWith that have an
	// effect.
	minExchangeInterval = 100 * time.Millisecond
)

// Service is the host of a [View]: it sends and answers heartbeats. It implements
// [api.Membership].
type Service struct {
	conns    *api.ConnPool
	log      *slog.Logger
	start    time.Time
	seeds    func() []string // internal addresses
	onChange func([]api.Peer)
	tasks    sync.WaitGroup // exchanges

	mu            sync.Mutex // guards the fields below; held while onChange runs
	rng           *rand.Rand
	view          *View
	inFlight      map[string]bool // addresses that an exchange is under way with
	notifiedCount uint64          // the view's ChangeCount when onChange was last called
	exchangedAt   time.Duration   // the last call of ExchangeWith that had an effect
	ctx           context.Context // of Run; nil: it does not run
}

// New returns a service for the process self. seeds returns the internal addresses through
// which a process that knows nobody joins. seed makes the jitter repeatable. onChange is
// called with the processes of which something has changed, self among them, by one call at
// a time; it must not call the service.
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

// now is on the clock of the view, above 0.
func (s *Service) now() time.Duration { return time.Since(s.start) + time.Nanosecond }

// Run sends heartbeats until the context ends, and returns when no exchange is under way any
// more.
func (s *Service) Run(ctx context.Context) {
	s.begin(ctx)
	defer s.end()
	for ctx.Err() == nil {
		s.sendHeartbeats(ctx)
		backoff.Sleep(ctx, s.pause())
	}
}

func (s *Service) begin(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// end waits for the exchanges. ExchangeWith begins no further one.
func (s *Service) end() {
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.tasks.Wait()
}

// pause returns the time until the next heartbeat.
func (s *Service) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := heartbeatInterval*9/10 + backoff.Jitter(heartbeatInterval/5, s.rng)
	if len(s.view.peers) == 0 {
		return joinInterval
	}
	return pause
}

// ExchangeWith begins an exchange with the process at an internal address, which has sent this
// process a message and may not be known here. Waiting for gossip would take a second. At
// most one call in 100 ms has an effect.
func (s *Service) ExchangeWith(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.inFlight[addr] || s.now()-s.exchangedAt < minExchangeInterval {
		return
	}
	s.exchangedAt = s.now()
	s.startExchange(s.ctx, addr, s.view.Heartbeat(s.now()))
}

// Leave notifies the watchers that this process is leaving. It does not wait for their responses;
// Run does.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.view.Leave()
	s.mu.Unlock()
	s.sendHeartbeats(ctx)
}

// Peers returns all known processes, the dead and self included, by name.
func (s *Service) Peers() []api.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Peers()
}

// Heartbeat answers a heartbeat.
func (s *Service) Heartbeat(_ context.Context, q *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.view.HandleHeartbeat(s.now(), q)
	s.notifyChanges()
	return r, nil
}

// sendHeartbeats detects failures and begins an exchange with each watcher.
func (s *Service) sendHeartbeats(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.view.DetectFailures(s.now()) {
		s.log.Warn("peer declared dead: no heartbeat in time", "peer", name)
	}
	addrs := s.watcherAddrs()
	if len(addrs) == 0 {
		addrs = s.someSeeds()
	}
	heartbeat := s.view.Heartbeat(s.now())
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

// someSeeds returns a few seeds, drawn at random. The caller holds mu.
func (s *Service) someSeeds() []string {
	seeds := slices.Clone(s.seeds())
	s.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(maxJoinSeeds, len(seeds))]
}

// startExchange begins an exchange in a task of its own. The caller holds mu.
func (s *Service) startExchange(ctx context.Context, addr string, heartbeat *api.HeartbeatRequest) {
	s.inFlight[addr] = true
	s.tasks.Go(func() {
		s.exchange(ctx, addr, heartbeat)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, addr)
	})
}

// exchange sends a heartbeat, and the one of the second round where the views differ.
func (s *Service) exchange(ctx context.Context, addr string, heartbeat *api.HeartbeatRequest) {
	for heartbeat != nil {
		response, err := s.call(ctx, addr, heartbeat)
		if err != nil {
			s.log.Debug("heartbeat failed", "addr", addr, "error", err)
			return
		}
		heartbeat = s.handleResponse(response)
	}
}

func (s *Service) call(ctx context.Context, addr string, q *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	conn, err := s.conns.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return api.CallHeartbeat(ctx, conn, q)
}

// handleResponse takes in a response and returns the heartbeat of the second round, if any.
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

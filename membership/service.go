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
	beatEvery   = 500 * time.Millisecond
	beatTimeout = 450 * time.Millisecond
	joinMost    = 3 // seeds asked at once
	meetEvery   = 100 * time.Millisecond
)

// Service is the host of a [View]: it sends and answers heartbeats.
type Service struct {
	conns *api.ConnPool
	log   *slog.Logger
	rng   *rand.Rand
	start time.Time
	seeds func() []string // internal addresses

	mu     sync.Mutex
	view   *View
	active map[string]bool // beats that are out, by address
	onNews func([]api.Peer)
	told   uint64
	met    time.Duration // the last stranger was called on
	ctx    context.Context
	tasks  sync.WaitGroup
}

// New returns a service. onNews is told of the processes of which something has changed,
// this one among them, by one call at a time.
func New(self api.Peer, seeds func() []string, conns *api.ConnPool, seed uint64, log *slog.Logger, onNews func([]api.Peer)) *Service {
	return &Service{conns: conns, log: log, rng: rand.New(rand.NewPCG(seed, 0xbea7)), start: time.Now(), seeds: seeds,
		view: NewView(self), active: map[string]bool{}, onNews: onNews}
}

func (s *Service) now() time.Duration { return time.Since(s.start) + time.Nanosecond }

// Run sends heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		s.ctx = nil // nobody is met any more
		s.mu.Unlock()
		s.tasks.Wait()
	}()
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.beatAll(ctx)
		s.mu.Lock()
		pause := beatEvery*9/10 + backoff.Spread(beatEvery/5, s.rng)
		if len(s.view.peers) == 0 {
			pause = beatEvery / 5
		}
		s.mu.Unlock()
		backoff.Sleep(ctx, pause)
	}
}

// Meet calls on a process that has spoken to this one and may not be known here:
// waiting for the news to travel round would keep them strangers for a second.
func (s *Service) ExchangeWith(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.active[addr] || s.now()-s.met < meetEvery {
		return
	}
	s.met = s.now()
	s.active[addr] = true
	ctx, b := s.ctx, s.view.Heartbeat(s.now())
	s.tasks.Go(func() { s.beat(ctx, addr, b) })
}

// Leave tells the watchers that this process is leaving.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.view.Leave()
	s.mu.Unlock()
	s.beatAll(ctx)
}

// Peers returns all known processes.
func (s *Service) Peers() []api.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Peers()
}

func (s *Service) beatAll(ctx context.Context) {
	s.mu.Lock()
	for _, name := range s.view.DetectFailures(s.now()) {
		s.log.Warn("a process was not heard of", "peer", name)
	}
	var to []string
	for _, name := range s.view.Watchers(s.view.self.Name) {
		if p, ok := s.view.Peer(name); ok {
			to = append(to, p.Addr)
		}
	}
	if len(to) == 0 { // alone: through any seed that lives
		seeds := slices.Clone(s.seeds())
		s.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		to = append(to, seeds[:min(joinMost, len(seeds))]...)
	}
	b := s.view.Heartbeat(s.now())
	for _, addr := range to {
		if addr != s.view.self.Addr && !s.active[addr] {
			s.active[addr] = true
			s.tasks.Go(func() { s.beat(ctx, addr, b) })
		}
	}
	s.news()
	s.mu.Unlock()
}

// beat sends one heartbeat, and a second round where the views differ.
func (s *Service) beat(ctx context.Context, addr string, b *api.HeartbeatRequest) {
	defer func() {
		s.mu.Lock()
		delete(s.active, addr)
		s.mu.Unlock()
	}()
	for b != nil {
		conn, err := s.conns.Conn(addr)
		if err != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, beatTimeout)
		r, err := api.CallHeartbeat(call, conn, b)
		cancel()
		if err != nil {
			s.log.Debug("a heartbeat was not answered", "addr", addr, "err", err)
			return
		}
		s.mu.Lock()
		b = s.view.HandleResponse(s.now(), r)
		s.news()
		s.mu.Unlock()
	}
}

// Beat answers a heartbeat.
func (s *Service) Heartbeat(_ context.Context, b *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.view.HandleHeartbeat(s.now(), b)
	s.news()
	return r, nil
}

// news tells of a changed view. Called under the mutex.
func (s *Service) news() {
	if s.told != s.view.ChangeCount {
		s.told = s.view.ChangeCount
		s.onNews(s.view.TakeChanges())
	}
}

package api

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"example.org/silverscale/keys"
)

// silentFor is how long calls on a connection may all go unanswered before it is
// closed and made anew: a machine without power or behind a cut says nothing, and
// what the system sends again on an old connection comes ever more seldom. gRPC's
// own keep-alive can't be shorter than 10 s.
const silentFor = time.Second

// Processes come and go: of more connections than mostConns, those that were
// not used for unusedFor are closed.
const (
	mostConns = 32
	unusedFor = time.Minute
)

// Conns keeps one connection to each process that is called.
type Conns struct {
	silentFor time.Duration
	ring      *keys.Ring
	clock     func() time.Time

	mu     sync.Mutex
	byAddr map[string]*grpc.ClientConn
	silent map[string]time.Time // since when calls go unanswered
	used   map[string]time.Time
}

// NewConns returns an empty set. With keys (nil: none) only processes of the
// same authority are spoken to.
func NewConns(ring *keys.Ring) *Conns {
	return &Conns{silentFor: silentFor, ring: ring, clock: time.Now, byAddr: map[string]*grpc.ClientConn{},
		silent: map[string]time.Time{}, used: map[string]time.Time{}}
}

// To returns the connection to an address.
func (s *Conns) To(addr string) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.used[addr] = now
	if c := s.byAddr[addr]; c != nil {
		return c, nil
	}
	for a, at := range s.used {
		if len(s.byAddr) >= mostConns && now.Sub(at) > unusedFor {
			s.drop(a)
		}
	}
	c, err := Dial(addr, s.ring, func(ctx context.Context, method string, q, r any, c *grpc.ClientConn, call grpc.UnaryInvoker, o ...grpc.CallOption) error {
		err := call(ctx, method, q, r, c, o...)
		s.answered(addr, c, err)
		return err
	})
	if err != nil {
		delete(s.used, addr)
		return nil, err
	}
	s.byAddr[addr] = c
	return c, nil
}

// answered notes how a call ended, and closes a connection that is silent.
func (s *Conns) answered(addr string, c *grpc.ClientConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status.Code(err) {
	case codes.Canceled: // says nothing
		return
	case codes.DeadlineExceeded:
	default:
		delete(s.silent, addr)
		return
	}
	since, ok := s.silent[addr]
	switch {
	case s.byAddr[addr] != c:
	case !ok:
		s.silent[addr] = s.clock()
	case s.clock().Sub(since) >= s.silentFor:
		s.drop(addr)
	}
}

func (s *Conns) drop(addr string) {
	s.byAddr[addr].Close()
	delete(s.byAddr, addr)
	delete(s.silent, addr)
	delete(s.used, addr)
}

// Close closes all connections.
func (s *Conns) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.byAddr {
		s.drop(addr)
	}
}

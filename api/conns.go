package api

import (
	"sync"

	"google.golang.org/grpc"
)

// Conns keeps one connection to each process that is called.
type Conns struct {
	mu     sync.Mutex
	byAddr map[string]*grpc.ClientConn
}

// NewConns returns an empty set.
func NewConns() *Conns { return &Conns{byAddr: map[string]*grpc.ClientConn{}} }

// To returns the connection to an address.
func (s *Conns) To(addr string) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byAddr[addr]; c != nil {
		return c, nil
	}
	c, err := Dial(addr)
	if err == nil {
		s.byAddr[addr] = c
	}
	return c, err
}

// Keep closes the connections to all addresses that are no longer called.
func (s *Conns) Keep(wanted func(addr string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, c := range s.byAddr {
		if !wanted(addr) {
			c.Close()
			delete(s.byAddr, addr)
		}
	}
}

package emulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/lab/checker"
)

const (
	cloudPerS  = 60.0
	checkEvery = time.Second
	missesMost = 2
)

// platform keeps the list of servers and knows which limiters get connections.
type platform struct {
	addr   string
	ledger *checker.Log

	mu      sync.Mutex
	servers []*server
	tokens  float64
	at      time.Time
	calls   int
	over    int
	misses  map[string]int // of limiters, by ready address
}

func startPlatform(addr string, l *checker.Log) (*platform, error) {
	p := &platform{ledger: l, tokens: cloudPerS, at: time.Now(), misses: map[string]int{}}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: the platform: %w", err)
	}
	p.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", p.members)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go srv.Serve(ln)
	return p, nil
}

func (p *platform) members(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(cloudPerS, p.tokens+time.Since(p.at).Seconds()*cloudPerS)
	p.at = time.Now()
	if p.calls++; p.tokens < 1 {
		p.over++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.tokens--
	var out struct {
		Members []api.Server `cbor:"members"`
		Next    *string      `cbor:"next_token"`
	}
	for _, s := range p.servers {
		s.mu.Lock()
		e := api.Server{ID: s.id, Upstream: s.service, Addr: s.addr, Zone: s.zone, Revision: "v1", Capacity: s.spec.Slots, State: "in_service",
			WarmupMs: max(0, 1000*(s.spec.WarmupS-time.Since(s.born).Seconds()))}
		if s.draining {
			e.State = api.Draining
		}
		s.mu.Unlock()
		out.Members = append(out.Members, e)
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Write(data)
}

func (p *platform) add(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, s)
}

// drain shows a server as draining; gone takes it off the list.
func (p *platform) drain(s *server) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	p.ledger.Draining(s.id)
}

func (p *platform) gone(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.servers {
		if o == s {
			p.servers = append(p.servers[:i], p.servers[i+1:]...)
			break
		}
	}
}

// pick returns some servers at random.
func (p *platform) pick(perm func(int) []int, n int) (out []*server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range perm(len(p.servers)) {
		if len(out) < n {
			out = append(out, p.servers[i])
		}
	}
	return out
}

var readinessClient = &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// check asks a limiter whether it is ready.
func (p *platform) check(ready string) {
	resp, err := readinessClient.Get("http://" + ready + "/v1/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.misses[ready] = 0
	} else {
		p.misses[ready]++
	}
}

// in tells whether a limiter gets new connections.
func (p *platform) in(ready string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, known := p.misses[ready]
	return known && n < missesMost
}

package controlbench

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

const (
	pageSize  = 50
	drainsFor = 2 * time.Second
)

// platform is a stand-in for the list of servers.
type platform struct {
	addr string
	srv  *http.Server

	services int
	perS     float64 // calls a second that it takes, and as many at once; others get 429

	mu      sync.Mutex
	servers []api.Server
	next    int
	ends    map[string]time.Time // of those that drain
	credit  float64              // calls that may come at once
	at      time.Time
	busy    int // calls that were turned away
}

func startPlatform(n, services int, perS float64) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("controlbench: the platform: %w", err)
	}
	p := &platform{addr: l.Addr().String(), services: services, perS: perS, credit: perS, at: time.Now(), ends: map[string]time.Time{}}
	for range n {
		p.servers = append(p.servers, p.fresh())
	}
	p.srv = &http.Server{Handler: http.HandlerFunc(p.members), ReadHeaderTimeout: time.Second}
	go p.srv.Serve(l) // ends with close
	return p, nil
}

// add puts servers on the list.
func (p *platform) add(servers []api.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, servers...)
}

func (p *platform) close() { p.srv.Close() }

// fresh is a server that was not there before.
func (p *platform) fresh() api.Server {
	i := p.next
	p.next++
	return api.Server{ID: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Upstream: fmt.Sprint("service-", i%p.services),
		Addr: fmt.Sprintf("10.%d.%d.%d:8080", 1+i>>16%200, i>>8%256, i%256), Zone: "z", Revision: "v1", Capacity: 2, State: "in_service"}
}

// replace has so many servers replaced: the new one is there, the old one drains
// and goes.
func (p *platform) replace(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		if s := &p.servers[i]; n > 0 && s.State != api.Draining {
			s.State, p.ends[s.ID] = api.Draining, time.Now().Add(drainsFor)
			n--
			p.servers = append(p.servers, p.fresh())
		}
	}
}

func (p *platform) members(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.credit, p.at = min(p.perS, p.credit+p.perS*now.Sub(p.at).Seconds()), now
	if p.credit < 1 {
		p.busy++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.credit--
	at, err := strconv.Atoi(r.URL.Query().Get("page_token"))
	if err != nil || at < 0 {
		at = 0
	}
	if at == 0 {
		kept := p.servers[:0]
		for _, s := range p.servers {
			if end, drains := p.ends[s.ID]; drains && time.Now().After(end) {
				delete(p.ends, s.ID)
			} else {
				kept = append(kept, s)
			}
		}
		p.servers = kept
	}
	var out struct {
		Members []api.Server `cbor:"members"`
		Next    *string      `cbor:"next_token"`
	}
	end := min(at+pageSize, len(p.servers))
	out.Members = p.servers[min(at, end):end]
	if end < len(p.servers) {
		next := strconv.Itoa(end)
		out.Next = &next
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Write(data) // a caller that is gone needs no answer
}

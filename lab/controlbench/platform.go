package controlbench

import (
	"errors"
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
	pageSize              = 50
	drainTime             = 2 * time.Second // until a draining server is gone
	platformHeaderTimeout = time.Second
	// idHash spreads the ids of servers over their space.
	idHash  = 2654435761
	idSpace = 1 << 32
)

// platform is a stand-in for the platform's list of servers.
type platform struct {
	addr     string
	server   *http.Server
	services int
	ratePerS float64 // calls a second that it takes, and as many at once; others get 429

	mu      sync.Mutex // guards all that follows
	servers []api.Server
	created int                  // servers so far
	goneAt  map[string]time.Time // of those that drain, by id
	tokens  float64              // calls that may come at once
	tokenAt time.Time            // tokens were counted then
}

func startPlatform(servers, services int, ratePerS float64) (*platform, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("controlbench: the platform: %w", err)
	}
	p := &platform{
		addr:     l.Addr().String(),
		services: services,
		ratePerS: ratePerS,
		tokens:   ratePerS,
		tokenAt:  time.Now(),
		goneAt:   map[string]time.Time{},
	}
	for range servers {
		p.servers = append(p.servers, p.newServer())
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.listMembers), ReadHeaderTimeout: platformHeaderTimeout}
	go func() { _ = p.server.Serve(l) }() // returns when it is closed
	return p, nil
}

func (p *platform) close() error { return p.server.Close() }

// add puts servers on the list.
func (p *platform) add(servers []api.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, servers...)
}

// newServer is a server that was not there before. Called under the mutex, or before anyone else
// knows the platform.
func (p *platform) newServer() api.Server {
	i := p.created
	p.created++
	return api.Server{
		ID:       fmt.Sprintf("i-%08x", i*idHash%idSpace),
		Upstream: serviceName(i, p.services),
		Addr:     fmt.Sprintf("10.%d.%d.%d:8080", 1+i>>16%200, i>>8%256, i%256),
		Zone:     "z",
		Revision: "v1",
		Capacity: 2,
		State:    api.InService,
	}
}

// replace has so many servers replaced: the new one is there, the old one drains and goes.
func (p *platform) replace(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		s := &p.servers[i]
		if count == 0 || s.State == api.Draining {
			continue
		}
		s.State, p.goneAt[s.ID] = api.Draining, time.Now().Add(drainTime)
		count--
		p.servers = append(p.servers, p.newServer())
	}
}

// takeToken reports whether a call is within the rate. Called under the mutex.
func (p *platform) takeToken() bool {
	now := time.Now()
	p.tokens = min(p.ratePerS, p.tokens+p.ratePerS*now.Sub(p.tokenAt).Seconds())
	p.tokenAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// removeGone takes the servers off the list that have drained. Called under the mutex.
func (p *platform) removeGone() {
	kept := p.servers[:0]
	for _, s := range p.servers {
		if at, drains := p.goneAt[s.ID]; drains && time.Now().After(at) {
			delete(p.goneAt, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	p.servers = kept
}

// page is one page of the list.
type page struct {
	Members []api.Server `cbor:"members"`
	Next    *string      `cbor:"next_token"` // nil: it is the last
}

// pageAt is the page that begins at an index. Called under the mutex.
func (p *platform) pageAt(begin int) page {
	end := min(begin+pageSize, len(p.servers))
	out := page{Members: p.servers[min(begin, end):end]}
	if end < len(p.servers) {
		next := strconv.Itoa(end)
		out.Next = &next
	}
	return out
}

// listMembers answers GET /members. A token that can't be read is that of the first page.
func (p *platform) listMembers(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.takeToken() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	begin, err := strconv.Atoi(r.URL.Query().Get("page_token"))
	begin = max(0, begin)
	if errors.Is(err, strconv.ErrSyntax) || begin == 0 {
		begin = 0
		p.removeGone()
	}
	data, err := cbor.Marshal(p.pageAt(begin))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // a caller that is gone needs no answer
}

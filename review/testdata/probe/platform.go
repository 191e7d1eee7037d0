package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	checkEvery   = time.Second // of the limiters' readiness
	checkTimeout = 800 * time.Millisecond
	maxMisses    = 2
)

// platform keeps the list of servers, and gives clients the limiters that are ready.
type platform struct {
	world *world
	addr  string
	srv   *http.Server
	done  chan struct{}

	mu     sync.Mutex
	misses map[string]int // by front address, in a row
}

// member is an entry of the platform's list.
type member struct {
	Upstream string `cbor:"upstream"`
	Address  string `cbor:"address"`
	Zone     string `cbor:"zone"`
	Revision string `cbor:"revision"`
	Capacity int    `cbor:"capacity"`
	State    string `cbor:"oper_state"`
	Warmup   int    `cbor:"warmup_left_ms"`
	ID       string `cbor:"member_id"`
}

func newPlatform(w *world) (*platform, error) {
	l, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{world: w, addr: l.Addr().String(), misses: map[string]int{}, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", p.members)
	p.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.srv.Serve(l) }() // until it is closed
	go p.check()
	return p, nil
}

func (p *platform) close() {
	close(p.done)
	_ = p.srv.Close() // the program ends
}

// members answers with the whole list on one page.
func (p *platform) members(out http.ResponseWriter, _ *http.Request) {
	var list struct {
		Members []member `cbor:"members"`
		Next    *string  `cbor:"next_token"`
	}
	list.Members = []member{}
	p.world.mu.Lock()
	for _, s := range p.world.servers {
		list.Members = append(list.Members, s.entry())
	}
	p.world.mu.Unlock()
	data, err := cbor.Marshal(list)
	if err != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/cbor")
	_, _ = out.Write(data) // a caller that is gone needs no answer
}

// check asks each limiter every second whether it is ready.
func (p *platform) check() {
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range p.world.machines {
			go func() {
				resp, err := client.Get("http://" + m.ready + "/v1/readiness")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close() // it is not read
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				switch misses, known := p.misses[m.front]; {
				case ok:
					p.misses[m.front] = 0
				case known:
					p.misses[m.front] = misses + 1
				}
			}()
		}
		select {
		case <-p.done:
			return
		case <-time.After(checkEvery):
		}
	}
}

// entries returns the front addresses of the limiters that get new connections.
func (p *platform) entries() (fronts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.world.machines {
		if misses, known := p.misses[m.front]; known && misses < maxMisses {
			fronts = append(fronts, m.front)
		}
	}
	return fronts
}

// entry returns the limiter that gets a client's next connection: the one that it prefers, where that is ready, else
// the next one that is; empty where there is none.
func (p *platform) entry(preferred int) string {
	n := len(p.world.machines)
	ready := p.entries()
	for i := range n {
		front := p.world.machines[(preferred+i)%n].front
		for _, f := range ready {
			if f == front {
				return front
			}
		}
	}
	return ""
}

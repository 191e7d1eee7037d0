package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// platform is the stand-in of the platform: it keeps the list of servers.
type platform struct {
	addr   string
	log    *record
	server http.Server

	mu      sync.Mutex
	servers []*backend
}

// member is an entry of the list.
type member struct {
	Upstream string  `cbor:"upstream"`
	Address  string  `cbor:"address"`
	Zone     string  `cbor:"zone"`
	Revision string  `cbor:"revision"`
	Capacity int     `cbor:"capacity"`
	State    string  `cbor:"oper_state"`
	WarmupMs float64 `cbor:"warmup_left_ms"`
	ID       string  `cbor:"member_id"`
}

func startPlatform(log *record) (*platform, error) {
	p := &platform{log: log}
	l, err := net.Listen("tcp", "127.200.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", p.list)
	p.server = http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(l) }() // ends with stop
	return p, nil
}

// list answers a call for the list of servers, in one page.
func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	var page struct {
		Members []member `cbor:"members"`
		Next    *string  `cbor:"next_token"`
	}
	p.mu.Lock()
	for _, s := range p.servers {
		page.Members = append(page.Members, member{
			Upstream: s.service, Address: s.addr, Zone: s.zone, Revision: "v1", Capacity: slotsPerServer,
			State: "in_service", ID: s.id,
		})
	}
	p.mu.Unlock()
	body, err := cbor.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(body) // a caller that has left needs no answer
}

// stop ends the platform and the servers on its list.
func (p *platform) stop() {
	_ = p.server.Close() // nobody calls any more
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.listener.Close() // as above
	}
}

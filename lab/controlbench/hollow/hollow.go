// Package hollow measures what one limiter holds and spends for control at a size that
// few machines bear as real processes: hundreds of hollow limiters in one process. Each
// has the real gateway with its view of the configuration, its servers and its
// decisions, and the real view of who is there; what it lacks is traffic.
package hollow

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane"
	"example.org/elmspan/membership"
	"example.org/elmspan/settings"
	"example.org/elmspan/versioned"
)

// Spec is a size.
type Spec struct {
	Hollow   int `help:"Hollow limiters in this process." default:"100"`
	Limiters int `help:"Limiters that each knows, itself included." default:"620"`
	Zones    int `help:"Zones that they stand in." default:"4"`
	Routes   int `help:"Routes of the configuration." default:"16000"`
	Tenants  int `help:"Tenants, each with a key and a quota." default:"14000"`
	Services int `help:"Services." default:"170"`
	Servers  int `help:"Servers on the platform's list." default:"9700"`
	Release  int `help:"Servers that one difference of the list replaces." default:"80"`
	Busy     int `help:"Tenants of whom a limiter has a request in a second." default:"258"`
}

func (s *Spec) check() error {
	var errs []error
	for name, v := range map[string]int{"hollow": s.Hollow, "zones": s.Zones, "routes": s.Routes, "tenants": s.Tenants, "services": s.Services, "servers": s.Servers} {
		if v < 1 {
			errs = append(errs, fmt.Errorf("--%s: %d: 1 at least", name, v))
		}
	}
	if s.Hollow > 1000 {
		errs = append(errs, fmt.Errorf("--hollow: %d: 1000 at most", s.Hollow))
	}
	if s.Limiters < 2 || s.Release < 0 || s.Release > s.Servers || s.Busy < 0 || s.Busy > s.Tenants {
		errs = append(errs, errors.New("--limiters 2 at least, --release at most --servers, --busy at most --tenants"))
	}
	return errors.Join(errs...)
}

// Step is one thing that each hollow limiter did.
type Step struct {
	Name   string
	HeapKB float64 // that it added to the heap, for each limiter
	CPUMs  float64 // processor time of it, collections included, for each limiter
	Bytes  int     // of the message that brought it, as encoded; 0: none did
}

// Report is what was measured.
type Report struct {
	Spec  Spec
	Steps []Step
	// Quota is what the decisions alone take; see [quotas].
	Quota []Step
}

// Write writes the report for a person.
func (r *Report) Write(w io.Writer) {
	s := &r.Spec
	fmt.Fprintf(w, "%d hollow limiters of %d in %d zones; %d routes, %d tenants, %d services, %d servers\n",
		s.Hollow, s.Limiters, s.Zones, s.Routes, s.Tenants, s.Services, s.Servers)
	fmt.Fprintf(w, "%-46s %12s %14s %10s\n", "each limiter", "heap, KB", "processor, ms", "bytes")
	sum := 0.0
	for _, x := range r.Steps {
		sum += x.HeapKB
		fmt.Fprintf(w, "%-46s %12.1f %14.3f %10d\n", x.Name, x.HeapKB, x.CPUMs, x.Bytes)
	}
	fmt.Fprintf(w, "%-46s %12.1f\n", "in all", sum)
	for _, x := range r.Quota {
		fmt.Fprintf(w, "%-46s %12.1f %14.3f %10d\n", x.Name, x.HeapKB, x.CPUMs, x.Bytes)
	}
}

// heapBytes is what the heap holds after a collection.
func heapBytes() float64 {
	var m runtime.MemStats
	for range 2 { // the second one frees what finalizers held
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu is the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// step measures what n limiters do one after the other.
func step(name string, n, bytes int, do func(i int) error) (Step, error) {
	before := heapBytes()
	begun := cpu()
	for i := range n {
		if err := do(i); err != nil {
			return Step{}, fmt.Errorf("hollow: %s: %w", name, err)
		}
	}
	spent := cpu() - begun
	return Step{name, (heapBytes() - before) / 1000 / float64(n), spent.Seconds() * 1000 / float64(n), bytes}, nil
}

// hollowLimiter is one of them.
type hollowLimiter struct {
	gateway *dataplane.Gateway
	view    *membership.View
}

// Run measures.
func Run(s Spec) (*Report, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	w, err := newWorld(&s)
	if err != nil {
		return nil, err
	}
	rep := &Report{Spec: s}
	fleet := make([]hollowLimiter, s.Hollow)
	log := slog.New(slog.DiscardHandler)
	config := func(data []byte) func(i int) error {
		return func(i int) error {
			r, err := versioned.OpenDelta(data)
			if err != nil {
				return err
			}
			return fleet[i].gateway.ApplyConfig(r)
		}
	}
	servers := func(data []byte) func(i int) error {
		return func(i int) error {
			r, err := versioned.OpenDelta(data)
			if err != nil {
				return err
			}
			return fleet[i].gateway.ApplyEndpoints(r, 0)
		}
	}
	again, gone := [1]api.Peer{w.peers[len(w.peers)-1]}, [1]api.Peer{w.peers[len(w.peers)-1]}
	again[0].StartID, again[0].Incarnation, gone[0].State = 1, 2, membership.Dead
	steps := []struct {
		name  string
		bytes int
		do    func(i int) error
	}{
		{"started", 0, func(i int) (err error) {
			fleet[i].gateway, err = dataplane.New(w.node(i), dataplane.Options{Seed: uint64(i), Log: log, Upstream: settings.DefaultTuning().Upstream, Link: settings.DefaultTuning().Link})
			return err
		}},
		{"took over the whole configuration", len(w.config), config(w.config)},
		{"took over the whole list of servers", len(w.servers), servers(w.servers)},
		{"knows the others", 0, func(i int) error { fleet[i].gateway.ApplyPeers(w.peers); return nil }},
		{"has their heartbeats' view", w.peerBytes, func(i int) error {
			fleet[i].view = membership.NewView(w.peers[i%len(w.peers)])
			fleet[i].view.Merge(1, w.peers)
			return nil
		}},
		{"one changed route", len(w.route), config(w.route)},
		{"one changed quota", len(w.tenant), config(w.tenant)},
		{fmt.Sprintf("%d servers replaced", s.Release), len(w.release), servers(w.release)},
		{"one other limiter started again", 0, func(i int) error { fleet[i].gateway.ApplyPeers(again[:]); return nil }},
		{"one other limiter gone", 0, func(i int) error { fleet[i].gateway.ApplyPeers(gone[:]); return nil }},
	}
	for _, x := range steps {
		got, err := step(x.name, s.Hollow, x.bytes, x.do)
		if err != nil {
			return rep, err
		}
		rep.Steps = append(rep.Steps, got)
	}
	runtime.KeepAlive(fleet)
	for i := range fleet {
		if fleet[i].gateway.Revision() != 3 || fleet[i].gateway.EndpointsVersion() != 2 || len(fleet[i].view.Peers()) != s.Limiters {
			return rep, fmt.Errorf("hollow: limiter %d has not taken over all", i)
		}
	}
	rep.Quota, err = quotas(&s)
	return rep, err
}

// world is what all limiters are told.
type world struct {
	spec            *Spec
	config, servers []byte // whole
	route, tenant   []byte // differences
	release         []byte
	peers           []api.Peer
	peerBytes       int // of all peers in a heartbeat
}

func (w *world) node(i int) *settings.Node {
	n := &settings.Node{Name: w.peers[i%len(w.peers)].Name, Zone: zone(i, w.spec.Zones), IP: "127.0.0.1", InternalPorts: []int{0, 0},
		ServedRoles: []string{"edge", "control"}} // so that it takes the first of the ports, any
	n.Listeners.Front, n.Listeners.Ready = "127.0.0.1:0", "127.0.0.1:0"
	n.Limits.MaxFDs, n.Limits.LinkMbps, n.Limits.CPUShare = 4100, 1000, 0.32
	n.Timing.StrictRevocation, n.Timing.RevokeMs = true, 5000
	return n
}

func zone(i, zones int) string { return fmt.Sprint("zone-", i%zones) }

func newWorld(s *Spec) (*world, error) {
	w := &world{spec: s}
	for i := range s.Limiters {
		w.peers = append(w.peers, api.Peer{Name: fmt.Sprint("limiter-", i), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Zone: zone(i, s.Zones),
			StartID: xxhash.Sum64String(fmt.Sprint(i)), Incarnation: 1, Edge: true})
	}
	data, err := cbor.Marshal(w.peers)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	w.peerBytes = len(data)
	var table versioned.Table
	take := func(t *versioned.Table, c *api.Config) ([]byte, error) {
		data, err := cbor.Marshal(c)
		if err != nil {
			return nil, err
		}
		if len(data) > api.MaxConfigBytes {
			return nil, fmt.Errorf("a configuration of %d bytes: %d at most (api.MaxConfig)", len(data), api.MaxConfigBytes)
		}
		split, err := api.BuildConfigRows(data, nil)
		if err != nil {
			return nil, err
		}
		had := t.Version()
		t.Replace(split.Revision, split.Rows)
		b, err := t.DeltaSince(had)
		return b.Data, err
	}
	c := Config(s.Routes, s.Tenants, s.Services)
	if w.config, err = take(&table, c); err == nil {
		c.Revision++
		c.Routes[0].TrafficSplit[0].Weight++
		w.route, err = take(&table, c)
	}
	if err == nil {
		c.Revision++
		c.Tenants[0].Rate++
		w.tenant, err = take(&table, c)
	}
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	var list versioned.Table
	rows := map[string][]byte{}
	add := func(i int) error {
		m := Server(i, s.Services, s.Zones)
		rows[m.ID], err = api.EncodeServerRow(m, 0)
		return err
	}
	fresh := func() map[string][]byte { // a table keeps what it is given
		out := make(map[string][]byte, len(rows))
		for k, v := range rows {
			out[k] = v
		}
		return out
	}
	for i := range s.Servers {
		if err := add(i); err != nil {
			return nil, fmt.Errorf("hollow: %w", err)
		}
	}
	list.Replace(1, fresh())
	whole, err := list.DeltaSince(0)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	w.servers = whole.Data
	for i := range s.Release {
		delete(rows, Server(i, s.Services, s.Zones).ID)
		if err := add(s.Servers + i); err != nil {
			return nil, fmt.Errorf("hollow: %w", err)
		}
	}
	list.Replace(2, fresh())
	diff, err := list.DeltaSince(1)
	w.release = diff.Data
	return w, err
}

// Config is a configuration of a size: routes on 200 hosts, each split between two
// services; tenants with a key and a quota each.
func Config(routes, tenants, services int) *api.Config {
	c := &api.Config{Revision: 1}
	service := func(i int) string { return fmt.Sprint("service-", i%services) }
	for i := range services {
		c.Upstreams = append(c.Upstreams, api.Upstream{Name: service(i), HealthCheck: "/health", MaxConnections: 100, Protocol: "h1"})
	}
	for i := range routes {
		c.Routes = append(c.Routes, api.Route{Name: fmt.Sprintf("r-%05d", i), Host: fmt.Sprintf("host%d.example", i%200),
			Prefix: fmt.Sprintf("/p%d/%x/", i/200, uint32(i)*2654435761), Type: api.Idempotent, TimeoutMs: 1000, TargetMs: 300, MaxAttempts: 2,
			TrafficSplit: []api.WeightedUpstream{{Upstream: service(i), Weight: 50}, {Upstream: service(i + 1), Weight: 50}}})
	}
	for i := range tenants {
		c.Tenants = append(c.Tenants, api.Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprintf("k%d-%x", i, xxhash.Sum64String(fmt.Sprint("key", i)))}, Rate: 100, Burst: 100})
	}
	return c
}

// Server is the i-th server.
func Server(i, services, zones int) api.Server {
	return api.Server{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Upstream: fmt.Sprint("service-", i%services),
		Addr: fmt.Sprintf("10.%d.%d.%d:8080", 1+i>>16%200, i>>8%256, i%256), Zone: zone(i/services, zones), Revision: "v1", Capacity: 2, State: api.InService}
}

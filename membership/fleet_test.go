package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/elmspan/api"
)

func testPeer(i int) api.Peer {
	return api.Peer{Name: fmt.Sprint("n", i), Addr: fmt.Sprint("10.0.0.", i, ":1"), StartID: uint64(i + 1), Edge: true}
}

// fleet is a set of views that exchange heartbeats as Service does, but without a network.
type fleet struct {
	views      map[string]*View
	now        time.Duration
	statements int // total number sent in all exchanges

	partitioned func(from, to string) bool // reports whether two processes are partitioned; nil: none are
	reconnects  bool                       // processes reconnect, see reconnect
	seeds       []string                   // addresses
	rng         *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{views: map[string]*View{}, now: time.Second}
	for i := range n {
		f.views[testPeer(i).Name] = NewView(testPeer(i))
	}
	return f
}

// round makes every process send its heartbeats once and returns the number of heartbeats.
func (f *fleet) round() int {
	f.now += heartbeatInterval
	heartbeats := 0
	for name, v := range f.views {
		v.DetectFailures(f.now)
		watchers := v.Watchers(name)
		if len(watchers) == 0 {
			watchers = []string{"n0"} // the seed
		}
		for _, w := range append(watchers, f.reconnect(v)...) {
			other := f.views[w]
			if other == nil || other == v || f.partitioned != nil && f.partitioned(name, w) {
				continue
			}
			heartbeats++
			f.exchange(v, other)
		}
	}
	return heartbeats
}

// reconnect returns the process to which a process sends a further heartbeat in this round, as
// Service.reconnectAddr does.
func (f *fleet) reconnect(v *View) []string {
	if !f.reconnects || f.rng.IntN(int(reconnectInterval/heartbeatInterval)) > 0 {
		return nil
	}
	addrs := v.ReconnectAddrs(f.seeds)
	if len(addrs) == 0 {
		return nil
	}
	addr := addrs[f.rng.IntN(len(addrs))]
	for name, other := range f.views {
		if other.self.Addr == addr {
			return []string{name}
		}
	}
	return nil
}

func (f *fleet) exchange(from, to *View) {
	for heartbeat := from.Heartbeat(f.now); heartbeat != nil; {
		response := to.HandleHeartbeat(f.now, heartbeat)
		f.statements += len(heartbeat.Peers) + len(response.Peers)
		heartbeat = from.HandleResponse(f.now, response)
	}
}

// converged reports whether all views are equal.
func (f *fleet) converged() bool {
	for _, v := range f.views {
		if v.Digest() != f.views["n0"].Digest() {
			return false
		}
	}
	return len(f.views["n0"].Peers()) >= len(f.views)
}

// converge runs rounds until all views are equal.
func (f *fleet) converge() {
	for !f.converged() {
		f.round()
	}
}

// allKnowDead reports whether a process is dead in every view.
func (f *fleet) allKnowDead(name string) bool {
	for _, v := range f.views {
		if p, _ := v.Peer(name); p.State != Dead {
			return false
		}
	}
	return true
}

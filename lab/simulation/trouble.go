package simulation

import (
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// strike has a trouble happen.
func (f *fleet) strike(t scenario.Fault) {
	count := max(1, t.Count)
	lasting := 1000 * max(t.ForS, 0.5)
	switch t.Kind {
	case "kill", "kill_all":
		if t.Kind == "kill_all" {
			count = len(f.nodes)
		}
		for _, n := range f.someNodes(count) {
			if n.up {
				n.kill()
				f.restart(n, lasting)
			}
		}
	case "freeze":
		for _, n := range f.someNodes(count) {
			n.frozen = f.engine.now + lasting
		}
	case "cut":
		f.cut = f.day.Zones[len(f.day.Zones)-1]
		f.engine.after(lasting, func() { f.cut = "" })
	case "zone_dark":
		f.dark = f.day.Zones[len(f.day.Zones)-1]
		f.engine.after(lasting, func() { f.dark = "" })
	case "zone_slow":
		var slowed []*server
		for _, e := range f.list() {
			if s := f.servers[e.ID]; s.zone == f.day.Zones[len(f.day.Zones)-1] {
				s.slow = max(2, t.Factor)
				slowed = append(slowed, s)
			}
		}
		f.engine.after(lasting, func() {
			for _, s := range slowed {
				s.slow = 1
			}
		})
	case "crash":
		for _, s := range f.someServers(count) {
			s.stop()
			f.engine.after(lasting, func() { delete(f.servers, s.id) })
		}
	case "release":
		for _, s := range f.someServers(count) {
			f.startServer(s.spec, s.zone)
			s.draining = true
			f.ledger.Draining(s.id)
			f.engine.after(checker.DrainMs+500, func() {
				s.stop()
				delete(f.servers, s.id)
			})
		}
	case "lost_answers", "slow":
		for _, s := range f.someServers(count) {
			if t.Kind == "slow" {
				s.slow = max(2, t.Factor)
			} else {
				s.lose = max(0.03, t.Factor)
			}
			f.engine.after(lasting, func() { s.slow, s.lose = 1, 0 })
		}
	case "hot_tenant":
		f.hot, f.hotX = f.day.Tenants[0].Name, max(2, t.Factor)
		f.engine.after(lasting, func() { f.hot = "" })
	}
}

func (f *fleet) someNodes(count int) (out []*node) {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if len(out) < count {
			out = append(out, f.nodes[i])
		}
	}
	return out
}

func (f *fleet) someServers(count int) (out []*server) {
	ids := f.list()
	for _, i := range f.rng.Perm(len(ids)) {
		if s := f.servers[ids[i].ID]; s != nil && !s.dead && !s.draining && len(out) < count {
			out = append(out, s)
		}
	}
	return out
}

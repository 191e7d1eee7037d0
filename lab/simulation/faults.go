package simulation

import (
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// Bounds of a fault, where the day asks for less.
const (
	minFaultS    = 0.5
	minSlowdown  = 2.0
	minLossShare = 0.03
	// drainGraceMs is how long a released server works on after the time for draining.
	drainGraceMs = 500
)

// inject has a fault happen now. [scenario.Fault.Simulated] names the kinds that it knows.
func (f *fleet) inject(t scenario.Fault) {
	count := max(1, t.Count)
	durationMs := 1000 * max(t.ForS, minFaultS)
	switch t.Kind {
	case "kill":
		f.killLimiters(count, durationMs)
	case "kill_all":
		f.killLimiters(len(f.nodes), durationMs)
	case "freeze":
		f.pauseLimiters(count, durationMs)
	case "cut":
		f.partitionedZone = f.lastZone()
		f.engine.after(durationMs, func() { f.partitionedZone = "" })
	case "zone_dark":
		f.unreachableZone = f.lastZone()
		f.engine.after(durationMs, func() { f.unreachableZone = "" })
	case "zone_slow":
		f.slowZone(max(minSlowdown, t.Factor), durationMs)
	case "crash":
		f.crashServers(count, durationMs)
	case "release":
		f.releaseServers(count)
	case "lost_answers":
		f.degradeServers(count, durationMs, func(s *server) { s.lossShare = max(minLossShare, t.Factor) })
	case "slow":
		f.degradeServers(count, durationMs, func(s *server) { s.slowdown = max(minSlowdown, t.Factor) })
	case "hot_tenant":
		f.hotTenant, f.hotFactor = f.day.Tenants[0].Name, max(minSlowdown, t.Factor)
		f.engine.after(durationMs, func() { f.hotTenant = "" })
	}
}

// lastZone is the zone that faults of a whole zone hit.
func (f *fleet) lastZone() string { return f.day.Zones[len(f.day.Zones)-1] }

func (f *fleet) killLimiters(count int, durationMs float64) {
	for _, n := range f.randomNodes(count) {
		if n.up {
			n.kill()
			f.restart(n, durationMs)
		}
	}
}

func (f *fleet) pauseLimiters(count int, durationMs float64) {
	for _, n := range f.randomNodes(count) {
		n.pausedUntil = f.engine.now + durationMs
	}
}

func (f *fleet) slowZone(factor, durationMs float64) {
	var slowed []*server
	for _, e := range f.serverList {
		if s := f.servers[e.ID]; s.zone == f.lastZone() {
			s.slowdown = factor
			slowed = append(slowed, s)
		}
	}
	f.engine.after(durationMs, func() {
		for _, s := range slowed {
			s.slowdown = 1
		}
	})
}

// crashServers stops servers, which the platform's list shows until the fault ends.
func (f *fleet) crashServers(count int, durationMs float64) {
	for _, s := range f.randomServers(count) {
		s.stop()
		f.engine.after(durationMs, func() { delete(f.servers, s.id) })
	}
}

// releaseServers replaces servers: the old ones drain, and stop.
func (f *fleet) releaseServers(count int) {
	for _, s := range f.randomServers(count) {
		f.startServer(s.spec, s.zone)
		s.draining = true
		f.log.Draining(s.id)
		f.engine.after(checker.DrainMs+drainGraceMs, func() {
			s.stop()
			delete(f.servers, s.id)
		})
	}
}

// degradeServers makes servers worse for some time.
func (f *fleet) degradeServers(count int, durationMs float64, degrade func(*server)) {
	for _, s := range f.randomServers(count) {
		degrade(s)
		f.engine.after(durationMs, func() { s.slowdown, s.lossShare = 1, 0 })
	}
}

func (f *fleet) randomNodes(count int) (out []*node) {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if len(out) < count {
			out = append(out, f.nodes[i])
		}
	}
	return out
}

// randomServers are listed servers that neither crashed nor drain.
func (f *fleet) randomServers(count int) (out []*server) {
	ids := f.serverList
	for _, i := range f.rng.Perm(len(ids)) {
		if s := f.servers[ids[i].ID]; s != nil && !s.dead && !s.draining && len(out) < count {
			out = append(out, s)
		}
	}
	return out
}

package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/membership"
	"example.org/elmspan/settings"
)

const (
	beatMs      = 500.0 // as membership.Service has it
	beatSpread  = 0.1
	meetMs      = 100.0
	leastAdvice = 30.0
	mostAdvice  = 100.0
	connectLost = 300.0 // ms until a connect to a machine that is gone is given up
)

// node is one limiter of the fleet, on the simulated clock.
type node struct {
	f    *fleet
	name string
	id   uint64
	zone string
	life uint64

	policy policy
	view   *membership.View
	told   uint64 // of the view's changes
	up     bool
	frozen float64 // until then it stands still
	born   float64
	downAt float64
	open   map[*flight]bool
	seen   int     // version of the list of servers
	met    float64 // a stranger was called on

	traffic Traffic // from the start of traffic
}

// start begins a life of the limiter.
func (n *node) start() error {
	f := n.f
	n.life++
	p, err := newPolicy(f.policy, limiter.Config{Self: n.id, Incarnation: n.life<<32 | n.id>>32, Zone: n.zone, Seed: f.rng.Uint64(),
		RetryRatio: f.day.RetryBudget.Ratio, RetrySlack: f.day.RetryBudget.Slack,
		GossipBudget: settings.DefaultTuning().Link.GossipBudget(f.day.Network.LinkMbps, f.day.Network.CPUShare)})
	if err != nil {
		return err
	}
	n.policy, n.up, n.born, n.open, n.told, n.seen = p, true, f.engine.now, map[*flight]bool{}, 0, 0
	n.view = membership.NewView(api.Peer{Name: n.name, Addr: n.name, Zone: n.zone, StartID: n.life, Edge: true})
	life := n.life
	n.policy.SetServers(n.clock(), f.list())
	var tick, beat func()
	tick = func() {
		if n.life != life || !n.up {
			return
		}
		if !n.stands() {
			n.policy.Tick(n.clock(), n.tell)
		}
		f.engine.after(n.policy.TickMs(), tick)
	}
	beat = func() {
		if n.life != life || !n.up {
			return
		}
		if !n.stands() {
			n.beat()
		}
		f.engine.after(beatMs*(1+beatSpread*(2*f.rng.Float64()-1)), beat)
	}
	f.engine.after(gossip.TickMs*f.rng.Float64(), tick)
	f.engine.after(beatMs*f.rng.Float64(), beat)
	return nil
}

// clock is the limiter's own steady clock, in ms since its start.
func (n *node) clock() float64 { return n.f.engine.now - n.born }

func (n *node) stands() bool { return n.f.engine.now < n.frozen }

// kill ends the limiter: connections to it break.
func (n *node) kill() {
	n.up, n.downAt = false, n.f.engine.now
	flights := slices.SortedFunc(maps.Keys(n.open), func(a, b *flight) int { return cmp.Compare(a.seq, b.seq) })
	clear(n.open)
	for _, x := range flights {
		x.broken()
	}
}

// tell sends a word.
func (n *node) tell(to uint64, w *gossip.Message) {
	f := n.f
	b := w.Append(nil)
	n.traffic.word(w, len(b))
	o := f.byID[to]
	if o == nil || f.rng.Float64() < f.day.Network.GossipLoss || f.cutOff(n, o) {
		return
	}
	f.engine.after(f.delay(n.zone, o.zone), func() {
		if !o.up {
			return
		}
		var got gossip.Message
		if err := got.Decode(b); err != nil {
			f.ledger.Violation("WORDS", "a word of %s can't be read: %v", n.name, err)
			return
		}
		o.whenAwake(func() {
			if !o.policy.Receive(o.clock(), &got) && f.engine.now-o.met >= meetMs {
				o.met = f.engine.now
				o.exchange(n, o.view.Heartbeat(o.at()))
			}
		})
	})
}

// whenAwake does something now, or once the limiter no longer stands still.
func (n *node) whenAwake(do func()) {
	if !n.stands() {
		do()
		return
	}
	life := n.life
	n.f.engine.after(n.frozen-n.f.engine.now, func() {
		if n.up && n.life == life {
			do()
		}
	})
}

// ---- Membership, as membership.Service hosts it ----

func (n *node) at() time.Duration { return time.Duration(n.clock()*float64(time.Millisecond)) + 1 }

func (n *node) beat() {
	f := n.f
	n.view.DetectFailures(n.at())
	to := n.view.Watchers(n.name)
	if len(to) == 0 { // alone: through a few seeds
		for _, o := range f.nodes[:min(3, len(f.nodes))] {
			to = append(to, o.name)
		}
	}
	for _, name := range to {
		if o := f.byName[name]; o != nil && o != n {
			n.exchange(o, n.view.Heartbeat(n.at()))
		}
	}
	n.news()
}

// exchange sends a heartbeat, and a second round where the views differ.
func (n *node) exchange(o *node, b *api.HeartbeatRequest) {
	f, life := n.f, n.life
	n.traffic.beat(b)
	if f.cutOff(n, o) {
		return
	}
	f.engine.after(f.delay(n.zone, o.zone), func() {
		if !o.up {
			return
		}
		o.whenAwake(func() {
			r := o.view.HandleHeartbeat(o.at(), b)
			o.traffic.answer(r)
			o.news()
			f.engine.after(f.delay(n.zone, o.zone), func() {
				if !n.up || n.life != life || f.cutOff(n, o) {
					return
				}
				again := n.view.HandleResponse(n.at(), r)
				n.news()
				if again != nil {
					n.exchange(o, again)
				}
			})
		})
	})
}

// news passes a changed view on to the limiter.
func (n *node) news() {
	if n.told == n.view.ChangeCount {
		return
	}
	n.told = n.view.ChangeCount
	var peers []quota.Member
	for _, p := range n.view.Peers() {
		if p.Name != n.name && p.State != membership.Dead {
			peers = append(peers, quota.Member{ID: n.f.byName[p.Name].id, Zone: p.Zone})
		}
	}
	n.policy.SetPeers(n.clock(), peers)
}

// ---- Requests ----

// flight is a request in the hands of a limiter.
type flight struct {
	n      *node
	seq    int
	id     string
	tenant string
	class  *scenario.Class
	from   string // zone of the client
	course course
	out    map[string]float64 // servers that have it, since when
	until  float64            // deadline, on the engine's clock
	reply  func(status int, waitMs float64, read bool)
	over   bool
}

// handle works on a request that came in.
func (n *node) handle(x *flight, tenant uint64) {
	f := n.f
	x.n, x.out = n, map[string]float64{}
	f.flights++
	x.seq = f.flights
	n.open[x] = true
	if wait, ok := n.policy.Admit(n.clock(), tenant); !ok {
		x.finish(429, max(leastAdvice, wait), "")
		return
	}
	now := n.clock()
	x.course = n.policy.begin(limiter.Request{Service: x.class.Service, Bulk: x.class.Type == api.Download, Idempotent: x.class.Idempotent(),
		Buffered: true, MaxAttempts: 2, ArrivedMs: now, DeadlineMs: now + x.until - f.engine.now, TargetMs: x.class.TargetMs})
	x.launch(false)
	if wait, may := x.course.hedgeMs(); may && !x.over {
		f.engine.after(wait, func() {
			if !x.over && n.up {
				x.launch(true)
			}
		})
	}
	f.engine.after(x.until-f.engine.now, func() { // what is still out is given up
		for _, id := range slices.Sorted(maps.Keys(x.out)) {
			x.ended(id, balance.Failure, true, false)
		}
	})
}

func (x *flight) launch(hedge bool) {
	n, f := x.n, x.n.f
	id, wait, refused := x.course.launch(n.clock(), hedge)
	if id == "" {
		switch {
		case refused:
			x.finish(503, max(leastAdvice, min(mostAdvice, wait)), "")
		case len(x.out) == 0:
			x.finish(x.course.status(n.clock()), mostAdvice, "")
		}
		return
	}
	x.out[id] = f.engine.now
	if wait, counts := x.course.lateMs(n.clock(), id); counts && wait < x.until-f.engine.now {
		f.engine.after(wait, func() {
			if _, owed := x.out[id]; owed && !x.over && n.up {
				x.course.overdue(n.clock(), id)
			}
		})
	}
	s := f.servers[id]
	if s == nil || s.zone == f.dark {
		f.engine.after(connectLost, func() { x.ended(id, balance.NotSent, false, false) })
		return
	}
	d := f.delay(n.zone, s.zone)
	f.engine.after(d, func() {
		if s.dead {
			f.engine.after(d, func() { x.ended(id, balance.NotSent, false, false) })
			return
		}
		s.arrive(&job{id: x.id, tenant: x.tenant, class: x.class, deadline: x.until, answer: func(r balance.Result, ran, answered bool) {
			if s.zone == f.dark {
				return // nobody hears it: the flight's deadline ends it
			}
			f.engine.after(d, func() { x.ended(id, r, ran, answered) })
		}})
	})
}

// ended goes on after a try at a server.
func (x *flight) ended(id string, r balance.Result, ran, answered bool) {
	n, f := x.n, x.n.f
	since, is := x.out[id]
	if x.over || !is {
		return
	}
	if n.stands() {
		n.whenAwake(func() { x.ended(id, r, ran, answered) })
		return
	}
	delete(x.out, id)
	switch x.course.ended(n.clock(), id, r, ran, answered, f.engine.now-since) {
	case limiter.Deliver:
		x.finish(200, 0, id)
	case limiter.Retry:
		x.launch(false)
	case limiter.GiveUp:
		x.finish(x.course.status(n.clock()), mostAdvice, "")
	}
}

// finish answers the client.
func (x *flight) finish(status int, waitMs float64, by string) {
	n, f := x.n, x.n.f
	x.over = true
	delete(n.open, x)
	for _, id := range slices.Sorted(maps.Keys(x.out)) {
		x.course.givenUp(n.clock(), id, f.engine.now-x.out[id])
	}
	if status != 503 && status != 429 {
		waitMs = 0
	}
	seal := ""
	if status == 200 {
		seal = checker.Seal(by, x.id, nil)
	}
	f.engine.after(f.delay(n.zone, x.from), func() {
		f.ledger.Answered(x.id, status, seal, nil)
		x.reply(status, waitMs, true)
	})
}

// broken tells the client that its connection broke.
func (x *flight) broken() {
	x.over = true
	x.n.f.engine.after(x.n.f.delay(x.n.zone, x.from), func() { x.reply(0, 0, true) })
}

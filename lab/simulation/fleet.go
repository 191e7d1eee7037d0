package simulation

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

const (
	settleMs   = 3000.0 // before traffic, in which the limiters get to know each other
	noticeMs   = 1000.0 // the platform's checks of limiters
	listMs     = 1000.0 // between two looks of the core at the platform's list
	watchMs    = 40.0   // until a limiter has news of the core, at most
	zoneMs     = 0.25   // one way, where the day says nothing
	crossMs    = 1.0
	clients    = 40 // a zone
	keepDeadMs = 500.0
)

// Options say how a day is simulated.
type Options struct {
	Policy   string       // of [Policies]; empty: the gateway's own
	Progress func(string) // is told every simulated five seconds; may be nil
}

// Result is what came of a day.
type Result struct {
	*checker.Report
	Policy   string
	Limiters int
	// Means over the limiters and the time of traffic.
	PerS                                     Traffic
	WordsPerS, BytesPerS, BeatsPerS, Targets float64
	Events                                   uint64
}

// fleet is the simulated world.
type fleet struct {
	engine  engine
	day     *scenario.Day
	policy  string
	rng     *rand.Rand
	ledger  *checker.Log
	tally   *checker.Counter
	nodes   []*node
	byID    map[uint64]*node
	byName  map[string]*node
	servers map[string]*server // that live, and those that crashed while the list shows them
	lives   int
	listed  []api.Server
	version int
	cut     string // this zone's limiters don't hear the others
	dark    string // zone whose servers are not reached
	hot     string
	hotX    float64
	flights int
	asked   int
	open    int // requests of clients that have not ended
	skipped []string
	plans   map[uint64]quota.Plan
}

// Run simulates a day.
func Run(ctx context.Context, day *scenario.Day, o Options) (*Result, error) {
	f := &fleet{day: day, policy: cmp.Or(o.Policy, Elmspan), rng: rand.New(rand.NewPCG(day.Seed, 0x51)), tally: checker.NewCounter(day),
		byID: map[uint64]*node{}, byName: map[string]*node{}, servers: map[string]*server{}}
	f.engine.now = -settleMs
	f.ledger = checker.New(day.RetryBudget, func() time.Duration { return time.Duration(f.engine.now * float64(time.Millisecond)) })
	if err := f.build(); err != nil {
		return nil, err
	}
	for at := -settleMs; at < 0; at += 500 {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		f.engine.until(at)
	}
	f.engine.until(0)
	for _, n := range f.nodes {
		n.traffic = Traffic{}
	}
	f.begin()
	end := day.LengthS * 1000
	for at := 250.0; at <= end; at += 250 {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		f.engine.until(at)
		if o.Progress != nil && int(at)%5000 == 0 {
			o.Progress(f.tally.Progress(f.ledger))
		}
	}
	r := &Result{Policy: f.policy, Limiters: len(f.nodes)}
	for _, n := range f.nodes {
		k := float64(len(f.nodes)) * day.LengthS
		r.PerS.add(&n.traffic, 1/k)
		r.Targets += float64(n.policy.GossipRecipients()) / float64(len(f.nodes))
	}
	r.WordsPerS, r.BytesPerS, r.BeatsPerS = r.PerS.Words, r.PerS.WordBytes(), r.PerS.Beats
	for i := 0; f.open > 0 && i < 200; i++ { // what was asked ends by its deadline
		f.engine.until(f.engine.now + 100)
	}
	if f.open > 0 {
		f.ledger.Violation("LOST", "%d requests never ended", f.open)
	}
	r.Report, r.Events = f.tally.Report(f.ledger), f.engine.done
	r.Notes = append(r.Notes, fmt.Sprintf("%d limiters, each sends words to %.0f others: %.0f words, %.0f bytes, %.1f heartbeats a second",
		r.Limiters, r.Targets, r.WordsPerS, r.BytesPerS, r.BeatsPerS))
	r.Notes = append(r.Notes, r.PerS.String())
	for _, s := range f.skipped {
		r.Notes = append(r.Notes, "not simulated: "+s)
	}
	return r, nil
}

func (f *fleet) build() error {
	plans := map[uint64]quota.Plan{}
	for i := range f.day.Tenants {
		t := &f.day.Tenants[i]
		rate := f.day.Rate(t)
		plans[quota.TenantID(t.Name)] = quota.Plan{Rate: rate, Burst: rate}
		f.ledger.Quota(t.Name, rate, rate)
	}
	for i := range f.day.Services {
		v := &f.day.Services[i]
		for k := range v.Servers {
			f.startServer(v, f.day.Zones[k%len(f.day.Zones)]).bornMs = f.engine.now - 1000*v.WarmupS
		}
	}
	f.look()
	for _, z := range f.day.Zones {
		for i := range f.day.PerZone {
			name := fmt.Sprintf("edge-%s-%d", z, i+1)
			n := &node{f: f, name: name, id: xxhash.Sum64String(name), zone: z}
			f.nodes = append(f.nodes, n)
			f.byID[n.id], f.byName[name] = n, n
		}
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
		n.policy.SetPlans(0, plans)
	}
	f.plans = plans
	// A fleet that has run for long: all know all.
	var all []api.Peer
	for _, n := range f.nodes {
		all = append(all, n.view.Self())
	}
	for _, n := range f.nodes {
		n.view.Merge(1, all)
		n.news()
	}
	var look func()
	look = func() {
		f.look()
		f.engine.after(listMs, look)
	}
	f.engine.after(listMs*f.rng.Float64(), look)
	return nil
}

// list is the platform's list as the core has it.
func (f *fleet) list() []api.Server { return f.listed }

// look has the core ask the platform; a list with news reaches each limiter.
func (f *fleet) look() {
	var list []api.Server
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		list = append(list, f.servers[id].entry(f.engine.now))
	}
	same := slices.EqualFunc(f.listed, list, func(a, b api.Server) bool { return a.ID == b.ID && a.State == b.State })
	if same {
		return
	}
	f.listed = list
	f.version++
	version := f.version
	for _, n := range f.nodes {
		life := n.life
		f.engine.after(watchMs*f.rng.Float64(), func() {
			if n.up && n.life == life && n.seen < version {
				n.whenAwake(func() {
					n.seen = version
					n.policy.SetServers(n.clock(), list)
				})
			}
		})
	}
}

func (f *fleet) startServer(v *scenario.Service, zone string) *server {
	f.lives++
	s := &server{f: f, id: fmt.Sprintf("i-%s-%05d", v.Name, f.lives), zone: zone, spec: v, bornMs: f.engine.now, slow: 1, inHand: map[*job]bool{}}
	f.servers[s.id] = s
	return s
}

func (f *fleet) jobsInOrder(set map[*job]bool) []*job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}

// delay is the time that a message takes, one way.
func (f *fleet) delay(a, b string) float64 {
	ms := cmp.Or(f.day.Network.ZoneMs, zoneMs)
	if a != b {
		ms = cmp.Or(f.day.Network.CrossMs, crossMs)
	}
	return ms * (1 + 0.3*f.rng.ExpFloat64())
}

// cutOff tells that two limiters don't hear each other.
func (f *fleet) cutOff(a, b *node) bool {
	return f.cut != "" && (a.zone == f.cut) != (b.zone == f.cut)
}

// restart starts a limiter again after some time.
func (f *fleet) restart(n *node, afterMs float64) {
	f.engine.after(afterMs, func() {
		if n.up {
			return
		}
		if err := n.start(); err == nil { // its policy is known: it was started before
			n.policy.SetPlans(0, f.plans)
			n.beat()
		}
	})
}

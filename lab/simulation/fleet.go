package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// Times of the modelled world, in ms.
const (
	stabilizationMs  = 3000.0 // before traffic, in which the limiters get to know each other
	readinessCheckMs = 1000.0 // between the platform's checks of limiters
	serverListMs     = 1000.0 // between two reads of the platform's list by the control plane
	maxWatchDelayMs  = 40.0   // until a limiter has an update of the control plane, at most
	sameZoneDelayMs  = 0.25   // one way, where the day says nothing
	crossZoneDelayMs = 1.0    // one way, where the day says nothing
	readyAfterMs     = 500.0  // until the platform takes a started limiter for ready
)

const (
	delayJitter    = 0.3 // mean of the exponential part of a delay, as a share of it
	clientsPerZone = 40  // where the day says nothing
)

// fleet is the simulated world. All of it belongs to the goroutine that runs its engine.
type fleet struct {
	engine  engine
	day     *scenario.Day
	policy  string // of [Policies]
	rng     *rand.Rand
	log     *checker.Log     // what limiters and servers did, for the rules
	counter *checker.Counter // what the clients saw
	plans   map[uint64]quota.Plan

	nodes  []*node
	byID   map[uint64]*node
	byName map[string]*node

	servers        map[string]*server // that run, and crashed ones while the list shows them
	serversStarted int
	serverList     []api.Server // the platform's list as the control plane has it
	listVersion    int

	partitionedZone string // the limiters of this zone and the others don't reach each other
	unreachableZone string // the servers of this zone are not reached
	hotTenant       string // has hotFactor times its traffic
	hotFactor       float64

	requests      int // of clients, so far
	openRequests  int // requests of clients that have not ended
	forwarded     int // requests that limiters took, so far
	skippedFaults []string
}

// newFleet is an empty world at the beginning of the time before traffic.
func newFleet(day *scenario.Day, policy string) *fleet {
	f := &fleet{
		day:     day,
		policy:  cmp.Or(policy, Elmspan),
		rng:     rand.New(rand.NewPCG(day.Seed, 0x51)),
		counter: checker.NewCounter(day),
		plans:   map[uint64]quota.Plan{},
		byID:    map[uint64]*node{},
		byName:  map[string]*node{},
		servers: map[string]*server{},
	}
	f.engine.now = -stabilizationMs
	f.log = checker.New(day.RetryBudget, f.engine.elapsed)
	return f
}

// build starts servers and limiters.
func (f *fleet) build() error {
	f.setQuotas()
	f.startServers()
	f.refreshServers()
	f.addNodes()
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
		n.policy.SetPlans(0, f.plans)
	}
	f.introduceAll()
	var refresh func()
	refresh = func() {
		f.refreshServers()
		f.engine.after(serverListMs, refresh)
	}
	f.engine.after(serverListMs*f.rng.Float64(), refresh)
	return nil
}

func (f *fleet) setQuotas() {
	for i := range f.day.Tenants {
		t := &f.day.Tenants[i]
		rate := f.day.Rate(t)
		f.plans[quota.TenantID(t.Name)] = quota.Plan{Rate: rate, Burst: rate}
		f.log.QuotasSent(1, []api.Tenant{{Name: t.Name, Rate: rate, Burst: rate}})
	}
}

// startServers starts the day's servers, all of them warm.
func (f *fleet) startServers() {
	for i := range f.day.Services {
		v := &f.day.Services[i]
		for k := range v.Servers {
			s := f.startServer(v, f.day.Zones[k%len(f.day.Zones)])
			s.startedMs = f.engine.now - 1000*v.WarmupS
		}
	}
}

func (f *fleet) addNodes() {
	for _, z := range f.day.Zones {
		for i := range f.day.PerZone {
			name := fmt.Sprintf("edge-%s-%d", z, i+1)
			n := &node{fleet: f, name: name, id: xxhash.Sum64String(name), zone: z}
			f.nodes = append(f.nodes, n)
			f.byID[n.id], f.byName[name] = n, n
		}
	}
}

// introduceAll makes all limiters known to all, as in a fleet that has run for long.
func (f *fleet) introduceAll() {
	var all []api.Peer
	for _, n := range f.nodes {
		all = append(all, n.view.Self())
	}
	for _, n := range f.nodes {
		n.view.Merge(1, all)
		n.notifyPolicy()
	}
}

// refreshServers has the control plane read the platform's list; a changed one reaches
// each limiter.
func (f *fleet) refreshServers() {
	var list []api.Server
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		list = append(list, f.servers[id].listEntry(f.engine.now))
	}
	equal := func(a, b api.Server) bool { return a.ID == b.ID && a.State == b.State }
	if slices.EqualFunc(f.serverList, list, equal) {
		return
	}
	f.serverList = list
	f.listVersion++
	version := f.listVersion
	for _, n := range f.nodes {
		incarnation := n.incarnation
		f.engine.after(maxWatchDelayMs*f.rng.Float64(), func() {
			if n.up && n.incarnation == incarnation && n.listVersion < version {
				n.whenResumed(func() {
					n.listVersion = version
					n.policy.SetServers(n.clock(), list)
				})
			}
		})
	}
}

func (f *fleet) startServer(service *scenario.Service, zone string) *server {
	f.serversStarted++
	s := &server{
		fleet:     f,
		id:        fmt.Sprintf("i-%s-%05d", service.Name, f.serversStarted),
		zone:      zone,
		spec:      service,
		startedMs: f.engine.now,
		slowdown:  1,
		accepted:  map[*job]bool{},
	}
	f.servers[s.id] = s
	return s
}

// delay is the time in ms that a message takes, one way. Each call draws from the
// seeded numbers.
func (f *fleet) delay(fromZone, toZone string) float64 {
	ms := cmp.Or(f.day.Network.ZoneMs, sameZoneDelayMs)
	if fromZone != toZone {
		ms = cmp.Or(f.day.Network.CrossMs, crossZoneDelayMs)
	}
	return ms * (1 + delayJitter*f.rng.ExpFloat64())
}

// partitioned reports that two limiters don't reach each other.
func (f *fleet) partitioned(a, b *node) bool {
	return f.partitionedZone != "" && (a.zone == f.partitionedZone) != (b.zone == f.partitionedZone)
}

// restart starts a limiter again after some time.
func (f *fleet) restart(n *node, afterMs float64) {
	f.engine.after(afterMs, func() {
		if n.up {
			return
		}
		if err := n.start(); err == nil { // its policy is known: it was started before
			n.policy.SetPlans(0, f.plans)
			n.sendHeartbeats()
		}
	})
}

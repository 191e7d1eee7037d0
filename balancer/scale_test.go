package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// crowd is a number of limiters that see nothing of each other but messages.
type testFleet struct {
	t        testing.TB
	now      float64
	limiters []*Limiter
	ids      int
	sent     map[uint64]int // by server
	lose     func(from, to int) bool
	tick     bool
}

func newTestFleet(t testing.TB, cfg Settings, n int, servers []ServerInfo) *testFleet {
	t.Helper()
	c := &testFleet{t: t, now: 1e6, sent: map[uint64]int{}, lose: func(int, int) bool { return false }}
	cfg.Balancers = n
	for i := range n {
		cfg.Position = i
		l, err := New(cfg, uint64(i)+9)
		if err != nil {
			t.Fatal(err)
		}
		c.limiters = append(c.limiters, l)
		c.event(i, Endpoints{Scope: Persisted, Servers: servers})
	}
	return c
}

// event hands an event in, serves what is passed on at once, delivers messages
// at once, and returns whether the event's request was passed on.
func (c *testFleet) event(i int, e Event) (passed bool) {
	for _, a := range append([]Action(nil), c.limiters[i].Handle(c.now, e)...) {
		switch a := a.(type) {
		case StartAttempt:
			passed = true
			c.sent[a.Server]++
			c.event(i, Outcome{ID: a.ID, Server: a.Server, Result: Success, LatencyMs: 20, Final: true})
		case SendPeer:
			if !c.lose(i, a.To) {
				c.event(a.To, PeerMessage{From: i, Data: a.Data})
			}
		}
	}
	return passed
}

func (c *testFleet) submit(i int, e Submit) bool {
	c.ids++
	e.ID, e.TimeoutMs = fmt.Sprint("c", c.ids), 1500
	e.Units = max(1, e.Units)
	return c.event(i, e)
}

func (c *testFleet) ticks(ms float64) {
	for end := c.now + ms; c.now < end; {
		c.now += tickIntervalMs
		for i := range c.limiters {
			c.event(i, TimerFired{Name: "tick"})
		}
	}
}

// A customer of a hundred gateways: each sees one request in a while, and all
// together pass its quota, not a burst each. Fails without keepers.
func TestLargeSetHoldsQuota(t *testing.T) {
	const n = 100
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 20
	c := newTestFleet(t, cfg, n, testServers(4))
	c.ticks(6000) // bursts are whole by now
	passed, rng := 0, rand.New(rand.NewPCG(1, 1))
	for range 200 { // ten seconds of 40 units a second on a rate of 10
		for range 2 {
			if c.submit(rng.IntN(n), Submit{Customer: 5, Spread: n}) {
				passed++
			}
		}
		c.ticks(tickIntervalMs)
	}
	if fair := 20 + 10*10; passed < fair*6/10 || passed > fair*13/10 {
		t.Errorf("%d passed in ten seconds, the quota has %d", passed, fair)
	}
}

// The stand-in takes over when the first keeper is gone.
func TestStandbyAggregatorTakesOver(t *testing.T) {
	const n = 40
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 100
	c := newTestFleet(t, cfg, n, testServers(4))
	gone := -1
	c.lose = func(from, to int) bool { return from == gone || to == gone }
	c.submit(0, Submit{Customer: 5, Spread: n})
	gone = c.limiters[0].customers[5].reportsTo[0]
	c.ticks(6000)
	passed := 0
	for k := range 200 {
		if i := k % n; i != gone && c.submit(i, Submit{Customer: 5, Spread: n}) {
			passed++
		}
		c.ticks(tickIntervalMs)
	}
	if passed > 20+130 {
		t.Errorf("%d passed without the first keeper, the quota has 120", passed)
	}
}

// A level told twice, late or by one who is no keeper of the customer.
func TestLevelsFromAggregators(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 40
	s := newLimiterDriver(t, cfg, testServers(4)...)
	s.now += 6000
	s.submit(Submit{Customer: 5, Spread: 40})
	c := s.l.customers[5]
	news := func(from int, level float64) PeerMessage {
		m := peerMessage{flags: flagLevelUpdate, entries: []peerEntry{{customer: 5, level: int64(level * unitScale)}}}
		data, _ := m.encode()
		return PeerMessage{From: from, Data: data}
	}
	stranger := 1
	for stranger == c.reportsTo[0] || stranger == c.reportsTo[1] {
		stranger++
	}
	before := c.balance
	s.do(news(stranger, -50))
	if c.balance != before {
		t.Error("a level from a gateway that is no keeper counted")
	}
	s.now += 500 // what passed here is in the keeper's level by now
	for range 2 {
		s.do(news(c.reportsTo[0], 3))
		if c.balance != 3 {
			t.Errorf("told a level of 3, the balance is %g", c.balance)
		}
	}
}

// Cold servers: the parts of any number of independent gateways add up to less
// than the rule allows. Found in the code: one request a window from each gateway
// was nothing for three gateways and far too much for hundreds.
func TestSlowStartPartsAddUp(t *testing.T) {
	for _, n := range []int{1, 3, 40, 300} {
		cfg := testSettings()
		cfg.Caps.Peers = false
		f := testServers(10)
		f[0].ReadyAt = 1e6
		c := newTestFleet(t, cfg, n, f)
		rng := rand.New(rand.NewPCG(2, 2))
		for range 2000 { // ten seconds at 200 requests a second over all gateways
			i := rng.IntN(n)
			c.submit(i, Submit{Plan: 3, Customer: rng.Uint64N(99), Spread: n})
			l := c.limiters[i] // it takes whatever part it has, as if no other server were better
			for s := l.servers[1]; l.hasSlowStartCredit(c.now, s); s.slowStartCredit-- {
				c.sent[1]++
			}
			c.now += 5
		}
		warm := 0
		for id, k := range c.sent {
			if id != 1 {
				warm += k
			}
		}
		// Mean warmth over the ten seconds is 0.6; the rule allows twice that.
		if mean := float64(warm) / 9; float64(c.sent[1]) > 0.7*mean+3 {
			t.Errorf("%d gateways sent the cold server %d, a warm one %.0f", n, c.sent[1], mean)
		}
	}
}

// A restarted fleet with none but cold servers sends few, however many gateways.
func TestFleetOfServersInSlowStart(t *testing.T) {
	for _, n := range []int{3, 300} {
		cfg := testSettings()
		cfg.Caps.Peers = false
		c := newTestFleet(t, cfg, n, []ServerInfo{{ID: 1, ReadyAt: 1e6}})
		for k := range 2000 {
			c.submit(k%n, Submit{Plan: 3, Customer: uint64(k), Spread: n})
			c.now += 0.5
		}
		if c.sent[1] == 0 || c.sent[1] > 40 {
			t.Errorf("%d gateways sent a cold server %d in its first second", n, c.sent[1])
		}
	}
}

// The shares of a ceiling of hundreds of gateways that hear nothing of each
// other, with restarts, never add up to more than the ceiling.
func TestEscrowPartsAddUp(t *testing.T) {
	const n = 300
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 1e6, Burst: 1e6, HardRate: 400, HardBurst: 900, Price: 1}
	c := newTestFleet(t, cfg, n, testServers(4))
	c.lose = func(int, int) bool { return true }
	rng := rand.New(rand.NewPCG(3, 3))
	c.now += 10000
	store := 900.0
	for range 8000 {
		c.now++
		store = min(900, store+0.4)
		i := rng.IntN(n)
		if c.submit(i, Submit{Plan: 1, Customer: 1, Spread: n}) {
			store--
		}
		if store < 0 {
			t.Fatal("the ceiling is passed")
		}
		if rng.IntN(200) == 0 {
			cfg.Balancers, cfg.Position = n, i
			l, err := New(cfg, rng.Uint64())
			if err != nil {
				t.Fatal(err)
			}
			c.limiters[i] = l
			c.event(i, Endpoints{Scope: Persisted, Servers: testServers(4)})
		}
	}
}

// A server that fails one class only is kept off for that class; peers are told.
func TestServerIsEjectedForOneClass(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	hints := 0
	for range 40 {
		s.now += 100
		id, a := s.submit(Submit{Plan: 3})
		p, ok := a.(StartAttempt)
		if !ok {
			continue
		}
		if p.Server != 1 {
			s.outcome(id, 0, p.Server, Success)
			continue
		}
		for _, b := range s.do(Outcome{ID: id, Server: 1, Result: TimedOut, LatencyMs: 900}) {
			if tell, ok := b.(SendPeer); ok {
				if m, ok := decodePeerMessage(tell.Data); ok && m.flags&flagFailureHint != 0 {
					hints++
				}
			} else if q, ok := b.(StartAttempt); ok {
				s.outcome(id, 1, q.Server, Success)
			}
		}
	}
	if srv := s.l.servers[1]; srv.ejections[0].until <= s.now || srv.ejections[1].until > s.now {
		t.Errorf("class 0 fails at server 1: kept off to %v at %v", srv.ejections, s.now)
	}
	if hints == 0 {
		t.Error("the peer got no hint")
	}
}

// Hints of all gateways together stay within what each takes in, however many
// gateways and failures. Found as two incidents in which they were nine tenths of
// all messages. Fails if each gateway may hint as it likes.
func TestFailureHintsAreBounded(t *testing.T) {
	for _, n := range []int{20, 300} {
		cfg := testSettings()
		cfg.Balancers = n
		told := 0
		for i := range n {
			cfg.Position = i
			l, err := New(cfg, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			l.Handle(0, Endpoints{Scope: Persisted, Servers: testServers(9)})
			for k := range 40 { // two seconds, every fifth answer fails
				now, id := float64(50*k), fmt.Sprint(k)
				for _, a := range l.Handle(now, Submit{ID: id, TimeoutMs: 900, Units: 1, Plan: 3, Class: 2, Spread: 1}) {
					if p, ok := a.(StartAttempt); ok {
						o := Outcome{ID: id, Server: p.Server, LatencyMs: 20, Result: Success, Final: true}
						if k%5 == 0 {
							o.Result, o.Final = ServerError, false
						}
						for _, b := range l.Handle(now, o) {
							if _, ok := b.(SendPeer); ok {
								told++
							}
						}
					}
				}
			}
		}
		// Each takes in 40 a second, of which hintShare are hints, for two seconds.
		// More than a fifth of all would crowd out the levels.
		if each := float64(told) / float64(n); each < 1 || each > min(1.5*2*40*hintMessageShare, 2*40/5.0) {
			t.Errorf("%d gateways: each got %.0f hints in two seconds", n, each)
		}
	}
}

// Hints about servers or classes that the own list and settings do not name
// change nothing; two sound ones keep a server off.
func TestFailureHintsEjectAServer(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	hint := func(server, class uint64) {
		m := peerMessage{flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{{customer: server, plan: class}}}
		data, _ := m.encode()
		s.do(PeerMessage{From: 1, Data: data})
	}
	for range 2 {
		hint(99, 0)
		hint(2, 99)
	}
	if len(s.l.servers) != 4 || s.l.servers[2].ejections[0].failures != 0 {
		t.Error("an unsound hint counted")
	}
	for range 2 {
		hint(2, 0)
	}
	for range 40 {
		if id, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server == 2 {
			t.Fatal("sent to a server that peers say fails")
		} else {
			s.pass(id, a)
		}
	}
}

// A gateway that stood still learns nothing against servers from what was out.
func TestPausedLimiterBlamesNoServer(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(2)...)
	for range 30 {
		id, a := s.submit(Submit{Plan: 3})
		s.pass(id, a)
		s.now += 20
	}
	var ids []string
	var to []uint64
	for range 6 {
		id, a := s.submit(Submit{Plan: 3})
		ids, to = append(ids, id), append(to, a.(StartAttempt).Server)
	}
	work := s.l.typicalMs[0]
	s.now += 1600
	for k, id := range ids {
		s.do(Outcome{ID: id, Server: to[k], Result: TimedOut, LatencyMs: 1600})
	}
	if s.l.typicalMs[0] != work || s.l.servers[1].ejections[0].failures+s.l.servers[2].ejections[0].failures > 0 {
		t.Error("the gateway's own pause counted against servers")
	}
}

// What a customer costs does not grow with gateways that never touched it.
func TestCustomerCostIsIndependentOfFleetSize(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 470
	s := newLimiterDriver(t, cfg, testServers(4)...)
	s.submit(Submit{Customer: 5, Spread: 200})
	s.do(TimerFired{Name: "tick"})
	if n := len(s.l.customers[5].peerViews); n > aggregatorCount {
		t.Errorf("a customer of 200 gateways has %d records of peers, want %d", n, aggregatorCount)
	}
}

// BenchmarkHandle serves requests at a gateway of 470 with 90 servers.
func BenchmarkHandle(b *testing.B) {
	cfg := testSettings()
	cfg.Balancers, cfg.PeerMessagesPerSecond = 470, 40
	l, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	l.Handle(0, Endpoints{Scope: Persisted, Servers: testServers(90)})
	for k := range b.N {
		now := 10000 + float64(k)*300
		id := fmt.Sprint(k)
		for _, a := range l.Handle(now, Submit{ID: id, TimeoutMs: 900, Units: 1, Customer: uint64(k % 300), Spread: 100}) {
			if p, ok := a.(StartAttempt); ok {
				l.Handle(now+20, Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 20, Final: true})
				break
			}
		}
		l.Handle(now+50, TimerFired{Name: "tick"})
	}
}

// Six in ten servers of a large fleet are replaced: the cold ones get at once what
// they can bear, and the warm ones are not left with all of the load. Fails where
// each gateway takes the best server that it sees, as all see the same.
func TestReplacedServersShareLoad(t *testing.T) {
	const n, servers, cold = 80, 60, 36
	cfg := testSettings()
	cfg.Caps.Peers = false
	cfg.Rules.SlowStartShare, cfg.Rules.SlowStartMs = 0.3, 16000
	f := testServers(servers)
	c := newTestFleet(t, cfg, n, f)
	rng := rand.New(rand.NewPCG(3, 3))
	run := func(requests int) { // 400 a second over all gateways
		clear(c.sent)
		for range requests {
			c.submit(rng.IntN(n), Submit{Plan: 3, Customer: rng.Uint64N(99), Spread: n})
			c.now += 2.5
		}
	}
	run(4000)
	for i := range cold {
		f[i].ReadyAt = c.now
	}
	for i := range n {
		c.event(i, Endpoints{Scope: Complete, Servers: f})
	}
	const requests = 2000 // five seconds; the mean warmth is 0.41
	run(requests)
	got := 0
	for i := range cold {
		got += c.sent[f[i].ID]
		if part := float64(c.sent[f[i].ID]); part > 2*0.41*requests/servers {
			t.Errorf("cold server %d was sent %g", i, part)
		}
	}
	fair := requests * cold * 0.41 / (cold*0.41 + servers - cold)
	if float64(got) < 0.8*fair || float64(got) > 1.1*fair {
		t.Errorf("%d of %d went to the cold servers, which can bear %.0f", got, requests, fair)
	}
	for i := cold; i < servers; i++ {
		if mean := float64(requests-got) / (servers - cold); float64(c.sent[f[i].ID]) > 1.6*mean {
			t.Errorf("warm server %d was sent %d, the mean one %.0f", i, c.sent[f[i].ID], mean)
		}
	}
}

// A gateway of many uses few servers, every server has equally many gateways, and
// a change of the list moves little. Fails where each chooses among all.
func TestSubsetsAreBalanced(t *testing.T) {
	const n, servers = 80, 60
	cfg := testSettings()
	f := testServers(servers)
	c := newTestFleet(t, cfg, n, f)
	pairs := func() (of map[[2]uint64]bool) {
		of = map[[2]uint64]bool{}
		for i, l := range c.limiters {
			for id, s := range l.servers {
				if s.inSubset {
					of[[2]uint64{uint64(i), id}] = true
				}
			}
		}
		return of
	}
	before := pairs()
	at := map[uint64]int{}
	for p := range before {
		at[p[1]]++
	}
	for _, s := range f {
		if at[s.ID] < n/4-4 || at[s.ID] > n/4+4 {
			t.Errorf("server %d has %d gateways of %d", s.ID, at[s.ID], n)
		}
	}
	used := map[[2]int]bool{}
	for k := range 4000 {
		l := c.limiters[k%n]
		for _, a := range append([]Action(nil), l.Handle(c.now, Submit{ID: fmt.Sprint(k), TimeoutMs: 1500, Plan: 3,
			Customer: 1, Spread: n, Units: 1})...) {
			if a, ok := a.(StartAttempt); ok {
				used[[2]int{k % n, int(a.Server)}] = true
				l.Handle(c.now, Outcome{ID: a.ID, Server: a.Server, Result: Success, LatencyMs: 20, Final: true})
			}
		}
		c.now += 2.5
	}
	if len(used) == 0 || len(used) > n*servers/4 {
		t.Errorf("%d gateways use %d connections to %d servers", n, len(used), servers)
	}
	gone := f[7]
	gone.Phase = Removed
	for i := range n {
		c.event(i, Endpoints{Scope: Partial, Servers: []ServerInfo{gone}})
	}
	after, moved := pairs(), 0
	for p := range after {
		if !before[p] {
			moved++
		}
	}
	if moved > 2*n { // the one that is gone, and a place at each edge
		t.Errorf("%d of %d pairs are new after one server went", moved, len(after))
	}
	// With its subset out of reach a gateway goes on with the others.
	l := c.limiters[0]
	for _, s := range l.servers {
		s.down = s.inSubset
	}
	if !c.submit(0, Submit{Plan: 3, Customer: 1, Spread: n}) {
		t.Error("a gateway whose subset is down turned a request away")
	}
}

// A customer of eleven gateways has most of its requests come through one, which
// needs more of the ceiling than an equal share. Fails without grants. Whatever is
// lost, and with gateways starting anew, all together never pass the ceiling.
func TestEscrowGrantsFollowDemand(t *testing.T) {
	const n = 11
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 12, Burst: 22, HardRate: 25, HardBurst: 46, Price: 1}
	for _, p := range []struct {
		demand, skew, lost float64
		restarts           bool
		least              float64 // share that passes
	}{{8, 0.7, 0.1, false, 0.85}, {8, 0.7, 1, false, 0}, {400, 0.2, 0.3, false, 0}, {60, 0.5, 0.5, true, 0}, {400, 0.9, 0.9, true, 0}} {
		c := newTestFleet(t, cfg, n, testServers(4))
		rng := rand.New(rand.NewPCG(4, 4))
		c.lose = func(int, int) bool { return rng.Float64() < p.lost }
		c.now += 10000
		c.ticks(tickIntervalMs)
		store, at, asked, passed := 46.0, c.now, 0.0, 0.0
		for end := c.now + 20000; c.now < end; {
			c.ticks(tickIntervalMs)
			for range int(p.demand*tickIntervalMs/1000/1.5 + rng.Float64()) {
				i, units := 1+rng.IntN(n-1), float64(1+rng.IntN(2))
				if rng.Float64() < p.skew {
					i = 3
				}
				asked += units
				if c.submit(i, Submit{Plan: 1, Customer: 1, Spread: n, Units: units}) {
					store, at = min(46, store+(c.now-at)*25/1000)-units, c.now
					passed += units
				}
				if store < -1e-6 {
					t.Fatalf("%+v: the ceiling is passed by %g", p, -store)
				}
			}
			if p.restarts && rng.IntN(10) == 0 {
				cfg.Balancers, cfg.Position = n, rng.IntN(n)
				l, err := New(cfg, rng.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				c.limiters[cfg.Position] = l
				c.event(cfg.Position, Endpoints{Scope: Persisted, Servers: testServers(4)})
			}
		}
		if passed < p.least*asked {
			t.Errorf("%+v: %.0f of %.0f units passed", p, passed, asked)
		}
	}
}

// Levels of a plan that is worth little are told seldom, however far its customers
// ask beyond their quotas: each is told to dozens of gateways, which take in only so
// many messages. Fails where it may wait but four times as long as the mean plan.
func TestLevelsOfCheapPlansLeaveRoom(t *testing.T) {
	const n = 60
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 0.84, Burst: 4, Price: 0.8}, {Rate: 3, Burst: 11, Price: 1.2}, {Rate: 12, Burst: 22, Price: 1.8}}
	c := newTestFleet(t, cfg, n, testServers(4))
	told := map[uint64]int{}
	c.lose = func(int, int) bool { return false }
	for step := range 400 { // twenty seconds; each asks for some four times its quota
		for plan, each := range []int{6, 2, 1} {
			if step%each == 0 {
				c.submit((step*7+plan)%n, Submit{Customer: uint64(plan), Plan: plan, Spread: n, Units: 1 + float64(plan)})
			}
		}
		c.now += tickIntervalMs
		for i, l := range c.limiters {
			for _, a := range append([]Action(nil), l.Handle(c.now, TimerFired{Name: "tick"})...) {
				if a, ok := a.(SendPeer); ok {
					if m, _ := decodePeerMessage(a.Data); m.flags == flagLevelUpdate {
						told[m.entries[0].plan]++
					}
					c.event(a.To, PeerMessage{From: i, Data: a.Data})
				}
			}
		}
	}
	if told[0] == 0 || told[0] > 10*n || told[0]*2 > told[1] {
		t.Errorf("levels told, by plan from the cheapest: %v", told)
	}
}

// A fleet that has just begun has full ceilings as soon as its gateways have heard of
// each other; one gateway that starts among older ones has none, nor one whose peers
// are silent. Fails where every start begins with nothing.
func TestNewFleetStartsWithFullEscrow(t *testing.T) {
	const n = 20
	cfg := testSettings()
	ask := func(c *testFleet, i int) bool { // three units are most of a full share
		return c.submit(i, Submit{Plan: 1, Customer: 1, Spread: 10, Units: 3})
	}
	c := newTestFleet(t, cfg, n, testServers(4))
	c.ticks(8 * tickIntervalMs)
	if !ask(c, 1) {
		t.Error("a fleet that has just begun has none of a ceiling's burst")
	}
	c.now += 60000
	cfg.Balancers, cfg.Position = n, 2
	l, err := New(cfg, 5)
	if err != nil {
		t.Fatal(err)
	}
	c.limiters[2] = l
	c.event(2, Endpoints{Scope: Persisted, Servers: testServers(4)})
	c.ticks(8 * tickIntervalMs)
	if ask(c, 2) {
		t.Error("a gateway that started among older ones has a part of a ceiling's burst")
	}
	c = newTestFleet(t, cfg, n, testServers(4))
	c.lose = func(int, int) bool { return true }
	c.ticks(8 * tickIntervalMs)
	if ask(c, 1) {
		t.Error("a gateway that heard nothing has a part of a ceiling's burst")
	}
}

// One of many gateways spreads what it has out at once over different servers: a
// further request at a busy one waits there, and needs a connection of its own.
// Fails where chance alone decides.
func TestBusyServersComeLast(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 80
	twice := 0
	for seed := range uint64(50) {
		l, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(1000, Endpoints{Scope: Persisted, Servers: testServers(12)})
		used := map[uint64]bool{}
		for k := range 6 {
			for _, a := range l.Handle(1000, Submit{ID: fmt.Sprint(k), TimeoutMs: 1500, Plan: 3, Spread: 1, Units: 1}) {
				if a, ok := a.(StartAttempt); ok {
					if used[a.Server] {
						twice++
					}
					used[a.Server] = true
				}
			}
		}
		if len(used) < 2 {
			t.Errorf("seed %d: only %d servers were used", seed, len(used))
		}
	}
	if twice > 50*6/15 {
		t.Errorf("%d of %d requests went to a server in use, with six idle ones left", twice, 50*6)
	}
}

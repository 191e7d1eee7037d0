package balancer

// A fleet of limiters under random events, and the checks of their actions.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomFleet drives several limiters with random valid events and checks their actions against
// the rules on attempts, repeated execution, final responses, slow start and hard limits. It
// does not model load or speed: outcomes, delays, losses, restarts and changes of the list are
// drawn independently of the requests.
type randomFleet struct {
	t                *testing.T
	rng              *rand.Rand
	now              float64
	cfg              Settings
	limiters         []*Limiter
	servers          map[uint64]ServerInfo
	listed           []map[uint64]ServerInfo // last list of each limiter
	requests         []map[string]*randomRequest
	timers           []randomTimer
	hardBalances     []float64              // balance of the hard limit of each customer
	sentTimes        []map[uint64][]float64 // by limiter and server: times of the attempts
	ids              int
	messages         []randomMessage
	finishedRequests int
}

type randomRequest struct {
	id            string
	submit        Submit
	deadline      float64
	inFlight      map[int]StartAttempt
	sent          []StartAttempt
	sentAt        []float64
	maybeExecuted []int // attempts that may have been executed
	finished      bool
}

type randomTimer struct {
	at      float64
	limiter int
	name    string
	setBy   *Limiter // the instance that set it, which may have been replaced
}

type randomMessage struct {
	to      int
	at      float64
	message PeerMessage
}

const randomLimiters = 3

func (c *randomFleet) start(i int) {
	cfg := c.cfg
	cfg.Position = i
	l, err := New(cfg, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.limiters[i], c.requests[i], c.listed[i] = l, map[string]*randomRequest{}, map[uint64]ServerInfo{}
	c.sentTimes[i] = map[uint64][]float64{}
	c.sendList(i, Persisted)
}

func (c *randomFleet) list() (s []ServerInfo) {
	for _, info := range c.servers {
		s = append(s, info)
	}
	slices.SortFunc(s, func(a, b ServerInfo) int { return int(a.ID) - int(b.ID) })
	return s
}

func (c *randomFleet) sendList(i int, scope Scope) {
	if scope != Partial {
		c.listed[i] = map[uint64]ServerInfo{}
	}
	for _, s := range c.list() {
		c.listed[i][s.ID] = s
	}
	c.event(i, Endpoints{Scope: scope, Servers: c.list()})
}

func (c *randomFleet) event(i int, e Event) {
	for _, a := range c.limiters[i].Handle(c.now, e) {
		c.action(i, a)
	}
}

// action checks an action of a limiter and executes it.
func (c *randomFleet) action(i int, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		c.startAttempt(i, a)
	case Reject:
		c.reject(i, a)
	case Fail:
		if r := c.requests[i][a.ID]; r != nil && !r.finished {
			c.finish(r)
		}
	case CancelAttempt:
		if r := c.requests[i][a.ID]; r != nil && a.Attempt >= len(r.sent) {
			c.t.Fatal("canceled an attempt that was never started")
		}
	case SetTimer:
		c.timers = append(c.timers, randomTimer{a.At, i, a.Name, c.limiters[i]})
	case SendPeer:
		if len(a.Data) > maxPeerBytes || a.To == i {
			c.t.Fatalf("invalid message of %d bytes to limiter %d", len(a.Data), a.To)
		}
		if c.rng.Float64() < 0.9 {
			message := PeerMessage{From: i, Data: a.Data}
			c.messages = append(c.messages, randomMessage{a.To, c.now + 40*c.rng.Float64(), message})
		}
	}
}

// startAttempt checks that an attempt may be started: the request is unfinished, the server is
// up, and the limits of attempts and the rules on repeated execution are kept.
func (c *randomFleet) startAttempt(i int, a StartAttempt) {
	r := c.requests[i][a.ID]
	if r == nil || r.finished {
		c.t.Fatalf("forwarded %s, which is finished", a.ID)
	}
	info, ok := c.listed[i][a.Server]
	if !ok || info.Phase != Up {
		c.t.Fatalf("forwarded to server %d, which is draining, removed or was never listed", a.Server)
	}
	if len(r.inFlight) > 0 && !c.cfg.Caps.Hedging {
		c.t.Fatal("two attempts of a request in flight at once")
	}
	if len(r.sent) >= c.cfg.Caps.MaxAttempts {
		c.t.Fatal("more attempts than Caps.MaxAttempts")
	}
	for _, k := range r.maybeExecuted {
		c.checkRepeat(i, r, k, info)
	}
	if len(r.sent) == 0 {
		c.spendHardLimit(r.submit)
	}
	c.sentTimes[i][a.Server] = append(c.sentTimes[i][a.Server], c.now)
	c.checkSlowStart(i, info)
	r.inFlight[len(r.sent)] = a
	r.sent = append(r.sent, a)
	r.sentAt = append(r.sentAt, c.now)
}

// checkRepeat checks that a request whose attempt k may have been executed may be forwarded to
// another server.
func (c *randomFleet) checkRepeat(i int, r *randomRequest, k int, info ServerInfo) {
	class := c.cfg.Classes[r.submit.Class]
	before := c.listed[i][r.sent[k].Server]
	switch {
	case class.Idempotency == Unsafe:
		c.t.Fatal("an unsafe request that may have been executed was retried")
	case class.Idempotency == Keyed && class.DedupScope == DedupCell && before.Cell != info.Cell:
		c.t.Fatal("a keyed request was retried in another cell")
	case class.Idempotency == Keyed && c.now >= r.sentAt[k]+class.DedupWindowMs:
		c.t.Fatal("a keyed request was retried after its deduplication window")
	}
}

// reject checks that a rejected request can be retried by its client.
func (c *randomFleet) reject(i int, a Reject) {
	r := c.requests[i][a.ID]
	if r == nil || r.finished {
		return
	}
	class := c.cfg.Classes[r.submit.Class]
	harmless := class.Idempotency == Safe || class.Idempotency == Keyed && class.DedupScope == DedupAll
	if !harmless && (len(r.maybeExecuted) > 0 || len(r.inFlight) > 0) {
		c.t.Fatalf("rejected a request of class %d that may have been executed", r.submit.Class)
	}
	c.finish(r)
}

// slowStartShare is the share of its capacity that a server has by its age.
func (c *randomFleet) slowStartShare(info ServerInfo) float64 {
	if info.ReadyAt <= 0 {
		return 1
	}
	r := c.cfg.ServerLimits
	return min(1, r.SlowStartShare+(1-r.SlowStartShare)*(c.now-info.ReadyAt)/r.SlowStartMs)
}

// checkSlowStart checks that a limiter keeps to its part of a server in slow start: what it
// sends to the busiest warm server in the same window, times the share of capacity and the
// overload factor, plus a few requests for random variation and for differences in work.
func (c *randomFleet) checkSlowStart(i int, info ServerInfo) {
	share := c.slowStartShare(info)
	if share >= 1 {
		return
	}
	since := func(id uint64, from float64) (n float64) {
		for _, at := range c.sentTimes[i][id] {
			if at > from {
				n++
			}
		}
		return n
	}
	busiest := 0.0 // what was sent to a server while it was warm still counts
	for id := range c.listed[i] {
		if id != info.ID {
			busiest = max(busiest, since(id, c.now-3*c.cfg.ServerLimits.OverloadMs))
		}
	}
	n := since(info.ID, max(info.ReadyAt, c.now-c.cfg.ServerLimits.OverloadMs))
	if n > 3+c.cfg.ServerLimits.OverloadFactor*share*busiest {
		c.t.Fatalf("server %d, at %.2f of its capacity in slow start, got %g requests per window, the busiest %g",
			info.ID, share, n, busiest)
	}
}

func (c *randomFleet) finish(r *randomRequest) {
	r.finished = true
	c.finishedRequests++
	if c.now > r.deadline+8 {
		c.t.Fatalf("the final response to %s was %g ms late", r.id, c.now-r.deadline)
	}
}

func (c *randomFleet) spendHardLimit(s Submit) {
	if c.cfg.Plans[s.Plan].HardRate == 0 {
		return
	}
	left := &c.hardBalances[s.Customer]
	if *left -= s.Units; *left < -1e-6 {
		c.t.Fatalf("the hard limit of customer %d is exceeded by %g", s.Customer, -*left)
	}
}

// endAttempt ends an attempt in flight with a given result, or a random one if forced is
// negative.
func (c *randomFleet) endAttempt(i int, r *randomRequest, attempt int, forced Result) {
	delete(r.inFlight, attempt)
	result := forced
	if result < 0 {
		result = Result(c.rng.IntN(8))
	}
	if !provesNotExecuted(result) {
		r.maybeExecuted = append(r.maybeExecuted, attempt)
	}
	final := r.finished
	if result == Success && !r.finished {
		c.finish(r)
		final = true
	}
	c.event(i, Outcome{ID: r.id, Attempt: attempt, Server: r.sent[attempt].Server, Result: result,
		LatencyMs: c.now - r.sentAt[attempt], Final: final, Load: Load{Busy: float64(c.rng.IntN(9) - 1)}})
}

// step advances the time and makes one random event.
func (c *randomFleet) step() {
	dt := min(4, c.rng.ExpFloat64()*3)
	c.now += dt
	for k := range c.hardBalances {
		p := c.cfg.Plans[1]
		c.hardBalances[k] = min(p.HardBurst, c.hardBalances[k]+dt*p.HardRate/1000)
	}
	c.fireTimers()
	c.deliverMessages()
	for i := range c.requests {
		c.endAttempts(i)
	}
	i := c.rng.IntN(randomLimiters)
	switch u := c.rng.Float64(); {
	case u < 0.8:
		c.submit(i)
	case u < 0.81:
		c.clientDisconnects(i)
	case u < 0.815: // the limiter restarts with its last list
		c.start(i)
	case u < 0.83:
		c.changeServer()
	case u < 0.85:
		c.event(i, ProbeResult{Server: uint64(1 + c.rng.IntN(9)), Result: Result(c.rng.IntN(8))})
	case u < 0.86:
		from := c.rng.IntN(4)
		data := []byte{peerMagic, peerVersion, byte(c.rng.IntN(9)), 1, 2, 3, 4, 5, 6, 7}
		c.event(i, PeerMessage{From: from, Data: data})
	}
}

// fireTimers fires the timers that are due, except those set by limiters that have restarted.
func (c *randomFleet) fireTimers() {
	for k := 0; k < len(c.timers); k++ {
		if tm := c.timers[k]; tm.at <= c.now {
			c.timers = slices.Delete(c.timers, k, k+1)
			k--
			if c.limiters[tm.limiter] == tm.setBy {
				c.event(tm.limiter, TimerFired{Name: tm.name})
			}
		}
	}
}

// deliverMessages delivers the messages that are due.
func (c *randomFleet) deliverMessages() {
	for k := 0; k < len(c.messages); k++ {
		if m := c.messages[k]; m.at <= c.now {
			c.messages = slices.Delete(c.messages, k, k+1)
			k--
			c.event(m.to, m.message)
		}
	}
}

// endAttempts ends a limiter's attempts at their deadline, and others at random. A request
// without attempts in flight must have its final response.
func (c *randomFleet) endAttempts(i int) {
	ids := make([]string, 0, len(c.requests[i]))
	for id := range c.requests[i] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests[i][id]
		for k := range r.sent {
			if _, inFlight := r.inFlight[k]; inFlight && c.now >= r.deadline {
				c.endAttempt(i, r, k, TimedOut)
			} else if inFlight && c.rng.Float64() < 0.05 {
				c.endAttempt(i, r, k, -1)
			}
		}
		if len(r.inFlight) > 0 {
			continue
		}
		if !r.finished {
			c.t.Fatalf("%s has neither a final response nor an attempt in flight", id)
		}
		delete(c.requests[i], id)
	}
}

// submit submits a random request, which must get an attempt or a final response at once.
func (c *randomFleet) submit(i int) {
	c.ids++
	plan := c.rng.IntN(len(c.cfg.Plans))
	s := Submit{ID: fmt.Sprint("q", c.ids), TimeoutMs: 50 + 1950*c.rng.Float64(), Units: float64(1 + c.rng.IntN(4)),
		Class: c.rng.IntN(len(c.cfg.Classes)), Plan: plan, Customer: uint64(plan + len(c.cfg.Plans)*c.rng.IntN(4)),
		LimiterCount: randomLimiters}
	r := &randomRequest{id: s.ID, submit: s, deadline: c.now + s.TimeoutMs, inFlight: map[int]StartAttempt{}}
	c.requests[i][s.ID] = r
	c.event(i, s)
	if len(r.sent) == 0 && !r.finished {
		c.t.Fatalf("%s got no response", s.ID)
	}
}

// clientDisconnects lets the client of a limiter's first request disconnect.
func (c *randomFleet) clientDisconnects(i int) {
	for _, id := range firstID(c.requests[i]) {
		if r := c.requests[i][id]; !r.finished {
			r.finished = true
			c.event(i, ClientDisconnected{ID: id})
		}
	}
}

// changeServer lets a random server drain, be removed, restart or be added, and sends all
// limiters a complete or partial list.
func (c *randomFleet) changeServer() {
	id := uint64(1 + c.rng.IntN(8))
	info := c.servers[id]
	info.Phase = Phase(c.rng.IntN(3))
	if c.rng.Float64() < 0.5 {
		info.Phase, info.ReadyAt = Up, c.now
	}
	c.servers[id] = info
	for k := range c.limiters {
		c.sendList(k, Scope(c.rng.IntN(2)))
	}
}

// firstID returns the smallest id, or nothing if there is none.
func firstID(m map[string]*randomRequest) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(1, len(ids))]
}

package balancer

// This file has a fleet of limiters under random events, and the checks of what they do.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomFleet drives several limiters with random legal events and checks the five
// rules on what they do. It has no notion of load or speed: outcomes, delays,
// losses, restarts and list changes are drawn blindly.
type randomFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      float64
	cfg      Settings
	limiters []*Limiter
	servers  map[uint64]ServerInfo
	listed   []map[uint64]ServerInfo // the last list of each limiter
	open     []map[string]*randomRequest
	timers   []randomTimer
	store    []float64              // true store of the hard limit of each customer
	sends    []map[uint64][]float64 // by limiter and server: when it was sent to
	ids      int
	mail     []randomMail
	done     int
}

type randomRequest struct {
	id       string
	submit   Submit
	deadline float64
	live     map[int]StartAttempt
	sent     []StartAttempt
	sentAt   []float64
	ran      []int // attempts that may have run
	over     bool
}

type randomTimer struct {
	at   float64
	who  int
	name string
	l    *Limiter
}

type randomMail struct {
	to  int
	at  float64
	msg PeerMessage
}

const randomLimiters = 3

func (c *randomFleet) start(i int) {
	cfg := c.cfg
	cfg.Position = i
	l, err := New(cfg, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.limiters[i], c.open[i], c.listed[i] = l, map[string]*randomRequest{}, map[uint64]ServerInfo{}
	c.sends[i] = map[uint64][]float64{}
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

// action checks one action of a limiter and carries it out.
func (c *randomFleet) action(i int, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		c.startAttempt(i, a)
	case Reject:
		c.reject(i, a)
	case Fail:
		if r := c.open[i][a.ID]; r != nil && !r.over {
			c.finish(r)
		}
	case CancelAttempt:
		if r := c.open[i][a.ID]; r != nil && a.Attempt >= len(r.sent) {
			c.t.Fatal("canceled an attempt that was never made")
		}
	case SetTimer:
		c.timers = append(c.timers, randomTimer{a.At, i, a.Name, c.limiters[i]})
	case SendPeer:
		if len(a.Data) > maxPeerBytes || a.To == i {
			c.t.Fatalf("bad message of %d bytes to %d", len(a.Data), a.To)
		}
		if c.rng.Float64() < 0.9 {
			message := PeerMessage{From: i, Data: a.Data}
			c.mail = append(c.mail, randomMail{a.To, c.now + 40*c.rng.Float64(), message})
		}
	}
}

// startAttempt checks that an attempt may be made: the request is open, the server is up, and
// no rule on the number of attempts or on a second execution is broken.
func (c *randomFleet) startAttempt(i int, a StartAttempt) {
	r := c.open[i][a.ID]
	if r == nil || r.over {
		c.t.Fatalf("sent %s, which is over", a.ID)
	}
	info, ok := c.listed[i][a.Server]
	if !ok || info.Phase != Up {
		c.t.Fatalf("sent to server %d, which drains, is gone or was never listed", a.Server)
	}
	if len(r.live) > 0 && !c.cfg.Caps.Hedging {
		c.t.Fatal("two attempts in flight at once")
	}
	if len(r.sent) >= c.cfg.Caps.MaxAttempts {
		c.t.Fatal("more attempts than allowed")
	}
	for _, k := range r.ran {
		c.checkRepeat(i, r, k, info)
	}
	if len(r.sent) == 0 {
		c.spendHardLimit(r.submit)
	}
	c.sends[i][a.Server] = append(c.sends[i][a.Server], c.now)
	c.checkSlowStart(i, info)
	r.live[len(r.sent)] = a
	r.sent = append(r.sent, a)
	r.sentAt = append(r.sentAt, c.now)
}

// checkRepeat checks that a request whose attempt k may have been executed may be sent to a
// server once more.
func (c *randomFleet) checkRepeat(i int, r *randomRequest, k int, info ServerInfo) {
	class := c.cfg.Classes[r.submit.Class]
	before := c.listed[i][r.sent[k].Server]
	switch {
	case class.Idempotency == Unsafe:
		c.t.Fatal("an unsafe request that may have been executed was retried")
	case class.Idempotency == Keyed && class.DedupScope == DedupCell && before.Cell != info.Cell:
		c.t.Fatal("a keyed request left its cell")
	case class.Idempotency == Keyed && c.now >= r.sentAt[k]+class.DedupWindowMs:
		c.t.Fatal("a keyed request was retried after its window")
	}
}

// reject checks that a rejected request can be retried by its client.
func (c *randomFleet) reject(i int, a Reject) {
	r := c.open[i][a.ID]
	if r == nil || r.over {
		return
	}
	class := c.cfg.Classes[r.submit.Class]
	harmless := class.Idempotency == Safe || class.Idempotency == Keyed && class.DedupScope == DedupAll
	if !harmless && (len(r.ran) > 0 || len(r.live) > 0) {
		c.t.Fatalf("rejected a request of class %d that may have been executed", r.submit.Class)
	}
	c.finish(r)
}

// warmth is what rule 4 lets a server of that age be counted for.
func (c *randomFleet) warmth(info ServerInfo) float64 {
	if info.ReadyAt <= 0 {
		return 1
	}
	r := c.cfg.ServerLimits
	return min(1, r.SlowStartShare+(1-r.SlowStartShare)*(c.now-info.ReadyAt)/r.SlowStartMs)
}

// checkSlowStart holds a limiter to its part of a server in slow start's budget: the rule's
// multiple of its warmth times what the limiter sends to the busiest warm
// server in the same window, and a few for chance and for works of other sizes.
func (c *randomFleet) checkSlowStart(i int, info ServerInfo) {
	w := c.warmth(info)
	if w >= 1 {
		return
	}
	since := func(id uint64, from float64) (n float64) {
		for _, at := range c.sends[i][id] {
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
	if n > 3+c.cfg.ServerLimits.OverloadFactor*w*busiest {
		c.t.Fatalf("server in slow start %d (warmth %.2f) got %g in a window, the busiest warm one %g", info.ID, w,
			n, busiest)
	}
}

func (c *randomFleet) finish(r *randomRequest) {
	r.over = true
	c.done++
	if c.now > r.deadline+8 {
		c.t.Fatalf("%s answered %g ms late", r.id, c.now-r.deadline)
	}
}

func (c *randomFleet) spendHardLimit(s Submit) {
	if c.cfg.Plans[s.Plan].HardRate == 0 {
		return
	}
	left := &c.store[s.Customer]
	if *left -= s.Units; *left < -1e-6 {
		c.t.Fatalf("the hard limit of customer %d is passed by %g", s.Customer, -*left)
	}
}

// endAttempt ends one attempt that is out with a drawn result.
func (c *randomFleet) endAttempt(i int, r *randomRequest, attempt int, forced Result) {
	delete(r.live, attempt)
	result := forced
	if result < 0 {
		result = Result(c.rng.IntN(8))
	}
	if !provesNotExecuted(result) {
		r.ran = append(r.ran, attempt)
	}
	done := r.over
	if result == Success && !r.over {
		c.finish(r)
		done = true
	}
	c.event(i, Outcome{ID: r.id, Attempt: attempt, Server: r.sent[attempt].Server, Result: result,
		LatencyMs: c.now - r.sentAt[attempt], Final: done, Load: Load{Busy: float64(c.rng.IntN(9) - 1)}})
}

// step lets some time pass and makes one random event.
func (c *randomFleet) step() {
	dt := min(4, c.rng.ExpFloat64()*3)
	c.now += dt
	for k := range c.store {
		p := c.cfg.Plans[1]
		c.store[k] = min(p.HardBurst, c.store[k]+dt*p.HardRate/1000)
	}
	c.fireTimers()
	c.deliverMail()
	for i := range c.open {
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

// fireTimers fires the timers that are due, but not those of limiters that have restarted.
func (c *randomFleet) fireTimers() {
	for k := 0; k < len(c.timers); k++ {
		if tm := c.timers[k]; tm.at <= c.now {
			c.timers = slices.Delete(c.timers, k, k+1)
			k--
			if c.limiters[tm.who] == tm.l {
				c.event(tm.who, TimerFired{Name: tm.name})
			}
		}
	}
}

// deliverMail delivers the messages that are due.
func (c *randomFleet) deliverMail() {
	for k := 0; k < len(c.mail); k++ {
		if m := c.mail[k]; m.at <= c.now {
			c.mail = slices.Delete(c.mail, k, k+1)
			k--
			c.event(m.to, m.msg)
		}
	}
}

// endAttempts ends a limiter's attempts at the deadline, and others at random. A request
// without an attempt in flight must have its final response.
func (c *randomFleet) endAttempts(i int) {
	ids := make([]string, 0, len(c.open[i]))
	for id := range c.open[i] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.open[i][id]
		for k := range r.sent {
			if _, live := r.live[k]; live && c.now >= r.deadline {
				c.endAttempt(i, r, k, TimedOut)
			} else if live && c.rng.Float64() < 0.05 {
				c.endAttempt(i, r, k, -1)
			}
		}
		if len(r.live) > 0 {
			continue
		}
		if !r.over {
			c.t.Fatalf("%s is open with nothing in flight", id)
		}
		delete(c.open[i], id)
	}
}

// submit makes a random request, which must get an attempt or a final response at once.
func (c *randomFleet) submit(i int) {
	c.ids++
	plan := c.rng.IntN(len(c.cfg.Plans))
	s := Submit{ID: fmt.Sprint("q", c.ids), TimeoutMs: 50 + 1950*c.rng.Float64(), Units: float64(1 + c.rng.IntN(4)),
		Class: c.rng.IntN(len(c.cfg.Classes)), Plan: plan, Customer: uint64(plan + len(c.cfg.Plans)*c.rng.IntN(4)),
		LimiterCount: randomLimiters}
	r := &randomRequest{id: s.ID, submit: s, deadline: c.now + s.TimeoutMs, live: map[int]StartAttempt{}}
	c.open[i][s.ID] = r
	c.event(i, s)
	if len(r.sent) == 0 && !r.over {
		c.t.Fatalf("%s got no response", s.ID)
	}
}

// clientGone lets the client of a limiter's first request leave.
func (c *randomFleet) clientDisconnects(i int) {
	for _, id := range firstKey(c.open[i]) {
		if r := c.open[i][id]; !r.over {
			r.over = true
			c.event(i, ClientDisconnected{ID: id})
		}
	}
}

// changeServer lets a random server drain, leave, restart or come, and sends all limiters a
// list, whole or of changes.
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

func firstKey(m map[string]*randomRequest) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(1, len(ids))]
}

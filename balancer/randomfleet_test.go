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

func (fleet *randomFleet) start(i int) {
	cfg := fleet.cfg
	cfg.Position = i
	l, err := New(cfg, fleet.rng.Uint64())
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.limiters[i], fleet.requests[i], fleet.listed[i] = l, map[string]*randomRequest{}, map[uint64]ServerInfo{}
	fleet.sentTimes[i] = map[uint64][]float64{}
	fleet.sendList(i, Persisted)
}

func (fleet *randomFleet) list() (s []ServerInfo) {
	for _, info := range fleet.servers {
		s = append(s, info)
	}
	slices.SortFunc(s, func(a, b ServerInfo) int { return int(a.ID) - int(b.ID) })
	return s
}

func (fleet *randomFleet) sendList(i int, scope Scope) {
	if scope != Partial {
		fleet.listed[i] = map[uint64]ServerInfo{}
	}
	for _, s := range fleet.list() {
		fleet.listed[i][s.ID] = s
	}
	fleet.event(i, Endpoints{Scope: scope, Servers: fleet.list()})
}

func (fleet *randomFleet) event(i int, e Event) {
	for _, a := range fleet.limiters[i].Handle(fleet.now, e) {
		fleet.action(i, a)
	}
}

// action checks an action of a limiter and executes it.
func (fleet *randomFleet) action(i int, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		fleet.startAttempt(i, a)
	case Reject:
		fleet.reject(i, a)
	case Fail:
		if r := fleet.requests[i][a.ID]; r != nil && !r.finished {
			fleet.finish(r)
		}
	case CancelAttempt:
		if r := fleet.requests[i][a.ID]; r != nil && a.Attempt >= len(r.sent) {
			fleet.t.Fatal("canceled an attempt that was never started")
		}
	case SetTimer:
		fleet.timers = append(fleet.timers, randomTimer{a.At, i, a.Name, fleet.limiters[i]})
	case SendPeer:
		if len(a.Data) > maxPeerBytes || a.To == i {
			fleet.t.Fatalf("invalid message of %d bytes to limiter %d", len(a.Data), a.To)
		}
		if fleet.rng.Float64() < 0.9 {
			message := PeerMessage{From: i, Data: a.Data}
			fleet.messages = append(fleet.messages, randomMessage{a.To, fleet.now + 40*fleet.rng.Float64(), message})
		}
	}
}

// startAttempt checks that an attempt may be started: the request is unfinished, the server is
// up, and the limits of attempts and the rules on repeated execution are kept.
func (fleet *randomFleet) startAttempt(i int, a StartAttempt) {
	r := fleet.requests[i][a.ID]
	if r == nil || r.finished {
		fleet.t.Fatalf("forwarded %s, which is finished", a.ID)
	}
	info, ok := fleet.listed[i][a.Server]
	if !ok || info.Phase != Up {
		fleet.t.Fatalf("forwarded to server %d, which is draining, removed or was never listed", a.Server)
	}
	if len(r.inFlight) > 0 && !fleet.cfg.Caps.Hedging {
		fleet.t.Fatal("two attempts of a request in flight at once")
	}
	if len(r.sent) >= fleet.cfg.Caps.MaxAttempts {
		fleet.t.Fatal("more attempts than Caps.MaxAttempts")
	}
	for _, k := range r.maybeExecuted {
		fleet.checkRepeat(i, r, k, info)
	}
	if len(r.sent) == 0 {
		fleet.spendHardLimit(r.submit)
	}
	fleet.sentTimes[i][a.Server] = append(fleet.sentTimes[i][a.Server], fleet.now)
	fleet.checkSlowStart(i, info)
	r.inFlight[len(r.sent)] = a
	r.sent = append(r.sent, a)
	r.sentAt = append(r.sentAt, fleet.now)
}

// checkRepeat checks that a request whose attempt k may have been executed may be forwarded to
// another server.
func (fleet *randomFleet) checkRepeat(i int, r *randomRequest, k int, info ServerInfo) {
	class := fleet.cfg.Classes[r.submit.Class]
	before := fleet.listed[i][r.sent[k].Server]
	switch {
	case class.Idempotency == Unsafe:
		fleet.t.Fatal("an unsafe request that may have been executed was retried")
	case class.Idempotency == Keyed && class.DedupScope == DedupCell && before.Cell != info.Cell:
		fleet.t.Fatal("a keyed request was retried in another cell")
	case class.Idempotency == Keyed && fleet.now >= r.sentAt[k]+class.DedupWindowMs:
		fleet.t.Fatal("a keyed request was retried after its deduplication window")
	}
}

// reject checks that a rejected request can be retried by its client.
func (fleet *randomFleet) reject(i int, a Reject) {
	r := fleet.requests[i][a.ID]
	if r == nil || r.finished {
		return
	}
	class := fleet.cfg.Classes[r.submit.Class]
	harmless := class.Idempotency == Safe || class.Idempotency == Keyed && class.DedupScope == DedupAll
	if !harmless && (len(r.maybeExecuted) > 0 || len(r.inFlight) > 0) {
		fleet.t.Fatalf("rejected a request of class %d that may have been executed", r.submit.Class)
	}
	fleet.finish(r)
}

// slowStartShare is the share of its capacity that a server has by its age.
func (fleet *randomFleet) slowStartShare(info ServerInfo) float64 {
	if info.ReadyAt <= 0 {
		return 1
	}
	limits := fleet.cfg.ServerLimits
	return min(1, limits.SlowStartShare+(1-limits.SlowStartShare)*(fleet.now-info.ReadyAt)/limits.SlowStartMs)
}

// checkSlowStart checks that a limiter keeps to its part of a server in slow start: what it
// sends to the busiest warm server in the same window, times the share of capacity and the
// overload factor, plus a few requests for random variation and for differences in work.
func (fleet *randomFleet) checkSlowStart(i int, info ServerInfo) {
	share := fleet.slowStartShare(info)
	if share >= 1 {
		return
	}
	since := func(id uint64, from float64) (n float64) {
		for _, at := range fleet.sentTimes[i][id] {
			if at > from {
				n++
			}
		}
		return n
	}
	busiest := 0.0 // what was sent to a server while it was warm still counts
	for id := range fleet.listed[i] {
		if id != info.ID {
			busiest = max(busiest, since(id, fleet.now-3*fleet.cfg.ServerLimits.OverloadMs))
		}
	}
	n := since(info.ID, max(info.ReadyAt, fleet.now-fleet.cfg.ServerLimits.OverloadMs))
	if n > 3+fleet.cfg.ServerLimits.OverloadFactor*share*busiest {
		fleet.t.Fatalf("server %d, at %.2f of its capacity in slow start, got %g requests per window, the busiest %g",
			info.ID, share, n, busiest)
	}
}

func (fleet *randomFleet) finish(r *randomRequest) {
	r.finished = true
	fleet.finishedRequests++
	if fleet.now > r.deadline+8 {
		fleet.t.Fatalf("the final response to %s was %g ms late", r.id, fleet.now-r.deadline)
	}
}

func (fleet *randomFleet) spendHardLimit(s Submit) {
	if fleet.cfg.Plans[s.Plan].HardRate == 0 {
		return
	}
	left := &fleet.hardBalances[s.Customer]
	if *left -= s.Units; *left < -1e-6 {
		fleet.t.Fatalf("the hard limit of customer %d is exceeded by %g", s.Customer, -*left)
	}
}

// endAttempt ends an attempt in flight with a given result, or a random one if forced is
// negative.
func (fleet *randomFleet) endAttempt(i int, r *randomRequest, attempt int, forced Result) {
	delete(r.inFlight, attempt)
	result := forced
	if result < 0 {
		result = Result(fleet.rng.IntN(8))
	}
	if !provesNotExecuted(result) {
		r.maybeExecuted = append(r.maybeExecuted, attempt)
	}
	final := r.finished
	if result == Success && !r.finished {
		fleet.finish(r)
		final = true
	}
	fleet.event(i, Outcome{ID: r.id, Attempt: attempt, Server: r.sent[attempt].Server, Result: result,
		LatencyMs: fleet.now - r.sentAt[attempt], Final: final, Load: Load{Busy: float64(fleet.rng.IntN(9) - 1)}})
}

// step advances the time and makes one random event.
func (fleet *randomFleet) step() {
	dt := min(4, fleet.rng.ExpFloat64()*3)
	fleet.now += dt
	for k := range fleet.hardBalances {
		p := fleet.cfg.Plans[1]
		fleet.hardBalances[k] = min(p.HardBurst, fleet.hardBalances[k]+dt*p.HardRate/1000)
	}
	fleet.fireTimers()
	fleet.deliverMessages()
	for i := range fleet.requests {
		fleet.endAttempts(i)
	}
	i := fleet.rng.IntN(randomLimiters)
	switch u := fleet.rng.Float64(); {
	case u < 0.8:
		fleet.submit(i)
	case u < 0.81:
		fleet.clientDisconnects(i)
	case u < 0.815: // the limiter restarts with its last list
		fleet.start(i)
	case u < 0.83:
		fleet.changeServer()
	case u < 0.85:
		fleet.event(i, ProbeResult{Server: uint64(1 + fleet.rng.IntN(9)), Result: Result(fleet.rng.IntN(8))})
	case u < 0.86:
		from := fleet.rng.IntN(4)
		data := []byte{peerMagic, peerVersion, byte(fleet.rng.IntN(9)), 1, 2, 3, 4, 5, 6, 7}
		fleet.event(i, PeerMessage{From: from, Data: data})
	}
}

// fireTimers fires the timers that are due, except those set by limiters that have restarted.
func (fleet *randomFleet) fireTimers() {
	for k := 0; k < len(fleet.timers); k++ {
		if tm := fleet.timers[k]; tm.at <= fleet.now {
			fleet.timers = slices.Delete(fleet.timers, k, k+1)
			k--
			if fleet.limiters[tm.limiter] == tm.setBy {
				fleet.event(tm.limiter, TimerFired{Name: tm.name})
			}
		}
	}
}

// deliverMessages delivers the messages that are due.
func (fleet *randomFleet) deliverMessages() {
	for k := 0; k < len(fleet.messages); k++ {
		if m := fleet.messages[k]; m.at <= fleet.now {
			fleet.messages = slices.Delete(fleet.messages, k, k+1)
			k--
			fleet.event(m.to, m.message)
		}
	}
}

// endAttempts ends a limiter's attempts at their deadline, and others at random. A request
// without attempts in flight must have its final response.
func (fleet *randomFleet) endAttempts(i int) {
	ids := make([]string, 0, len(fleet.requests[i]))
	for id := range fleet.requests[i] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := fleet.requests[i][id]
		for k := range r.sent {
			if _, inFlight := r.inFlight[k]; inFlight && fleet.now >= r.deadline {
				fleet.endAttempt(i, r, k, TimedOut)
			} else if inFlight && fleet.rng.Float64() < 0.05 {
				fleet.endAttempt(i, r, k, -1)
			}
		}
		if len(r.inFlight) > 0 {
			continue
		}
		if !r.finished {
			fleet.t.Fatalf("%s has neither a final response nor an attempt in flight", id)
		}
		delete(fleet.requests[i], id)
	}
}

// submit submits a random request, which must get an attempt or a final response at once.
func (fleet *randomFleet) submit(i int) {
	fleet.ids++
	plan := fleet.rng.IntN(len(fleet.cfg.Plans))
	s := Submit{ID: fmt.Sprint("q", fleet.ids), TimeoutMs: 50 + 1950*fleet.rng.Float64(),
		Units: float64(1 + fleet.rng.IntN(4)), Class: fleet.rng.IntN(len(fleet.cfg.Classes)), Plan: plan,
		Customer:     uint64(plan + len(fleet.cfg.Plans)*fleet.rng.IntN(4)),
		LimiterCount: randomLimiters}
	r := &randomRequest{id: s.ID, submit: s, deadline: fleet.now + s.TimeoutMs, inFlight: map[int]StartAttempt{}}
	fleet.requests[i][s.ID] = r
	fleet.event(i, s)
	if len(r.sent) == 0 && !r.finished {
		fleet.t.Fatalf("%s got no response", s.ID)
	}
}

// clientDisconnects lets the client of a limiter's first request disconnect.
func (fleet *randomFleet) clientDisconnects(i int) {
	for _, id := range firstID(fleet.requests[i]) {
		if r := fleet.requests[i][id]; !r.finished {
			r.finished = true
			fleet.event(i, ClientDisconnected{ID: id})
		}
	}
}

// changeServer lets a random server drain, be removed, restart or be added, and sends all
// limiters a complete or partial list.
func (fleet *randomFleet) changeServer() {
	id := uint64(1 + fleet.rng.IntN(8))
	info := fleet.servers[id]
	info.Phase = Phase(fleet.rng.IntN(3))
	if fleet.rng.Float64() < 0.5 {
		info.Phase, info.ReadyAt = Up, fleet.now
	}
	fleet.servers[id] = info
	for k := range fleet.limiters {
		fleet.sendList(k, Scope(fleet.rng.IntN(2)))
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

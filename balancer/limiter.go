// The decisions. Their interface (types, events, actions, settings) is api.go;
// state.go lists what is remembered, peercodec.go lays out messages to peers.

package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/bucket"
)

const (
	tickIntervalMs        = 50.0    // period of the tick: telling peers, housekeeping
	levelsRequestMs       = 2000.0  // a starting gateway asks for levels this long
	olderPeerMs           = 1000.0  // a peer that started so much earlier is older
	minNewFleetAnswers    = 4       // answers without one that is older: the fleet has just begun
	idleCustomerMs        = 15000.0 // an idle customer with full stores is forgotten after this
	maxCustomersFromPeers = 20000   // customers known, past which a peer's word makes no new ones
	maxDirectPeers        = 8       // of more other gateways than this, keepers hear alone
	aggregatorCount       = 2       // of a customer in a large set: one and a stand-in
	minGrantShare         = 0.3     // of a full share of the ceiling: less is not worth a grant

	// Share of the messages a gateway takes in that its peers use together; the
	// rest covers jitter. The pause between two levels told of a customer rises from
	// the time of paceMsgs messages taken in, the steeper the nearer they come to it.
	gossipShare            = 0.9
	levelIntervalMessages  = 10.0
	levelIntervalSteepness = 4.0
	// With dozens of gateways a set, a level told to all of them of a plan that is worth
	// little takes the room of those that are worth most: it may wait this much longer.
	maxPlanPacing = 12.0
	lookaheadMs   = 500.0 // a keeper looks this far ahead for a low level
	lowLevelShare = 0.4   // of the burst: below it a level is low
	marginGain    = 2.0   // margin, against what flows between two levels told

	serverSpeedMs        = 2000.0 // time over which a server's speed is averaged
	minAnswerWeight      = 0.005  // least weight of one answer in typical work and fit: some 200 answers
	initialLoadSlope     = 0.25   // before any evidence each further request in hand lengthens an answer so
	loadSlopePriorWeight = 1.0    // much, which counts like this many squared requests of observed spread

	// A request is refused when its expected answer would use more than headroom
	// of the time left: answers scatter. An idle server is tried all the same while
	// fewer than tryShare requests a server are out, over all gateways.
	headroomShare     = 0.25
	maxTriesPerServer = 6.0
	// Up to so many gateways the load that each sees tells which server is best.
	smallFleet       = 8
	minSubsetServers = 12   // servers that a gateway of many uses at least
	busyServerCost   = 15.0 // added to the cost of a server in use, to one of very many
	dueSlowStartCost = 0.02 // cost of a cold server's due request, to one gateway of very many
	// Under pressure the wait in it moves with what a request is worth for its
	// work against the others, within these bounds.
	minRelativeValue = 0.1
	maxRelativeValue = 2.5
	averagingWeight  = 0.02 // weight of one request in pressure, mean worth and failure share

	usualTimeoutTolerance = 0.01 // tries of a class have equal time within this share: transit varies
	maxTimeoutVotes       = 200  // bound of the vote for the usual time, to follow a change
	crossZoneWeight       = 10.0 // a crossing counts as slower by this factor times its price

	downAfterFailures  = 2     // failed connects in a row: down
	silenceFactor      = 4.0   // silent for so many times the expected time: suspect
	minProbeIntervalMs = 500.0 // least pause between two probes of a server
	rejectedPauseMs    = 50.0  // a server that was full is left alone so long

	// A class is kept off a server for illMs after illAfter failures of it there
	// within half of that time. Hints of all take hintShare of the messages, and none
	// are given where more than hintBelow of all answers fail: no one server's fault.
	ejectionMs          = 4000.0
	ejectAfterFailures  = 2
	hintMessageShare    = 0.12
	maxHintFailureShare = 0.3
	pausedAfterMs       = 4 * tickIntervalMs // no event for so long: this gateway stood still

	retryBudgetShare     = 0.2  // further attempts that may have cost work, for each first one,
	maxRetryBudget       = 10.0 // saved up to this
	slowStartUse         = 0.8  // share used of a cold server's likely capacity
	slowStartExtraUse    = 0.25 // more of it, to one of very many: no one can top up what others leave
	maxSlowStartRise     = 1.75 // ... and how much it may rise where the others are cold too
	minSlowStartRequests = 3.0  // requests a window to a cold server, from all, where little is sent
)

// New returns a Limiter, or an error that names the setting that makes no sense.
func New(s Settings, seed uint64) (*Limiter, error) {
	if err := checkSettings(s); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	n := len(s.Classes)
	l := &Limiter{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x51)), retryBudget: maxRetryBudget,
		servers: map[uint64]*server{}, requests: map[string]*request{}, customers: map[uint64]*customer{},
		peers:     make([]peer, s.Balancers),
		typicalMs: make([]float64, n), answerCount: make([]float64, n), usualTimeouts: make([]usualTimeout, n),
	}
	l.incarnation = l.rng.Uint32() | 1
	l.unseenShare = max(0, 1-smallFleet/float64(s.Balancers))
	worth := 0.0
	for _, p := range s.Plans {
		l.limitsInFlight = l.limitsInFlight || p.MaxInFlight > 0
		worth += p.Rate * p.Price / float64(len(s.Plans))
	}
	for _, p := range s.Plans { // telling earns by worth, and where bursts are short
		rate := max(1e-9, p.Rate)
		pause := p.Burst / rate / 4 * worth / max(1e-9, rate*p.Price)
		l.planPacing = append(l.planPacing, max(0.1, min(maxPlanPacing, pause)))
	}
	return l, nil
}

// Handle takes one event and returns what is to be done, valid until the next call.
func (l *Limiter) Handle(now float64, ev Event) []Action {
	l.actions = l.actions[:0]
	if !l.started {
		l.started, l.startedAt, l.evictedAt = true, now, now
		l.hintInterval = 1000 * float64(len(l.peers)) / (hintMessageShare * max(1, l.cfg.PeerMessagesPerSecond))
		l.nextHintAt = now + l.hintInterval*l.rng.Float64() // not all at once
		if l.cfg.PollMembership {
			l.emit(WatchEndpoints{})
		}
		l.emit(SetTimer{At: now + tickIntervalMs*(0.5+l.rng.Float64()/2), Name: "tick"})
	}
	if now-l.lastEventAt > pausedAfterMs { // what was out meanwhile says nothing about servers
		l.resumedAt = now
	}
	l.lastEventAt = now
	switch e := ev.(type) {
	case Submit:
		l.handleSubmit(now, e)
	case Outcome:
		l.handleOutcome(now, e)
	case ClientGone:
		l.removeRequest(l.requests[e.ID])
	case FirstByte:
		if r := l.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case TimerFired:
		switch e.Name {
		case "tick":
			l.handleTick(now)
		case "ask":
			l.emit(WatchEndpoints{})
		}
	case Endpoints:
		l.handleEndpoints(now, e)
	case ProbeResult:
		l.handleProbeResult(now, e)
	case PeerMessage:
		l.handlePeerMessage(now, e)
	}
	return l.actions
}

// ---- The bucket ----

// customerOf returns the record of a customer, made on first sight. One not
// seen before starts with the burst split over its gateways, refilled since
// this gateway started; the rest is held back until its peers are heard.
func (l *Limiter) lookupCustomer(now float64, id uint64, plan, spread int) *customer {
	c := l.customers[id]
	if c == nil {
		c = &customer{id: id, plan: plan, refilledAt: now, seenAt: now, limitsInFlight: l.cfg.Plans[plan].MaxInFlight > 0}
		p, n := l.cfg.Plans[plan], float64(max(1, min(spread, l.cfg.Balancers)))
		c.balance = min(p.Burst, p.Burst/n+p.Rate*(now-l.startedAt)/1000)
		c.withheldBurst = p.Burst - c.balance
		l.customers[id] = c
		l.customerList = append(l.customerList, c)
	}
	return c
}

// release grants what was held back of an unseen customer's burst once all
// its peers have answered this gateway's question: what they did not tell of
// has not been spent. Silence of any of them leaves it to the refill.
func (l *Limiter) releaseWithheldBurst(c *customer) {
	if c.withheldBurst == 0 || c.usesAggregators() && !l.neighborAnswered ||
		!c.usesAggregators() && slices.ContainsFunc(c.reportsTo, func(i int) bool { return !l.peers[i].answered }) {
		return
	}
	c.balance, c.sentLevel, c.withheldBurst = min(l.cfg.Plans[c.plan].Burst, c.balance+c.withheldBurst), c.sentLevel+c.withheldBurst, 0
}

// refill brings a customer's bucket and its part of the ceiling up to date.
func (l *Limiter) refill(now float64, c *customer) {
	p, s := l.cfg.Plans[c.plan], (now-c.refilledAt)/1000
	c.refilledAt = now
	c.balance = bucket.Refill(c.balance, s, p.Rate, p.Burst)
	if c.spread > 0 {
		part := c.escrowPart()
		for k := range c.escrow {
			c.escrow[k] = min(p.HardBurst*part, c.escrow[k]+s*p.HardRate*part)
		}
		c.escrowDeficit = max(0, c.escrowDeficit-s*p.HardRate/aggregatorCount)
	}
}

// part is the share of the ceiling that each of this gateway's shares holds.
func (c *customer) escrowPart() float64 { return 1 / float64(c.spread) / aggregatorCount }

// share is what this gateway may pass of a customer's ceiling.
func (c *customer) escrowBalance() (sum float64) {
	for _, s := range c.escrow {
		sum += s
	}
	return sum
}

// grant gives the gateways of a large set back what they have spent of their shares
// of the ceiling, while the store itself has refilled. Equal shares alone starve the
// gateway that most of a customer's requests come through, while the refill of the
// others overflows. Each keeper has one half of the ceiling in its care: what that
// half lacks, as far as heard, is lacking in the gateways' shares too, and no more
// than the difference is granted, so that the sum of all shares never exceeds the
// store, whatever is lost or late. What is not heard of yet lacks in both alike.
func (l *Limiter) grantEscrow(now float64, c *customer) {
	p := l.cfg.Plans[c.plan]
	if p.HardRate <= 0 {
		return
	}
	s, full, free := (now-c.grantedAt)/1000, p.HardBurst*c.escrowPart(), -c.escrowDeficit
	c.grantedAt = now
	for i := range c.peerViews {
		v := &c.peerViews[i]
		v.escrowDeficit = max(0, v.escrowDeficit-s*p.HardRate*c.escrowPart())
		free += v.escrowDeficit
	}
	for i := range c.peerViews {
		v := &c.peerViews[i]
		steps := math.Floor(min(v.escrowDeficit, free, full) * unitScale)
		if steps < 1 || v.escrowDeficit < minGrantShare*full {
			continue
		}
		v.escrowDeficit, free = v.escrowDeficit-steps/unitScale, free-steps/unitScale
		e := peerEntry{customer: c.id, plan: uint64(c.plan), level: int64(steps)}
		if v.peer == l.cfg.Position {
			c.addGrant(c.aggregatorRank, full, e)
		} else {
			l.peers[v.peer].grants = append(l.peers[v.peer].grants, e)
		}
	}
}

// granted adds a grant of the keeper with a rank to its share here.
func (c *customer) addGrant(rank int, full float64, e peerEntry) {
	c.escrow[rank] = min(full, c.escrow[rank]+float64(e.level)/unitScale)
}

// lacks notes what a gateway has spent, for the half of the ceiling kept here.
func (l *Limiter) recordEscrowSpending(c *customer, i int, units float64) {
	if c.isAggregator && l.cfg.Plans[c.plan].HardRate > 0 {
		c.escrowDeficit += units / aggregatorCount
		c.peerView(i).escrowDeficit += units / aggregatorCount
	}
}

// allows tells whether the quota and the ceiling have room; if not, wait is
// the time until they will have, as far as known here.
func (l *Limiter) checkQuota(c *customer, units float64) (wait float64, ok bool) {
	p := l.cfg.Plans[c.plan]
	// In a large set others pass what is not known here yet: below the margin told
	// with a level, the lower it is the less passes. A full bucket has no margin.
	if p.Rate > 0 && c.balance < units+min(c.margin, p.Burst-c.balance)*l.rng.Float64() {
		wait = bucket.Wait(c.balance, units, p.Rate) * 1000
	}
	// The ceiling is held by escrow: each gateway of the set owns an equal
	// part of its store and rate, so that the sum of all never exceeds it,
	// whatever is lost or late. A starting gateway begins with nothing.
	// In a large set keepers give back early what the store has regained.
	if share := c.escrowBalance(); p.HardRate > 0 && share < units {
		wait = max(wait, (units-share)/p.HardRate*float64(c.spread)*1000)
	}
	if p.MaxInFlight > 0 && c.totalInFlight() >= p.MaxInFlight {
		wait = max(wait, tickIntervalMs)
	}
	return wait, wait == 0
}

// spend takes units that this gateway lets through. Only the first attempt
// of a request spends.
func (l *Limiter) spend(now float64, c *customer, units float64) {
	c.balance, c.spent = c.balance-units, c.spent+units
	for k := range c.escrow {
		c.escrow[k] -= units / aggregatorCount
	}
	l.recordEscrowSpending(c, l.cfg.Position, units)
	c.lastSpentAt, c.lastUnits = now, units
	l.markUnreported(c)
}

// ---- A request ----

func (l *Limiter) handleSubmit(now float64, e Submit) {
	if l.requests[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(l.cfg.Classes) || e.Plan < 0 || e.Plan >= len(l.cfg.Plans) {
		l.emit(Reject{ID: e.ID})
		return
	}
	c := l.lookupCustomer(now, e.Customer, e.Plan, e.Spread)
	if c.spread == 0 {
		l.setMembership(now, c, e.Spread, e.First)
	}
	l.refill(now, c)
	l.releaseWithheldBurst(c)
	c.seenAt = now
	units := max(0, e.Units)
	aim := l.timeToTarget(e)
	if wait, ok := l.checkQuota(c, units); !ok {
		l.reject(e.ID, wait)
		return
	} else if aim <= 0 {
		l.reject(e.ID, l.cfg.Caps.MaxRetryAfterMs)
		return
	}
	r := &request{id: e.ID, class: e.Class, units: units, customer: c, targetAt: now + aim}
	r.deadlineAt = now + e.TimeoutMs
	l.setWaitFactor(r)
	s, wait := l.chooseServer(now, r)
	if s == nil {
		l.overloadPressure += averagingWeight * (1 - l.overloadPressure)
		l.reject(e.ID, wait)
		return
	}
	l.overloadPressure -= averagingWeight * l.overloadPressure
	l.requests[r.id] = r
	l.spend(now, c, units)
	l.retryBudget = min(maxRetryBudget, l.retryBudget+retryBudgetShare)
	l.startAttempt(now, r, s)
}

// aimLeft is the time in which an answer still earns its worth. Clients give
// most tries of a class the same time; one that has another time has what is
// left of the deadline, which tells how long ago the client began. Guards
// against spending quota and servers on what is already too late. Where clients
// mark their retries, a first try has only just begun, however short its time:
// guards against turning away all that clients in a hurry send.
func (l *Limiter) timeToTarget(e Submit) float64 {
	class, u := l.cfg.Classes[e.Class], &l.usualTimeouts[e.Class]
	usual := math.Abs(e.TimeoutMs-u.ms) <= usualTimeoutTolerance*u.ms
	switch { // a majority vote finds the usual time
	case usual:
		u.votes = min(u.votes+1, maxTimeoutVotes)
	case u.votes > 0:
		u.votes--
	default:
		u.ms, u.votes, usual = e.TimeoutMs, 1, true
	}
	aim := class.LatencyTargetMs
	l.clientsMarkRetries = l.clientsMarkRetries || e.Retry
	if !usual && u.votes > 1 && (e.Retry || !l.clientsMarkRetries) {
		aim -= max(0, class.DeadlineMs-e.TimeoutMs)
	}
	return min(aim, e.TimeoutMs)
}

// weigh sets how much of its spare time a request may be expected to wait: the
// more of the requests inside their quotas are turned away for lack of
// servers, the more it depends on what they are worth for their work.
func (l *Limiter) setWaitFactor(r *request) {
	worth := l.cfg.Classes[r.class].Value * l.cfg.Plans[r.customer.plan].Price * r.units / l.typicalTime(r.class)
	l.meanValue += (worth - l.meanValue) * max(averagingWeight, 1/(l.valuedRequests+1))
	l.valuedRequests++
	r.waitFactor = 1
	if l.meanValue > 0 {
		r.waitFactor += (max(minRelativeValue, min(maxRelativeValue, worth/l.meanValue)) - 1) * min(1, 2*l.overloadPressure)
	}
}

// refuse turns a request away; the advice is never longer than clients heed.
func (l *Limiter) reject(id string, wait float64) {
	if !l.cfg.Caps.RetryAfter {
		wait = 0
	}
	l.emit(Reject{ID: id, RetryAfterMs: min(wait, l.cfg.Caps.MaxRetryAfterMs)})
}

func (l *Limiter) startAttempt(now float64, r *request, s *server) {
	if s.inflight == 0 {
		s.waitingSince = now
	}
	l.recentAttempts = l.decayedAttempts(now) + 1
	s.slowStartCredit--
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, load: s.load() + 1})
	r.inFlight++
	r.customer.inFlight++
	s.inflight++
	l.inflight++
	l.emit(StartAttempt{ID: r.id, Server: s.info.ID})
}

func (l *Limiter) handleOutcome(now float64, e Outcome) {
	r := l.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	l.settleAttempt(r, a)
	l.observeOutcome(now, a, r, e)
	if c := r.customer; e.SettledUnits > 0 && l.cfg.TrueUp {
		l.refill(now, c)
		c.balance, c.spent = c.balance-(e.SettledUnits-r.units), c.spent+(e.SettledUnits-r.units)
	}
	l.markUnreported(r.customer)
	if !provesNotExecuted(e.Result) && r.executedOn == nil {
		r.executedOn, r.executedOnInfo, r.executedAt = a.server, a.server.info, a.sentAt
	}
	if e.Final {
		l.removeRequest(r)
	} else if r.inFlight == 0 && !r.streaming {
		l.retryOrFinish(now, r, e.Result)
	}
}

// again makes a further attempt or gives the final answer. Nothing is out.
func (l *Limiter) retryOrFinish(now float64, r *request, last Result) {
	class := l.cfg.Classes[r.class]
	may := now < r.deadlineAt && len(r.attempts) < max(1, l.cfg.Caps.MaxAttempts) && (r.executedOn == nil ||
		class.Idempotency == Safe || class.Idempotency == Keyed && now < r.executedAt+class.DedupWindowMs)
	costly := !(last == ConnectFailed || last == NotSent)
	if may && (!costly || l.retryBudget >= 1) {
		if s, _ := l.chooseServer(now, r); s != nil {
			if costly {
				l.retryBudget--
			}
			l.startAttempt(now, r, s)
			return
		}
	}
	harmless := r.executedOn == nil || class.Idempotency == Safe || class.Idempotency == Keyed && class.DedupScope == DedupAll
	if harmless && now < r.deadlineAt {
		l.reject(r.id, 0)
	} else {
		l.emit(Fail{ID: r.id})
	}
	l.removeRequest(r)
}

// drop forgets a request that is over.
func (l *Limiter) removeRequest(r *request) {
	if r == nil {
		return
	}
	for i := range r.attempts { // outcomes still to come are ignored: settle their counts here
		if a := &r.attempts[i]; !a.ended {
			l.settleAttempt(r, a)
			if l.cfg.Caps.Cancel {
				l.emit(CancelAttempt{ID: r.id, Attempt: i})
			}
		}
	}
	delete(l.requests, r.id)
}

// ---- Choice of server ----

// choose returns the server with the least expected finish, or nil and a wait
// when none can answer within the time left.
func (l *Limiter) chooseServer(now float64, r *request) (*server, float64) {
	var best *server
	var bestCost float64
	l.warmCapacity, l.upServers = 0, 0
	for _, s := range l.serverList {
		if s.inSubset && s.info.Phase == Up {
			l.warmCapacity, l.upServers = l.warmCapacity+l.slowStartShare(now, s), l.upServers+1
		}
	}
	for pass := 0; pass < 3 && best == nil; pass++ { // of the subset, of all, and the suspect
		for _, s := range l.serverList {
			if pass == 0 && !s.inSubset || !l.usable(now, s, r, pass > 1) {
				continue
			}
			cost := s.relativeTime(now) * l.slowStartCostFactor(now, s) * (s.load() + 1) * l.randomFactor()
			if s.inflight > 0 { // a further request at once needs a connection of its own
				cost *= 1 + busyServerCost*l.unseenShare
			}
			if s.info.Zone != l.cfg.Zone {
				cost *= 1 + crossZoneWeight*l.cfg.CrossZonePrice
			}
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	if best == nil {
		return nil, rejectedPauseMs
	}
	alone, left := l.typicalTime(r.class)*best.relativeTime(now)/l.slowStartShare(now, best)*l.loadFactor(1), headroomShare*(r.targetAt-now)
	left += (r.waitFactor - 1) * max(0, left-alone)
	if now > r.targetAt {
		left = r.deadlineAt - now
	}
	// An idle server is tried all the same: with nothing sent, nothing is learnt.
	// But servers slowed by too much in hand recover only when it falls, so all
	// gateways together try with no more than tryShare requests a server.
	late := l.expectedTime(now, best, r.class) - left
	tries := maxTriesPerServer * float64(len(l.serverList)) / float64(l.cfg.Balancers)
	if late > 0 && (best.inflight > 0 || float64(l.inflight) >= max(1, tries)) {
		return nil, late
	}
	return best, 0
}

// scatter is the factor of chance on the cost of a server. One of few gateways sees
// in its own load most of what a server has, and takes the least; one of many sees
// next to nothing of it, and all would take the same few: with an exponential factor
// each server gets requests in proportion to what it can do.
func (l *Limiter) randomFactor() float64 {
	if l.unseenShare > 0 {
		return math.Pow(l.rng.ExpFloat64(), l.unseenShare)
	}
	return 1 + 0.05*l.rng.Float64()
}

// coldness is the factor of a server's warmth on its cost. One of many gateways has
// saved up long for its request to a cold server, which is now due: left until the
// warm ones have more in hand, it would never be sent, and all the load go to them.
func (l *Limiter) slowStartCostFactor(now float64, s *server) float64 {
	if w := l.slowStartShare(now, s); w < 1 {
		return math.Pow(w, l.unseenShare-1) * math.Pow(dueSlowStartCost, l.unseenShare)
	}
	return 1
}

// usable tells whether a request may go to a server now. With lax, servers
// that are only under suspicion are taken too.
func (l *Limiter) usable(now float64, s *server, r *request, lax bool) bool {
	if s.info.Phase != Up || s.down || !l.hasSlowStartCredit(now, s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	class := l.cfg.Classes[r.class]
	if r.executedOn != nil && class.Idempotency == Keyed && (class.DedupScope == DedupZone && s.info.Zone != r.executedOnInfo.Zone ||
		class.DedupScope == DedupCell && s.info.Cell != r.executedOnInfo.Cell) {
		return false
	}
	return lax || now >= s.ejections[r.class].until && now >= s.rejectingUntil && !l.silent(now, s)
}

// load is the number of requests that this gateway has at a server. What the
// others have there shows in the times of answers: reports of it come too late
// and too noisy, and counting them made every deployment that has them worse.
func (s *server) load() float64 { return float64(s.inflight) }

// expected is the time an answer from a server is expected to take.
func (l *Limiter) expectedTime(now float64, s *server, class int) float64 {
	return l.typicalTime(class) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadFactor(s.load()+1)
}

// curve is how long an answer takes with so many requests in hand, against
// the typical one. It is a line through what was seen: flat while servers have
// cores to spare, at its steepest proportional to the load.
func (l *Limiter) loadFactor(load float64) float64 {
	f := &l.loadModel
	if f.count == 0 {
		return 1 + initialLoadSlope*(load-1)
	}
	prior := f.meanTime * initialLoadSlope / (1 + initialLoadSlope*(f.meanLoad-1))
	slope := (f.meanLoadTime - f.meanLoad*f.meanTime + prior*loadSlopePriorWeight) / (f.meanLoadSquared - f.meanLoad*f.meanLoad + loadSlopePriorWeight)
	return f.meanTime + max(prior/20, min(f.meanTime/f.meanLoad, slope))*(load-f.meanLoad)
}

// slowness is the time a server takes against the typical one; with no record it is typical.
func (s *server) relativeTime(now float64) float64 {
	s.decayAnswers(now, serverSpeedMs)
	return (s.relativeTimeSum + 1) / (s.answerWeight + 1)
}

// workOf is the typical time of a class; an unseen one borrows from the others.
func (l *Limiter) typicalTime(class int) float64 {
	return cmp.Or(l.typicalMs[class], max(1, slices.Max(l.typicalMs)))
}

// observe learns from an outcome about the server and the class.
func (l *Limiter) observeOutcome(now float64, a *attempt, r *request, e Outcome) {
	s := a.server
	s.waitingSince = now
	if a.sentAt < l.resumedAt {
		return
	}
	if e.Result == Success || e.Result == ServerError || e.Result == ConnectionLost || e.Result == TimedOut {
		l.failureShare -= averagingWeight * l.failureShare
		if e.Result != Success {
			l.failureShare += averagingWeight
			if now >= l.nextHintAt && l.failureShare < maxHintFailureShare && l.cfg.Caps.Peers && now >= s.ejections[r.class].until {
				l.nextHintAt = now + l.hintInterval
				l.sendToRange(peerMessage{flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{{customer: s.info.ID,
					plan: uint64(r.class)}}}, 0, len(l.peers))
			}
			l.recordFailure(now, s, r.class)
		}
	}
	switch e.Result {
	case Success:
		w := &l.typicalMs[r.class]
		l.answerCount[r.class]++
		*w += (e.LatencyMs - *w) * max(minAnswerWeight, 1/l.answerCount[r.class])
		l.loadModel.observe(a.load, e.LatencyMs / *w, minAnswerWeight)
		s.decayAnswers(now, serverSpeedMs)
		s.relativeTimeSum += e.LatencyMs / *w / l.loadFactor(a.load)
		s.answerWeight++
		s.connectFailures = 0
	case Rejected:
		s.rejectingUntil = now + rejectedPauseMs
	case ConnectFailed:
		if s.connectFailures++; s.connectFailures >= downAfterFailures {
			l.markDown(now, s, "connects fail")
		}
	}
}

// ---- Health ----

// suspect counts a failure of a class at a server, seen here or told. A gateway
// of many sends each server too little to judge it alone. When the time is up all
// use it again, and the first failures keep it off anew. It should hold against
// any server that fails all or one class, and harms if a passing trouble of all
// servers is laid to some: at most half are kept off.
func (l *Limiter) recordFailure(now float64, s *server, class int) {
	e := &s.ejections[class]
	if now-e.lastFailureAt > ejectionMs/2 {
		e.failures = 0
	}
	e.lastFailureAt, e.failures = now, e.failures+1
	off := 0
	for _, o := range l.serverList {
		if now < o.ejections[class].until {
			off++
		}
	}
	// As many failures as the fleet's share of them makes likely say nothing.
	likely := l.failureShare * l.decayedAttempts(now) * float64(l.cfg.Balancers) / float64(len(l.serverList))
	if float64(e.failures) >= ejectAfterFailures+likely && 2*(off+1) <= len(l.serverList) {
		if now >= e.until {
			l.logf("server %d: class %d fails there, kept off", s.info.ID, class)
		}
		e.until = now + ejectionMs
	}
}

func (l *Limiter) markDown(now float64, s *server, why string) {
	if !s.down {
		l.logf("server %d is down: %s", s.info.ID, why)
	}
	if s.down = true; !l.cfg.Caps.Cancel {
		return
	}
	for _, id := range l.sortedRequests() {
		r := l.requests[id]
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.server == s && !a.ended && !r.streaming && l.cfg.Classes[r.class].Idempotency != Unsafe {
				l.emit(CancelAttempt{ID: id, Attempt: i})
			}
		}
	}
}

// stalled tells that a server owes answers and has been silent for long.
func (l *Limiter) silent(now float64, s *server) bool {
	if s.inflight == 0 {
		return false
	}
	typical := slices.Max(l.typicalMs) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadFactor(s.load())
	return now-s.waitingSince > silenceFactor*typical+l.cfg.Caps.ConnectTimeoutMs
}

// checkServers probes those that are down or silent.
func (l *Limiter) checkServers(now float64) {
	for _, s := range l.serverList {
		if s.info.Phase != Up || !(s.down || l.silent(now, s)) || now < s.probedAt+minProbeIntervalMs {
			continue
		}
		s.probedAt = now
		if l.cfg.Caps.Probes {
			l.emit(Probe{Server: s.info.ID})
		} else if s.down { // no probes: one request at a time finds out
			s.down, s.connectFailures = false, downAfterFailures-1
		}
	}
}

func (l *Limiter) handleProbeResult(now float64, e ProbeResult) {
	s := l.servers[e.Server]
	if s == nil || s.info.Phase != Up {
		return
	}
	switch e.Result {
	case Success:
		s.waitingSince = now
		if s.down {
			s.down, s.connectFailures = false, 0
			l.logf("server %d answers again", s.info.ID)
		}
	case TimedOut, ConnectFailed, ConnectionLost:
		if s.down || l.silent(now, s) {
			l.markDown(now, s, "silent, and the probe failed")
		}
	}
}

// ---- Cold servers ----

// warmth is the least share of its capacity that a server can have by now.
func (l *Limiter) slowStartShare(now float64, s *server) float64 {
	r := l.cfg.Rules
	if s.info.ReadyAt <= 0 || r.SlowStartMs <= 0 || r.SlowStartShare <= 0 {
		return 1
	}
	return min(1, r.SlowStartShare+(1-r.SlowStartShare)*max(0, now-s.info.ReadyAt)/r.SlowStartMs)
}

// coldRoom keeps this gateway to its part of what a cold server can do: its
// warmth times what the gateway sends for each warm server's worth of capacity, saved
// up for one request at a time from a random start. The parts of any number of
// gateways add up to the warmth's share of what a warm server gets, with no talk;
// where hardly anything is sent, to coldLeast requests a window. Where most are cold,
// a part grows by coldMost at the most: all that was sent may have been all that the
// servers could do when warm.
func (l *Limiter) hasSlowStartCredit(now float64, s *server) bool {
	w := l.slowStartShare(now, s)
	if w >= 1 {
		return true
	}
	rate := max((slowStartUse+slowStartExtraUse*l.unseenShare)*w*l.decayedAttempts(now)/max(l.warmCapacity, l.upServers/maxSlowStartRise)*2/ejectionMs,
		minSlowStartRequests/float64(l.cfg.Balancers)/max(1, l.cfg.Rules.OverloadMs))
	s.slowStartCredit, s.slowStartCreditAt = min(1, max(0, s.slowStartCredit)+rate*(now-s.slowStartCreditAt)), now
	return s.slowStartCredit >= 1
}

// ---- The list of servers ----

func (l *Limiter) handleEndpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.PollMembership {
			l.emit(SetTimer{At: now + 1000 + 1000*l.rng.Float64(), Name: "ask"})
		}
		return
	}
	if e.Scope != Partial {
		for _, s := range l.serverList {
			s.info.Phase = Removed
		}
	}
	for _, info := range e.Servers {
		s := l.servers[info.ID]
		if s == nil {
			s = l.newServer(now, 0)
			l.servers[info.ID] = s
		} else if s.info.ReadyAt != info.ReadyAt { // another process: nothing learnt holds
			*s = *l.newServer(now, s.inflight)
		}
		s.info = info
	}
	l.serverList = l.serverList[:0]
	for id, s := range l.servers {
		if s.info.Phase == Removed && s.inflight == 0 {
			delete(l.servers, id)
		} else {
			l.serverList = append(l.serverList, s)
		}
	}
	slices.SortFunc(l.serverList, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	l.chooseSubset()
}

// subset chooses the servers that this gateway normally uses. One of many gateways
// that used all would meet each so seldom that every other request needed a new
// connection, and would learn nothing of any. Each round of gateways deals all
// servers out among its members, in an order of its own, so that every server has
// equally many gateways, and few change when the list does. The number of parts is
// a power of two: a part of a coarser division holds the finer ones.
func (l *Limiter) chooseSubset() {
	var up []*server
	for _, s := range l.serverList {
		if s.inSubset = false; s.info.Phase == Up {
			up = append(up, s)
		}
	}
	parts := 1
	for 2*parts*minSubsetServers <= len(up) && 2*parts*smallFleet <= l.cfg.Balancers {
		parts *= 2
	}
	salt := hash64(uint64(l.cfg.Position/parts) + 1)
	slices.SortStableFunc(up, func(a, b *server) int {
		return cmp.Compare(hash64(a.info.ID^salt), hash64(b.info.ID^salt))
	})
	for k, s := range up {
		s.inSubset = k*parts/len(up) == l.cfg.Position%parts
	}
}

// ---- Talking to peers ----

// join notes through which gateways a customer's requests come, and which are
// told of what passes here: in a small set every one. In a large set two keepers,
// the same for all by the customer's number, hear of every admission and tell
// the set the level when it matters: news crosses in two steps, and nothing
// counts twice, as a level replaces what was known.
func (l *Limiter) setMembership(now float64, c *customer, spread, first int) {
	n, p := l.cfg.Balancers, l.cfg.Plans[c.plan]
	l.refill(now, c) // what the shares start with covers the time until now
	c.spread, c.firstLimiter = max(1, min(spread, n)), ((first%n)+n)%n
	if c.initialHardBurst = p.HardBurst; !l.newFleet {
		c.initialHardBurst = min(p.HardBurst, p.HardRate*(now-l.startedAt)/1000)
	}
	for k := range c.escrow {
		c.escrow[k] = c.initialHardBurst * c.escrowPart()
	}
	from, step, count := 0, 1, c.spread
	if c.usesAggregators() {
		h := hash64(c.id)
		from, step, count = int(h%uint64(c.spread)), 1+int(h>>32)%(c.spread-1), aggregatorCount
	}
	for k := range count {
		if i := (c.firstLimiter + (from+k*step)%c.spread) % n; i != l.cfg.Position {
			c.reportsTo = append(c.reportsTo, i)
		} else if c.usesAggregators() {
			c.isAggregator, c.aggregatorRank, c.sentLevel, c.sentLevelAt = true, k, c.balance, now
			l.aggregated = append(l.aggregated, c)
		}
	}
}

func (l *Limiter) handleTick(now float64) {
	l.emit(SetTimer{At: now + tickIntervalMs, Name: "tick"})
	l.checkServers(now)
	if l.cfg.Caps.Peers && l.cfg.PeerMessagesPerSecond > 0 {
		l.exchangeWithPeers(now)
	}
	if now-l.evictedAt > idleCustomerMs/10 {
		l.evictedAt = now
		l.evictIdleCustomers(now)
	}
}

func (l *Limiter) exchangeWithPeers(now float64) {
	fair := gossipShare * l.cfg.PeerMessagesPerSecond * tickIntervalMs / 1000 // messages a tick
	l.sendCredit = min(max(1, float64(len(l.peers)-1)), l.sendCredit+fair)
	// Gateways are told about equally many levels: what comes in here tells a
	// keeper whether it may tell oftener. Reports, which keepers alone get, say nothing.
	l.receiveRate += (l.levelsReceived/fair - l.receiveRate) * tickIntervalMs / 1000
	l.levelsReceived = 0
	l.levelInterval = 1000 * levelIntervalMessages / l.cfg.PeerMessagesPerSecond * math.Exp(levelIntervalSteepness*max(0, l.receiveRate-0.5))
	l.sendAggregatedLevels(now)
	for i := range l.peers {
		if p := &l.peers[i]; len(p.grants) > 0 {
			l.sendToRange(peerMessage{flags: flagLevelUpdate | flagEscrowGrant, entries: p.grants}, i, 1)
			l.sendCredit--
			p.grants = p.grants[:0]
		}
	}
	slices.SortStableFunc(l.unreported, func(a, b *customer) int { return cmp.Compare(b.reportPriority(), a.reportPriority()) })
	for _, c := range l.unreported {
		for _, i := range c.reportsTo {
			if c.hasUnreported(i) {
				l.peers[i].due = append(l.peers[i].due, c)
			}
		}
	}
	for k, from := 0, l.nextPeer; k < len(l.peers); k++ {
		i := (from + k) % len(l.peers)
		if (len(l.peers[i].due) > 0 || l.requestsLevels(now, i)) && l.sendCredit >= 1 {
			l.sendCredit--
			l.nextPeer = i + 1
			l.sendReport(now, i)
		}
		l.peers[i].due = l.peers[i].due[:0]
	}
	l.unreported = slices.DeleteFunc(l.unreported, func(c *customer) bool {
		c.unreported = slices.ContainsFunc(c.reportsTo, c.hasUnreported)
		return !c.unreported
	})
}

// asks tells whether this gateway, just started, asks a peer near it for levels.
func (l *Limiter) requestsLevels(now float64, i int) bool {
	return now-l.startedAt < levelsRequestMs && !l.peers[i].answered && l.ringDistance(i) > 0 && l.ringDistance(i) <= maxDirectPeers/2
}

// keep tells the set of each customer kept here its level once its gateways
// believe in more and it is low or soon will be, and with it the margin below
// which less is to pass. The stand-in waits a little, and so acts if the first
// keeper is gone.
func (l *Limiter) sendAggregatedLevels(now float64) {
	for _, c := range l.aggregated {
		l.refill(now, c)
		l.releaseWithheldBurst(c)
		l.grantEscrow(now, c)
		c.decayRecentUnits(now)
		p, pause := l.cfg.Plans[c.plan], l.levelInterval*l.planPacing[c.plan]
		believed := min(p.Burst, c.sentLevel+p.Rate*(now-c.sentLevelAt)/1000)
		ahead := c.balance - lookaheadMs/1000*max(0, c.recentUnits-p.Rate)
		if believed-c.balance <= p.Burst/8 || ahead > lowLevelShare*p.Burst {
			c.overestimatedTicks = 0
		} else if c.overestimatedTicks++; now-c.sentLevelAt >= pause && c.overestimatedTicks > 2*c.aggregatorRank {
			c.sentLevel, c.sentLevelAt, c.overestimatedTicks = c.balance, now, 0
			c.margin = min(p.Burst, marginGain*c.recentUnits*pause/1000)
			l.sendToRange(peerMessage{flags: flagLevelUpdate, entries: []peerEntry{l.entryFor(now, c, 0)}}, c.firstLimiter, c.spread)
		}
	}
}

// answer tells a gateway that just started of levels below full; in large sets
// its neighbours alone do, who have mostly the same customers.
func (l *Limiter) sendLevelsResponse(now float64, to int) {
	m := peerMessage{flags: flagLevelUpdate | flagLevelsResponse, ageMs: uint64(now - l.startedAt)}
	for _, c := range l.customerList {
		l.refill(now, c)
		below, told := l.cfg.Plans[c.plan].Burst-c.balance-c.withheldBurst, slices.Contains(c.reportsTo, to)
		if c.usesAggregators() || c.spread == 0 {
			told = l.ringDistance(to) == 1 && below > (1-lowLevelShare)*l.cfg.Plans[c.plan].Burst
		}
		if told && below > 0 {
			m.entries = append(m.entries, l.entryFor(now, c, 0))
		}
	}
	for n := 0; ; m.entries = m.entries[n:] {
		if n = l.sendToRange(m, to, 1); n == len(m.entries) {
			return
		}
	}
}

// forget drops customers that are idle and whose bucket and part of the ceiling are
// full again: a new record would start full too. Guards against growing with every
// customer that comes once.
func (l *Limiter) evictIdleCustomers(now float64) {
	idle := func(c *customer) bool {
		l.refill(now, c)
		p := l.cfg.Plans[c.plan]
		return c.inFlight == 0 && !c.unreported && now-c.seenAt >= idleCustomerMs && now-l.startedAt > idleCustomerMs &&
			c.balance >= p.Burst && (c.spread == 0 || p.HardRate <= 0 ||
			c.escrowBalance()*float64(c.spread) >= p.HardBurst*(1-1e-9))
	}
	l.aggregated = slices.DeleteFunc(l.aggregated, idle)
	l.customerList = slices.DeleteFunc(l.customerList, func(c *customer) bool {
		drop := idle(c)
		if drop {
			delete(l.customers, c.id)
			l.evicted = true
		}
		return drop
	})
}

// floor is the lowest level a bucket can come to: each of the customer's gateways
// passes the whole burst before it hears of another. Guards against a peer's word
// that would keep a customer out for long.
func (l *Limiter) minLevel(c *customer) float64 {
	return -l.cfg.Plans[c.plan].Burst * float64(max(1, c.spread))
}

// tell sends a peer what has changed, most pressing first: what is untold
// against what is left. In small sets each figure is told once more, against loss.
func (l *Limiter) sendReport(now float64, i int) {
	p := &l.peers[i]
	p.seq++
	m := peerMessage{incarnation: l.incarnation, seq: p.seq, ageMs: uint64(now - l.startedAt)}
	if l.limitsInFlight {
		m.flags |= flagInFlight
	}
	if l.requestsLevels(now, i) {
		m.flags |= flagLevelsRequest
	}
	for _, c := range p.due {
		v := c.peerView(i)
		e := l.entryFor(now, c, v.sentSpent)
		if v.resend { // what the last message told may be lost
			e.newlySpent = e.spent - v.previouslySentSpent
		}
		m.entries = append(m.entries, e)
	}
	for k, c := range p.due[:l.sendToRange(m, i, 1)] {
		v := c.peerView(i)
		v.resend = m.entries[k].spent != v.sentSpent && !c.usesAggregators()
		v.previouslySentSpent, v.sentSpent, v.sentInFlight = v.sentSpent, m.entries[k].spent, c.inFlight
	}
}

// heard takes in what a peer tells. Cumulative figures heal a lost message
// with the next one; a new mark shows that the peer began anew.
func (l *Limiter) handlePeerMessage(now float64, e PeerMessage) {
	m, ok := decodePeerMessage(e.Data)
	if !ok || e.From < 0 || e.From >= len(l.peers) || e.From == l.cfg.Position || !l.validMessage(&m) {
		return
	}
	p := &l.peers[e.From]
	switch {
	case m.flags&flagFailureHint != 0:
		for _, en := range m.entries {
			if s := l.servers[en.customer]; s != nil { // only what the own list has named
				l.recordFailure(now, s, int(en.plan))
			}
		}
		return
	case m.flags&flagEscrowGrant != 0:
		for _, en := range m.entries {
			l.applyGrant(now, e.From, en)
		}
		return
	case m.flags&flagLevelUpdate != 0:
		l.levelsReceived++
		if m.flags&flagLevelsResponse != 0 {
			p.answered = true
			l.neighborAnswered = l.neighborAnswered || l.ringDistance(e.From) == 1
			l.observePeerAge(now, &m)
		}
		for _, en := range m.entries {
			l.applyLevel(now, e.From, &m, en)
		}
		return
	case m.incarnation == p.previousIncarnation: // a late message of an incarnation that is gone
		return
	case m.incarnation != p.incarnation:
		p.previousIncarnation, p.incarnation = p.incarnation, m.incarnation
	}
	l.observePeerAge(now, &m)
	if m.flags&flagLevelsRequest != 0 && now >= p.answeredAt+4*tickIntervalMs {
		p.answeredAt = now
		l.sendLevelsResponse(now, e.From)
	}
	for _, en := range m.entries {
		l.applyReport(now, e.From, &m, en)
	}
}

// levelOf takes in a told level. From a keeper it replaces what was known here,
// but for what passed too lately to be in it; another keeper goes by what it
// hears itself. The answer of an older peer does so for a gateway that just
// started and knows nothing yet.
func (l *Limiter) applyLevel(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.lookupCustomer(now, en.customer, int(en.plan), l.cfg.Balancers)
	burst := l.cfg.Plans[c.plan].Burst
	level := min(burst, max(l.minLevel(c), float64(en.level)/unitScale))
	l.refill(now, c)
	if m.flags&flagLevelsResponse != 0 {
		if age := now - l.startedAt; !c.levelKnown && age < levelsRequestMs && float64(m.ageMs) > age {
			c.setLevel(now, level-c.spent)
		}
		return
	}
	if c.spread > 0 && !slices.Contains(c.reportsTo, from) {
		return
	}
	if !c.isAggregator || !c.levelKnown {
		if now-c.lastSpentAt < 2*tickIntervalMs {
			level -= c.lastUnits
		}
		c.setLevel(now, min(burst, level))
	}
	c.sentLevel, c.sentLevelAt, c.overestimatedTicks = level, now, 0
	c.margin = min(burst, float64(min(en.margin, math.MaxInt32))/unitScale)
}

// takeGrant takes in what a keeper gives back, and no stranger can.
func (l *Limiter) applyGrant(now float64, from int, en peerEntry) {
	c := l.customers[en.customer]
	if c == nil || !c.usesAggregators() || en.level < 0 {
		return
	}
	if rank := slices.Index(c.reportsTo, from); rank >= 0 {
		if c.isAggregator { // it tells the other one alone
			rank = aggregatorCount - 1 - c.aggregatorRank
		}
		l.refill(now, c)
		c.addGrant(rank, l.cfg.Plans[c.plan].HardBurst*c.escrowPart(), en)
	}
}

// weighAge notes how old a peer is. One that starts does not know what was spent just
// before, and so begins with none of a ceiling's store. But where no peer is older and
// all near have answered, the whole fleet has just begun, and stores are full.
func (l *Limiter) observePeerAge(now float64, m *peerMessage) {
	l.olderPeerSeen = l.olderPeerSeen || float64(m.ageMs) > now-l.startedAt+olderPeerMs
	if l.newFleet || l.olderPeerSeen || now-l.startedAt > levelsRequestMs {
		return
	}
	answered := 0
	for i := range l.peers {
		if l.requestsLevels(now, i) {
			return
		} else if l.peers[i].answered {
			answered++
		}
	}
	if answered < minNewFleetAnswers {
		return
	}
	l.newFleet = true
	for _, c := range l.customerList {
		if burst := l.cfg.Plans[c.plan].HardBurst; c.spread > 0 {
			l.refill(now, c)
			for k := range c.escrow {
				c.escrow[k] = min(burst*c.escrowPart(), c.escrow[k]+(burst-c.initialHardBurst)*c.escrowPart())
			}
		}
	}
}

// knows tells whether a peer's word on a customer is taken in.
func (l *Limiter) acceptsCustomer(id uint64) bool {
	return len(l.customers) < maxCustomersFromPeers || l.customers[id] != nil
}

func (l *Limiter) applyReport(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.lookupCustomer(now, en.customer, int(en.plan), int(en.spread))
	if c.spread == 0 {
		l.setMembership(now, c, int(en.spread), int(en.firstLimiter))
	}
	l.refill(now, c)
	v := c.peerView(from)
	older := float64(m.ageMs) > now-l.startedAt+levelsRequestMs
	if v.incarnation != m.incarnation {
		// Of a peer known before, or younger than this gateway, all it has spent
		// falls into our time; of an older one only what is new with this message, and
		// so once customers have been forgotten here, which it may still know.
		first := v.incarnation == 0
		v.receivedSpent, v.incarnation, v.seq = 0, m.incarnation, 0
		if first && (older || l.evicted) {
			v.receivedSpent = en.spent - min(en.newlySpent, en.spent)
		}
	}
	if m.seq <= v.seq {
		return
	}
	v.seq, v.inFlight = m.seq, int(min(en.inFlight, uint64(l.cfg.Plans[c.plan].MaxInFlight)))
	if en.spent < v.receivedSpent { // the peer had forgotten the customer
		v.receivedSpent = 0
	}
	if units := float64(en.spent-v.receivedSpent) / unitScale; units > 0 {
		c.balance = bucket.Draw(c.balance, units, l.minLevel(c))
		c.decayRecentUnits(now)
		c.recentUnits += min(units, l.cfg.Plans[c.plan].Burst)
		c.seenAt = now
		l.recordEscrowSpending(c, from, units)
	}
	v.receivedSpent = en.spent
	if c.isAggregator && older && !c.levelKnown { // a keeper that just started begins with what the teller believes
		c.setLevel(now, max(l.minLevel(c), min(l.cfg.Plans[c.plan].Burst, float64(en.level)/unitScale-c.spent)))
	}
}

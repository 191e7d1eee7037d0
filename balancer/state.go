package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Limiter decides for one gateway. Make one with [New]; it is not safe for
// concurrent use.
type Limiter struct {
	cfg            Settings
	rng            *rand.Rand
	incarnation    uint32 // this incarnation
	started        bool
	startedAt      float64
	evictedAt      float64
	limitsInFlight bool // some plan limits attempts out

	servers          map[uint64]*server
	serverList       []*server // by id
	requests         map[string]*request
	customers        map[uint64]*customer
	customerList     []*customer // in order of appearance
	aggregated       []*customer // those whose level this gateway tells
	unreported       []*customer // those with something untold
	peers            []peer
	evicted          bool      // records have been dropped
	neighborAnswered bool      // a neighbour has told the levels it knows
	olderPeerSeen    bool      // a peer has run for longer
	newFleet         bool      // all gateways have just begun
	nextPeer         int       // the peer that is told first
	sendCredit       float64   // messages that may be sent
	levelsReceived   float64   // messages since the last tick
	receiveRate      float64   // messages that come in, as a share of the fair number
	planPacing       []float64 // of each plan: factor on it
	levelInterval    float64   // pause between two levels told of a customer

	typicalMs                        []float64 // typical ms of a class alone on a server
	answerCount                      []float64 // answers of a class
	usualTimeouts                    []usualTimeout
	clientsMarkRetries               bool // clients mark their retries
	loadModel                        loadModel
	overloadPressure                 float64 // share refused for lack of servers, of late
	meanValue, valuedRequests        float64 // mean worth for work; requests in it
	retryBudget                      float64 // further attempts saved up
	inflight                         int     // attempts out
	recentAttempts, recentAttemptsAt float64 // attempts in the last illMs / 2 or so
	unseenShare                      float64 // share of a server's load that this gateway can't see
	warmCapacity, upServers          float64 // what the listed servers can do, in warm ones, and their number
	failureShare                     float64 // share of answers that fail, of late
	lastEventAt                      float64
	resumedAt                        float64 // when this gateway last went on after standing still
	hintInterval                     float64
	nextHintAt                       float64 // when the next hint may be given
	actions                          []Action
}

type server struct {
	info                               ServerInfo
	inSubset                           bool // in this gateway's subset
	inflight                           int
	relativeTimeSum, answerWeight      float64 // decayed sums: times taken against the typical, and answers
	answersDecayedAt                   float64
	slowStartCredit, slowStartCreditAt float64 // saved up for one request while it is cold
	connectFailures                    int     // failed connects in a row
	down                               bool
	rejectingUntil                     float64
	waitingSince                       float64 // since when it owes an answer
	probedAt                           float64
	ejections                          []ejection // by class
}

// illness is what is known of failures of one class at a server.
type ejection struct {
	failures             int
	lastFailureAt, until float64
}

type request struct {
	id             string
	class          int
	units          float64
	customer       *customer
	targetAt       float64
	waitFactor     float64 // by what it is worth: how much of its spare time it may wait
	deadlineAt     float64
	attempts       []attempt
	inFlight       int     // attempts out
	executedOn     *server // where an attempt may have run first
	executedOnInfo ServerInfo
	executedAt     float64
	streaming      bool
}

type attempt struct {
	server *server
	sentAt float64
	load   float64
	ended  bool
}

type customer struct {
	id               uint64
	plan             int
	spread           int // 0 until one of its requests came here
	firstLimiter     int
	balance          float64
	escrow           [aggregatorCount]float64 // this gateway's part of the ceiling's store, by the keeper that may grant it
	initialHardBurst float64                  // what the ceiling's store was taken to hold at first
	refilledAt       float64                  // when all were last refilled
	seenAt           float64
	spent            float64 // units passed here
	inFlight         int
	levelKnown       bool       // a peer has told its level
	withheldBurst    float64    // part of the burst not granted until peers are heard
	peerViews        []peerView // of the gateways heard of or told

	margin             float64 // told with the level: below it, less passes
	recentUnits        float64 // units heard of in the last second or so
	recentUnitsAt      float64
	reportsTo          []int // gateways told of what passes here
	unreported         bool
	limitsInFlight     bool    // the plan limits attempts out
	isAggregator       bool    // this gateway tells the set the level ...
	aggregatorRank     int     // ... in this order
	escrowDeficit      float64 // what the half of the ceiling in its care is short of full, as far as heard
	grantedAt          float64
	sentLevel          float64
	sentLevelAt        float64
	overestimatedTicks int     // ticks for which the set has believed in more
	lastSpentAt        float64 // the last spending here ...
	lastUnits          float64 // ... and its units
}

// view is what this gateway and one peer know of each other's spending.
type peerView struct {
	peer                int
	incarnation         uint32
	receivedSpent       uint64 // told by the peer, in steps
	seq                 uint64
	inFlight            int
	sentSpent           uint64 // told to the peer
	previouslySentSpent uint64 // what it was told before that
	sentInFlight        int
	resend              bool    // told once, to be told again
	escrowDeficit       float64 // what its share of the ceiling lacks, to a keeper
}

type peer struct {
	incarnation, previousIncarnation uint32
	seq                              uint64
	answered                         bool // has told us its levels
	answeredAt                       float64
	due                              []*customer // to be told with this tick
	grants                           []peerEntry
}

// fit holds moving averages of load k and time y of answers.
type loadModel struct{ count, meanLoad, meanTime, meanLoadSquared, meanLoadTime float64 }

// usual is the time that clients give most tries of a class.
type usualTimeout struct {
	ms    float64
	votes int
}

// add notes one answer's load and time.
func (f *loadModel) observe(k, y, least float64) {
	f.count++
	w := max(least, 1/f.count)
	f.meanLoad += w * (k - f.meanLoad)
	f.meanTime += w * (y - f.meanTime)
	f.meanLoadSquared += w * (k*k - f.meanLoadSquared)
	f.meanLoadTime += w * (k*y - f.meanLoadTime)
}

// decayStat fades the sums of what a server took.
func (s *server) decayAnswers(now, over float64) {
	f := math.Exp((s.answersDecayedAt - now) / over)
	s.relativeTimeSum, s.answerWeight, s.answersDecayedAt = s.relativeTimeSum*f, s.answerWeight*f, now
}

// recent is the number of attempts sent of late.
func (l *Limiter) decayedAttempts(now float64) float64 {
	l.recentAttempts, l.recentAttemptsAt = l.recentAttempts*math.Exp((l.recentAttemptsAt-now)*2/ejectionMs), now
	return l.recentAttempts
}

// back settles the counts of an attempt that is no longer out.
func (l *Limiter) settleAttempt(r *request, a *attempt) {
	a.ended = true
	r.inFlight--
	r.customer.inFlight--
	a.server.inflight--
	l.inflight--
}

// provesUnrun tells whether a result shows that nothing ran.
func provesNotExecuted(r Result) bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// outAll is the number of a customer's attempts out, as far as known.
func (c *customer) totalInFlight() int {
	n := c.inFlight
	for i := range c.peerViews {
		n += c.peerViews[i].inFlight
	}
	return n
}

// newServer is the record of a server process of which nothing is known.
func (l *Limiter) newServer(now float64, inflight int) *server {
	return &server{inflight: inflight, waitingSince: now, slowStartCredit: l.rng.Float64(), slowStartCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

// sortedRequests lists the requests in hand in an order that is always the same.
func (l *Limiter) sortedRequests() []string {
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// steps is what peers are told of a customer's spending: it never falls, a
// refund nets against later spending.
func (c *customer) spentSteps(told uint64) uint64 {
	return max(told, uint64(max(0, math.Round(c.spent*unitScale))))
}

// view is the record of one peer, made on first use.
func (c *customer) peerView(i int) *peerView {
	for k := range c.peerViews {
		if c.peerViews[k].peer == i {
			return &c.peerViews[k]
		}
	}
	c.peerViews = append(c.peerViews, peerView{peer: i})
	return &c.peerViews[len(c.peerViews)-1]
}

// owes tells whether there is something to tell a peer.
func (c *customer) hasUnreported(i int) bool {
	v := c.peerView(i)
	return v.resend || c.spentSteps(v.sentSpent) != v.sentSpent || c.inFlight != v.sentInFlight && c.limitsInFlight
}

// seed sets a level that is told or taken over.
func (c *customer) setLevel(now, level float64) {
	c.balance, c.levelKnown, c.withheldBurst, c.sentLevel, c.sentLevelAt = level, true, 0, level, now
}

// large tells that a customer has too many gateways to tell each of them.
func (c *customer) usesAggregators() bool { return c.spread > maxDirectPeers+1 && !c.limitsInFlight }

// apart is how many places lie between this gateway and another, either way round.
func (l *Limiter) ringDistance(i int) int {
	d := i - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// press is how much spending of late weighs against what is left.
func (c *customer) reportPriority() float64 { return (c.lastUnits + 1) / max(1, c.balance) }

// sound tells whether all that a message names can be.
func (l *Limiter) validMessage(m *peerMessage) bool {
	kinds := len(l.cfg.Plans)
	if m.flags&flagFailureHint != 0 {
		kinds = len(l.cfg.Classes)
	}
	for _, e := range m.entries {
		if e.plan >= uint64(kinds) || m.flags&flagLevelUpdate == 0 &&
			(e.spread < 1 || e.spread > uint64(len(l.peers)) || e.firstLimiter >= uint64(len(l.peers))) {
			return false
		}
	}
	return true
}

// entry is what is told of a customer to a peer that was told so much before.
func (l *Limiter) entryFor(now float64, c *customer, told uint64) peerEntry {
	l.refill(now, c)
	spent := c.spentSteps(told)
	return peerEntry{customer: c.id, plan: uint64(c.plan), spread: uint64(c.spread), firstLimiter: uint64(c.firstLimiter),
		spent: spent, newlySpent: spent - told, level: int64(math.Floor((c.balance + c.withheldBurst) * unitScale)),
		margin: uint64(c.margin * unitScale), inFlight: uint64(c.inFlight)}
}

// tellSet sends a message to n gateways in a row and returns how many of its
// entries went in.
func (l *Limiter) sendToRange(m peerMessage, first, n int) int {
	data, k := m.encode()
	for j := range n {
		if i := (first + j) % len(l.peers); i != l.cfg.Position {
			l.emit(SendPeer{To: i, Data: data})
		}
	}
	return k
}

// fade brings the flow up to date.
func (c *customer) decayRecentUnits(now float64) {
	c.recentUnits, c.recentUnitsAt = c.recentUnits*math.Exp((c.recentUnitsAt-now)/1000), now
}

// stir puts a customer on the list of those with something untold.
func (l *Limiter) markUnreported(c *customer) {
	if !c.unreported && l.cfg.Caps.Peers {
		c.unreported = true
		l.unreported = append(l.unreported, c)
	}
}

// mix scatters a number over all bits.
func hash64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// do adds an action to the reply.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// log adds a line for the operators.
func (l *Limiter) logf(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }

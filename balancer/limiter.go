package balancer

// The state of a limiter and the dispatch of its events. Each concern has a file of its own:
// admission.go, escrow.go and overload.go decide whether a request is admitted;
// serverchoice.go, latency.go, slowstart.go and endpoints.go which server gets it; attempts.go
// whether it is retried; health.go which servers are ejected; gossip.go, aggregation.go and
// peerupdates.go what limiters report to each other.

import (
	"fmt"
	"math/rand/v2"

	"example.org/elmspan/shedding"
)

const (
	// tickIntervalMs is the period of the tick, in ms. At each tick peers are sent what has
	// changed, unresponsive servers are probed and idle customers are evicted.
	tickIntervalMs = 50.0
	// pausedAfterMs is the time without an event, in ms, after which this process must have
	// been paused. Attempts that were in flight meanwhile say nothing about servers.
	pausedAfterMs = 4 * tickIntervalMs
	// averagingWeight is the weight of one request in the moving average of the failure share.
	averagingWeight = 0.02
)

// Names of the timers that a Limiter sets.
const (
	tickTimer    = "tick"
	rewatchTimer = "ask"
)

// Limiter makes the decisions of one gateway. Create one with [New]. It is not safe for
// concurrent use.
type Limiter struct {
	cfg         Settings
	rng         *rand.Rand
	incarnation uint32 // distinguishes this process from earlier ones of this position; never 0
	actions     []Action

	started     bool
	startedAt   float64
	lastEventAt float64
	resumedAt   float64 // when this process last resumed after a pause

	// Requests and customers.
	requests       map[string]*request
	customers      map[uint64]*customer
	customerList   []*customer // in order of first use
	evictedAt      float64     // when idle customers were last looked for
	evicted        bool        // some customer has been evicted since the start
	limitsInFlight bool        // some plan limits the attempts in flight

	// Load and overload.
	inFlight         int                   // attempts in flight
	ranks            [][]shedding.Priority // by class and plan
	shortage         shedding.Shortage
	shares           shedding.ServedShares
	retryBudget      float64 // retries that may be made now
	recentAttempts   float64 // decaying number of attempts, see decayedAttempts
	recentAttemptsAt float64 // last update of recentAttempts
	failureShare     float64 // share of recent responses that were failures

	// Servers.
	servers       map[uint64]*server
	serverList    []*server // by id
	unseenShare   float64   // share of a server's load that this limiter does not see
	warmCapacity  float64   // capacity of the subset, in warm servers
	upServers     float64   // number of servers of the subset that are up
	typicalMs     []float64 // by class: typical response time
	responseCount []float64 // by class: number of responses in typicalMs
	loadModel     loadModel
	// timeError is the mean distance of response times from the expected ones, relative to these.
	timeError    float64
	hintInterval float64 // least time between two failure hints, in ms
	nextHintAt   float64

	// Messages between limiters.
	peers             []peer
	aggregated        []*customer // customers of which this limiter is an aggregator
	unreported        []*customer // customers with something to report
	neighborResponded bool        // a neighbor has responded to the request for levels
	olderPeerSeen     bool        // some peer has run for longer than this limiter
	newFleet          bool        // all limiters have just started
	nextPeer          int         // first peer to be sent its report in the next tick
	sendCredit        float64     // messages that may be sent now
	levelsReceived    float64     // messages with levels received since the last tick
	receiveRate       float64     // messages with levels received, relative to the fair rate of paceLevels
	planPacing        []float64   // by plan: factor on levelInterval
	levelInterval     float64     // least time between two levels of a customer, in ms, before planPacing
}

// New returns a Limiter, or an error that names the invalid setting. Limiters with equal
// settings and seeds decide equally.
func New(s Settings, seed uint64) (*Limiter, error) {
	if err := checkSettings(s); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	classes := len(s.Classes)
	l := &Limiter{
		cfg:           s,
		rng:           rand.New(rand.NewPCG(seed, 0x51)),
		retryBudget:   maxRetryBudget,
		servers:       map[uint64]*server{},
		requests:      map[string]*request{},
		customers:     map[uint64]*customer{},
		peers:         make([]peer, s.Balancers),
		typicalMs:     make([]float64, classes),
		responseCount: make([]float64, classes),
		planPacing:    planPacing(s.Plans),
		ranks:         rankPlans(s.Classes, s.Plans),
	}
	l.incarnation = l.rng.Uint32() | 1
	l.unseenShare = max(0, 1-smallFleet/float64(s.Balancers))
	for _, p := range s.Plans {
		l.limitsInFlight = l.limitsInFlight || p.MaxInFlight > 0
	}
	return l, nil
}

// Handle processes one event and returns the actions to execute. They are valid until the next
// call.
func (l *Limiter) Handle(now float64, ev Event) []Action {
	l.actions = l.actions[:0]
	if !l.started {
		l.start(now)
	}
	if now-l.lastEventAt > pausedAfterMs {
		l.resumedAt = now
	}
	l.lastEventAt = now
	switch e := ev.(type) {
	case Submit:
		l.handleSubmit(now, e)
	case Outcome:
		l.handleOutcome(now, e)
	case ClientDisconnected:
		l.removeRequest(l.requests[e.ID])
	case FirstByte:
		l.handleFirstByte(e)
	case TimerFired:
		l.handleTimer(now, e)
	case Endpoints:
		l.handleEndpoints(now, e)
	case ProbeResult:
		l.handleProbeResult(now, e)
	case PeerMessage:
		l.handlePeerMessage(now, e)
	}
	return l.actions
}

// start begins the tick and the watch of the list of servers, at the first event. Hints and
// ticks begin at random times, so that limiters started together don't send at the same time.
func (l *Limiter) start(now float64) {
	l.started, l.startedAt, l.evictedAt = true, now, now
	l.hintInterval = 1000 * float64(len(l.peers)) / (hintMessageShare * max(1, l.cfg.PeerMessagesPerSecond))
	l.nextHintAt = now + l.hintInterval*l.rng.Float64()
	if l.cfg.PollMembership {
		l.emit(WatchEndpoints{})
	}
	l.emit(SetTimer{At: now + tickIntervalMs*(0.5+l.rng.Float64()/2), Name: tickTimer})
}

func (l *Limiter) handleTimer(now float64, e TimerFired) {
	switch e.Name {
	case tickTimer:
		l.handleTick(now)
	case rewatchTimer:
		l.emit(WatchEndpoints{})
	}
}

func (l *Limiter) handleTick(now float64) {
	l.emit(SetTimer{At: now + tickIntervalMs, Name: tickTimer})
	l.checkServers(now)
	if l.cfg.Caps.Peers && l.cfg.PeerMessagesPerSecond > 0 {
		l.exchangeWithPeers(now)
	}
	if now-l.evictedAt > idleCustomerMs/10 {
		l.evictedAt = now
		l.evictIdleCustomers(now)
	}
}

// emit appends an action to those that Handle returns.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// logf emits a log line for operators.
func (l *Limiter) logf(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }

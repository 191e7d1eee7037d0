package balancer

// This file has the state of a limiter and the entry to its decisions. Each concern has
// a file of its own: admission.go, escrow.go and overload.go decide whether a request is
// admitted; serverchoice.go, latency.go, slowstart.go and endpoints.go which server gets it;
// attempts.go whether it is retried; health.go which servers are ejected; gossip.go,
// aggregation.go and peerupdates.go what limiters report to each other.

import (
	"fmt"
	"math/rand/v2"
)

const (
	// tickIntervalMs is the period of the tick, at which peers are sent what has changed,
	// unresponsive servers are probed and idle customers are evicted.
	tickIntervalMs = 50.0
	// pausedAfterMs is the time without an event after which this process must have been
	// paused. What was in flight meanwhile says nothing about servers.
	pausedAfterMs = 4 * tickIntervalMs
	// averagingWeight is the weight of one request in the moving averages of overload
	// pressure, mean value and failure share.
	averagingWeight = 0.02
)

// Names of the timers that a Limiter sets.
const (
	tickTimer    = "tick"
	rewatchTimer = "ask"
)

// Limiter decides for one gateway. Make one with [New]; it is not safe for concurrent use.
// Times are in milliseconds on the host's clock.
type Limiter struct {
	cfg         Settings
	rng         *rand.Rand
	incarnation uint32 // distinguishes this process from an earlier one; never 0
	actions     []Action

	started     bool
	startedAt   float64
	lastEventAt float64
	resumedAt   float64 // when this process last went on after a pause

	// Requests and customers.
	requests           map[string]*request
	customers          map[uint64]*customer
	customerList       []*customer // in order of appearance
	evictedAt          float64     // when idle customers were last evicted
	evicted            bool        // a customer has been evicted since the start
	limitsInFlight     bool        // some plan limits the attempts in flight
	typicalTimeouts    []typicalTimeout
	clientsMarkRetries bool

	// Load and overload.
	inFlight         int     // attempts
	overloadPressure float64 // share of recent requests rejected for lack of servers
	meanValue        float64 // mean value of a request for its work
	valuedRequests   float64 // number of requests in meanValue
	retryBudget      float64 // retries that may be made now
	recentAttempts   float64 // decaying number of attempts, see decayedAttempts
	recentAttemptsAt float64 // when recentAttempts was brought up to date
	failureShare     float64 // share of recent responses that fail

	// Servers.
	servers      map[uint64]*server
	serverList   []*server // by id
	unseenShare  float64   // share of a server's load that this limiter can't see
	warmCapacity float64   // what the servers of the subset can do, in warm servers
	upServers    float64   // number of servers in the subset
	typicalMs    []float64 // by class: response time alone on a server
	answerCount  []float64 // by class: number of responses in typicalMs
	loadModel    loadModel
	hintInterval float64 // least time between two failure hints
	nextHintAt   float64

	// Messages between limiters.
	peers            []peer
	aggregated       []*customer // customers of which this limiter is an aggregator
	unreported       []*customer // customers with something to report
	neighborAnswered bool        // a neighbor has answered the request for levels
	olderPeerSeen    bool        // a peer has run for longer than this limiter
	newFleet         bool        // all limiters have just started
	nextPeer         int         // the peer that is sent its report first
	sendCredit       float64     // messages that may be sent
	levelsReceived   float64     // level updates since the last tick
	receiveRate      float64     // level updates received, against the fair number
	planPacing       []float64   // by plan: factor on levelInterval
	levelInterval    float64     // least time between two levels of a customer
}

// New returns a Limiter, or an error that names the setting that makes no sense. Limiters
// with equal settings and seeds decide equally.
func New(s Settings, seed uint64) (*Limiter, error) {
	if err := checkSettings(s); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	classes := len(s.Classes)
	l := &Limiter{
		cfg:             s,
		rng:             rand.New(rand.NewPCG(seed, 0x51)),
		retryBudget:     maxRetryBudget,
		servers:         map[uint64]*server{},
		requests:        map[string]*request{},
		customers:       map[uint64]*customer{},
		peers:           make([]peer, s.Balancers),
		typicalMs:       make([]float64, classes),
		answerCount:     make([]float64, classes),
		typicalTimeouts: make([]typicalTimeout, classes),
		planPacing:      planPacing(s.Plans),
	}
	l.incarnation = l.rng.Uint32() | 1
	l.unseenShare = max(0, 1-smallFleet/float64(s.Balancers))
	for _, p := range s.Plans {
		l.limitsInFlight = l.limitsInFlight || p.MaxInFlight > 0
	}
	return l, nil
}

// Handle takes one event and returns what is to be done, valid until the next call.
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

// start begins the tick and the watch of the endpoints, at the first event. Hints and ticks
// begin at random times, so that limiters started together don't send together.
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

// emit adds an action to the reply.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// logf adds a line for the operators to the reply.
func (l *Limiter) logf(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }

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
	// silent servers are probed and idle customers are evicted.
	tickIntervalMs = 50.0
	// pausedAfterMs is the time without an event after which this process must have been
	// paused. What was in flight meanwhile says nothing about servers.
	pausedAfterMs = 4 * tickIntervalMs
	// averagingWeight is the weight of one request in the moving averages of overload
	// pressure, mean value and failure share.
	averagingWeight = 0.02
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

// do adds an action to the reply.
func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

// log adds a line for the operators.
func (l *Limiter) logf(format string, args ...any) { l.emit(Log{Line: fmt.Sprintf(format, args...)}) }

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

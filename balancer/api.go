// Package balancer decides, for one of several gateways in front of shared servers, which
// requests are admitted and to which server each of them is forwarded. All gateways together
// enforce one quota per customer.
//
// A [Limiter] is a state machine without I/O, clock or goroutines: the program that embeds it,
// the host, passes each event and the current time to [Limiter.Handle] and executes the actions
// that it returns. Equal settings, seeds and events yield equal actions. Times are in
// milliseconds on a monotonic clock of the host.
package balancer

// Settings describes the deployment to one Limiter. Balancers, Classes and Plans are required.
// The zero value of any other limit or capability means that the deployment has none. No
// decision uses PollWithinMs, CrossZonePrice, Class.LateValueShare, Plan.ExcessValueShare,
// Plan.ExcessPenalty, Caps.Hedging or ServerLimits.OverloadFactor.
type Settings struct {
	Position              int  // index of this limiter, from 0
	Balancers             int  // number of limiters
	Zone                  int  // zone of this limiter
	PollMembership        bool // the list of servers is sent only to limiters that request it
	Classes               []Class
	Plans                 []Plan
	Caps                  Caps
	ServerLimits          ServerLimits
	PeerMessagesPerSecond float64 // messages per second that a limiter can receive
	TrueUp                bool    // Submit.Units is an estimate, Outcome.ActualUnits the true value
	CrossZonePrice        float64 // price of one attempt at a server in another zone
	PollWithinMs          float64 // maximum time between two requests for the list of servers
}

// Class describes one class of requests.
type Class struct {
	Idempotency     Idempotency
	DedupScope      DedupScope
	LatencyTargetMs float64 // the operator's wish for the response; no decision uses it
	DeadlineMs      float64 // longest time that clients wait
	DedupWindowMs   float64 // how long a key is remembered and repeats of it are dropped
	Value           float64 // with Plan.Price, the rank of a request where servers are short: the higher goes first
	LateValueShare  float64 // share of Value that a response after the latency target has
}

// Idempotency is the effect of executing a request more than once.
type Idempotency int

// The idempotency classes.
const (
	Safe   Idempotency = iota // repeated execution is harmless
	Keyed                     // repeats with the same key are dropped within a DedupScope
	Unsafe                    // must never be executed twice
)

// DedupScope is the set of servers that share remembered idempotency keys: a server drops a
// repeat of a request that any server of the scope has executed.
type DedupScope int

// The deduplication scopes.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Plan is what a customer may use, at all limiters together, and the price of its requests.
type Plan struct {
	Rate             float64 // units per second; 0: no such quota
	Burst            float64 // capacity of the token bucket in units
	MaxInFlight      int     // attempts in flight; 0: no such quota
	HardRate         float64 // units per second that must never be exceeded; 0: no such limit
	HardBurst        float64 // burst that HardRate permits, in units
	Price            float64 // factor on Class.Value
	ExcessValueShare float64 // share of its value that a response beyond the quota has
	ExcessPenalty    float64 // share of its value that is lost by forwarding beyond the quota
}

// Caps holds the limits and capabilities of the deployment.
type Caps struct {
	MaxAttempts      int     // attempts per request; 0 counts as 1
	Cancel           bool    // attempts can be canceled
	Peers            bool    // limiters can exchange messages
	Probes           bool    // servers can be probed
	RetryAfter       bool    // a rejection may carry a retry-after time
	Hedging          bool    // a request may have several attempts in flight
	MaxRetryAfterMs  float64 // longest retry-after time that clients honor
	ConnectTimeoutMs float64
}

// ServerLimits describes the load that a server tolerates: its capacity during slow start, and
// the overload at which it fails.
type ServerLimits struct {
	SlowStartShare float64 // share of its capacity that a server has when it starts
	SlowStartMs    float64 // time after which a server has its full capacity
	OverloadFactor float64 // a server fails if it gets this many times its capacity ...
	OverloadMs     float64 // ... for this long
}

// Event is an input of a Limiter. The event types are [Submit], [Outcome],
// [ClientDisconnected], [FirstByte], [TimerFired], [Endpoints], [ProbeResult] and
// [PeerMessage].
type Event interface{ event() }

// Submit is a request from a client. It gets exactly one final response: Reject, Fail, or the
// response of an attempt whose Outcome is Final.
type Submit struct {
	ID           string
	TimeoutMs    float64 // time until the client gives up
	Units        float64 // quota units that the request costs
	Class        int     // index in Settings.Classes
	Plan         int     // index in Settings.Plans
	Retry        bool    // the client marks the request as a retry; no decision uses it
	Customer     uint64
	LimiterCount int // number of limiters that receive requests of the customer ...
	FirstLimiter int // ... consecutive from this position on, modulo Settings.Balancers
}

// Outcome reports how an attempt ended.
type Outcome struct {
	ID          string
	Attempt     int
	Server      uint64
	Result      Result
	LatencyMs   float64
	Final       bool    // the request has its final response
	ActualUnits float64 // true units of the request; 0: unknown
	Load        Load
}

// ClientDisconnected reports that the client no longer waits for a response.
type ClientDisconnected struct{ ID string }

// FirstByte reports that the response has begun to stream: the request is not retried any more.
type FirstByte struct {
	ID      string
	Attempt int
}

// TimerFired reports that a [SetTimer] is due.
type TimerFired struct{ Name string }

// Endpoints is a list of servers from service discovery, or a change to the list.
type Endpoints struct {
	Scope   Scope
	Servers []ServerInfo
}

// ProbeResult reports the result of a [ProbeServer].
type ProbeResult struct {
	Server    uint64
	Result    Result
	LatencyMs float64
	Load      Load
}

// PeerMessage is a message from another limiter. The limiter does not retain Data.
type PeerMessage struct {
	From int
	Data []byte
}

func (Submit) event()             {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (FirstByte) event()          {}
func (TimerFired) event()         {}
func (Endpoints) event()          {}
func (ProbeResult) event()        {}
func (PeerMessage) event()        {}

// Scope is the extent of an [Endpoints] event.
type Scope int

// The scopes of an Endpoints event.
const (
	Partial   Scope = iota // changed entries only
	Complete               // the complete list
	Persisted              // the complete list, possibly stale
	Failed                 // the request for the list failed; the previous list stays in use
)

// ServerInfo is one entry of the list of servers. No decision uses Kind or Weight.
type ServerInfo struct {
	ID      uint64
	Kind    int
	Zone    int
	Cell    int
	ReadyAt float64 // start time of its process; 0: long ago
	Phase   Phase
	Weight  float64
}

// Phase is the state of a server in the list.
type Phase int

// The phases of a server.
const (
	Up Phase = iota
	Draining
	Removed
)

// Load is the load report of a server. A negative field was not reported.
type Load struct {
	Busy      float64 // requests being executed
	Pending   float64 // requests in its queue
	ServiceMs float64 // time to execute one request
}

// Result is the result of an attempt or a probe.
type Result int

// The results. Rejected, ConnectFailed and NotSent prove that the request was not executed.
const (
	Success         Result = iota
	ServerError            // the server responded with an error
	Rejected               // the server has no capacity
	TimedOut               // no response in time
	ConnectFailed          // no connection could be established
	ConnectionLost         // the connection broke after the request was sent
	Canceled               // by a CancelAttempt
	NotSent                // the attempt was started too late to be sent
	InvalidResponse        // the response is unusable; it says nothing about the server
)

// Action is an output of a Limiter, to be executed by the host. The action types are
// [StartAttempt], [Reject], [Fail], [CancelAttempt], [SetTimer], [ProbeServer], [SendPeer],
// [Log], [WatchEndpoints] and [FetchEndpoints].
type Action interface{ action() }

// StartAttempt forwards a request to a server. The attempts of a request are numbered from 0 in
// the order of their StartAttempts.
type StartAttempt struct {
	ID        string
	TimeoutMs float64 // 0: until the client gives up
	Server    uint64
}

// Reject is a final response after which the client may retry: a retry cannot execute the
// request twice.
type Reject struct {
	ID           string
	RetryAfterMs float64 // time after which a retry may succeed; 0: unknown
}

// Fail is a final response: the request may have been executed.
type Fail struct{ ID string }

// CancelAttempt cancels an attempt in flight.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// SetTimer requests a [TimerFired] at the time At.
type SetTimer struct {
	At   float64
	Name string
}

// ProbeServer requests a health check of a server.
type ProbeServer struct{ Server uint64 }

// SendPeer sends a message to another limiter. Delivery is not guaranteed.
type SendPeer struct {
	To   int
	Data []byte
}

// Log is a log line for operators.
type Log struct{ Line string }

// WatchEndpoints requests the list of servers and all changes to it.
type WatchEndpoints struct{}

// FetchEndpoints requests the complete list of servers once.
type FetchEndpoints struct{}

func (StartAttempt) action()   {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (SetTimer) action()       {}
func (ProbeServer) action()    {}
func (SendPeer) action()       {}
func (Log) action()            {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}

// Package balancer decides, for one of several gateways in front of shared servers, which
// requests are admitted and which server gets each of them. Every customer is held to a
// quota that all gateways share.
//
// A [Limiter] is a state machine without I/O, clock or goroutines: the host calls
// [Limiter.Handle] with each event and the current time, and carries out the actions that it
// returns. Equal settings, seeds and events give equal actions. Times are in milliseconds on
// a clock of the host's that never goes backwards.
package balancer

// Settings describe the deployment to one Limiter. A zero value means that the deployment
// has no such limit or facility, but for Balancers, Classes and Plans, which are required.
type Settings struct {
	Position              int  // this limiter's number, from 0
	Balancers             int  // number of limiters
	Zone                  int  // this limiter's zone
	PollMembership        bool // the list of servers must be requested
	Classes               []Class
	Plans                 []Plan
	Caps                  Caps
	ServerLimits          ServerLimits
	PeerMessagesPerSecond float64 // messages that a limiter can take in
	TrueUp                bool    // Submit.Units is an estimate, Outcome.SettledUnits the true value
	CrossZonePrice        float64 // price of one attempt that leaves the zone
	PollWithinMs          float64 // the list must be requested again within this time
}

// Class describes one kind of request.
type Class struct {
	Idempotency     Idempotency
	DedupScope      DedupScope
	LatencyTargetMs float64 // a response within this time has the full value
	DeadlineMs      float64 // longest time that clients wait
	DedupWindowMs   float64 // how long a key is remembered and its repeats dropped
	Value           float64 // of a response, without unit
	LateValueShare  float64 // share of the value of a response after the latency target
}

// Idempotency says what a second execution of a request would do.
type Idempotency int

// The idempotency classes.
const (
	Safe   Idempotency = iota // a repeat does no harm
	Keyed                     // repeats of a key are dropped within a DedupScope
	Unsafe                    // must never be executed twice
)

// DedupScope says which servers share remembered idempotency keys: one drops a repeat of what
// another one of the scope has executed.
type DedupScope int

// The scopes of deduplication.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Plan is what a customer of one plan may use, at all limiters together.
type Plan struct {
	Rate             float64 // units per second; 0: no such quota
	Burst            float64 // units that the bucket holds
	MaxInFlight      int     // attempts in flight; 0: no such quota
	HardRate         float64 // units per second that must never be exceeded; 0: no such limit
	HardBurst        float64 // units that may be used at once within HardRate
	Price            float64 // factor on the value of a response
	ExcessValueShare float64 // share of the value of a response beyond the quota
	ExcessPenalty    float64 // share of the value lost by forwarding beyond the quota
}

// Caps are the limits and facilities of the deployment.
type Caps struct {
	MaxAttempts      int     // of one request; 0 counts as 1
	Cancel           bool    // attempts can be canceled
	Peers            bool    // limiters can send each other messages
	Probes           bool    // servers can be probed
	RetryAfter       bool    // a rejection may say when to retry
	Hedging          bool    // several attempts of a request may be in flight
	MaxRetryAfterMs  float64 // longest time to a retry that clients respect
	ConnectTimeoutMs float64
}

// ServerLimits are the figures of the rules on slow start and overload of servers.
type ServerLimits struct {
	SlowStartShare float64 // share of its capacity that a server starts with
	SlowStartMs    float64 // time after which a server has its full capacity
	OverloadFactor float64 // a server fails that gets this many times its capacity ...
	OverloadMs     float64 // ... for this long
}

// Event is something that happened. The event types are [Submit], [Outcome], [ClientDisconnected],
// [FirstByte], [TimerFired], [Endpoints], [ProbeResult] and [PeerMessage].
type Event interface{ event() }

// Submit is a request of a client. It gets exactly one final response: Reject, Fail, or the
// response of an attempt whose Outcome is Final.
type Submit struct {
	ID           string
	TimeoutMs    float64 // time until the client gives up
	Units        float64 // of the quota
	Class        int     // index in Settings.Classes
	Plan         int     // index in Settings.Plans
	Retry        bool    // the client marks it as a retry
	Customer     uint64
	LimiterCount int // number of limiters that the customer's requests arrive at ...
	FirstLimiter int // ... in a row from this position on
}

// Outcome says how one attempt ended.
type Outcome struct {
	ID          string
	Attempt     int
	Server      uint64
	Result      Result
	LatencyMs   float64
	Final       bool    // the request has its final response
	ActualUnits float64 // true units of the request; 0: not settled
	Load        Load
}

// ClientDisconnected says that the client no longer waits for a response.
type ClientDisconnected struct{ ID string }

// FirstByte says that a streamed response has begun: the request is no longer retried.
type FirstByte struct {
	ID      string
	Attempt int
}

// TimerFired is a [SetTimer] that is due.
type TimerFired struct{ Name string }

// Endpoints is a list of servers from discovery, or a change of it.
type Endpoints struct {
	Scope   Scope
	Servers []ServerInfo
}

// ProbeResult is the result of a [ProbeServer].
type ProbeResult struct {
	Server    uint64
	Result    Result
	LatencyMs float64
	Load      Load
}

// PeerMessage is a message of another limiter. The limiter keeps no part of Data.
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

// Scope says how a list of servers relates to the one before.
type Scope int

// The scopes of a list.
const (
	Partial   Scope = iota // changed entries only
	Complete               // the whole list
	Persisted              // the whole list, perhaps stale
	Failed                 // the request for the list failed; the old one holds
)

// ServerInfo is one entry of a list.
type ServerInfo struct {
	ID      uint64
	Kind    int
	Zone    int
	Cell    int
	ReadyAt float64 // when its process started; 0: long ago
	Phase   Phase
	Weight  float64
}

// Phase is a server's state in the list.
type Phase int

// The phases of a server.
const (
	Up Phase = iota
	Draining
	Removed
)

// Load is a server's load report. A negative field was not reported.
type Load struct {
	Busy      float64 // requests in execution
	Pending   float64 // requests in its queue
	ServiceMs float64 // time to execute one request
}

// Result is how an attempt or a probe ended.
type Result int

// The results. Rejected, ConnectFailed and NotSent prove that nothing was executed.
const (
	Success         Result = iota
	ServerError            // a response with an error
	Rejected               // the server has no capacity
	TimedOut               // no response in time
	ConnectFailed          // no connection
	ConnectionLost         // the connection broke after the request was sent
	Canceled               // by CancelAttempt
	NotSent                // the attempt came too late to be sent
	InvalidResponse        // a response that can't be used; it says nothing about the server
)

// Action is something that the host is to do. The action types are [StartAttempt], [Reject],
// [Fail], [CancelAttempt], [SetTimer], [ProbeServer], [SendPeer], [Log], [WatchEndpoints] and
// [FetchEndpoints].
type Action interface{ action() }

// StartAttempt forwards a request to a server. The attempts of a request are numbered from 0
// in this order.
type StartAttempt struct {
	ID        string
	TimeoutMs float64 // 0: until the client gives up
	Server    uint64
}

// Reject is a final response: a retry can't execute the request twice.
type Reject struct {
	ID           string
	RetryAfterMs float64 // time after which a retry may succeed; 0: not known
}

// Fail is a final response: the request may have been executed.
type Fail struct{ ID string }

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// SetTimer requests a [TimerFired] at a time.
type SetTimer struct {
	At   float64
	Name string
}

// ProbeServer requests a health check of a server.
type ProbeServer struct{ Server uint64 }

// SendPeer sends a message to another limiter. It may be lost.
type SendPeer struct {
	To   int
	Data []byte
}

// Log is a line for the operators.
type Log struct{ Line string }

// WatchEndpoints subscribes to changes of the list of servers.
type WatchEndpoints struct{}

// FetchEndpoints requests the whole list of servers once.
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

package node

import (
	"context"
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// attempt is one attempt to forward a request to a server.
type attempt struct {
	req       *request
	number    int // in the order of the request's attempts, from 0
	host      *host
	deadline  time.Time
	startedAt time.Time

	// Guarded by Node.mu:
	claimed bool               // the request's goroutine executes it
	ended   bool               // the limiter has its Outcome
	conn    *conn              // nil unless an exchange is in progress
	cancel  context.CancelFunc // cancels a connect in progress
}

// startAttempt starts an attempt, or queues the outcome of one that can't be started.
func (n *Node) startAttempt(a balancer.StartAttempt) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	at := &attempt{req: r, number: r.attempts, startedAt: time.Now(), deadline: r.deadline}
	r.attempts++
	if a.TimeoutMs != 0 {
		if stop := at.startedAt.Add(millis(a.TimeoutMs)); stop.Before(at.deadline) {
			at.deadline = stop
		}
	}
	at.host = n.pool.Host(a.Server)
	maxAttempts := n.cfg.Settings.Limiter.Caps.MaxAttempts
	switch {
	case r.final != nil, !at.startedAt.Before(r.deadline), maxAttempts > 0 && at.number >= maxAttempts:
		n.queueOutcome(at, a.Server, balancer.NotSent)
	case at.host == nil, r.current != nil && !r.current.ended: // unavailable server, or a concurrent attempt
		n.queueOutcome(at, a.Server, balancer.ConnectFailed)
	default:
		// A canceled attempt may still occupy the request's goroutine, which closes its
		// connection before it executes this attempt. So an attempt that the limiter starts
		// right after a Canceled outcome is accepted.
		r.current = at
		r.wake()
	}
}

// queueOutcome queues the Outcome of an attempt that ended without a response.
func (n *Node) queueOutcome(at *attempt, server uint64, result balancer.Result) {
	at.ended = true
	at.req.lastResult = result
	n.queue = append(n.queue, balancer.Outcome{ID: at.req.id, Attempt: at.number, Server: server, Result: result,
		LatencyMs: msSince(at.startedAt), Final: at.req.final != nil, Load: noLoad})
}

// cancelAttempt cancels an attempt. Its connection is closed before the request's goroutine can
// begin another attempt.
func (n *Node) cancelAttempt(at *attempt) {
	if at.ended {
		return
	}
	n.queueOutcome(at, at.host.ID, balancer.Canceled)
	if at.conn != nil {
		at.conn.Close()
	}
	if at.cancel != nil {
		at.cancel()
	}
}

// finishAttempt reports to the limiter how an attempt ended, unless the attempt was canceled
// meanwhile: then the limiter already has its outcome.
func (n *Node) finishAttempt(at *attempt, res attemptResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := at.req
	if r.current == at {
		r.current = nil
	}
	if at.ended {
		return
	}
	at.ended = true
	r.lastResult = res.result
	if res.result == balancer.Success && r.final == nil {
		r.final = &response{status: http.StatusOK, body: res.body, contentType: res.contentType}
	}
	n.handleEvent(balancer.Outcome{ID: r.id, Attempt: at.number, Server: at.host.ID, Result: res.result,
		LatencyMs: msSince(at.startedAt), Final: r.final != nil, Load: res.load})
}

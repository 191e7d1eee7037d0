package node

import (
	"context"
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// attempt is one StartAttempt of the module.
type attempt struct {
	req    *request
	number int
	host   *host
	stopAt time.Time
	sentAt time.Time

	// Under the node's mutex:
	claimed bool // the client's goroutine carries it out
	ended   bool // the module has its Outcome
	conn    *conn
	cancel  context.CancelFunc // ends a connect
}

// startAttempt starts an attempt, or queues the outcome of one that can't start.
func (n *Node) startAttempt(a balancer.StartAttempt) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	at := &attempt{req: r, number: r.attempts, sentAt: time.Now(), stopAt: r.stopAt}
	r.attempts++
	if a.TimeoutMs != 0 {
		if stop := at.sentAt.Add(millis(a.TimeoutMs)); stop.Before(at.stopAt) {
			at.stopAt = stop
		}
	}
	at.host = n.pool.Host(a.Server)
	maxAttempts := n.cfg.Settings.Limiter.Caps.MaxAttempts
	switch {
	case r.final != nil, !at.sentAt.Before(r.stopAt), maxAttempts > 0 && at.number >= maxAttempts:
		n.queueOutcome(at, a.Server, balancer.NotSent)
	case at.host == nil, r.current != nil && !r.current.ended: // servers that the list has, one at a time
		n.queueOutcome(at, a.Server, balancer.ConnectFailed)
	default:
		// An attempt that was canceled may still occupy the client's goroutine, which closes
		// its connection before it takes this one. So what the module forwards right after a
		// Canceled outcome is not rejected.
		r.current = at
		r.wake()
	}
}

// queueOutcome queues the Outcome of an attempt that was not ended by a response.
func (n *Node) queueOutcome(at *attempt, server uint64, result balancer.Result) {
	at.ended = true
	at.req.lastResult = result
	n.queue = append(n.queue, balancer.Outcome{ID: at.req.id, Attempt: at.number, Server: server, Result: result,
		LatencyMs: msSince(at.sentAt), Final: at.req.final != nil, Load: noLoad})
}

// cancelAttempt stops waiting for an attempt. Its connection is closed before the client's
// goroutine can begin another one.
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

// finishAttempt reports how an attempt ended. The module has the outcome already of one that
// was canceled meanwhile.
func (n *Node) finishAttempt(at *attempt, rep attemptResult) {
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
	r.lastResult = rep.result
	if rep.result == balancer.Success && r.final == nil {
		r.final = &response{status: http.StatusOK, body: rep.body, contentType: rep.contentType}
	}
	n.handleEvent(balancer.Outcome{ID: r.id, Attempt: at.number, Server: at.host.ID, Result: rep.result,
		LatencyMs: msSince(at.sentAt), Final: r.final != nil, Load: rep.load})
}

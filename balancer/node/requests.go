package node

import (
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// request is a client's request from its arrival to its final response. Its goroutine, which runs
// serveRequest, executes its attempts, one at a time.
type request struct {
	call
	id       string
	deadline time.Time // of its attempts, early enough for the response to arrive in time

	// Guarded by Node.mu:
	attempts   int
	current    *attempt // in progress or waiting for the request's goroutine
	final      *response
	lastResult balancer.Result
	wakeup     chan struct{} // wakes the request's goroutine; nil until it waits
}

// call is the part of a request that is forwarded to a server unchanged.
type call struct {
	method, target, host                   string
	requestID, idempotencyKey, contentType string // headers
	body                                   []byte
}

// response is the final response to a client.
type response struct {
	status       int
	body         []byte
	contentType  string
	retryAfterMs float64
}

// noResponse is the final response of a request whose client has disconnected: nothing is sent.
var noResponse = &response{}

// setFinal sets the final response of a request, unless it already has one.
func (n *Node) setFinal(id string, resp *response) {
	r := n.requests[id]
	if r == nil || r.final != nil {
		return
	}
	if resp.status == http.StatusBadGateway && r.lastResult == balancer.TimedOut {
		resp.status = http.StatusGatewayTimeout
	}
	r.final = resp
	if r.current != nil {
		n.cancelAttempt(r.current)
	}
	r.wake()
}

// submit passes a request to the limiter. It returns false if a request with the same ID is in
// flight: the limiter would ignore the second one.
func (n *Node) submit(r *request, ev balancer.Submit) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil {
		return false
	}
	n.requests[r.id] = r
	if !n.drainDeadline.IsZero() && n.drainDeadline.Before(r.deadline) {
		r.deadline = n.drainDeadline
	}
	ev.TimeoutMs = float64(time.Until(r.deadline)) / float64(time.Millisecond)
	n.handleEvent(ev)
	return true
}

// awaitNext waits for the next attempt of a request, or its final response.
func (n *Node) awaitNext(r *request) (*attempt, *response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if at := r.current; at != nil && !at.claimed && !at.ended {
			at.claimed = true
			return at, nil
		}
		if r.final != nil {
			return nil, r.final
		}
		left := time.Until(r.deadline)
		if left <= 0 { // the limiter has not ended the request in time
			n.setFinal(r.id, &response{status: http.StatusGatewayTimeout})
			n.handleEvent(balancer.ClientDisconnected{ID: r.id})
			continue
		}
		if r.wakeup == nil {
			r.wakeup = make(chan struct{}, 1)
		}
		n.mu.Unlock()
		t := time.NewTimer(left)
		select {
		case <-r.wakeup:
		case <-t.C:
		}
		t.Stop()
		n.mu.Lock()
	}
}

// wake wakes the request's goroutine.
func (r *request) wake() {
	if r.wakeup != nil {
		select {
		case r.wakeup <- struct{}{}:
		default:
		}
	}
}

// abandon ends a request whose client has disconnected.
func (n *Node) abandon(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.final != nil {
		return
	}
	n.setFinal(r.id, noResponse)
	n.handleEvent(balancer.ClientDisconnected{ID: r.id})
}

// removeRequest removes a request that has its final response.
func (n *Node) removeRequest(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, r.id)
}

// expireRequests ends the requests that are still in flight at the drain deadline.
func (n *Node) expireRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		r.deadline = n.drainDeadline
		if r.current != nil && r.current.conn != nil {
			_ = r.current.conn.SetDeadline(n.drainDeadline) // fails only if it is closed already
		}
		if r.current != nil && r.current.cancel != nil {
			r.current.cancel()
		}
	}
}

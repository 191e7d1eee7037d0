package node

import (
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// request is a client's request from its arrival to its final response. The client's
// goroutine carries out its attempts, one at a time.
type request struct {
	call
	id     string
	stopAt time.Time // attempts end by then, so that the response comes in time

	// Under the node's mutex:
	attempts   int
	current    *attempt // the attempt that is out or about to go out
	final      *response
	lastResult balancer.Result
	wakeup     chan struct{} // wakes the client's goroutine; nil until it waits
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
	contentType  string // content type
	retryAfterMs float64
}

// noResponse stands for the response of a request whose client is gone.
var noResponse = &response{}

// setFinal sets the final response of a request. The first one stays.
func (n *Node) setFinal(id string, a *response) {
	r := n.requests[id]
	if r == nil || r.final != nil {
		return
	}
	if a.status == http.StatusBadGateway && r.lastResult == balancer.TimedOut {
		a.status = http.StatusGatewayTimeout
	}
	r.final = a
	if r.current != nil {
		n.cancelAttempt(r.current)
	}
	r.wake()
}

// submit passes a request to the module. It returns false for an id that is in flight already:
// the module would ignore the second one.
func (n *Node) submit(r *request, ev balancer.Submit) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil {
		return false
	}
	n.requests[r.id] = r
	if !n.stopBy.IsZero() && n.stopBy.Before(r.stopAt) {
		r.stopAt = n.stopBy
	}
	ev.TimeoutMs = float64(time.Until(r.stopAt)) / float64(time.Millisecond)
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
		left := time.Until(r.stopAt)
		if left <= 0 { // the module has not ended it: the client gets a response all the same
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

// wake wakes the client's goroutine.
func (r *request) wake() {
	if r.wakeup != nil {
		select {
		case r.wakeup <- struct{}{}:
		default:
		}
	}
}

// abandon ends a request whose client is gone.
func (n *Node) abandon(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.final != nil {
		return
	}
	n.setFinal(r.id, noResponse)
	n.handleEvent(balancer.ClientDisconnected{ID: r.id})
}

// removeRequest drops a request that has its final response.
func (n *Node) removeRequest(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.requests, r.id)
}

// expire ends the attempts that are still in flight when the node must stop.
func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.requests {
		r.stopAt = n.stopBy
		if r.current != nil && r.current.conn != nil {
			_ = r.current.conn.SetDeadline(n.stopBy) // a closed connection has ended already
		}
		if r.current != nil && r.current.cancel != nil {
			r.current.cancel()
		}
	}
}

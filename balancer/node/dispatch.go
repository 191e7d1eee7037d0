package node

import (
	"cmp"
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// now returns the limiter's time in milliseconds. It starts as Unix time, so that it can be
// compared with a server's born_ms, and advances with the monotonic clock.
func (n *Node) now() float64 { return n.startMs + float64(time.Since(n.start).Microseconds())/1000 }

// dispatch passes an event to the limiter and performs the resulting actions.
func (n *Node) dispatch(ev balancer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleEvent(ev)
}

// handleEvent is dispatch for callers that hold mu. Events that actions cause are queued: Handle
// must not be called while its actions are performed, as they are valid only until its next call.
func (n *Node) handleEvent(ev balancer.Event) {
	if n.closed {
		return
	}
	n.queue = append(n.queue, ev)
	n.handleQueue()
}

// handleQueue passes the queued events to the limiter and performs the resulting actions.
func (n *Node) handleQueue() {
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.limiter.Handle(n.now(), n.queue[i]) {
			n.perform(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

// perform performs one action. It never blocks.
func (n *Node) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		n.startAttempt(a)
	case balancer.Reject:
		// Without a Retry-After, a client would retry at once.
		n.setFinal(a.ID, &response{status: http.StatusTooManyRequests,
			retryAfterMs: cmp.Or(a.RetryAfterMs, defaultRetryAfterMs)})
	case balancer.Fail:
		n.setFinal(a.ID, &response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && r.current != nil && r.current.number == a.Attempt {
			n.cancelAttempt(r.current)
		}
	case balancer.SetTimer:
		wait := millis(a.At - n.now())
		time.AfterFunc(max(0, wait), func() { n.dispatch(balancer.TimerFired{Name: a.Name}) })
	case balancer.ProbeServer:
		go n.probe(a.Server)
	case balancer.SendPeer:
		if n.peers != nil {
			n.peers.send(a.To, a.Data)
		}
	case balancer.Log:
		n.log.Info(a.Line)
	case balancer.WatchEndpoints, balancer.FetchEndpoints:
		// watchDiscovery always runs and delivers what these actions request.
	}
}

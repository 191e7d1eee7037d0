package node

import (
	"cmp"
	"net/http"
	"time"

	"example.org/elmspan/balancer"
)

// now is the module's clock: Unix milliseconds at the start, from there on the
// monotonic clock, so that a server's born_ms is on the same clock.
func (n *Node) now() float64 { return n.startMs + float64(time.Since(n.start).Microseconds())/1000 }

// dispatch passes the module an event and carries out its actions.
func (n *Node) dispatch(ev balancer.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleEvent(ev)
}

// handleEvent is dispatch with the mutex held. Events that actions cause are queued: Handle is
// not called again while its actions are carried out, as they are valid until its next call.
func (n *Node) handleEvent(ev balancer.Event) {
	if n.closed {
		return
	}
	n.queue = append(n.queue, ev)
	n.handleQueue()
}

// handleQueue passes the module the queued events.
func (n *Node) handleQueue() {
	for i := 0; i < len(n.queue); i++ {
		for _, a := range n.limiter.Handle(n.now(), n.queue[i]) {
			n.perform(a)
		}
	}
	clear(n.queue)
	n.queue = n.queue[:0]
}

// perform carries out one action. It never blocks.
func (n *Node) perform(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		n.startAttempt(a)
	case balancer.Reject:
		// Without a time to retry after, a client would retry at once.
		n.setFinal(a.ID, &response{status: http.StatusTooManyRequests,
			retryAfterMs: cmp.Or(a.RetryAfterMs, capacityRetryAfterMs)})
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
		// The watch of discovery runs all the time and brings what these request.
	}
}

package dataplane

import "sync"

// connProgress tracks which requests of a client connection have been read and which of their responses have been
// decided, and decides which response is the last one. Requests are numbered from 1 in the order in which they are
// read, which is also the order of their responses.
//
// A connection that ends in order ends with a response that announces it. So whoever stops reading leaves the response
// to the last request that was read to close the connection: what the client has sent after that request counts as not
// received, and is not run.
type connProgress struct {
	mu               sync.Mutex
	requestsRead     int  // guarded by mu
	responsesDecided int  // guarded by mu; responses of which it is settled whether they close the connection
	responsesWritten int  // guarded by mu
	drainBegun       bool // guarded by mu; a response was decided during a drain
	readingEnded     bool // guarded by mu; no further request is read
	closing          bool // guarded by mu; no response follows the current one
}

// requestRead returns the number of the request that has just been read. It returns false if an earlier response closes
// the connection: the request then counts as not received.
func (p *connProgress) requestRead() (sequence int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return 0, false
	}
	p.requestsRead++
	return p.requestsRead, true
}

// endReadingInDrain ends the reading of requests during a drain, and reports whether it did. It does so only if the
// response to one of those read can still announce that the connection closes; otherwise the next request must be read,
// so that its response can. Until the first response of the drain, further requests are read unless the pipeline is
// full: a client that opens a connection during the drain may send several at once.
func (p *connProgress) endReadingInDrain(full bool) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unanswered := p.requestsRead > p.responsesDecided
	p.readingEnded = p.closing || unanswered && (full || p.drainBegun)
	return p.readingEnded
}

// endReading ends the reading of requests. If the response to the last one read is not settled yet, it closes the
// connection.
func (p *connProgress) endReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readingEnded = true
}

// decideResponse settles whether the response to a request closes the connection: if it must, or if no later request
// was read and none will be, as always during a drain. ended reports that an earlier response has closed the
// connection: this one is not written.
func (p *connProgress) decideResponse(sequence int, mustClose, draining bool) (closes, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return false, true
	}
	p.responsesDecided = sequence
	p.drainBegun = draining
	p.closing = mustClose || (draining || p.readingEnded) && sequence == p.requestsRead
	return p.closing, false
}

// responseWritten records that a response that does not close the connection was written.
func (p *connProgress) responseWritten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesWritten++
}

// allAnswered reports whether the responses to all requests read so far have been written.
func (p *connProgress) allAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responsesWritten == p.requestsRead
}

// close records that no further response is written.
func (p *connProgress) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
}

// isClosing reports whether no response follows the current one.
func (p *connProgress) isClosing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

package dataplane

import "sync"

// pipeline bounds the requests of one connection that are in flight at once. It belongs to the goroutine that reads
// the connection.
type pipeline struct {
	slots     chan struct{} // holds one for each request in flight
	responses sync.WaitGroup
}

func newPipeline() *pipeline { return &pipeline{slots: make(chan struct{}, maxPipelined)} }

// acquireIfFree takes a slot for a request, and reports whether one was free.
func (p *pipeline) acquireIfFree() bool {
	select {
	case p.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// acquire takes a slot for a request, once one is free.
func (p *pipeline) acquire() { p.slots <- struct{}{} }

// run answers a request that has a slot in a goroutine of its own.
func (p *pipeline) run(answer func()) {
	p.responses.Go(func() {
		answer()
		<-p.slots
	})
}

// empty reports whether no request is in flight.
func (p *pipeline) empty() bool { return len(p.slots) == 0 }

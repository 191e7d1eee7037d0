package dataplane

import "sync"

// pipeline limits the requests of one connection that are processed concurrently. Only the goroutine that reads the
// connection uses it.
type pipeline struct {
	slots     chan struct{} // holds one element per request in flight
	responses sync.WaitGroup
}

func newPipeline() *pipeline { return &pipeline{slots: make(chan struct{}, maxPipelined)} }

// acquireIfFree acquires a slot if one is free, and reports whether it did.
func (p *pipeline) acquireIfFree() bool {
	select {
	case p.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// acquire waits for a free slot and acquires it.
func (p *pipeline) acquire() { p.slots <- struct{}{} }

// run calls answer in a new goroutine and then releases the slot, which the caller has acquired.
func (p *pipeline) run(answer func()) {
	p.responses.Go(func() {
		answer()
		<-p.slots
	})
}

// empty reports whether no request is in flight.
func (p *pipeline) empty() bool { return len(p.slots) == 0 }

// full reports whether no slot is free.
func (p *pipeline) full() bool { return len(p.slots) == cap(p.slots) }

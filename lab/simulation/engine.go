// Package simulation plays a day with hundreds of limiters on a clock of its
// own: the decisions are the gateway's (dataplane/limiter, membership), the
// network, the servers and the clients are models. Equal days and seeds give
// equal results. [Run] plays one day, [Sweep] many, [MinServerFactor] searches
// for the size that a day needs.
package simulation

import (
	"container/heap"
	"time"
)

// engine carries out events in the order of their times. Times are in
// milliseconds since the start of traffic.
type engine struct {
	now    float64
	seq    uint64 // events scheduled so far
	events eventHeap
	done   uint64 // events carried out so far
}

type event struct {
	at  float64
	seq uint64 // events of one time keep their order
	run func()
}

// eventHeap implements [heap.Interface].
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event at the end of the slice.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop takes the last event of the slice.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}

// after schedules run some milliseconds from now; a negative time is now.
func (e *engine) after(ms float64, run func()) {
	e.seq++
	heap.Push(&e.events, event{e.now + max(0, ms), e.seq, run})
}

// until carries out all events up to a time.
func (e *engine) until(end float64) {
	for len(e.events) > 0 && e.events[0].at <= end {
		x := heap.Pop(&e.events).(event)
		e.now = x.at
		e.done++
		x.run()
	}
	e.now = max(e.now, end)
}

// elapsed is the time since the start of traffic.
func (e *engine) elapsed() time.Duration { return duration(e.now) }

// duration converts milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

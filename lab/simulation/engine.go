// Package simulation plays a day with hundreds of limiters on a clock of its
// own: the decisions are the gateway's (dataplane/limiter, membership), the
// network, the servers and the clients are models. Equal days and seeds give
// equal results.
package simulation

import "container/heap"

// engine carries out events in the order of their times. Times are in
// milliseconds since the start of traffic.
type engine struct {
	now    float64
	seq    uint64
	events events
	done   uint64
}

type event struct {
	at  float64
	seq uint64 // events of one time keep their order
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// after has something happen some milliseconds from now.
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

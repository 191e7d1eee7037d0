package dataplane

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// acceptAfterTerm is how long connections are still accepted after SIGTERM. Within this time the platform detects
	// that this gateway is not ready and stops sending new connections.
	acceptAfterTerm = 2600 * time.Millisecond
	// forwardAfterTerm is how long after SIGTERM requests are forwarded whatever their deadline. A later one is
	// forwarded only if its deadline comes before the end of the drain, or if it may be repeated and its answer is
	// expected before: its server could still be at work by then.
	forwardAfterTerm = 3 * time.Second
	// shutdownReserve is the part of the grace period kept for the shutdown steps after the drain.
	shutdownReserve = 700 * time.Millisecond
	// abortReserve is the last part of the drain, in which attempts that are still in flight are aborted so that their
	// requests, and those behind them on the same connections, get a response.
	abortReserve = 100 * time.Millisecond
	// drainPollInterval is how often a drain checks whether connections are left.
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the listener down in steps: it reports not ready but still accepts until the platform has detected that;
// then it accepts no new connections, while responses announce that their connections close; at the end of the grace
// period it aborts what is still in flight, and closes the connections that remain.
func (l *clientListener) drain(grace time.Duration) {
	start := time.Now()
	end := start.Add(grace - shutdownReserve)
	l.forwarder.shutdown.begin(start.Add(forwardAfterTerm), end.Add(-abortReserve))
	l.readiness.draining.Store(true)
	l.log.Info("draining", "in_flight", l.forwarder.inFlight.Load())
	time.Sleep(l.acceptFor)
	_ = l.tcp.Close() // makes accept return
	l.awaitConns(end.Add(-abortReserve))
	aborted := l.forwarder.inFlight.Load()
	l.forwarder.shutdown.abort()
	l.awaitConns(end)
	cut := l.closeAll()
	l.log.Info("drained", "after_ms", time.Since(start).Milliseconds(), "aborted", aborted, "connections_cut", cut,
		"in_flight", l.forwarder.inFlight.Load())
}

// awaitConns closes idle connections and waits until no connection is left, or until a time.
func (l *clientListener) awaitConns(until time.Time) {
	for time.Now().Before(until) {
		l.wakeIdle()
		if l.count() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// wakeIdle closes the connections that wait for a request.
func (l *clientListener) wakeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.wakeIfIdle()
	}
}

// closeAll closes the remaining connections and returns their number.
func (l *clientListener) closeAll() (closed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.nc.Close() // the grace period is over
	}
	return len(l.conns)
}

// shutdown tells the forwarder of requests how much of a drain is left.
type shutdown struct {
	schedule atomic.Pointer[drainSchedule] // nil: no drain has begun
	// aborted is done once attempts in flight must end and no further ones may start.
	aborted context.Context
	abort   context.CancelFunc
}

// drainSchedule holds the times of a drain.
type drainSchedule struct {
	lateFrom time.Time // requests that are forwarded from then on must have their deadline before abortAt
	abortAt  time.Time // when attempts in flight are aborted
}

func newShutdown() shutdown {
	aborted, abort := context.WithCancel(context.Background())
	return shutdown{aborted: aborted, abort: abort}
}

// begin begins a drain.
func (s *shutdown) begin(lateFrom, abortAt time.Time) {
	s.schedule.Store(&drainSchedule{lateFrom: lateFrom, abortAt: abortAt})
}

// tooLateFor reports whether a request that ends by the given time might not be finished before the drain ends.
func (s *shutdown) tooLateFor(deadline time.Time) bool {
	d := s.schedule.Load()
	return d != nil && time.Now().After(d.lateFrom) && deadline.After(d.abortAt)
}

// isAborted reports whether attempts in flight must end.
func (s *shutdown) isAborted() bool { return s.aborted.Err() != nil }

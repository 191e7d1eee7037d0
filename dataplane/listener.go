package dataplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/telemetry"
)

const (
	// openAfterTerm is how long connections are still accepted after SIGTERM: by then the platform has noticed that
	// this gateway is not ready.
	openAfterTerm = 2600 * time.Millisecond
	// graceReserve is left of the grace period for what follows the drain.
	graceReserve = 700 * time.Millisecond
	// drainPoll is how often a drain looks whether connections are left.
	drainPoll = 20 * time.Millisecond
	// acceptBackoff is the pause after a failed accept, when descriptors have run out for example.
	acceptBackoff = 5 * time.Millisecond

	defaultWriteTimeout = 10 * time.Second
	defaultLinger       = 500 * time.Millisecond
)

// clientListener accepts connections of clients and drains them.
type clientListener struct {
	log       *slog.Logger
	metrics   *telemetry.Metrics
	link      *link.Pacer
	router    *router
	lease     *lease
	readiness *readiness
	forwarder *forwarder
	tasks     *sync.WaitGroup

	// Immutable after New; tests change them before they accept.
	openFor      time.Duration // how long connections are accepted after SIGTERM
	linger       time.Duration // how long a closed connection is read on, so that the client gets its last response
	writeTimeout time.Duration // how long a client may take to be sent a response

	tcp net.Listener

	mu    sync.Mutex
	conns map[*clientConn]struct{} // guarded by mu
}

// listen opens the listener for clients. Accepted connections inherit the socket options of the listener.
func (l *clientListener) listen(address string) error {
	config := net.ListenConfig{Control: l.link.Control, KeepAlive: -1}
	var err error
	if l.tcp, err = config.Listen(context.Background(), "tcp", address); err != nil {
		return fmt.Errorf("listeners.front_port: %w", err)
	}
	return nil
}

// accept serves connections until the listener is closed.
func (l *clientListener) accept() {
	for {
		nc, err := l.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		c := newClientConn(l, nc)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		l.tasks.Go(c.serve)
	}
}

// remove forgets a connection that has ended.
func (l *clientListener) remove(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// count returns how many connections there are.
func (l *clientListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// drain leaves in this order: not ready any more, but still accepting until the platform has noticed; then no new
// connections, while responses say that theirs closes; what is left at the end of the grace period is closed.
func (l *clientListener) drain(grace time.Duration) {
	begun := time.Now()
	l.readiness.draining.Store(true)
	l.log.Info("draining", "in_flight", l.forwarder.inFlight.Load())
	time.Sleep(l.openFor)
	_ = l.tcp.Close() // accept ends by it
	end := begun.Add(grace - graceReserve)
	for time.Now().Before(end) {
		l.wakeIdle()
		if l.count() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	l.closeAll()
	l.log.Info("drained", "after_ms", time.Since(begun).Milliseconds(), "in_flight", l.forwarder.inFlight.Load())
}

// wakeIdle ends connections that wait for a request.
func (l *clientListener) wakeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.wakeIfIdle()
	}
}

// closeAll closes the connections that are left.
func (l *clientListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.nc.Close() // its time is up
	}
}

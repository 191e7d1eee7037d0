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
	// acceptAfterTerm is how long connections are still accepted after SIGTERM. Within this time the platform detects
	// that this gateway is not ready and stops sending new connections.
	acceptAfterTerm = 2600 * time.Millisecond
	// shutdownReserve is the part of the grace period kept for the shutdown steps after the drain.
	shutdownReserve = 700 * time.Millisecond
	// drainPollInterval is how often a drain checks whether connections are left.
	drainPollInterval = 20 * time.Millisecond
	// acceptBackoff is the pause after a failed accept, for example when file descriptors have run out.
	acceptBackoff = 5 * time.Millisecond

	defaultWriteTimeout = 10 * time.Second
	defaultLinger       = 500 * time.Millisecond
)

// clientListener accepts client connections and drains them.
type clientListener struct {
	log       *slog.Logger
	metrics   *telemetry.Metrics
	link      *link.Pacer
	router    *router
	lease     *lease
	readiness *readiness
	forwarder *forwarder
	tasks     *sync.WaitGroup

	// Immutable once accept runs; tests change them before that.
	acceptFor    time.Duration // how long connections are accepted after SIGTERM
	linger       time.Duration // how long input is discarded after the final response, so that the client receives it
	writeTimeout time.Duration // for writing a response to the client

	tcp net.Listener

	mu    sync.Mutex
	conns map[*clientConn]struct{} // guarded by mu
}

// listen opens the listener for client connections, which inherit its socket options.
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

// remove removes an ended connection from the set.
func (l *clientListener) remove(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// count returns the number of open connections.
func (l *clientListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// drain shuts the listener down in steps: it reports not ready but still accepts until the platform has detected that;
// then it accepts no new connections, while responses announce that their connections close; at the end of the grace
// period it closes the remaining connections.
func (l *clientListener) drain(grace time.Duration) {
	start := time.Now()
	l.readiness.draining.Store(true)
	l.log.Info("draining", "in_flight", l.forwarder.inFlight.Load())
	time.Sleep(l.acceptFor)
	_ = l.tcp.Close() // makes accept return
	end := start.Add(grace - shutdownReserve)
	for time.Now().Before(end) {
		l.wakeIdle()
		if l.count() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	l.closeAll()
	l.log.Info("drained", "after_ms", time.Since(start).Milliseconds(), "in_flight", l.forwarder.inFlight.Load())
}

// wakeIdle closes the connections that wait for a request.
func (l *clientListener) wakeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.wakeIfIdle()
	}
}

// closeAll closes the remaining connections.
func (l *clientListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.nc.Close() // the grace period is over
	}
}

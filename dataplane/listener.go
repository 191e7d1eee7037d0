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

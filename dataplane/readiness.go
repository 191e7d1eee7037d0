package dataplane

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// noPeersGrace is the time since the start after which a gateway that knows of no other process becomes ready
	// without peers, on the assumption that there are none.
	noPeersGrace = 2500 * time.Millisecond

	probeHeaderTimeout = 2 * time.Second
	probeIdleTimeout   = 5 * time.Second
)

// readiness decides whether the gateway should receive new connections, and answers the platform's probe: 200 when
// ready, 503 when not.
type readiness struct {
	clock     clock
	router    *router
	endpoints *endpointList
	lease     *lease
	peers     *peerTable

	draining atomic.Bool // set once, when the drain begins

	server   http.Server
	listener net.Listener
}

// listen opens the listener for probes.
func (r *readiness) listen(address string, log *slog.Logger) error {
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return fmt.Errorf("listeners.ready_port: %w", err)
	}
	r.server = http.Server{
		Handler:           r,
		ReadHeaderTimeout: probeHeaderTimeout,
		IdleTimeout:       probeIdleTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return nil
}

// serve answers probes until close.
func (r *readiness) serve() {
	_ = r.server.Serve(r.listener) // ends when the server is closed
}

// close closes the probe server at the end of a drain.
func (r *readiness) close() {
	_ = r.server.Close() // the process is about to exit
}

// ready reports whether the gateway should receive new connections.
func (r *readiness) ready() bool { return !r.draining.Load() && r.canServe() }

// canServe reports whether this gateway has all that it needs: a configuration, servers, a lease and its peers.
func (r *readiness) canServe() bool {
	return r.router.current() != nil && r.endpoints.currentVersion() != 0 && r.lease.valid() &&
		(r.peers.known.Load() || r.clock.now() > noPeersGrace)
}

// ServeHTTP answers a probe.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

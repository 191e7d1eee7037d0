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
	// aloneAfter is when a gateway that knows of no peer is ready without: there is none.
	aloneAfter = 2500 * time.Millisecond

	probeHeaderTimeout = 2 * time.Second
	probeIdleTimeout   = 5 * time.Second
)

// readiness decides whether new connections are wanted and answers the platform's probe: 200 when ready, 503 when not.
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

// listen opens the probe's listener.
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

// close ends the probe's server, at the end of a drain.
func (r *readiness) close() {
	_ = r.server.Close() // the process ends: nothing is left to save
}

// ready reports whether new connections are wanted.
func (r *readiness) ready() bool { return !r.draining.Load() && r.canServe() }

// canServe reports whether this gateway knows all that it needs: a configuration, servers, a lease and its peers.
func (r *readiness) canServe() bool {
	return r.router.current() != nil && r.endpoints.currentVersion() != 0 && r.lease.valid() &&
		(r.peers.known.Load() || r.clock.now() > aloneAfter)
}

// ServeHTTP answers a probe.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

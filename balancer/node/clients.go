package node

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	defaultSockets  = 1024 // if Limits.Sockets is 0
	reservedSockets = 32   // for the listener, discovery, peers and files
	minSockets      = 2 * reservedSockets

	// A client that sends no complete request must get a response or a closed connection within
	// 3 s of connecting: headerTimeout and bodyTimeout bound the time to read a request.
	headerTimeout     = 2 * time.Second        // from the connect or the request's first byte
	bodyTimeout       = 800 * time.Millisecond // from the end of the header
	clientIdleTimeout = 2 * time.Second        // of a connection between requests
	writeSlack        = 5 * time.Second        // to write a response after the longest deadline
	maxHeaderBytes    = 16 << 10
	maxIDLength       = 128 // bytes of an X-Request-ID or an Idempotency-Key
	// clientReceiveBuffer is the kernel's receive buffer of a client's connection, in bytes.
	clientReceiveBuffer = 128 << 10

	// Attempts end responseMargin before the client's deadline, so that the response reaches it
	// in time. Of a short time-out the margin takes at most 1/responseMarginDivisor.
	responseMargin        = 10 * time.Millisecond
	responseMarginDivisor = 4

	healthPath          = "/healthz" // of limiters and servers
	defaultRetryAfterMs = 50.0       // Retry-After at capacity, or if the limiter gives none
)

// socketBudget divides the file descriptors between connections to servers and to clients, so
// that neither can exhaust those of the other. Well-behaved clients have requests in flight on at
// most a third of the descriptors, and each of these requests needs a connection to a server. The
// rest is for client connections without a request in flight.
func socketBudget(sockets int) (upstream, clients int) {
	if sockets == 0 {
		sockets = defaultSockets
	}
	upstream = (sockets + 2) / 3
	return upstream, sockets - reservedSockets - upstream
}

// connKey is the context key for a request's connection.
type connKey struct{}

// newServer returns the HTTP server for clients.
func (n *Node) newServer(errorLog *log.Logger) *http.Server {
	// No ServeMux: it would redirect requests whose path is not in canonical form.
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			if err := checkFraming(hr); err != nil {
				n.rejectMalformed(w, hr, err)
			} else if hr.URL.Path == healthPath && hr.Method == http.MethodGet {
				n.serveHealth(w)
			} else {
				n.serveRequest(w, hr)
			}
		}),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      n.cfg.Settings.LongestDeadline + headerTimeout + writeSlack,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
		ConnState:         n.clients.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// serveHealth responds with status 200 if the node can serve requests: it knows a server and is
// not draining.
func (n *Node) serveHealth(w http.ResponseWriter) {
	n.mu.Lock()
	ok := n.hasServers && n.drainDeadline.IsZero()
	n.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // the client may have disconnected
}

// rejectMalformed rejects a request that is malformed or has the ID of a request in flight, and
// closes its connection: its body may not have been read, and further data on the connection
// can't be trusted.
func (n *Node) rejectMalformed(w http.ResponseWriter, hr *http.Request, err error) {
	status := http.StatusBadRequest
	var b *badRequestError
	if errors.As(err, &b) {
		status = b.status
	}
	n.inputLog.warn("malformed request rejected", "from", hr.RemoteAddr, "error", err)
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// serveRequest serves a request, which gets exactly one final response.
func (n *Node) serveRequest(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	r, ev, err := n.parse(hr, arrived)
	if err == nil {
		err = readRequestBody(w, hr, r, arrived)
	}
	conn, _ := hr.Context().Value(connKey{}).(net.Conn)
	if n.clients.wasClosed(conn) {
		// The connection was closed as unused while this request arrived. The client will send
		// the request again, so this copy must not be forwarded.
		panic(http.ErrAbortHandler)
	}
	if err == nil && n.atCapacity() {
		w.Header().Set("Connection", "close")
		n.writeResponse(w, &response{status: http.StatusServiceUnavailable, retryAfterMs: defaultRetryAfterMs})
		return
	}
	if err == nil && !n.submit(r, ev) {
		err = &badRequestError{http.StatusConflict, "a request with this X-Request-ID is in hand"}
	}
	if err != nil {
		n.rejectMalformed(w, hr, err)
		return
	}
	defer n.removeRequest(r)
	stop := context.AfterFunc(hr.Context(), func() { n.abandon(r) })
	defer stop()
	for {
		at, final := n.awaitNext(r)
		if final == nil {
			n.finishAttempt(at, n.execute(at))
			continue
		}
		if final == noResponse {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		n.writeResponse(w, final)
		return
	}
}

// atCapacity reports whether the requests in flight have reached MaxInFlight or the maximum
// number of connections to servers. Connections without a request don't count: clients that send
// nothing must not cause rejections of others.
func (n *Node) atCapacity() bool {
	limit := n.pool.MaxConns
	if m := n.cfg.Settings.MaxInFlight; m > 0 {
		limit = min(limit, m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.requests) >= limit
}

// writeResponse writes a final response.
func (n *Node) writeResponse(w http.ResponseWriter, resp *response) {
	h := w.Header()
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if resp.contentType != "" {
		h["Content-Type"] = []string{resp.contentType}
	} else {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	h["Content-Length"] = []string{strconv.Itoa(len(resp.body))}
	if resp.retryAfterMs > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(resp.retryAfterMs/1000, 'f', 3, 64)}
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // the client may have disconnected
}

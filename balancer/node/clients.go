package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/balancer"
)

const (
	defaultSockets  = 1024
	reservedSockets = 32 // listener, discovery, peers, files
	minSockets      = 2 * reservedSockets

	// A client is owed an answer or a close within 3 s of connecting, whatever it
	// sends: its head and its body have these times.
	headTimeout = 2 * time.Second        // for the head, from connecting or its first byte
	bodyTimeout = 800 * time.Millisecond // for the body, from the end of the head
	idleTimeout = 2 * time.Second        // for a connection between requests
	writeSlack  = 5 * time.Second        // for an answer, past the longest deadline
	maxHead     = 16 << 10
	maxIDLength = 128
	// clientBuffer is what the system buffers at most of what a client sends unread.
	clientBuffer = 128 << 10

	// An attempt ends so long before the client gives up, that the answer which
	// follows is out in time; of short times this part at the most.
	responseMargin     = 10 * time.Millisecond
	responseMarginPart = 4

	healthPath           = "/healthz"
	capacityRetryAfterMs = 50.0 // ms to stay away from a limiter that is full
)

// socketBudget divides the descriptors between servers and clients, so that
// connections to servers never take those that clients need. Usual clients hold a
// third at most with requests, and each of these needs one to a server: what is left
// takes up connections without a request.
func socketBudget(sockets int) (upstream, clients int) {
	if sockets == 0 {
		sockets = defaultSockets
	}
	upstream = (sockets + 2) / 3
	return upstream, sockets - reservedSockets - upstream
}

// connKey is the key of a request's context for its connection.
type connKey struct{}

// newServer returns the HTTP server for clients.
func (n *Node) newServer(errors *log.Logger) *http.Server {
	// No ServeMux: it would redirect a path that it would write otherwise.
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
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      n.cfg.Settings.LongestDeadline + headTimeout + writeSlack,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          errors,
		ConnState:         n.clients.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// serveHealth responds 200 when the node can serve: it knows servers and isn't stopping.
func (n *Node) serveHealth(w http.ResponseWriter) {
	n.mu.Lock()
	ok := n.hasServers && n.stopBy.IsZero()
	n.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // the prober may be gone
}

// badRequestError is an error with the status of its response.
type badRequestError struct {
	status int
	text   string
}

func (b *badRequestError) Error() string { return b.text }

func badRequestf(format string, args ...any) error {
	return &badRequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// checkFraming rejects what others may read in another way. Of a request with
// both Content-Length and Transfer-Encoding net/http drops one header silently and
// takes what follows for the next request, which may be one hidden in a body; of an
// HTTP/1.0 request it drops Transfer-Encoding. Nothing further is read from such a
// connection (RFC 9112, 6.3). Bodies are short, so that their length is known.
func checkFraming(hr *http.Request) error {
	switch {
	case !hr.ProtoAtLeast(1, 1):
		return &badRequestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	case len(hr.TransferEncoding) > 0:
		return &badRequestError{http.StatusLengthRequired, "Content-Length is needed, and no Transfer-Encoding"}
	case hr.ContentLength > maxBody:
		return &badRequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	return nil
}

// rejectMalformed responds to a malformed request and closes its connection: what follows on
// it can't be trusted, and its body is not waited for.
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

// serveRequest gives a request its one final response.
func (n *Node) serveRequest(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	r, ev, err := n.parse(hr, arrived)
	if err == nil {
		err = readRequestBody(w, hr, r, arrived)
	}
	conn, _ := hr.Context().Value(connKey{}).(net.Conn)
	if n.clients.wasClosed(conn) {
		// The connection was closed as unused while this request came in. Its client
		// sends it once more, so it must not go on from here as well.
		panic(http.ErrAbortHandler)
	}
	if err == nil && n.atCapacity() {
		w.Header().Set("Connection", "close")
		n.writeResponse(w, &response{status: http.StatusServiceUnavailable, retryAfterMs: capacityRetryAfterMs})
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
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		n.writeResponse(w, final)
		return
	}
}

// atCapacity reports whether the limiter has as many requests in flight as it may, or has
// connections to servers for. Connections without a request don't count: clients that send
// nothing must not keep the others out.
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
func (n *Node) writeResponse(w http.ResponseWriter, a *response) {
	h := w.Header()
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if a.contentType != "" {
		h["Content-Type"] = []string{a.contentType}
	} else {
		h["Content-Type"] = nil // none, rather than a guess
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	if a.retryAfterMs > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64)}
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may be gone
}

// parse checks a request's head.
func (n *Node) parse(hr *http.Request, arrived time.Time) (*request, balancer.Submit, error) {
	var ev balancer.Submit
	h := hr.Header
	id, err := parseRequestID(h)
	if err != nil {
		return nil, ev, err
	}
	settings := &n.cfg.Settings
	class, ok := settings.ClassNames[h.Get("X-Priority-Class")]
	if !ok {
		return nil, ev, badRequestf("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	plan, ok := settings.PlanNames[h.Get("Plan")]
	if !ok {
		return nil, ev, badRequestf("unknown Plan %q", h.Get("Plan"))
	}
	customer, err := parseCustomer(hr)
	if err != nil {
		return nil, ev, err
	}
	timeout, err := parseTimeout(h.Get("X-Timeout"))
	if err != nil {
		return nil, ev, err
	}
	timeout = min(timeout, millis(settings.Module.Classes[class].DeadlineMs))
	key := h.Get("Idempotency-Key")
	if err := checkMethod(settings.Module.Classes[class].Idempotency, hr, key); err != nil {
		return nil, ev, err
	}
	ev = balancer.Submit{ID: id, Class: class, Plan: plan, Retry: h.Get("X-Retried") == "1", Customer: customer}
	if err := parseQuotaInfo(h.Get("Quota-Info"), settings.Module.Balancers, settings.MaxUnits, &ev); err != nil {
		return nil, ev, err
	}
	target, err := requestTarget(hr)
	if err != nil {
		return nil, ev, err
	}
	return &request{
		id:     id,
		stopAt: arrived.Add(timeout - min(responseMargin, timeout/responseMarginPart)),
		call: call{method: hr.Method, target: target, host: hr.Host, requestID: id, idempotencyKey: key,
			contentType: h.Get("Content-Type")},
	}, ev, nil
}

// parseRequestID checks that no header that matters is repeated, as it would be unclear which
// one counts, and returns the request's id.
func parseRequestID(h http.Header) (string, error) {
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return "", badRequestf("%s stands there more than once", name)
		}
	}
	id := h.Get("X-Request-ID")
	if id == "" || len(id) > maxIDLength {
		return "", badRequestf("X-Request-ID is missing or too long")
	}
	if !printable(id) {
		return "", badRequestf("X-Request-ID %q", id)
	}
	return id, nil
}

// parseCustomer returns the customer's number, the key of the query.
func parseCustomer(hr *http.Request) (uint64, error) {
	key := hr.URL.Query()["key"]
	if len(key) != 1 || len(key[0]) != 16 {
		return 0, badRequestf("the query needs one key of 16 hex digits")
	}
	customer, err := strconv.ParseUint(key[0], 16, 64)
	if err != nil || customer >= 1<<33 {
		return 0, badRequestf("key %q", key[0])
	}
	return customer, nil
}

// requestTarget returns the path and query for the server. One that a server could not read is
// an error.
func requestTarget(hr *http.Request) (string, error) {
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		target = hr.URL.RequestURI()
	}
	if !printable(target) {
		return "", badRequestf("the path or query holds what has to be escaped")
	}
	return target, nil
}

// singleHeaders are the headers that matter, none of which may be repeated.
var singleHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "Plan", "X-Timeout", "Idempotency-Key", "X-Retried", "Quota-Info",
}

// printable reports whether a text has visible ASCII alone.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// checkMethod checks the method, the key and the body against the class.
func checkMethod(repeat balancer.Idempotency, hr *http.Request, key string) error {
	want := http.MethodPost
	if repeat == balancer.Safe {
		want = http.MethodGet
	}
	switch {
	case hr.Method != want:
		return &badRequestError{http.StatusMethodNotAllowed, "this class goes by " + want}
	case repeat == balancer.Safe && hr.ContentLength != 0:
		return badRequestf("this class has no body")
	case repeat == balancer.Keyed && (key == "" || len(key) > maxIDLength || !printable(key)):
		return badRequestf("Idempotency-Key is missing, too long or not plain")
	case repeat != balancer.Keyed && key != "": // a server would take it for another class
		return badRequestf("this class has no Idempotency-Key")
	}
	return nil
}

// parseTimeout reads a number and its unit, m or u.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(v > 0) || v*float64(unit) > math.MaxInt64/2 {
		return 0, badRequestf("X-Timeout %q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseQuotaInfo reads units, spread and first into ev. Figures out of range must not reach the
// module: they would stay with the customer in whose name they came. Other names are skipped.
func parseQuotaInfo(text string, balancers int, maxUnits float64, ev *balancer.Submit) error {
	var hasUnits, hasSpread, hasFirst bool
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return badRequestf("Quota-Info %q", text)
		}
		ok := true
		switch name {
		case "units":
			ok = v > 0 && v <= maxUnits
			ev.Units, hasUnits = v, true
		case "spread":
			ok = wholeBetween(v, 1, balancers)
			ev.Spread, hasSpread = int(v), true
		case "first":
			ok = wholeBetween(v, 0, balancers-1)
			ev.First, hasFirst = int(v), true
		}
		if !ok {
			return badRequestf("Quota-Info %q", text)
		}
	}
	if !hasUnits || !hasSpread || !hasFirst {
		return badRequestf("Quota-Info %q needs units, spread and first", text)
	}
	return nil
}

// wholeBetween reports whether v is a whole number from low to high.
func wholeBetween(v float64, low, high int) bool {
	return v == math.Trunc(v) && v >= float64(low) && v <= float64(high)
}

// readRequestBody reads the body, if there is one.
func readRequestBody(w http.ResponseWriter, hr *http.Request, r *request, arrived time.Time) error {
	if hr.ContentLength == 0 {
		return nil
	}
	// A body that does not come must not hold the connection. Afterwards there is
	// no deadline: when it passed, net/http would take the client for gone.
	ctl := http.NewResponseController(w)
	by := arrived.Add(bodyTimeout)
	if r.stopAt.Before(by) {
		by = r.stopAt
	}
	if err := ctl.SetReadDeadline(by); err != nil {
		return fmt.Errorf("setting a deadline: %w", err)
	}
	r.body = make([]byte, hr.ContentLength) // checkFraming has bounded it
	if _, err := io.ReadFull(hr.Body, r.body); err != nil {
		return &badRequestError{http.StatusRequestTimeout, "the body did not come"}
	}
	if err := ctl.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("setting a deadline: %w", err)
	}
	return nil
}

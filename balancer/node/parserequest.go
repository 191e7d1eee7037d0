package node

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/balancer"
)

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

// parse checks a request's head.
func (n *Node) parse(hr *http.Request, arrived time.Time) (*request, balancer.Submit, error) {
	var ev balancer.Submit
	h := hr.Header
	id, err := parseRequestID(h)
	if err != nil {
		return nil, ev, err
	}
	settings := &n.cfg.Settings
	class, ok := settings.ClassIndex[h.Get("X-Priority-Class")]
	if !ok {
		return nil, ev, badRequestf("unknown X-Priority-Class %q", h.Get("X-Priority-Class"))
	}
	plan, ok := settings.PlanIndex[h.Get("Plan")]
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
	timeout = min(timeout, millis(settings.Limiter.Classes[class].DeadlineMs))
	key := h.Get("Idempotency-Key")
	if err := checkMethod(settings.Limiter.Classes[class].Idempotency, hr, key); err != nil {
		return nil, ev, err
	}
	ev = balancer.Submit{ID: id, Class: class, Plan: plan, Retry: h.Get("X-Retried") == "1", Customer: customer}
	if err := parseQuotaInfo(h.Get("Quota-Info"), settings.Limiter.Balancers, settings.MaxUnits, &ev); err != nil {
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

// singleHeaders are the headers that matter, none of which may be repeated.
var singleHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "Plan", "X-Timeout", "Idempotency-Key", "X-Retried", "Quota-Info",
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

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

// badRequestError is an error in a request, with the status code of the response.
type badRequestError struct {
	status int
	text   string
}

func (b *badRequestError) Error() string { return b.text }

func badRequestf(format string, args ...any) error {
	return &badRequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// checkFraming rejects requests whose length other HTTP implementations may interpret differently,
// which enables request smuggling. If a request has both Content-Length and Transfer-Encoding,
// net/http silently drops one of them and parses the rest as the next request, which may be hidden
// in a body. In HTTP/1.0 requests it drops Transfer-Encoding. The connection must be closed after
// such a request (RFC 9112, 6.3). Chunked bodies are never needed, as bodies are short.
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

// parse validates a request's header and returns the request and its event for the limiter.
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
		id:       id,
		deadline: arrived.Add(timeout - min(responseMargin, timeout/responseMarginDivisor)),
		call: call{method: hr.Method, target: target, host: hr.Host, requestID: id, idempotencyKey: key,
			contentType: h.Get("Content-Type")},
	}, ev, nil
}

// singleHeaders are the headers that are evaluated. None of them may be repeated.
var singleHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "Plan", "X-Timeout", "Idempotency-Key", "X-Retried", "Quota-Info",
}

// parseRequestID returns the request's ID. It fails if one of the singleHeaders is repeated, as
// it would be ambiguous which value applies.
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

// parseCustomer returns the customer's ID, the query parameter key.
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

// requestTarget returns the path and query to forward, also for a target in absolute form. It fails
// if they contain bytes that a server might not parse.
func requestTarget(hr *http.Request) (string, error) {
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = hr.URL.RequestURI()
	}
	reEncoded := strings.HasPrefix(target, "//") && targetURL(target).RequestURI() != target
	if !printable(target) || reEncoded {
		return "", badRequestf("the path or query holds what has to be escaped")
	}
	return target, nil
}

// printable reports whether a text consists of visible ASCII characters.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// checkMethod checks the method, the idempotency key and the body against the idempotency of the
// request's class.
func checkMethod(idempotency balancer.Idempotency, hr *http.Request, key string) error {
	want := http.MethodPost
	if idempotency == balancer.Safe {
		want = http.MethodGet
	}
	switch {
	case hr.Method != want:
		return &badRequestError{http.StatusMethodNotAllowed, "this class goes by " + want}
	case idempotency == balancer.Safe && hr.ContentLength != 0:
		return badRequestf("this class has no body")
	case idempotency == balancer.Keyed && (key == "" || len(key) > maxIDLength || !printable(key)):
		return badRequestf("Idempotency-Key is missing, too long or not plain")
	case idempotency != balancer.Keyed && key != "": // a server would treat it as a request of another class
		return badRequestf("this class has no Idempotency-Key")
	}
	return nil
}

// parseTimeout parses a number with its unit: m for milliseconds, u for microseconds.
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

// parseQuotaInfo parses units, spread and first into ev and ignores numbers under other names.
// Values out of range must not reach the limiter: they would corrupt the quota state of the
// customer.
func parseQuotaInfo(text string, limiters int, maxUnits float64, ev *balancer.Submit) error {
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
			ok = isIntegerBetween(v, 1, limiters)
			ev.LimiterCount, hasSpread = int(v), true
		case "first":
			ok = isIntegerBetween(v, 0, limiters-1)
			ev.FirstLimiter, hasFirst = int(v), true
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

// isIntegerBetween reports whether v is an integer from low to high.
func isIntegerBetween(v float64, low, high int) bool {
	return v == math.Trunc(v) && v >= float64(low) && v <= float64(high)
}

// readRequestBody reads the body, if there is one, into r.
func readRequestBody(w http.ResponseWriter, hr *http.Request, r *request, arrived time.Time) error {
	if hr.ContentLength == 0 {
		return nil
	}
	// A body that does not arrive must not occupy the connection. The deadline is removed after
	// the body: when it expired, net/http would assume that the client has disconnected.
	ctl := http.NewResponseController(w)
	bodyDeadline := arrived.Add(bodyTimeout)
	if r.deadline.Before(bodyDeadline) {
		bodyDeadline = r.deadline
	}
	if err := ctl.SetReadDeadline(bodyDeadline); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	r.body = make([]byte, hr.ContentLength) // checkFraming limits it to maxBody
	if _, err := io.ReadFull(hr.Body, r.body); err != nil {
		return &badRequestError{http.StatusRequestTimeout, "the body did not come"}
	}
	if err := ctl.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("setting the read deadline: %w", err)
	}
	return nil
}

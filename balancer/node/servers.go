package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/balancer"
	"example.org/elmspan/internal/connpool"
)

const (
	maxBody      = 64 << 10
	probeTimeout = 250 * time.Millisecond

	// maxResponse bounds the bytes that are read for one response, interim responses and chunk
	// framing included.
	maxResponse = maxHeaderBytes + 2*maxBody
	// A response that has begun must be complete within responseTimeout, which allows for the
	// retransmission of a lost packet, and within 1/responseTimeDivisor of the time left.
	responseTimeout     = 250 * time.Millisecond
	responseTimeDivisor = 4
	// maxLoad is above any load that a server can have; a higher reported value is ignored.
	maxLoad = 1e6
)

// noLoad is the load of a response without a load report.
var noLoad = balancer.Load{Busy: -1, Pending: -1, ServiceMs: -1}

// The pool of connections to servers, by server ID.
type (
	pool = connpool.Pool[uint64]
	host = connpool.Host[uint64]
	conn = connpool.Conn[uint64]
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	result      balancer.Result
	body        []byte
	contentType string
	load        balancer.Load
	err         error // why the response could not be read
}

// withoutResponse returns the result of an attempt that has no response.
func withoutResponse(result balancer.Result) attemptResult {
	return attemptResult{result: result, load: noLoad}
}

// execute executes an attempt and returns its result. If an idle connection turns out to be
// closed before anything was written on it, the next connection is used.
func (n *Node) execute(at *attempt) attemptResult {
	for {
		c, failed := n.connect(at)
		if c == nil {
			return failed
		}
		if res, done := n.executeOn(at, c); done {
			return res
		}
	}
}

// connect returns a connection to the attempt's server, an idle or a new one. If it gets none, it
// returns the attempt's result instead.
func (n *Node) connect(at *attempt) (*conn, attemptResult) {
	if c := n.pool.Get(at.host); c != nil {
		return c, attemptResult{}
	}
	ctx, cancel := context.WithDeadline(context.Background(), at.deadline)
	defer cancel()
	n.mu.Lock()
	at.cancel = cancel
	ended := at.ended
	n.mu.Unlock()
	if ended {
		return nil, withoutResponse(balancer.ConnectFailed)
	}
	c, err := n.pool.Connect(ctx, at.host)
	switch {
	case errors.Is(err, connpool.ErrPoolExhausted):
		return nil, withoutResponse(balancer.Rejected)
	case err != nil:
		if !errors.Is(ctx.Err(), context.Canceled) { // a canceled connect says nothing about the server
			n.pool.CloseIdle(at.host)
		}
		return nil, withoutResponse(balancer.ConnectFailed)
	}
	return c, attemptResult{}
}

// executeOn executes an attempt on a connection, which it returns to the pool or closes. done is
// false if the connection turned out to be unusable before anything was written on it and the
// attempt has not been canceled.
func (n *Node) executeOn(at *attempt, c *conn) (res attemptResult, done bool) {
	deadline, ok := n.attachConn(at, c)
	if !ok {
		// at.conn is not set: canceling the attempt must not close a connection that another
		// attempt may have taken from the pool meanwhile.
		n.pool.Put(c)
		return withoutResponse(balancer.ConnectFailed), true
	}
	res, state := exchange(c, &at.req.call, deadline)
	n.mu.Lock()
	at.conn = nil
	ended := at.ended
	n.mu.Unlock()
	if state == reusable && !ended {
		n.pool.Put(c)
	} else {
		c.Close() // before the next attempt can be sent
	}
	if state == broken && !ended { // a canceled attempt's connection was closed by cancelAttempt
		n.pool.CloseIdle(at.host)
	}
	if res.result == balancer.InvalidResponse {
		n.inputLog.warn("server response not usable", "server", at.host.ID, "error", res.err)
	}
	return res, state != neverWritten || ended
}

// attachConn assigns a connection to an attempt if the attempt may still be sent, and returns the
// attempt's deadline. Connecting takes time, so the checks made before it are repeated: the drain
// of a server and the client's deadline apply at the first byte sent.
func (n *Node) attachConn(at *attempt, c *conn) (deadline time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	deadline = at.deadline
	if !n.drainDeadline.IsZero() && n.drainDeadline.Before(deadline) { // SIGTERM came after the request
		deadline = n.drainDeadline
	}
	at.cancel = nil
	if at.ended || !n.pool.Available(at.host) || !time.Now().Before(deadline) {
		return deadline, false
	}
	at.conn = c
	return deadline, true
}

// connState is the state of a connection after an exchange. Only a reusable connection may go back
// to the pool.
type connState int

const (
	notReusable connState = iota
	reusable
	neverWritten // nothing was written, as the server had closed it or sent data while it was idle
	broken       // the connection failed
)

// exchange writes one request and reads its response. If it fails before the last byte of the
// request was written, the result is ConnectFailed: the server can't have executed the request.
func exchange(c *conn, call *call, deadline time.Time) (res attemptResult, state connState) {
	res = withoutResponse(balancer.ConnectFailed)
	req := call.request(time.Until(deadline))
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return res, notReusable
	}
	if c.SetDeadline(deadline) != nil {
		return res, broken
	}
	// Checked as late as possible: data that a server sends after a response, even long after it,
	// must not be taken for the next response, and an unsafe request that fails on a connection
	// that the server has closed can't be retried.
	if c.Used && !c.Reusable() {
		return res, neverWritten
	}
	group := c.IdleGroup()
	defer func() { c.RecordExchange(group, state == broken) }()
	c.BeginExchange(maxResponse)
	if _, err := c.Write(out.Bytes()); err != nil {
		return res, broken
	}
	resp, err := readResponseHead(c, req, deadline)
	if err == nil {
		defer func() { _ = resp.Body.Close() }() // the body was read, or the connection is closed
		res.body, err = readBody(resp)
	}
	if err != nil {
		return failedExchange(res, c, err)
	}
	res.result = classifyResponse(resp)
	res.load = parseLoad(resp.Header.Get("X-Server-Load"))
	res.contentType = resp.Header.Get("Content-Type")
	if !resp.Close && c.Reader.Buffered() == 0 {
		state = reusable
	}
	return res, state
}

// failedExchange returns the result of an exchange whose request was written but whose response
// could not be read.
func failedExchange(res attemptResult, c *conn, err error) (attemptResult, connState) {
	if c.ReadErr() != nil {
		res.result, res.err = balancer.ConnectionLost, err
		return res, broken
	}
	if errors.Is(err, errNoResponse) {
		res.result = balancer.TimedOut
		return res, notReusable
	}
	// The request may have been executed. An invalid response is no sign of an unhealthy server:
	// any server may send one, and its next response may be valid.
	res.result, res.err = balancer.InvalidResponse, err
	return res, notReusable
}

// classifyResponse returns the result of an attempt with a complete response.
func classifyResponse(resp *http.Response) balancer.Result {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success
	case unavailable && resp.Header.Get("X-Not-Processed") == "1":
		return balancer.Rejected
	}
	return balancer.ServerError
}

// errNoResponse reports that the first byte of the response did not arrive in time.
var errNoResponse = errors.New("no response")

// readResponseHead reads the header of the final response and skips interim responses. The read
// deadline that it leaves makes a response that stalls fail while there is time for a retry.
func readResponseHead(c *conn, req *http.Request, deadline time.Time) (*http.Response, error) {
	for {
		if err := c.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		if _, err := c.Reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errNoResponse
		}
		now := time.Now()
		if err := c.SetReadDeadline(now.Add(min(responseTimeout, deadline.Sub(now)/responseTimeDivisor))); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.Reader, req)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, connpool.ErrResponseTooLong
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = connpool.ErrResponseTooLong
	}
	return body, err
}

// request returns the call as an [http.Request], with the time left as its X-Timeout.
func (c *call) request(left time.Duration) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // keeps net/http from adding one
		"X-Request-Id": {c.requestID},
		"X-Timeout":    {strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"},
	}
	if c.idempotencyKey != "" {
		h["Idempotency-Key"] = []string{c.idempotencyKey}
	}
	if c.contentType != "" {
		h["Content-Type"] = []string{c.contentType}
	}
	r := &http.Request{Method: c.method, URL: targetURL(c.target), Host: c.host, Header: h}
	if len(c.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return r
}

// targetURL returns the URL that is written as a target. Opaque is written unchanged, whereas Path and
// RawQuery may be re-encoded; but before an Opaque that begins with two slashes net/url writes the
// scheme and a colon. For such targets requestTarget has checked that the re-encoding changes nothing.
func targetURL(target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		if u, err := url.ParseRequestURI(target); err == nil {
			return u
		}
	}
	return &url.URL{Opaque: target}
}

// parseLoad parses a load report. Values that are not valid count as not reported.
func parseLoad(text string) balancer.Load {
	l := noLoad
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoad) {
			continue
		}
		switch strings.TrimSpace(name) {
		case "inflight":
			l.Busy = v
		case "queue":
			l.Pending = v
		case "latency_ms":
			l.ServiceMs = v
		}
	}
	return l
}

// probe checks a server's health and reports the result to the limiter.
func (n *Node) probe(id uint64) {
	begun := time.Now()
	ev := balancer.ProbeResult{Server: id, Result: balancer.ConnectFailed, Load: noLoad}
	if h := n.pool.Host(id); h != nil {
		ev.Result, ev.Load = n.probeHost(h, begun.Add(probeTimeout))
	}
	ev.LatencyMs = msSince(begun)
	n.dispatch(ev)
}

// probeHost makes one health check. It prefers idle connections to a new one.
func (n *Node) probeHost(h *host, deadline time.Time) (balancer.Result, balancer.Load) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	res := withoutResponse(balancer.ConnectFailed)
	for state := neverWritten; state == neverWritten; {
		c := n.pool.Get(h)
		if c == nil {
			var err error
			if c, err = n.pool.Connect(ctx, h); errors.Is(err, connpool.ErrPoolExhausted) {
				return balancer.Rejected, res.load
			} else if err != nil {
				break
			}
		}
		health := &call{method: http.MethodGet, target: healthPath, host: h.Addr}
		res, state = exchange(c, health, deadline)
		if state == reusable {
			n.pool.Put(c)
		} else {
			c.Close()
		}
	}
	switch res.result {
	case balancer.ConnectFailed, balancer.ConnectionLost, balancer.TimedOut:
		n.pool.CloseIdle(h)
	}
	return res.result, res.load
}

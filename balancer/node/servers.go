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

	// maxResponse bounds what is read for one response, with interim heads and the frames
	// of its chunks, in bytes.
	maxResponse = maxHead + 2*maxBody
	// A response that has begun must be complete within responseTime, which leaves room for
	// a lost packet, or within this part of the time left.
	responseTime = 250 * time.Millisecond
	responsePart = 4
	// maxLoad is above any load that a server can have; a higher figure is not used.
	maxLoad = 1e6
)

// noLoad is the load of a response without a report.
var noLoad = balancer.Load{Busy: -1, Pending: -1, ServiceMs: -1}

// The connections to servers are kept by server number.
type (
	pool = connpool.Pool[uint64]
	host = connpool.Host[uint64]
	conn = connpool.Conn[uint64]
)

// attemptResult is what came of an attempt.
type attemptResult struct {
	result      balancer.Result
	body        []byte
	contentType string
	load        balancer.Load
	err         error // why a response can't be used
}

// noConnection is the result of an attempt that was not sent.
func noConnection(result balancer.Result) attemptResult {
	return attemptResult{result: result, load: noLoad}
}

// execute carries out an attempt and returns what came of it. A kept connection on which
// nothing could be written is replaced by the next one.
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

// connect returns a connection to the attempt's server: a kept one, or a new one. Without a
// connection it returns the attempt's result.
func (n *Node) connect(at *attempt) (*conn, attemptResult) {
	if c := n.pool.Get(at.host); c != nil {
		return c, attemptResult{}
	}
	ctx, cancel := context.WithDeadline(context.Background(), at.stopAt)
	defer cancel()
	n.mu.Lock()
	at.cancel = cancel
	ended := at.ended
	n.mu.Unlock()
	if ended {
		return nil, noConnection(balancer.ConnectFailed)
	}
	c, err := n.pool.Connect(ctx, at.host)
	switch {
	case errors.Is(err, connpool.ErrPoolExhausted):
		return nil, noConnection(balancer.Rejected)
	case err != nil:
		if !errors.Is(ctx.Err(), context.Canceled) { // a canceled connect says nothing about the server
			n.pool.CloseIdle(at.host)
		}
		return nil, noConnection(balancer.ConnectFailed)
	}
	return c, attemptResult{}
}

// executeOn carries out an attempt on a connection, which it puts back or closes. done is
// false if the connection turned out to be unusable before anything was written on it.
func (n *Node) executeOn(at *attempt, c *conn) (res attemptResult, done bool) {
	stopAt, ok := n.claimConn(at, c)
	if !ok {
		// The attempt doesn't have the connection: canceling it must not close one that
		// another attempt has taken meanwhile.
		n.pool.Put(c)
		return noConnection(balancer.ConnectFailed), true
	}
	res, state := exchange(c, &at.req.call, stopAt)
	n.mu.Lock()
	at.conn = nil
	ended := at.ended
	n.mu.Unlock()
	if state == reusable && !ended {
		n.pool.Put(c)
	} else {
		c.Close() // before the next attempt can be sent
	}
	if state == broken && !ended { // not where canceling closed it
		n.pool.CloseIdle(at.host)
	}
	if res.result == balancer.InvalidResponse {
		n.inputLog.warn("server response not usable", "server", at.host.ID, "error", res.err)
	}
	return res, state != neverWritten || ended
}

// claimConn gives an attempt its connection if it may still be sent, and returns the time at
// which the attempt ends. A connect takes time, so what was checked before it may no longer
// hold: the grace of a drain and the client's time count from the first byte sent.
func (n *Node) claimConn(at *attempt, c *conn) (stopAt time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stopAt = at.stopAt
	if !n.stopBy.IsZero() && n.stopBy.Before(stopAt) { // SIGTERM came after the request
		stopAt = n.stopBy
	}
	at.cancel = nil
	if at.ended || !n.pool.Available(at.host) || !time.Now().Before(stopAt) {
		return stopAt, false
	}
	at.conn = c
	return stopAt, true
}

// connState is the state of a connection after an exchange.
type connState int

const (
	notReusable connState = iota
	reusable
	neverWritten // kept before, but closed meanwhile: nothing was written on it
	broken       // the connection itself failed
)

// exchange writes one request and reads its response. It knows whether the last byte was
// written: a failure before that proves that nothing was executed.
func exchange(c *conn, call *call, stopAt time.Time) (res attemptResult, state connState) {
	res = noConnection(balancer.ConnectFailed)
	req := call.request(time.Until(stopAt))
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return res, notReusable
	}
	if c.SetDeadline(stopAt) != nil {
		return res, broken
	}
	// Checked as late as possible: what a server sends after a response, even long after it,
	// must not be taken for the next one, and a connection that it has closed would fail an
	// unsafe request for good.
	if c.Used && !c.Reusable() {
		return res, neverWritten
	}
	group := c.IdleGroup()
	defer func() { c.RecordExchange(group, state == broken) }()
	c.BeginExchange(maxResponse)
	if _, err := c.Write(out.Bytes()); err != nil {
		return res, broken
	}
	resp, err := readResponseHead(c, req, stopAt)
	if err == nil {
		defer func() { _ = resp.Body.Close() }() // it has been read, or the connection is closed
		res.body, err = readBody(resp)
	}
	if err != nil {
		return failedExchange(res, c, err)
	}
	res.result = classify(resp)
	res.load = parseLoad(resp.Header.Get("X-Server-Load"))
	res.contentType = resp.Header.Get("Content-Type")
	if !resp.Close && c.Reader.Buffered() == 0 {
		state = reusable
	}
	return res, state
}

// failedExchange returns the result of an exchange whose request was written, but whose
// response could not be read.
func failedExchange(res attemptResult, c *conn, err error) (attemptResult, connState) {
	if c.ReadErr() != nil {
		res.result, res.err = balancer.ConnectionLost, err
		return res, broken
	}
	if errors.Is(err, errNoResponse) {
		res.result = balancer.TimedOut
		return res, notReusable
	}
	// The request may have been executed. This says nothing about the server: such responses
	// come from any, and the next one may be good.
	res.result, res.err = balancer.InvalidResponse, err
	return res, notReusable
}

// classify returns the result that a response means.
func classify(resp *http.Response) balancer.Result {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success
	case unavailable && resp.Header.Get("X-Not-Processed") == "1":
		return balancer.Rejected
	}
	return balancer.ServerError
}

// errNoResponse says that no response has begun in time.
var errNoResponse = errors.New("no response")

// readResponseHead reads the head of the response and skips interim ones. A response that
// begins and doesn't end fails while there is time for another attempt.
func readResponseHead(c *conn, req *http.Request, stopAt time.Time) (*http.Response, error) {
	for {
		if err := c.SetReadDeadline(stopAt); err != nil {
			return nil, err
		}
		if _, err := c.Reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errNoResponse
		}
		now := time.Now()
		if err := c.SetReadDeadline(now.Add(min(responseTime, stopAt.Sub(now)/responsePart))); err != nil {
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

// request returns the call as a request of net/http, with the time left as its time-out.
func (c *call) request(left time.Duration) *http.Request {
	h := http.Header{
		"User-Agent":   {""}, // none
		"X-Request-Id": {c.requestID},
		"X-Timeout":    {strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"},
	}
	if c.idempotencyKey != "" {
		h["Idempotency-Key"] = []string{c.idempotencyKey}
	}
	if c.contentType != "" {
		h["Content-Type"] = []string{c.contentType}
	}
	// Opaque is written as it stands, where Path and RawQuery may be encoded anew.
	r := &http.Request{Method: c.method, URL: &url.URL{Opaque: c.target}, Host: c.host, Header: h}
	if len(c.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return r
}

// parseLoad reads a load report. Figures that are not valid count as not reported.
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

// probe checks a server's health and reports the result to the module.
func (n *Node) probe(id uint64) {
	begun := time.Now()
	ev := balancer.ProbeResult{Server: id, Result: balancer.ConnectFailed, Load: noLoad}
	if h := n.pool.Host(id); h != nil {
		ev.Result, ev.Load = n.probeHost(h, begun.Add(probeTimeout))
	}
	ev.LatencyMs = msSince(begun)
	n.dispatch(ev)
}

// probeHost makes one health check, on kept connections first.
func (n *Node) probeHost(h *host, stopAt time.Time) (balancer.Result, balancer.Load) {
	ctx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	res := noConnection(balancer.ConnectFailed)
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
		res, state = exchange(c, health, stopAt)
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

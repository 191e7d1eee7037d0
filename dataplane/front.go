package dataplane

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/limiter"
)

const (
	readBuffer   = 4 << 10
	maxPipelined = 8        // requests of one connection in hand at once
	holdBody     = 64 << 10 // bodies up to this are held, so that another server can get them
	writeFor     = 10 * time.Second
	minBudget    = time.Millisecond
	lingerFor    = 500 * time.Millisecond
	// unleasedAdvice is when to come back to a limiter that has no word of the core:
	// on the ordinary path that takes no longer.
	unleasedAdvice = 200 * time.Millisecond
	maxBudget      = 10 * time.Minute
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// clientConn is one client's connection. Its requests are read one after the
// other; repeatable ones behind each other are worked on at once, and answered
// in their order.
type clientConn struct {
	g  *Gateway
	nc net.Conn
	in *bufio.Reader

	mu      sync.Mutex
	seq     int // requests read
	waiting bool
	closing bool // an answer says that the connection closes
	ending  bool // the last answer was written whole
}

// request is one try of a client, as read.
type request struct {
	head     *h1.Head
	route    *route
	tenant   *tenant
	service  string
	keyed    bool // keys are asked for: they are not passed on
	arrived  time.Time
	deadline time.Time
	body     []byte   // held, in full
	stream   *h1.Body // or too long to be held
	length   int64    // of the stream; h1.Chunks where it isn't known
	started  bool     // some of the stream is gone
	course   *limiter.Flight
}

func (g *Gateway) accept() {
	for {
		nc, err := g.front.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &clientConn{g: g, nc: nc}
		g.mu.Lock()
		g.conns[c] = struct{}{}
		g.mu.Unlock()
		g.tasks.Go(c.serve)
	}
}

// wakeIfIdle ends a connection that has no request in hand, for a drain.
func (c *clientConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *clientConn) serve() {
	c.in = readers.Get().(*bufio.Reader)
	c.in.Reset(c.nc)
	var answers sync.WaitGroup
	defer func() {
		answers.Wait()
		c.in.Reset(nil)
		readers.Put(c.in)
		if c.ending {
			c.nc.SetReadDeadline(time.Now().Add(c.g.linger))
			io.Copy(io.Discard, c.nc)
		}
		c.nc.Close()
		c.g.mu.Lock()
		delete(c.g.conns, c)
		c.g.mu.Unlock()
	}()
	places := make(chan struct{}, maxPipelined)
	turn := make(chan struct{})
	close(turn)
	for first := true; ; first = false {
		head, err := c.readHead(first)
		if err != nil {
			<-turn // answers that are owed go first
			var e *h1.Error
			if errors.As(err, &e) {
				c.g.log.Debug("malformed request", "from", c.nc.RemoteAddr(), "err", err)
				if c.write(&answer{status: e.Status, why: e.Reason, closes: true}, nil, time.Now().Add(c.g.writeFor)) == nil {
					c.end()
				}
			}
			return
		}
		arrived := time.Now()
		c.mu.Lock()
		if c.closing { // behind an answer that closes the connection: not read
			c.mu.Unlock()
			return
		}
		c.seq++
		seq := c.seq
		c.mu.Unlock()
		mine, done := turn, make(chan struct{})
		turn = done
		r, a := c.prepare(head, arrived, mine)
		if a == nil && r.stream == nil && r.route.IsIdempotent() && !head.ClosesConnection() {
			places <- struct{}{}
			answers.Go(func() {
				c.respond(r, nil, mine, seq)
				close(done)
				<-places
			})
			continue
		}
		if a == nil && !r.route.IsIdempotent() && !c.comesTo(mine) {
			return
		}
		closes := c.respond(r, a, mine, seq)
		close(done)
		if closes {
			return
		}
	}
}

// comesTo waits until the turn of a request that must not run twice has come, and
// tells whether it has: where the connection ends with an answer before, what stands
// behind that counts as not read, and the client sends it again (RFC 9112, 9.3.2).
func (c *clientConn) comesTo(turn <-chan struct{}) bool {
	<-turn
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// readHead waits for a request and reads its head.
func (c *clientConn) readHead(first bool) (*h1.Head, error) {
	headFor, idleFor, most := defaultHeadFor, defaultIdleFor, defaultHeader
	if v := c.g.view.Load(); v != nil {
		headFor, idleFor, most = v.headFor, v.idleFor, v.maxHead
	}
	wait := idleFor
	if first {
		wait = headFor
	}
	if c.in.Buffered() == 0 {
		c.mu.Lock()
		if c.closing {
			wait = c.g.linger
		}
		c.nc.SetReadDeadline(time.Now().Add(wait))
		c.waiting = true
		c.mu.Unlock()
		_, err := c.in.Peek(1)
		c.mu.Lock()
		c.waiting = false
		c.mu.Unlock()
		if err != nil {
			return nil, io.EOF // nothing was asked: nothing is owed
		}
	}
	c.nc.SetReadDeadline(time.Now().Add(headFor))
	h, err := h1.ReadRequest(c.in, most)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return nil, &h1.Error{Status: 408, Reason: "the head did not come in time"}
	}
	return h, err
}

// prepare checks a request, finds its route and tenant and reads its body. An
// answer that is returned is final. What it says before the answer waits for its turn.
func (c *clientConn) prepare(head *h1.Head, arrived time.Time, turn <-chan struct{}) (*request, *answer) {
	r := &request{head: head, arrived: arrived}
	refuse := func(status int, why string) (*request, *answer) {
		return r, malformed(status, why)
	}
	framing, err := head.RequestFraming()
	if err != nil {
		var e *h1.Error
		if errors.As(err, &e) {
			return r, &answer{status: e.Status, reason: "malformed", why: e.Reason, closes: true}
		}
		return refuse(400, err.Error())
	}
	if head.Count("Host") != 1 {
		return refuse(400, "one Host is needed")
	}
	for _, name := range []string{"Attempt-Id", "Time-Budget-Ms", "Authorization"} {
		if head.Count(name) > 1 {
			return refuse(400, name+" stands there more than once")
		}
	}
	v := c.g.view.Load()
	if v == nil {
		return c.skip(r, framing, noConfig.answer(unleasedAdvice))
	}
	path, _, _ := strings.Cut(head.Target, "?")
	if r.route = v.route(head.Get("Host"), path); r.route == nil {
		return c.skip(r, framing, noRoute.answer(0))
	}
	r.keyed = v.keyed()
	if r.keyed && !r.route.Anonymous {
		scheme, key, _ := strings.Cut(head.Get("Authorization"), " ")
		if !c.g.HasLease() {
			return c.skip(r, framing, noLease.answer(unleasedAdvice))
		}
		if r.tenant, _ = v.keys.Get(sum256(strings.TrimSpace(key))); r.tenant == nil || !strings.EqualFold(scheme, "Token") {
			return c.skip(r, framing, unknownKey.answer(0))
		}
	}
	budget := r.route.timeout
	if text := head.Get("Time-Budget-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0) || ms > inMs(maxBudget) {
			return refuse(400, "Time-Budget-Ms can't be read")
		}
		budget = min(budget, millis(ms))
	}
	r.deadline = arrived.Add(max(minBudget, budget))
	if framing == 0 {
		return r, nil
	}
	if framing > v.maxBody {
		return refuse(413, "the body is too long")
	}
	if head.HasToken("Expect", "100-continue") && !head.HTTP10 && c.in.Buffered() == 0 {
		<-turn // never in the middle of an answer before
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.nc.SetReadDeadline(r.deadline)
	body := h1.NewBody(c.in, framing)
	if framing > holdBody {
		r.stream, r.length = body, framing
		return r, nil
	}
	if framing >= 0 {
		r.body = make([]byte, framing)
		if _, err = io.ReadFull(body, r.body); err == nil {
			return r, nil
		}
	} else {
		if r.body, err = io.ReadAll(io.LimitReader(body, holdBody+1)); err == nil && len(r.body) > holdBody {
			r.stream, r.length = body, h1.Chunked
		}
		if err == nil {
			return r, nil
		}
	}
	var e *h1.Error
	if errors.As(err, &e) {
		return refuse(e.Status, e.Reason)
	}
	return refuse(408, "the body did not come in time")
}

// skip reads past the body of a request that is turned away, if it is short:
// the connection can go on then.
func (c *clientConn) skip(r *request, framing int64, a *answer) (*request, *answer) {
	switch {
	case framing == 0:
	case r.head.HasToken("Expect", "100-continue") && c.in.Buffered() == 0: // it may never come
		a.closes = true
	default:
		c.nc.SetReadDeadline(time.Now().Add(c.g.linger))
		n, err := io.Copy(io.Discard, io.LimitReader(h1.NewBody(c.in, framing), holdBody+1))
		a.closes = a.closes || err != nil || n > holdBody
	}
	return r, a
}

// respond works on a request and writes its answer when its turn has come. It
// tells whether the connection ends with it.
func (c *clientConn) respond(r *request, a *answer, turn <-chan struct{}, seq int) bool {
	if a == nil {
		c.g.inHand.Add(1)
		a = c.g.handle(r)
		c.g.inHand.Add(-1)
	}
	defer a.release()
	defer c.g.over(r)
	c.g.tell(r, a)
	<-turn
	c.mu.Lock()
	switch {
	case c.closing: // one before has ended the connection
		c.mu.Unlock()
		return true
	case r.head.ClosesConnection(), a.unsized(r.head), r.stream != nil && !r.stream.Done():
		a.closes = true
	case c.g.draining.Load() && seq == c.seq: // nothing was read behind it
		a.closes = true
	}
	c.closing = a.closes
	c.mu.Unlock()
	until := time.Now().Add(c.g.writeFor)
	if a.rest != nil && r.deadline.After(until) {
		until = r.deadline
	}
	if err := c.write(a, r.head, until); err != nil || a.closes {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		switch t, ok := c.nc.(interface{ SetLinger(sec int) error }); { // a [net.TCPConn], or one in memory
		case err == nil:
			c.end()
		case ok && a.unsized(r.head): // only a reset tells that it is not whole
			t.SetLinger(0)
			fallthrough
		default:
			c.nc.Close()
		}
		return true
	}
	return false
}

// end ends the connection after its last answer. What the client still sends must not
// make the system reset it before that is read (RFC 9112, 9.6): see serve.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(c.g.linger))
}

// write writes an answer, until some time.
func (c *clientConn) write(a *answer, req *h1.Head, until time.Time) error {
	c.nc.SetWriteDeadline(until)
	return a.writeTo(c.nc, req, c.g.link)
}

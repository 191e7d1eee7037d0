package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/internal/connpool"
)

const (
	maxAnswerHead = 32 << 10
	fullAdvice    = 100 * time.Millisecond
	leastAdvice   = 30 * time.Millisecond
	mostAdvice    = 2 * time.Second
)

type conn = connpool.Conn[string]

// outcome is how a try at a server ended.
type outcome struct {
	result balance.Result
	ran    bool    // the server may have run it
	answer *answer // what it said, if that is of use
}

// handle works on a request until there is a final answer.
func (g *Gateway) handle(r *request) *answer {
	g.mu.Lock()
	if r.tenant != nil {
		wait, ok := g.limiter.Admit(inMs(g.now()), r.tenant.id)
		if !ok {
			g.mu.Unlock()
			return overQuota.answer(max(leastAdvice, millis(wait)))
		}
	}
	r.service = r.route.service(g.rng.Float64())
	g.limiter.SaveUp(r.service)
	f := newFlight(g, r)
	g.mu.Unlock()
	return f.run()
}

// try sends a request to one server and reads its answer.
func (g *Gateway) try(r *request, at *attempt, host *connpool.Host[string]) outcome {
	m := at.member
	for {
		take := g.pool.Take
		if !r.route.Repeatable() {
			take = g.pool.TakeFresh
		}
		c := take(host)
		kept := c != nil
		if c == nil {
			ctx, cancel := context.WithDeadline(at.ctx, r.deadline)
			var err error
			c, err = g.pool.Connect(ctx, host)
			cancel()
			if err != nil {
				if at.ctx.Err() != nil {
					return outcome{result: balance.Given}
				}
				if !errors.Is(err, connpool.ErrNoRoom) {
					g.pool.Broken(host)
				}
				return outcome{result: balance.Unsent}
			}
		}
		if !g.pool.Wanted(host) { // it went while we connected
			c.Close()
			return outcome{result: balance.Moved}
		}
		stop := context.AfterFunc(at.ctx, c.Close)
		o, stale := g.exchange(r, m, c)
		if !stop() { // given up: its connection is closed
			if o.answer != nil {
				o.answer.release()
			}
			return outcome{result: balance.Beaten, ran: true}
		}
		if stale && kept {
			continue
		}
		return o
	}
}

// exchange writes the request and reads the answer. It is stale if the
// connection turned out dead before a byte was written.
func (g *Gateway) exchange(r *request, m *balance.Member, c *conn) (o outcome, stale bool) {
	free := func(reuse bool) {
		if reuse && c.In.Buffered() == 0 {
			g.pool.Put(c)
		} else {
			c.Close()
		}
	}
	c.SetDeadline(r.deadline)
	if c.Used && !c.Quiet() {
		c.Close()
		return outcome{result: balance.Unsent}, true
	}
	age, sent := c.Age(), time.Now()
	c.Expect(math.MaxInt)
	b := heads.Get().(*bytes.Buffer)
	b.Reset()
	r.writeHead(b, m.ID)
	g.link.Count(b.Len())
	n, err := c.Write(b.Bytes())
	heads.Put(b)
	if err != nil && n == 0 {
		c.Note(age, true)
		c.Close()
		return outcome{result: balance.Unsent}, true
	}
	if err == nil && r.stream != nil {
		r.started = true
		err = r.streamTo(c, g.view.Load().maxBody, g.link)
		var e *h1.Error
		if errors.As(err, &e) { // the client's fault
			c.Close()
			return outcome{result: balance.Given, ran: true, answer: &answer{status: e.Status, reason: "malformed", why: e.Why, closes: true}}, false
		}
	}
	var head *h1.Head
	strays := 0
	if err == nil {
		head, strays, err = ownAnswer(c.In, r.head)
	}
	c.Note(age, c.Died() != nil)
	if c.Forgotten(age) && time.Since(sent) < forgottenIn {
		g.forgotten(m.ID, age)
	}
	if strays > 0 {
		g.strayed(m.ID, strays, err)
	}
	if err != nil {
		c.Close()
		return outcome{result: balance.Failed, ran: true}, false
	}
	framing, err := head.AnswerBody(r.head.Method)
	good := head.Status/100 == 2
	switch {
	case good && (head.Get("Server-Seal") == "" || head.Get("Content-Encoding") != "" || framing == h1.TillEnds):
		err = errors.New("the answer is not the server's")
	}
	if err != nil {
		c.Close()
		return outcome{result: balance.Failed, ran: true}, false
	}
	// A server that has lost count once may do so again on this connection; and to
	// pass over a stray answer to HEAD one would have to know that it is one.
	reuse := !head.Closes() && framing != h1.TillEnds && strays == 0 && r.head.Method != "HEAD"
	c.KeepFor = head.KeepAlive()
	a := &answer{status: head.Status, from: head, length: framing}
	body := h1.NewBody(c.In, framing)
	if framing >= 0 && framing <= holdAnswer || !good || r.head.Method == "HEAD" {
		limit := int64(holdAnswer)
		if a.body, err = io.ReadAll(io.LimitReader(body, limit)); err == nil && !body.Done() {
			err = errors.New("a failure's body is too long")
		}
		if err != nil {
			c.Close()
			if !good { // the status alone says enough
				return judge(a, false)
			}
			return outcome{result: balance.Failed, ran: true}, false
		}
		a.length = int64(len(a.body))
		free(reuse)
		return judge(a, good)
	}
	a.rest = body
	a.free = func(whole bool) { free(reuse && whole) }
	return outcome{result: balance.Good, ran: true, answer: a}, false
}

const (
	mostStrays = 2       // answers that belong to no request, before one's own
	strayBody  = 1 << 20 // bytes that are read past of each
)

var errStray = errors.New("the answer is not to this request")

// ownAnswer reads the head of the answer to a request: the one with its id. A
// server that has stuttered sends a second answer to an earlier request where the
// next one is due. Its id tells, and the request's own answer stands behind it. An
// answer without an id could be anybody's: nothing that follows can be trusted.
func ownAnswer(in *bufio.Reader, req *h1.Head) (h *h1.Head, strays int, err error) {
	for {
		if h, err = h1.ReadAnswer(in, maxAnswerHead); err != nil {
			return nil, strays, err
		}
		id := h.Get("Attempt-Id")
		known := id != "" && h.Count("Attempt-Id") == 1
		if known && id == req.Get("Attempt-Id") {
			return h, strays, nil
		}
		if strays++; !known || strays > mostStrays {
			return nil, strays, errStray
		}
		framing, err := h.AnswerBody("GET")
		if err != nil || framing == h1.TillEnds || framing > strayBody {
			return nil, strays, errStray
		}
		body := h1.NewBody(in, framing)
		if _, err := io.Copy(io.Discard, io.LimitReader(body, strayBody)); err != nil || !body.Done() {
			return nil, strays, errStray
		}
	}
}

// forgottenIn is how soon a reset comes from a server that has forgotten a
// connection: before it could have worked on the request.
const forgottenIn = 50 * time.Millisecond

// forgotten notes that a server had forgotten a connection, and has others told.
func (g *Gateway) forgotten(server string, age int) {
	g.pool.Forgot(age, 0)
	g.mu.Lock()
	g.limiter.Forgotten(inMs(g.now()), age)
	g.mu.Unlock()
	g.log.Debug("a connection was forgotten", "server", server, "age", age)
	g.meter.Count("elmspan_forgotten_connections_total", 1)
}

// strayed notes answers that belonged to no request.
func (g *Gateway) strayed(server string, n int, err error) {
	g.log.Debug("stray answers", "server", server, "n", n, "own_found", err == nil)
	g.meter.Count("elmspan_stray_answers_total", n)
}

// judge tells what an answer that was read says.
func judge(a *answer, good bool) (outcome, bool) {
	switch {
	case good:
		return outcome{result: balance.Good, ran: true, answer: a}, false
	case a.status == 421:
		return outcome{result: balance.Moved}, false
	case a.from.Get("Not-Executed") != "":
		if a.status == 400 { // no other server would take it
			return outcome{result: balance.Good, answer: a}, false
		}
		return outcome{result: balance.Full}, false
	case a.status == 429, a.status == 503, a.status == 408:
		// These would promise that it has not run, which the server did not say.
		a = barePledge.answer(0)
		return outcome{result: balance.Failed, ran: true, answer: a}, false
	case a.status < 500:
		return outcome{result: balance.Good, ran: true, answer: a}, false
	case a.status == 504: // its time was up, which says nothing of the server
		return outcome{result: balance.Given, ran: true, answer: a}, false
	}
	return outcome{result: balance.Erred, ran: true, answer: a}, false
}

// writeHead writes the head for a server, with a body that is held.
func (r *request) writeHead(b *bytes.Buffer, member string) {
	b.WriteString(r.head.Method)
	b.WriteByte(' ')
	b.WriteString(r.head.Target)
	b.WriteString(" HTTP/1.1\r\n")
	for _, f := range r.head.Fields {
		if perConnection(r.head, f.Name) || ours(f.Name) || r.keyed && strings.EqualFold(f.Name, "Authorization") {
			continue
		}
		field(b, f.Name, f.Value)
	}
	field(b, "Time-Budget-Ms", strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	field(b, "Target-Member", member)
	if r.tenant != nil {
		field(b, "Tenant-Name", r.tenant.name)
	}
	switch {
	case r.stream != nil && r.length < 0:
		field(b, "Transfer-Encoding", "chunked")
	case r.stream != nil:
		field(b, "Content-Length", strconv.FormatInt(r.length, 10))
	case len(r.body) > 0 || r.head.Method == "POST" || r.head.Method == "PUT" || r.head.Method == "PATCH":
		field(b, "Content-Length", strconv.Itoa(len(r.body)))
	}
	b.WriteString("\r\n")
	if r.stream == nil {
		b.Write(r.body)
	}
}

// ours are the fields that the system sets itself, whatever a client sent.
func ours(name string) bool {
	return strings.EqualFold(name, "Time-Budget-Ms") || strings.EqualFold(name, "Target-Member") ||
		strings.EqualFold(name, "Tenant-Name") || strings.EqualFold(name, "Expect")
}

// streamTo sends a body that is too long to be held. What the client does wrong
// meanwhile is an [h1.Error].
func (r *request) streamTo(w io.Writer, most int64, l *link.Link) error {
	sent := int64(0)
	p := copies.Get().(*[]byte)
	defer copies.Put(p)
	buf := *p
	chunk := func(data []byte) error {
		if sent += int64(len(data)); sent > most {
			return &h1.Error{Status: 413, Why: "the body is too long"}
		}
		if err := l.Wait(context.Background(), len(data)); err != nil {
			return err
		}
		if r.length >= 0 {
			_, err := w.Write(data)
			return err
		}
		out := append(strconv.AppendInt(nil, int64(len(data)), 16), "\r\n"...)
		out = append(append(out, data...), "\r\n"...)
		_, err := w.Write(out)
		return err
	}
	if len(r.body) > 0 {
		if err := chunk(r.body); err != nil {
			return err
		}
	}
	for !r.stream.Done() {
		n, err := r.stream.Read(buf)
		if n > 0 {
			if err := chunk(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil && err != io.EOF {
			if errors.As(err, new(*h1.Error)) {
				return err
			}
			return &h1.Error{Status: 400, Why: "the body breaks off"} // its server never has the whole
		}
	}
	if r.length < 0 {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

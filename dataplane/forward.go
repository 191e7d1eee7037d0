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

	"example.org/elmspan/dataplane/attempt"
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
	answer *answer // what its client can be told, if anything
	keep   bool    // the connection may carry another request
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
	if r.head.Get("Attempt-Id") == "" { // its answer could not be told from another's
		g.mu.Unlock()
		return malformed(400, "an Attempt-Id is needed")
	}
	f := newFlight(g, r)
	g.mu.Unlock()
	return f.run()
}

// try sends a request to one server and reads its answer.
func (g *Gateway) try(r *request, at *serverTry, host *connpool.Host[string]) outcome {
	m := at.member
	for {
		take := g.pool.Get
		if !r.route.IsIdempotent() {
			take = g.pool.GetForNonIdempotent
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
				if !errors.Is(err, connpool.ErrPoolExhausted) {
					g.pool.CloseIdle(host)
				}
				return outcome{result: balance.Unsent}
			}
		}
		if !g.pool.Available(host) { // it went while we connected
			c.Close()
			return outcome{result: balance.Moved}
		}
		stop := context.AfterFunc(at.ctx, c.Close)
		o := g.exchange(r, m, c)
		if !stop() { // given up: its connection is closed
			if o.answer != nil {
				o.answer.release()
			}
			return outcome{result: balance.Beaten, ran: true}
		}
		// Only now is it certain that giving up closes nothing that another has.
		switch streams := o.answer != nil && o.answer.rest != nil; {
		case o.keep:
			g.pool.Put(c)
		case !streams:
			c.Close()
		}
		if o.result == balance.Unsent && kept {
			continue // it turned out dead before a byte was written
		}
		return o
	}
}

// exchange writes the request and reads the answer. The connection is its caller's, or
// the answer's where that is not read whole.
func (g *Gateway) exchange(r *request, m *balance.Member, c *conn) outcome {
	c.SetDeadline(r.deadline)
	if c.Used && !c.Reusable() {
		return outcome{result: balance.Unsent}
	}
	age, sent := c.IdleGroup(), time.Now()
	c.BeginExchange(math.MaxInt)
	e := attempt.Evidence{Written: attempt.FullyWritten, HeadRequest: r.head.Method == "HEAD"}
	b := heads.Get().(*bytes.Buffer)
	b.Reset()
	r.writeHead(b, m.ID)
	g.link.Record(b.Len())
	n, err := c.Write(b.Bytes())
	heads.Put(b)
	switch {
	case err != nil && n == 0:
		c.RecordExchange(age, true)
		return outcome{result: g.rules.Classify(attempt.Evidence{Written: attempt.NotWritten}).Result}
	case err == nil && r.stream != nil:
		r.started = true
		err = r.streamTo(c, g.view.Load().maxBody, g.link)
		var fault *h1.Error
		if errors.As(err, &fault) {
			e.Written, e.Response = attempt.PartlyWritten, attempt.RequestAborted
			return g.outcome(e, &answer{status: fault.Status, reason: "malformed", why: fault.Reason, closes: true})
		}
	}
	if err != nil { // its answer may stand there all the same: a server need not read all that it turns away
		e.Written = attempt.PartlyWritten
	}
	head, err := g.ownAnswer(c.Reader, r.head, &e.StrayResponses)
	c.RecordExchange(age, c.ReadErr() != nil)
	if c.WasStale(age) && time.Since(sent) < forgottenIn {
		g.forgotten(m.ID, age)
	}
	if e.StrayResponses > 0 {
		g.strayed(m.ID, e.StrayResponses, err)
	}
	if err != nil {
		return g.outcome(e, nil)
	}
	c.KeepAlive = head.KeepAlive()
	return g.read(c, e, r.head.Method, head)
}

// read reads the body behind the head of an answer, as far as that is to be read before
// a byte of it goes out.
func (g *Gateway) read(c *conn, e attempt.Evidence, method string, head *h1.Head) outcome {
	framing, err := head.ResponseFraming(method)
	if err != nil { // no answer that two would read alike
		return g.outcome(e, nil)
	}
	e.Response, e.Status, e.NotExecuted = attempt.Truncated, head.Status, head.Get("Not-Executed") != ""
	e.Sealed = head.Get("Server-Seal") != "" && head.Get("Content-Encoding") == "" && framing != h1.UntilClose
	e.Closes = head.ClosesConnection() || framing == h1.UntilClose
	a := &answer{status: head.Status, from: head, length: framing}
	body := h1.NewBody(c.Reader, framing)
	good := head.Status/100 == 2
	if good && !e.Sealed {
		return g.outcome(e, nil)
	}
	if !good || framing >= 0 && framing <= holdAnswer {
		a.body, err = body.ReadUpTo(holdAnswer)
		switch {
		case err != nil:
			return g.outcome(e, nil)
		case body.Done():
			a.length = int64(len(a.body))
			if e.HeadRequest { // what GET would have is told all the same
				a.length, _ = head.ResponseFraming("GET")
			}
			e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered()
			o := g.outcome(e, a)
			o.keep = g.rules.Reusable(e)
			return o
		}
	}
	e.Response = attempt.Streaming
	a.rest, a.free = body, g.freeing(c, e)
	return g.outcome(e, a)
}

// freeing returns what lets go of the connection of an answer that has begun. (By
// itself, so that the evidence on all others stays on the stack.)
func (g *Gateway) freeing(c *conn, e attempt.Evidence) func(whole bool) {
	return func(whole bool) {
		if e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered(); whole && g.rules.Reusable(e) {
			g.pool.Put(c)
		} else {
			c.Close()
		}
	}
}

// outcome is how a try ended, by what was seen of it and the answer that this brought.
func (g *Gateway) outcome(e attempt.Evidence, a *answer) outcome {
	v := g.rules.Classify(e)
	o := outcome{result: v.Result, ran: v.MayHaveRun}
	switch v.Answer {
	case attempt.ServerResponse, attempt.ClientError:
		o.answer = a
	case attempt.BadGateway:
		o.answer = barePledge.answer(0)
	}
	return o
}

const strayBody = 1 << 20 // bytes that are read past of an answer to another request

var errStray = errors.New("the answer is not to this request")

// ownAnswer reads the head of the answer to a request: the one with its id. A
// server that has stuttered sends a second answer to an earlier request where the
// next one is due. Its id tells, and the request's own answer stands behind it. An
// answer without an id could be anybody's: nothing that follows can be trusted.
// It counts the answers that were not this request's.
func (g *Gateway) ownAnswer(in *bufio.Reader, req *h1.Head, strays *int) (*h1.Head, error) {
	for {
		h, err := h1.ReadResponse(in, maxAnswerHead)
		if err != nil {
			return nil, err
		}
		owner := g.rules.OwnerOf(h.Get("Attempt-Id"), h.Count("Attempt-Id"), req.Get("Attempt-Id"))
		if owner == attempt.ThisRequest {
			return h, nil
		}
		*strays++
		framing, err := h.ResponseFraming("GET")
		bounded := err == nil && framing != h1.UntilClose && framing <= strayBody
		if !attempt.ShouldSkip(owner, *strays, bounded) {
			return nil, errStray
		}
		body := h1.NewBody(in, framing)
		if _, err := io.Copy(io.Discard, io.LimitReader(body, strayBody)); err != nil || !body.Done() {
			return nil, errStray
		}
	}
}

// forgottenIn is how soon a reset comes from a server that has forgotten a
// connection: before it could have worked on the request.
const forgottenIn = 50 * time.Millisecond

// forgotten notes that a server had forgotten a connection, and has others told.
func (g *Gateway) forgotten(server string, age int) {
	g.pool.RecordStale(age, connpool.Self)
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
func (r *request) streamTo(w io.Writer, most int64, l *link.Pacer) error {
	sent := int64(0)
	p := copies.Get().(*[]byte)
	defer copies.Put(p)
	buf := *p
	chunk := func(data []byte) error {
		if sent += int64(len(data)); sent > most {
			return &h1.Error{Status: 413, Reason: "the body is too long"}
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
			return &h1.Error{Status: 400, Reason: "the body breaks off"} // its server never has the whole
		}
	}
	if r.length < 0 {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

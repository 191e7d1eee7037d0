package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/scenario"
)

const (
	// maxFilingShare is the largest share of a pipelining client's requests that must not run twice.
	maxFilingShare = 0.2
	// maxReadPause is the longest time that a pipelining client takes before it reads an answer.
	maxReadPause = 20 * time.Millisecond
	// minSendPause and maxSendPause bound the time between two requests of a pipelining client.
	minSendPause = 5 * time.Millisecond
	maxSendPause = 40 * time.Millisecond
)

// pipelineClients has clients keep many requests unanswered on a connection each, for a time.
type pipelineClients struct {
	count, window int
	duration      time.Duration
}

// Inject implements fault.
func (p pipelineClients) Inject(ctx context.Context, f *Fleet) {
	ctx, cancel := context.WithTimeout(ctx, p.duration)
	defer cancel()
	var clients sync.WaitGroup
	for range p.count {
		client := newPipeliner(f, p.window, f.pipeliners.Add(1))
		clients.Go(func() { client.run(ctx) })
	}
	clients.Wait()
}

// pipeliner is a client that always has up to window requests unanswered on its connection, and sends the next one when
// an answer has come, until an answer closes the connection or it ends.
type pipeliner struct {
	fleet     *Fleet
	home      home
	tenant    string
	window    int
	filings   float64       // share of requests that must not run twice
	sendPause time.Duration // between two requests
	readPause time.Duration // before it reads an answer
	rng       *rand.Rand    // used by the goroutine that sends
}

func newPipeliner(f *Fleet, window int, client int64) *pipeliner {
	rng := rand.New(rand.NewPCG(f.spec.Seed, uint64(client)+pipelineStream))
	p := &pipeliner{
		fleet:  f,
		home:   home{zone: rng.IntN(len(f.spec.Zones)), client: rng.IntN(clientsPerZone)},
		tenant: f.spec.Tenants[len(f.spec.Tenants)-1].Name, // its limit leaves room
		window: window,
		rng:    rng,

		sendPause: minSendPause + time.Duration(rng.Int64N(int64(maxSendPause-minSendPause))),
	}
	if rng.IntN(3) == 0 {
		p.filings = maxFilingShare * rng.Float64()
	}
	if rng.IntN(3) == 0 {
		p.readPause = time.Duration(rng.Int64N(int64(maxReadPause)))
	}
	return p
}

// pipelineStream separates the draws of pipelining clients from others of the same seed.
const pipelineStream = 0x919e

// run opens one connection after the other until the context ends.
func (p *pipeliner) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		n := p.fleet.entry(p.home.zone, p.home.client+attempt)
		if n == nil {
			backoff.Sleep(ctx, noEntryDelay)
			continue
		}
		conn, err := net.DialTimeout("tcp", n.front, connectTimeout)
		if err != nil {
			backoff.Sleep(ctx, noEntryDelay)
			continue
		}
		p.converse(ctx, conn, n.front)
	}
}

// converse sends requests on a connection and reads their answers, until it ends. Once the context has ended nothing
// more is sent, and what is open is still answered.
func (p *pipeliner) converse(ctx context.Context, nc net.Conn, target string) {
	c := &pipelinedConn{
		pipeliner: p,
		conn:      &clientConn{Conn: nc, in: bufio.NewReader(nc)},
		target:    target,
		ended:     make(chan struct{}),
	}
	var sender sync.WaitGroup
	sender.Go(func() { c.sendRequests(ctx) })
	err := c.readAnswers()
	close(c.ended)
	_ = nc.Close() // has the sender end
	sender.Wait()
	c.noteUnanswered(err)
}

// pipelinedConn is a connection of a pipelining client.
type pipelinedConn struct {
	*pipeliner
	conn   *clientConn
	target string
	ended  chan struct{} // closed when no further answer is read

	mu   sync.Mutex
	open []pipelinedRequest // sent and not answered, in order
	done bool               // nothing more is sent
}

// pipelinedRequest is a request that is not answered yet.
type pipelinedRequest struct {
	id       string
	events   attemptEvents
	deadline time.Time
}

// sendRequests keeps window requests unanswered.
func (c *pipelinedConn) sendRequests(ctx context.Context) {
	defer c.endSending()
	for ctx.Err() == nil {
		select {
		case <-c.ended:
			return
		default:
		}
		time.Sleep(c.sendPause)
		if !c.maySend() {
			continue
		}
		if _, err := io.WriteString(c.conn, c.next()); err != nil {
			c.dropLast() // the limiter can't have read it whole
			return       // the reader finds out why
		}
	}
}

// dropLast forgets the request that was added last.
func (c *pipelinedConn) dropLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = c.open[:max(0, len(c.open)-1)]
}

// endSending notes that nothing more is sent, and ends the wait for an answer if none is due.
func (c *pipelinedConn) endSending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	if len(c.open) == 0 {
		_ = c.conn.Close() // at rest
	}
}

func (c *pipelinedConn) maySend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) < c.window
}

// next draws the next request, notes that it is sent, and returns its text.
func (c *pipelinedConn) next() string {
	class := c.drawClass()
	sequence := c.fleet.load.nextSequence()
	id := fmt.Sprintf("%08x%04x%04x", sequence, 0, c.fleet.spec.Seed&0xffff)
	deadline := time.Now().Add(time.Duration(class.DeadlineMs * float64(time.Millisecond)))
	events := &loggedAttempts{log: c.fleet.log, class: class, tenant: c.tenant}
	r := request{class: class, events: events}
	c.mu.Lock()
	c.open = append(c.open, pipelinedRequest{id, events, deadline}) // before its answer can come
	c.mu.Unlock()
	return c.fleet.load.client.requestText(&r, c.target, id, c.fleet.operator.key(c.tenant), deadline)
}

// drawClass draws the class of the next request.
func (p *pipeliner) drawClass() *scenario.Class {
	filing := p.rng.Float64() < p.filings
	classes := p.fleet.spec.Classes
	for _, i := range p.rng.Perm(len(classes)) {
		if classes[i].Idempotent() != filing {
			return &classes[i]
		}
	}
	return &classes[0] // all are of the other kind
}

// errClosingAnswer is the end of a connection that an answer has announced.
var errClosingAnswer = errors.New("emulator: the answer closes the connection")

// readAnswers reads answers until the connection ends, an answer closes it or one is overdue, and returns why it ended.
func (c *pipelinedConn) readAnswers() error {
	for {
		if err := c.awaitAnswer(); err != nil {
			return err
		}
		time.Sleep(c.readPause)
		head, body, err := c.conn.readAnswer()
		if err != nil {
			return errors.Join(errBrokenOff, err)
		}
		c.mu.Lock()
		if len(c.open) == 0 {
			c.mu.Unlock()
			return errors.New("emulator: an answer to no request")
		}
		r := c.open[0]
		c.open = c.open[1:]
		last := c.done && len(c.open) == 0
		c.mu.Unlock()
		if head.Get("Attempt-Id") != r.id {
			c.fleet.log.Violation("MIXED", "%s got the answer to %s", r.id, head.Get("Attempt-Id"))
		}
		r.events.answered(r.id, head.Status, head.Get("Server-Seal"), body)
		if head.ClosesConnection() || last {
			return errClosingAnswer
		}
	}
}

// awaitAnswer waits for the first byte of an answer until the oldest open request is overdue. An error is the end of
// the connection, or [os.ErrDeadlineExceeded].
func (c *pipelinedConn) awaitAnswer() error {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(answerPoll)); err != nil {
			return err
		}
		_, err := c.conn.in.Peek(1)
		if err == nil {
			return c.conn.SetReadDeadline(time.Now().Add(maxAnswerTime))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.overdue() {
			return err
		}
	}
}

const (
	// answerPoll is how often a pipelining client looks whether an answer is overdue.
	answerPoll = 20 * time.Millisecond
	// maxAnswerTime is the longest that the rest of an answer takes.
	maxAnswerTime = 10 * time.Second
)

// overdue reports whether the deadline of the oldest open request has passed.
func (c *pipelinedConn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0 && time.Now().After(c.open[0].deadline)
}

// errBrokenOff is the end of a connection in the middle of an answer.
var errBrokenOff = errors.New("emulator: the answer is broken off")

// deadlineSlack is how much earlier than the client the limiter may find a deadline reached.
const deadlineSlack = 5 * time.Millisecond

// noteUnanswered notes what became of the requests that got no answer, by how the connection ended.
func (c *pipelinedConn) noteUnanswered(err error) {
	if len(c.open) == 0 { // its goroutines have ended
		return
	}
	first := c.open[0]
	c.fleet.event("connection to %s ended with %d unanswered, the first %s: %v", c.target, len(c.open), first.id, err)
	timeUp := time.Now().Add(deadlineSlack).After(first.deadline)
	for i, r := range c.open {
		switch {
		case errors.Is(err, errClosingAnswer):
			r.events.unread(r.id)
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.events.left(r.id)
		case timeUp: // it is not waited for any more, and what is behind it goes with it
		case errors.Is(err, errBrokenOff) && i > 0:
			r.events.abortedBehind(r.id, first.id)
		default:
			r.events.aborted(r.id)
		}
	}
}

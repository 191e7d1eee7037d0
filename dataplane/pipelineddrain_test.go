package dataplane

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

const pipelinedDrainGrace = 6 * time.Second

// pipelinedDrain is a drain during which one client always has many requests unanswered on its connection. Its fields
// are drawn from a seed.
type pipelinedDrain struct {
	window   int           // most requests that are unanswered at a time
	pause    time.Duration // between two requests of the client
	posts    int           // one request in so many is not idempotent; 0: none
	slow     int           // one request in so many takes slowWork at its server
	slowWork time.Duration
	drainAt  time.Duration // after the client's first request
}

func drawPipelinedDrain(seed uint64) pipelinedDrain {
	rng := rand.New(rand.NewPCG(seed, 49))
	return pipelinedDrain{
		window:   1 + rng.IntN(3*maxPipelined),
		pause:    time.Duration(rng.IntN(4000)) * time.Microsecond,
		posts:    rng.IntN(2) * (2 + rng.IntN(20)),
		slow:     2 + rng.IntN(20),
		slowWork: time.Duration(50+rng.IntN(1500)) * time.Millisecond,
		drainAt:  time.Duration(rng.IntN(2000)) * time.Millisecond,
	}
}

// pipelinedRun is what happened in such a drain.
type pipelinedRun struct {
	mu       sync.Mutex
	sent     []string // ids in the order in which they were sent
	answered []string // ids in the order of the responses
	runs     map[string]int
	closed   bool // the last response announced that the connection closes
}

func (p *pipelinedRun) unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent) - len(p.answered)
}

// work is how long a request takes at its server.
func (d pipelinedDrain) work(n int) time.Duration {
	if n%d.slow == 0 {
		return d.slowWork
	}
	return 10 * time.Millisecond
}

// request returns the text of the n-th request, counted from 1.
func (d pipelinedDrain) request(n int) (id, text string) {
	id = fmt.Sprintf("get-%d", n)
	line, body := "GET /get/ HTTP/1.1\r\n", ""
	if d.posts > 0 && n%d.posts == 0 {
		id, body = fmt.Sprintf("once-%d", n), "body"
		line = "POST /once/ HTTP/1.1\r\nContent-Length: 4\r\n"
	}
	return id, fmt.Sprintf("%sHost: h\r\nAttempt-Id: %s\r\nAuthorization: Token k\r\n\r\n%s", line, id, body)
}

// server returns a server that records what it runs.
func (d pipelinedDrain) server(t testing.TB, run *pipelinedRun) *backend {
	return newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		id := h.Get("Attempt-Id")
		run.mu.Lock()
		run.runs[id]++
		run.mu.Unlock()
		_, number, _ := strings.Cut(id, "-")
		n, err := strconv.Atoi(number)
		if err != nil {
			t.Errorf("request with id %q", id)
		}
		time.Sleep(d.work(n))
		return respondOK(id)(w, h, body)
	})
}

// sendRequests keeps requests unanswered on a connection until it can't be written to.
func (d pipelinedDrain) sendRequests(c net.Conn, run *pipelinedRun, ended <-chan struct{}) {
	for n := 1; ; {
		select {
		case <-ended:
			return
		default:
		}
		if run.unanswered() >= d.window {
			time.Sleep(time.Millisecond)
			continue
		}
		id, text := d.request(n)
		n++
		run.mu.Lock()
		run.sent = append(run.sent, id)
		run.mu.Unlock()
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(d.pause)
	}
}

// readResponses reads responses until one closes the connection, or it ends.
func (d pipelinedDrain) readResponses(c *client, run *pipelinedRun) error {
	for {
		h, body, err := c.readResponse()
		if err != nil {
			return err
		}
		run.mu.Lock()
		expected := run.sent[len(run.answered)]
		run.answered = append(run.answered, expected)
		run.closed = h.ClosesConnection()
		run.mu.Unlock()
		if h.Status != 200 || h.Get("Attempt-Id") != expected || body != expected {
			return fmt.Errorf("response to %s: %d to %s with %q", expected, h.Status, h.Get("Attempt-Id"), body)
		}
		if h.ClosesConnection() {
			return nil
		}
	}
}

// play plays the drain and returns when it is over how long it took.
func (d pipelinedDrain) play(t testing.TB, run *pipelinedRun) (took time.Duration, err error) {
	timing := settings.Timing{GraceS: pipelinedDrainGrace.Seconds()}
	g := newGatewayWithTiming(t, timing, d.server(t, run), d.server(t, run))
	g.listener.acceptFor = acceptAfterTerm
	c := dial(t, g)
	ended := make(chan struct{})
	go d.sendRequests(c, run, ended)
	drained := make(chan time.Duration, 1)
	time.AfterFunc(d.drainAt, func() {
		start := time.Now()
		g.listener.drain(pipelinedDrainGrace)
		drained <- time.Since(start)
	})
	err = d.readResponses(c, run)
	close(ended)
	if errors.Is(err, io.EOF) && run.unanswered() == 0 { // closed while idle
		err = nil
	}
	closeConn(c)
	return <-drained, err
}

// check checks what became of the requests: those before the closing response are answered, those behind it not run.
func (p *pipelinedRun) check(t testing.TB) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && len(p.answered) < len(p.sent) {
		t.Errorf("the connection ended after %d of %d responses, the last without Connection: close",
			len(p.answered), len(p.sent))
	}
	for i, id := range p.sent {
		switch runs := p.runs[id]; {
		case i >= len(p.answered) && runs > 0:
			t.Errorf("%s ran %d times behind the last response, of %d", id, runs, len(p.answered))
		case i < len(p.answered) && runs == 0, strings.HasPrefix(id, "once") && runs > 1:
			t.Errorf("%s ran %d times and has response %d of %d", id, runs, i, len(p.answered))
		}
	}
}

// A drain ends the connection of a client that always has further requests unanswered: it stops reading, answers what
// it has read and announces the end with the last response. It used to go on reading, and cut what was unanswered when
// the grace period ended (docs/incidents/0030).
func TestDrainEndsConnectionsThatAlwaysHaveRequestsUnanswered(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			inFakeTime(t, func(t testing.TB) {
				d := drawPipelinedDrain(seed)
				run := &pipelinedRun{runs: map[string]int{}}
				took, err := d.play(t, run)
				if err != nil {
					t.Errorf("%+v: %v", d, err)
				}
				if took > acceptAfterTerm+2*time.Second {
					t.Errorf("%+v: the drain took %v", d, took)
				}
				run.check(t)
			})
		})
	}
}

package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// The case "drain": clients that send more idempotent requests before the first is answered keep doing so while the
// machine that took their connections gets SIGTERM.

const (
	drainClients  = 6
	drainWindow   = 16                    // most requests of a client that are unanswered at a time
	drainEvery    = 2 * time.Millisecond  // a client sends its next request
	drainWork     = 50 * time.Millisecond // of a request at its server
	drainLongWork = 700 * time.Millisecond
	drainBudgetMs = 2000
	drainCalm     = 3 * time.Second // of traffic before the disruption
	drainPlay     = 13 * time.Second
)

// sentRequest is one request of a client.
type sentRequest struct {
	id       string
	conn     int
	front    string
	sent     time.Time
	status   int // 0: no complete answer
	ended    time.Time
	behind   bool // behind an answer that closes the connection: it counts as not read
	connEnds bool // the connection ended without an answer to it
}

// pipeliner is a client that sends a request every drainEvery on its connection, whether or not the earlier ones are
// answered, with drainWindow unanswered at most.
type pipeliner struct {
	w    *world
	name string
	home int // index of the machine of its zone
	stop <-chan struct{}

	conns, sequence int
	requests        []*sentRequest
}

func playDrain(w *world) (breaks []string, err error) {
	if err := w.open(3); err != nil {
		return nil, err
	}
	for i := range 6 {
		if err := w.addServer("look", fmt.Sprintf("zone%d", i%3+1), 8, 24, workOfDrain); err != nil {
			return nil, err
		}
	}
	c := newConfig(1, "look")
	c.Routes = []route{{
		Name: "r-look", Host: "look.example", Prefix: "/look/", Type: "idempotent", TimeoutMs: drainBudgetMs,
		TargetMs: 500, Priority: 1, Upstream: "look", Retries: 2,
	}}
	c.Tenants = []tenant{{Name: "acme", Keys: []string{"key-of-acme"}, Rate: 2000, Burst: 2000}}
	if err := w.launch(c); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms

	stop := make(chan struct{})
	var clients []*pipeliner
	var running sync.WaitGroup
	for i := range drainClients {
		p := &pipeliner{w: w, name: fmt.Sprintf("c%d", i), stop: stop}
		clients = append(clients, p)
		running.Go(p.run)
	}
	time.Sleep(drainCalm)
	var term time.Time
	if w.trouble {
		term = time.Now()
		go w.machines[0].terminate()
	}
	time.Sleep(drainPlay)
	close(stop)
	running.Wait()
	return judgeDrain(w, clients, term)
}

// workOfDrain is the work of a request: one in twelve takes long.
func workOfDrain(id string) time.Duration {
	if crc32.ChecksumIEEE([]byte(id))%12 == 0 {
		return drainLongWork
	}
	return drainWork
}

// run keeps a connection to the limiter that the platform names, until the client is stopped.
func (p *pipeliner) run() {
	for {
		select {
		case <-p.stop:
			return
		default:
		}
		front := p.w.platform.entry(p.home)
		if front == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		p.conns++
		p.serve(c, front)
		_ = c.Close() // it has ended, or the client is done
	}
}

// serve sends requests on a connection at an even pace until it ends, and reads the answers.
func (p *pipeliner) serve(c net.Conn, front string) {
	x := &exchange{p: p, c: c, ended: make(chan struct{})}
	go x.readAnswers()
	pace := time.NewTicker(drainEvery)
	defer pace.Stop()
	for {
		select {
		case <-x.ended:
		case <-p.stop: // what is open is still answered
			limit := time.Now().Add(drainBudgetMs * time.Millisecond)
			for x.unanswered() > 0 && time.Now().Before(limit) {
				time.Sleep(drainEvery)
			}
			_ = c.Close() // has the reader end
			<-x.ended
		case <-pace.C:
			if x.unanswered() >= drainWindow || x.send(front) {
				continue
			}
			<-x.ended // the connection can't be written to: its reader sees the end
		}
		break
	}
	x.end()
}

// exchange is what goes on on one connection.
type exchange struct {
	p     *pipeliner
	c     net.Conn
	ended chan struct{} // closed when nothing more is read

	mu     sync.Mutex
	open   []*sentRequest // unanswered, in order
	closed bool           // an answer closes the connection
}

func (x *exchange) unanswered() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.open)
}

// readAnswers reads answers until one closes the connection, or the connection ends.
func (x *exchange) readAnswers() {
	defer close(x.ended)
	in := bufio.NewReader(x.c)
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			x.p.w.rec.note("connection %s/%d: %v", x.p.name, x.p.conns, err)
			return
		}
		x.mu.Lock()
		if len(x.open) == 0 || resp.Header.Get("Attempt-Id") != x.open[0].id {
			x.p.w.rec.note("answer %d of %q is not the next one", resp.StatusCode, resp.Header.Get("Attempt-Id"))
			x.mu.Unlock()
			return
		}
		r := x.open[0]
		x.open = x.open[1:]
		r.status, r.ended = resp.StatusCode, time.Now()
		x.closed = resp.Close
		x.mu.Unlock()
		if resp.Close {
			x.p.w.rec.note("closing answer %d to %s", r.status, r.id)
			return
		}
	}
}

// end notes which requests got no answer.
func (x *exchange) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.open {
		r.ended, r.behind, r.connEnds = time.Now(), x.closed, true
		x.p.w.rec.note("unanswered %s conn %s/%d behind a closing answer: %v", r.id, x.p.name, r.conn, r.behind)
	}
}

// send writes one request; false: not all of it was written.
func (x *exchange) send(front string) bool {
	p := x.p
	p.sequence++
	r := &sentRequest{id: fmt.Sprintf("%s-%05d", p.name, p.sequence), conn: p.conns, front: front, sent: time.Now()}
	text := fmt.Sprintf("GET /look/%s HTTP/1.1\r\nHost: look.example\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\n"+
		"Authorization: Token key-of-acme\r\n\r\n", r.id, r.id, drainBudgetMs)
	x.mu.Lock() // before its answer can come
	x.open = append(x.open, r)
	x.mu.Unlock()
	p.requests = append(p.requests, r)
	_, err := io.WriteString(x.c, text)
	return err == nil
}

// judgeDrain finds the breaks of the rule LOST around the SIGTERM.
func judgeDrain(w *world, clients []*pipeliner, term time.Time) (breaks []string, err error) {
	runs := map[string]runEvent{}
	for _, r := range w.allRuns() {
		runs[r.id] = r
	}
	statuses, total, finished := map[int]int{}, 0, 0
	for _, p := range clients {
		for _, r := range p.requests {
			total++
			statuses[r.status]++
			run, ran := runs[r.id]
			w.rec.note("request %s at %s sent %.1f status %d ended %.1f ran %v %.1f to %.1f", r.id, r.front,
				w.rec.ms(r.sent), r.status, w.rec.ms(r.ended), ran, w.rec.ms(run.began), w.rec.ms(run.ended))
			if b := drainBreak(w, r, run, ran, term); b != "" {
				breaks = append(breaks, b)
				if !run.ended.IsZero() && run.ended.Before(r.ended) {
					finished++
				}
			}
		}
	}
	sort.Strings(breaks)
	w.rec.note("breaks %d, in %d of them the server had finished before the connection ended", len(breaks), finished)
	w.rec.note("requests %d, by status %v (0: no answer)", total, statuses)
	if statuses[http.StatusOK] < total/2 || total == 0 {
		return nil, fmt.Errorf("of %d requests %d were served: no fair play", total, statuses[http.StatusOK])
	}
	return breaks, nil
}

// drainBreak says how a request breaks the rule; empty: it does not.
func drainBreak(w *world, r *sentRequest, run runEvent, ran bool, term time.Time) string {
	after := r.ended.Sub(term)
	switch {
	case term.IsZero(), r.front != w.machines[0].front: // not around the planned work
	case r.status != 0 || !r.connEnds: // answered
	case r.behind || !ran: // not read, or not passed on
	case after < 0 || after > (graceS+1)*time.Second:
	case r.ended.Sub(r.sent) >= drainBudgetMs*time.Millisecond: // the deadline was reached
	case r.sent.Sub(term) <= 3*time.Second: // its server may have been at work in the second half of grace_s
	default:
		return fmt.Sprintf("LOST: %s, sent %d ms after the SIGTERM and passed on to %s, got no answer: "+
			"its connection ended %d ms after the SIGTERM",
			r.id, r.sent.Sub(term).Milliseconds(), run.server, after.Milliseconds())
	}
	return ""
}

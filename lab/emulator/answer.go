package emulator

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// exchange is a request that a server answers.
type exchange struct {
	conn   net.Conn
	ended  <-chan struct{} // closed when the caller has ended the connection
	rested time.Duration   // for which the connection was at rest before
	head   *h1.Head
	body   []byte
	id     string
	class  *scenario.Class
	budget *time.Timer // runs out when the request must be answered
	mode   string      // in which it fails; empty: it does not
}

// answer works on one request; false ends the connection.
func (s *server) answer(x *exchange) bool {
	head := x.head
	if head.Target == "/health" {
		return s.write(x.conn, "HTTP/1.1 200 OK\r\nMember-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	}
	if m := head.Get("Target-Member"); m != "" && m != s.id {
		return s.reject(x, http.StatusMisdirectedRequest, "another member")
	}
	if x.class = s.classOf(head.Target); x.class == nil || x.id == "" {
		return s.reject(x, http.StatusBadRequest, "no class or id")
	}
	budgetMs, err := strconv.ParseFloat(head.Get("Time-Budget-Ms"), 64)
	if err != nil {
		return s.reject(x, http.StatusBadRequest, "no budget")
	}
	s.log.Arrived(x.id, s.service, s.id)
	if x.mode = s.failureMode(); x.mode == scenario.GreyShed {
		return s.reject(x, http.StatusServiceUnavailable, "shed")
	}
	x.budget = time.NewTimer(time.Duration(budgetMs * float64(time.Millisecond)))
	defer x.budget.Stop()
	if !s.enter() {
		if s.spec.HangsWhenFull {
			s.log.ServerFailed(x.id)
			x.hang()
			return false
		}
		return s.reject(x, http.StatusServiceUnavailable, "full")
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-x.budget.C:
		return s.reject(x, http.StatusServiceUnavailable, "late")
	case <-x.ended: // nobody waits for it any more
		s.noteDropped(x)
		return false
	}
	defer func() { <-s.slots }()
	return s.run(x)
}

// hang waits until the request must be answered, or its caller has gone.
func (x *exchange) hang() {
	select {
	case <-x.budget.C:
	case <-x.ended:
	}
}

// work takes the time of a request's work. It reports false where its caller has gone meanwhile.
func (x *exchange) work(length time.Duration) bool {
	done := time.NewTimer(length)
	defer done.Stop()
	select {
	case <-done.C:
		return true
	case <-x.ended:
		return false
	}
}

// write writes to a connection and reports whether that went well.
func (s *server) write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// reject answers a request that has not run.
func (s *server) reject(x *exchange, status int, reason string) bool {
	return s.write(x.conn, "HTTP/1.1 %d x\r\nAttempt-Id: %s\r\nNot-Executed: %s\r\nMember-Id: %s\r\n"+
		"Content-Length: 0\r\n\r\n", status, x.id, reason, s.id)
}

func (s *server) classOf(target string) *scenario.Class {
	for prefix, class := range s.classes {
		if strings.HasPrefix(target, prefix) {
			return class
		}
	}
	return nil
}

// enter counts a request in, unless the server and its queue are full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inHand >= s.spec.Queue+s.spec.Slots {
		return false
	}
	s.inHand++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inHand--
}

// failureMode is how the server fails the next request, empty if it does not.
func (s *server) failureMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.degraded.mode == "" || s.rng.Float64() >= s.degraded.fails {
		return ""
	}
	return s.degraded.mode
}

// plan is what is drawn for a run.
type plan struct {
	workMs       float64
	stopped      bool // the server has ended
	lost         bool // the answer is never sent
	draining     bool
	repeats      bool // the answer is sent twice ...
	repeatsLater bool // ... the second time where the next one is due
	failureBytes int  // of an error page without a length ...
	breaksOff    bool // ... which is reset in its middle
}

// unframedSizes are the lengths of error pages without a length, around what the gateway reads before it passes
// anything on.
var unframedSizes = []int{0, 1, 4 << 10, 32<<10 - 1, 32 << 10, 32<<10 + 1, 48 << 10, 96 << 10}

func (s *server) drawPlan(class *scenario.Class) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	warming := time.Since(s.started).Seconds() < s.spec.WarmupS
	return plan{
		workMs:       class.DrawWork(s.rng, s.degraded.slowdown, warming),
		lost:         s.rng.Float64() < s.degraded.loses,
		stopped:      s.stopped,
		draining:     s.draining,
		repeats:      s.rng.Float64() < s.degraded.repeats,
		repeatsLater: s.rng.IntN(2) == 0,
		failureBytes: unframedSizes[s.rng.IntN(len(unframedSizes))],
		breaksOff:    s.rng.IntN(3) == 0,
	}
}

// run runs a request and answers it; false ends the connection.
func (s *server) run(x *exchange) bool {
	run := checker.Run{
		Service: s.service,
		Member:  s.id,
		Tenant:  x.head.Get("Tenant-Name"),
		Body:    crc32.ChecksumIEEE(x.body),
	}
	p := s.drawPlan(x.class)
	if x.mode == scenario.GreySlow {
		p.workMs *= greySlowdown
	}
	run.Work = time.Duration(p.workMs * float64(time.Millisecond))
	s.log.Ran(x.id, run, x.head.Get("Authorization") != "")
	defer s.log.RunEnded(x.id, s.id)
	if p.fails(x.mode) {
		s.log.ServerFailed(x.id)
	}
	if p.stopped {
		return false
	}
	if !x.work(run.Work) {
		s.noteDropped(x)
		return false
	}
	switch {
	case x.mode == scenario.GreyErrors:
		s.log.Gave(x.id, s.id, http.StatusInternalServerError)
		return s.write(x.conn, "HTTP/1.1 500 x\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: 0\r\n\r\n",
			x.id, checker.Seal(s.id, x.id, nil))
	case x.mode == scenario.GreyUnframed:
		s.failUnframed(x, &p)
		return false
	case x.mode == scenario.GreyReset:
		reset(x.conn)
		return false
	case p.lost || x.mode == scenario.GreyMute:
		x.hang()
		return false
	}
	return s.succeed(x, &p)
}

// fails reports whether the request's answer never comes whole.
func (p *plan) fails(mode string) bool {
	brokenPage := mode == scenario.GreyUnframed && p.breaksOff
	return p.stopped || p.lost || mode == scenario.GreyReset || mode == scenario.GreyMute || brokenPage
}

// failUnframed sends an error page without a length, which ends with the connection, or resets it in the middle.
func (s *server) failUnframed(x *exchange, p *plan) {
	body := bytes.Repeat([]byte(x.id), p.failureBytes/max(1, len(x.id))+1)[:p.failureBytes]
	head := fmt.Sprintf("HTTP/1.1 500 x\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n\r\n",
		x.id, checker.Seal(s.id, x.id, body))
	s.log.Gave(x.id, s.id, http.StatusInternalServerError)
	if p.breaksOff {
		_, _ = x.conn.Write(append([]byte(head), body[:len(body)/2]...)) // it ends in any case
		reset(x.conn)
		return
	}
	_, _ = x.conn.Write(append([]byte(head), body...)) // as above
}

// succeed sends a sealed answer; false ends the connection.
func (s *server) succeed(x *exchange, p *plan) bool {
	body := bytes.Repeat([]byte(x.id), x.class.AnswerBytes/max(1, len(x.id))+1)[:x.class.AnswerBytes]
	closes := ""
	if p.draining {
		closes = "Connection: close\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n"+
		"Keep-Alive: timeout=%d\r\n%sContent-Length: %d\r\n\r\n",
		x.id, checker.Seal(s.id, x.id, body), int(serverIdleTimeout.Seconds()), closes, len(body))
	s.log.Gave(x.id, s.id, http.StatusOK)
	answer := append([]byte(head), body...)
	out := answer
	if p.repeats && !p.repeatsLater { // in one piece with the next answer, or while the connection rests
		out = append(out, answer...)
	}
	if _, err := x.conn.Write(out); err != nil {
		return false
	}
	if p.repeats && p.repeatsLater {
		s.pendingCopies.Store(x.conn, answer)
	}
	return !p.draining
}

// writePendingCopy writes the second copy of an answer that is due where the next one is.
func (s *server) writePendingCopy(conn net.Conn) bool {
	copied, pending := s.pendingCopies.LoadAndDelete(conn)
	if !pending {
		return true
	}
	_, err := conn.Write(copied.([]byte))
	return err == nil
}

// reset ends a connection so that the other side notices at once.
func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // else it ends in order
	}
	_ = conn.Close()
}

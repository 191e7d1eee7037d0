package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a sound server: it works on so many requests at once, queues a few more, and turns away what it does not
// run with Not-Executed.
type server struct {
	world             *world
	id, service, zone string
	addr              string
	slots             int
	queue             int
	work              func(id string) time.Duration
	listener          net.Listener
	busy              chan struct{}

	mu     sync.Mutex
	inHand int
	conns  map[net.Conn]bool
	runs   []runEvent
}

// runEvent is one run of a request.
type runEvent struct {
	id, tenant, server string
	began, ended       time.Time
}

// evenWork is the work of requests that all take the same time.
func evenWork(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// addServer starts a server and puts it on the platform's list.
func (w *world) addServer(service, zone string, slots, queue int, work func(id string) time.Duration) error {
	l, err := net.Listen("tcp", "127.77.0.2:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &server{
		world: w, id: fmt.Sprintf("i-%s-%d", service, len(w.servers)+1), service: service, zone: zone,
		addr: l.Addr().String(), slots: slots, queue: queue, work: work, listener: l,
		busy: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	w.servers = append(w.servers, s)
	go s.accept()
	return nil
}

func (s *server) entry() member {
	return member{
		Upstream: s.service, Address: s.addr, Zone: s.zone, Revision: "v1", Capacity: s.slots, State: "in_service",
		ID: s.id,
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) stop() {
	_ = s.listener.Close() // it may be closed
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // its own goroutine may have closed it
	}
}

// serve answers the requests of a connection, one after the other.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // nothing more is due on it
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !s.answer(c, q, body) {
			return
		}
	}
}

// answer answers one request; false ends the connection.
func (s *server) answer(c net.Conn, q *http.Request, body []byte) bool {
	id := q.Header.Get("Attempt-Id")
	switch {
	case q.URL.Path == "/health":
		return write(c, "HTTP/1.1 200 OK\r\nMember-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	case q.Header.Get("Target-Member") != "" && q.Header.Get("Target-Member") != s.id:
		return s.turnAway(c, 421, id)
	case id == "":
		return s.turnAway(c, 400, id)
	case !s.enter():
		return s.turnAway(c, 503, id)
	}
	s.busy <- struct{}{}
	began := time.Now()
	s.mu.Lock()
	n := len(s.runs)
	s.runs = append(s.runs, runEvent{id: id, tenant: q.Header.Get("Tenant-Name"), server: s.id, began: began})
	s.mu.Unlock()
	time.Sleep(s.work(id))
	<-s.busy
	s.mu.Lock()
	s.inHand--
	s.runs[n].ended = time.Now()
	s.mu.Unlock()
	answer := strings.Repeat(id+" ", 20)
	return write(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%08x\r\nKeep-Alive: timeout=10\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, s.id, crc32.ChecksumIEEE(append(body, answer...)), len(answer), answer)
}

// enter counts a request in, unless the server and its queue are full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inHand >= s.slots+s.queue {
		return false
	}
	s.inHand++
	return true
}

// turnAway answers a request that has not run.
func (s *server) turnAway(c net.Conn, status int, id string) bool {
	return write(c, "HTTP/1.1 %d x\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nMember-Id: %s\r\nContent-Length: 0\r\n\r\n",
		status, id, s.id)
}

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// allRuns returns the runs at all servers.
func (w *world) allRuns() (all []runEvent) {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}

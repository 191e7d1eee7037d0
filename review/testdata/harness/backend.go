package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	slotsPerServer = 3
	serversEach    = 6 // of each service
	workTime       = 60 * time.Millisecond
)

// backend is the stand-in of a server. It behaves as a sound one, but for what handle makes of a request.
type backend struct {
	id, service, zone, addr string
	number                  int // among the servers of its service
	listener                net.Listener
	log                     *record
	handle                  func(s *backend, conn net.Conn, r *http.Request, body []byte) (goOn bool)
}

// sealOf is the Server-Seal of an answer.
func sealOf(server, request string) string { return server + "." + request }

// addServers starts servers of a service, in turn in the machines' zones.
func (w *world) addServers(service string,
	handle func(*backend, net.Conn, *http.Request, []byte) bool,
) error {
	for i := range serversEach {
		l, err := net.Listen("tcp", "127.201.0.1:0")
		if err != nil {
			return err
		}
		s := &backend{
			id:       fmt.Sprintf("i-%s-%d", service, i),
			service:  service,
			number:   i,
			zone:     w.machines[i%len(w.machines)].zone,
			addr:     l.Addr().String(),
			listener: l,
			log:      w.log,
			handle:   handle,
		}
		go s.accept()
		w.platform.mu.Lock()
		w.platform.servers = append(w.platform.servers, s)
		w.platform.mu.Unlock()
	}
	return nil
}

func (s *backend) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection, one after the other.
func (s *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing more is due on it
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMember-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			if err != nil {
				return
			}
			continue
		}
		if target := r.Header.Get("Target-Member"); target != "" && target != s.id {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"+
				"Member-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"), s.id)
			if err != nil {
				return
			}
			continue
		}
		s.log.printf("server %s runs %s (%s %s, tenant %q, authorization %q)", s.id, r.Header.Get("Attempt-Id"),
			r.Method, r.URL.Path, r.Header.Get("Tenant-Name"), r.Header.Get("Authorization"))
		if !s.handle(s, conn, r, body) {
			return
		}
	}
}

// answer sends a sealed answer whose length is stated.
func (s *backend) answer(conn net.Conn, r *http.Request, status int, body string) (goOn bool) {
	id := r.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nKeep-Alive: timeout=10\r\n"+
		"Content-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, sealOf(s.id, id), len(body), body)
	return err == nil
}

// bodyOf is the body of a server's answer to a request, which names the request.
func bodyOf(request string, length int) string {
	line := "answer to " + request + "\n"
	return strings.Repeat(line, length/len(line)+1)[:length]
}

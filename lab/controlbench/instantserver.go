package controlbench

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/lab/checker"
)

const (
	serverIdleTimeout = time.Minute
	maxRequestBytes   = 16 << 10
)

// instantServerID is the id of server i.
func instantServerID(i int) string { return fmt.Sprint(addedService, "-", i) }

// startInstantServers starts servers on loopback that respond at once, with a body of so many bytes.
// Those that were started are to be closed after an error too.
func startInstantServers(bodyBytes int) (servers []api.Server, closeAll func() error, err error) {
	var listeners []net.Listener
	closeAll = func() error {
		var errs []error
		for _, l := range listeners {
			errs = append(errs, l.Close())
		}
		return errors.Join(errs...)
	}
	for i := range addedServers {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, closeAll, fmt.Errorf("controlbench: %w", err)
		}
		listeners = append(listeners, l)
		s := &instantServer{id: instantServerID(i), body: bytes.Repeat([]byte{'x'}, bodyBytes)}
		go s.accept(l) // ends with the listener
		servers = append(servers, api.Server{
			ID:       s.id,
			Upstream: addedService,
			Addr:     l.Addr().String(),
			Zone:     "z",
			Revision: "v1",
			Capacity: addedSlots,
			State:    api.InService,
		})
	}
	return servers, closeAll, nil
}

// instantServer responds to each request at once, as a server of the system does.
type instantServer struct {
	id   string
	body []byte
}

func (s *instantServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn) // ends with the connection, or once it is idle
	}
}

// serve responds to the requests of a connection until it is closed or idle.
func (s *instantServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the other end may have closed it
	in := bufio.NewReader(conn)
	for {
		if conn.SetReadDeadline(time.Now().Add(serverIdleTimeout)) != nil {
			return
		}
		head, _, err := h1.ReadFullRequest(in, maxRequestBytes)
		if err != nil {
			return
		}
		if _, err := conn.Write(s.response(head.Get("Attempt-Id"))); err != nil {
			return
		}
	}
}

func (s *instantServer) response(attemptID string) []byte {
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nMember-Id: %s\r\nServer-Seal: %s\r\n"+
		"Keep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n",
		attemptID, s.id, checker.Seal(s.id, attemptID, s.body), len(s.body))
	return append(head, s.body...)
}

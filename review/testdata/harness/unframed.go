package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lookups      = "ratebook"
	errorBytes   = 48 << 10 // of the page that a server sends with its 404
	brokenBytes  = 96 << 10 // of the page that a server breaks off after errorBytes
	answerBytes  = 600
	lookupKey    = "xd9dnn2ctnfzs989anu6"
	lookupPath   = "/lepu270/"
	missingPath  = lookupPath + "missing"
	presentPath  = lookupPath + "present"
	brokenPath   = lookupPath + "broken"
	clientWaits  = 3 * time.Second
	unframedRuns = 8
	plainLookups = 60 // before each round, so that at most 2 in 100 answers have no length
	lookupsAside = 6  // of these at once
)

// playUnframed: a server answers a request with a 404 whose page has no length and ends with the server's connection.
// The client has sent two repeatable requests on its connection before the first was answered. It must get both
// answers, each whole and as its own. Without trouble the page's length is stated.
func playUnframed(ctx context.Context, w *world) error {
	if err := w.addServers(lookups, w.serveLookup); err != nil {
		return err
	}
	err := w.operator.bring(ctx, &config{
		Revision: 3,
		Routes: []route{{Name: "r-lookup", Host: hostName, Prefix: lookupPath, Type: "idempotent", TimeoutMs: 1000,
			TargetMs: 250, Priority: 2, Upstream: lookups, Retries: 2}},
		Upstreams: []upstream{serviceNamed(lookups)},
		Limits:    defaultLimits,
		Tenants:   []tenant{{Name: "yefi830", Keys: []string{lookupKey}, Rate: 184, Burst: 184}},
	})
	if err != nil {
		return err
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	broken := false
	for i := range unframedRuns {
		if err := w.sendPlainLookups(i); err != nil {
			return err
		}
		ok, err := w.pipelineLookups(i)
		if err != nil {
			return err
		}
		broken = broken || !ok
	}
	ok, err := w.readBrokenOff()
	if err != nil {
		return err
	}
	if broken || !ok {
		return errBroken
	}
	return nil
}

// serveLookup answers a look-up: 404 with a long page for one path, 200 for all others.
func (w *world) serveLookup(s *backend, conn net.Conn, r *http.Request, _ []byte) (goOn bool) {
	time.Sleep(workTime)
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == presentPath {
		w.log.printf("server %s answers %s with 200, %d bytes", s.id, id, answerBytes)
		return s.answer(conn, r, http.StatusOK, bodyOf(id, answerBytes))
	}
	if !w.trouble || s.number%2 != 0 { // half of the servers are in trouble
		length := errorBytes
		if r.URL.Path == brokenPath {
			length = brokenBytes
		}
		w.log.printf("server %s answers %s with 404, %d bytes, length stated", s.id, id, length)
		return s.answer(conn, r, http.StatusNotFound, bodyOf(id, length))
	}
	head := fmt.Sprintf("HTTP/1.1 404 Not Found\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nConnection: close\r\n\r\n",
		id, sealOf(s.id, id))
	if r.URL.Path == brokenPath {
		w.log.printf("server %s answers %s with 404 without a length, and resets after %d of %d bytes", s.id, id,
			errorBytes, brokenBytes)
		_, _ = io.WriteString(conn, head+bodyOf(id, errorBytes)) // the connection ends in any case
		time.Sleep(workTime)
		_ = conn.(*net.TCPConn).SetLinger(0) // as above
		return false
	}
	w.log.printf("server %s answers %s with 404, %d bytes, no length; then its connection ends", s.id, id, errorBytes)
	_, _ = io.WriteString(conn, head+bodyOf(id, errorBytes)) // as above
	return false
}

// readBrokenOff asks for pages until a server breaks one off, and reports whether the client can tell.
func (w *world) readBrokenOff() (ok bool, err error) {
	for i, m := range w.machines {
		conn, err := net.Dial("tcp", w.addr(m, frontPort))
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("d%015x", i)
		w.log.printf("client sends %s (GET %s) to %s", id, brokenPath, m.name)
		_ = conn.SetReadDeadline(time.Now().Add(clientWaits)) // reading fails if this does
		_, err = io.WriteString(conn, lookupText(brokenPath, id))
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		}
		if err != nil {
			_ = conn.Close() // nothing came on it
			return false, err
		}
		body, err := io.ReadAll(resp.Body)
		_ = conn.Close() // all was read
		w.log.printf("client gets %d for %s (length %d): %d bytes, then %v", resp.StatusCode, id, resp.ContentLength,
			len(body), errOrEnd(err))
		if resp.StatusCode == http.StatusNotFound && err == nil && string(body) != bodyOf(id, brokenBytes) {
			w.log.printf("... which looks complete, but the server has broken it off")
			return false, nil
		}
	}
	return true, nil
}

// sendPlainLookups sends look-ups that are answered with 200, some at once, each on a connection of its own.
func (w *world) sendPlainLookups(round int) error {
	var all sync.WaitGroup
	errs := make([]error, lookupsAside)
	for i := range lookupsAside {
		all.Go(func() { errs[i] = w.sendPlain(fmt.Sprintf("%02d-%d", round, i), w.machines[i%len(w.machines)]) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// sendPlain sends look-ups to a machine, one after the other.
func (w *world) sendPlain(name string, m *machine) error {
	conn, err := net.Dial("tcp", w.addr(m, frontPort))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // all was read
	in := bufio.NewReader(conn)
	for k := range plainLookups / lookupsAside {
		id := fmt.Sprintf("c-%s-%02d", name, k)
		w.log.printf("client sends %s (GET %s) to %s", id, presentPath, m.name)
		if _, err := io.WriteString(conn, lookupText(presentPath, id)); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(clientWaits)) // reading fails if this does
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		got, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return err
		}
		w.log.printf("client gets %d for %s: %d bytes", resp.StatusCode, id, got)
	}
	return nil
}

// lookupText is a look-up as a client sends it.
func lookupText(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: 1000\r\n"+
		"Authorization: Token %s\r\n\r\n", path, hostName, id, lookupKey)
}

// pipelineLookups sends two look-ups on one connection and reads both answers. It reports whether each was whole and
// the client's own.
func (w *world) pipelineLookups(round int) (ok bool, err error) {
	m := w.machines[round%len(w.machines)]
	conn, err := net.Dial("tcp", w.addr(m, frontPort))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }() // all was read, or given up
	ids, text := [2]string{fmt.Sprintf("a%015x", round), fmt.Sprintf("b%015x", round)}, ""
	for i, path := range []string{missingPath, presentPath} {
		text += lookupText(path, ids[i])
		w.log.printf("client sends %s (GET %s) to %s on one connection", ids[i], path, m.name)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientWaits)) // reading fails if this does
	in := bufio.NewReader(conn)
	first := w.readLookup(in, ids[0], http.StatusNotFound, bodyOf(ids[0], errorBytes))
	return w.readLookup(in, ids[1], http.StatusOK, bodyOf(ids[1], answerBytes)) && first, nil
}

// readLookup reads the next answer of a connection, as HTTP/1.1 delimits it, and reports whether it is whole and as
// the server gave it.
func (w *world) readLookup(in *bufio.Reader, id string, status int, want string) bool {
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err != nil {
		w.log.printf("client gets no answer to %s: %v", id, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	w.log.printf("client gets %d for %s (Attempt-Id %s, Server-Seal %s, length %d, closes %t): %d bytes, then %v",
		resp.StatusCode, id, resp.Header.Get("Attempt-Id"), resp.Header.Get("Server-Seal"), resp.ContentLength,
		resp.Close, len(body), errOrEnd(err))
	if at := strings.Index(string(body), "HTTP/1.1 "); at >= 0 {
		other := string(body[at:])
		w.log.printf("... of which the bytes from %d on are another answer: %q", at, other[:min(len(other), 120)])
	}
	return err == nil && resp.StatusCode == status && resp.Header.Get("Attempt-Id") == id && string(body) == want
}

// errOrEnd names the end of a body.
func errOrEnd(err error) error {
	if err == nil {
		return errors.New("its end")
	}
	return err
}

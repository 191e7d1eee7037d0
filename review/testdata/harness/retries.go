package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	enrollments = "enrollment-desk"
	enrollPath  = "/xapu221/ny95/"
	enrollWork  = 500 * time.Millisecond
	addedPath   = "/fiti832/ti23/"
	enrollBytes = 300
	lookupAfter = 150 * time.Millisecond // the enrolment was sent
	settleTime  = 800 * time.Millisecond // from the acknowledgement to the first request; config_apply_ms is 3,000
)

// playRetries: a valid configuration adds a route of look-ups with the highest retry_count that the field can hold. The
// enrolments that servers are working on must be answered all the same, and no process may end by itself. Without
// trouble the added route has a retry_count of 3.
func playRetries(ctx context.Context, w *world) error {
	err := errors.Join(w.addServers(lookups, answerLookup), w.addServers(enrollments, answerEnrolment))
	if err != nil {
		return err
	}
	if err := w.operator.bring(ctx, retriesConfig(3)); err != nil {
		return err
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	if !w.enrolEverywhere(0, presentPath) {
		return errors.New("enrolments are not answered before the change")
	}
	retries := int64(3)
	if w.trouble {
		retries = math.MaxInt64
	}
	next := retriesConfig(5)
	added := next.Routes[0]
	added.Name, added.Prefix, added.Retries = "r-added", addedPath, retries
	next.Routes = append(next.Routes, added)
	if err := w.operator.bring(ctx, next); err != nil {
		return err
	}
	time.Sleep(settleTime)
	answered := w.enrolEverywhere(1, addedPath)
	time.Sleep(settleTime)
	w.log.printf("%d processes have ended by themselves", w.ownEnds())
	if !answered || w.ownEnds() > 0 {
		return errBroken
	}
	return nil
}

func retriesConfig(revision uint64) *config {
	return &config{
		Revision: revision,
		Routes: []route{
			{Name: "r-lookup", Host: hostName, Prefix: lookupPath, Type: "idempotent", TimeoutMs: 1000, TargetMs: 250,
				Priority: 2, Upstream: lookups, Retries: 2},
			{Name: "r-enroll", Host: hostName, Prefix: enrollPath, Type: "non_idempotent", TimeoutMs: 1200,
				TargetMs: 300, Priority: 1, Upstream: enrollments, Retries: 2},
		},
		Upstreams: []upstream{serviceNamed(lookups), serviceNamed(enrollments)},
		Limits:    defaultLimits,
		Tenants:   []tenant{{Name: "yefi830", Keys: []string{lookupKey}, Rate: 184, Burst: 184}},
	}
}

func answerLookup(s *backend, conn net.Conn, r *http.Request, _ []byte) (goOn bool) {
	time.Sleep(workTime)
	return s.answer(conn, r, http.StatusOK, bodyOf(r.Header.Get("Attempt-Id"), answerBytes))
}

func answerEnrolment(s *backend, conn net.Conn, r *http.Request, _ []byte) (goOn bool) {
	time.Sleep(enrollWork)
	s.log.printf("server %s has run %s and answers 200", s.id, r.Header.Get("Attempt-Id"))
	return s.answer(conn, r, http.StatusOK, bodyOf(r.Header.Get("Attempt-Id"), enrollBytes))
}

// enrolEverywhere sends one enrolment to each machine, and a look-up while it is worked on. It reports whether all
// enrolments were answered.
func (w *world) enrolEverywhere(round int, path string) bool {
	var all sync.WaitGroup
	answered := make([]bool, len(w.machines))
	for i, m := range w.machines {
		all.Go(func() { answered[i] = w.request(m, http.MethodPost, enrollPath, fmt.Sprintf("e%d%014x", round, i)) })
		all.Go(func() {
			time.Sleep(lookupAfter)
			w.request(m, http.MethodGet, path, fmt.Sprintf("f%d%014x", round, i))
		})
	}
	all.Wait()
	for _, ok := range answered {
		if !ok {
			return false
		}
	}
	return true
}

// request sends a request to a machine on a connection of its own, and reports whether it was answered with success.
func (w *world) request(m *machine, method, path, id string) bool {
	conn, err := net.Dial("tcp", w.addr(m, frontPort))
	if err != nil {
		w.log.printf("client can't connect to %s for %s: %v", m.name, id, err)
		return false
	}
	defer func() { _ = conn.Close() }() // all was read, or given up
	w.log.printf("client sends %s (%s %s) to %s", id, method, path, m.name)
	_ = conn.SetDeadline(time.Now().Add(clientWaits)) // reading fails if this does
	body := ""
	if method == http.MethodPost {
		body = "household=1"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: 1200\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, hostName, id, lookupKey, len(body), body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err != nil {
		w.log.printf("client gets no answer to %s: its connection ends: %v", id, err)
		return false
	}
	got, err := io.ReadAll(resp.Body)
	w.log.printf("client gets %d for %s: %d bytes, then %v", resp.StatusCode, id, len(got), errOrEnd(err))
	return err == nil && resp.StatusCode == http.StatusOK
}

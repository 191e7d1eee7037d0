package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	revokeTime = 5 * time.Second // revoke_ms
	neverKey   = "wsjnbanfqasnmgkcuyj8"
)

// runs is what the servers of a case have run.
type runs struct {
	mu   sync.Mutex
	keys map[string]string // the Authorization of each request, by its Attempt-Id
}

// playLastTenant: a configuration takes away the only tenant, with its key. Later than revoke_ms after its
// acknowledgement nothing may run with that key, or with one that no configuration ever held. Without trouble the
// tenant stays and loses its key.
func playLastTenant(ctx context.Context, w *world) error {
	seen := &runs{keys: map[string]string{}}
	if err := w.addServers(lookups, seen.answer); err != nil {
		return err
	}
	first := tenant{Name: "yefi830", Keys: []string{lookupKey}, Rate: 184, Burst: 184}
	if err := w.operator.bring(ctx, tenantConfig(3, first)); err != nil {
		return err
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	for i, m := range w.machines {
		if status := w.lookUpWith(m, fmt.Sprintf("a%015x", i), lookupKey); status != http.StatusOK {
			return fmt.Errorf("%s answers %d before the change", m.name, status)
		}
	}
	seen.keys = map[string]string{}
	next := tenantConfig(5)
	if !w.trouble {
		first.Keys = []string{}
		next = tenantConfig(5, first)
	}
	if err := w.operator.bring(ctx, next); err != nil {
		return err
	}
	time.Sleep(revokeTime + time.Second)
	w.log.printf("revoke_ms and a second have passed since the acknowledgement of version 5")
	for i, m := range w.machines {
		w.lookUpWith(m, fmt.Sprintf("b%015x", i), lookupKey)
		w.lookUpWith(m, fmt.Sprintf("c%015x", i), neverKey)
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	w.log.printf("servers have run %d requests with a key that is not in force", len(seen.keys))
	if len(seen.keys) > 0 {
		return errBroken
	}
	return nil
}

func tenantConfig(revision uint64, tenants ...tenant) *config {
	return &config{
		Revision: revision,
		Routes: []route{{Name: "r-lookup", Host: hostName, Prefix: lookupPath, Type: "idempotent", TimeoutMs: 1000,
			TargetMs: 250, Priority: 2, Upstream: lookups, Retries: 2}},
		Upstreams: []upstream{serviceNamed(lookups)},
		Limits:    defaultLimits,
		Tenants:   append([]tenant{}, tenants...), // sent as an empty list, not left out
	}
}

func (u *runs) answer(s *backend, conn net.Conn, r *http.Request, body []byte) (goOn bool) {
	u.mu.Lock()
	u.keys[r.Header.Get("Attempt-Id")] = r.Header.Get("Authorization")
	u.mu.Unlock()
	return answerLookup(s, conn, r, body)
}

// lookUpWith sends a look-up with a key to a machine and returns the status of the answer, 0 if there is none.
func (w *world) lookUpWith(m *machine, id, key string) int {
	conn, err := net.Dial("tcp", w.addr(m, frontPort))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // all was read, or given up
	w.log.printf("client sends %s with key %s to %s", id, key, m.name)
	_ = conn.SetDeadline(time.Now().Add(clientWaits)) // reading fails if this does
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: 1000\r\n"+
		"Authorization: Token %s\r\n\r\n", presentPath, hostName, id, key)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.log.printf("client gets no answer to %s: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	w.log.printf("client gets %d for %s: %d bytes, then %v", resp.StatusCode, id, len(body), errOrEnd(err))
	return resp.StatusCode
}

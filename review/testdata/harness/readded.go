package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	readdedRate    = 100 // rate_per_s and burst_size of the tenant
	readdedWindow  = 5 * time.Second
	readdedAllowed = (readdedRate*5+readdedRate)*11/10 + 20 // with quota_overshoot and quota_slack
	readdedLength  = 14 * time.Second
	readdedChanges = 4
	readdedClients = 24
	thinkTime      = 40 * time.Millisecond // of a client between an answer and its next request
)

// arrivals are the times at which servers ran requests of the tenant.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// playReadded: while a tenant asks for four times its limit, versions take it away and bring it back. Its limit is the
// same in each version that has it. Without trouble the versions stay away. The case has no folder: QUOTA isn't among
// the rules that count.
func playReadded(ctx context.Context, w *world) error {
	ran := &arrivals{}
	if err := w.addServers(lookups, ran.answer); err != nil {
		return err
	}
	other := tenant{Name: "other", Keys: []string{neverKey}, Rate: readdedRate, Burst: readdedRate}
	busy := tenant{Name: "yefi830", Keys: []string{lookupKey}, Rate: readdedRate, Burst: readdedRate}
	if err := w.operator.bring(ctx, tenantConfig(3, other, busy)); err != nil {
		return err
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	var clients sync.WaitGroup
	end := time.Now().Add(readdedLength)
	for i := range readdedClients {
		clients.Go(func() { w.askUntil(end, i) })
	}
	time.Sleep(readdedLength / 4)
	for i := range readdedChanges {
		if !w.trouble {
			break
		}
		revision := uint64(5 + 4*i)
		if err := w.operator.bring(ctx, tenantConfig(revision, other)); err != nil {
			return err
		}
		time.Sleep(pollEvery)
		if err := w.operator.bring(ctx, tenantConfig(revision+2, other, busy)); err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	clients.Wait()
	most := ran.most()
	w.log.printf("%d requests ran in the fullest 5 s, %d are allowed", most, readdedAllowed)
	if most > readdedAllowed {
		return errBroken
	}
	return nil
}

func (a *arrivals) answer(s *backend, conn net.Conn, r *http.Request, _ []byte) (goOn bool) {
	a.mu.Lock()
	a.times = append(a.times, time.Now())
	a.mu.Unlock()
	return s.answer(conn, r, http.StatusOK, bodyOf(r.Header.Get("Attempt-Id"), answerBytes))
}

// most is the highest number of arrivals in a window.
func (a *arrivals) most() (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.times, time.Time.Compare)
	first := 0
	for i, at := range a.times {
		for at.Sub(a.times[first]) > readdedWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// askUntil sends look-ups one after the other, and connects again where a connection has ended.
func (w *world) askUntil(end time.Time, client int) {
	for k := 0; time.Now().Before(end); k++ {
		conn, err := net.Dial("tcp", w.addr(w.machines[client%len(w.machines)], frontPort))
		if err != nil {
			time.Sleep(pollEvery)
			continue
		}
		in := bufio.NewReader(conn)
		for n := 0; err == nil && time.Now().Before(end); n++ {
			_ = conn.SetDeadline(time.Now().Add(clientWaits)) // reading fails if this does
			_, err = fmt.Fprint(conn, lookupText(presentPath, fmt.Sprintf("g%d-%d-%d", client, k, n)))
			var resp *http.Response
			if err == nil {
				resp, err = http.ReadResponse(in, nil)
			}
			if err == nil {
				err = resp.Body.Close() // reads the rest
			}
			time.Sleep(thinkTime)
		}
		_ = conn.Close() // nothing more is sent on it
	}
}

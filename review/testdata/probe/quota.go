package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The case "quota": all machines count, and all their processes are killed at once in the middle of a day, while a
// tenant asks for more than its limit.

const (
	quotaRate   = 40.0 // rate_per_s of the tenant
	quotaBurst  = 400.0
	quotaWindow = 5 * time.Second // quota_window_s
	quotaOver   = 0.1             // quota_overshoot
	quotaSlack  = 20.0            // quota_slack

	quotaAskers = 60
	quotaPause  = 2 * time.Millisecond // of a client after an answer, unless that says when to come back
	quotaBefore = time.Second          // from the first clients to the kill, and from there to further ones
	quotaPlay   = 10 * time.Second
)

// askedRequest is one request of a client.
type askedRequest struct {
	id     string
	sent   time.Time
	status int // 0: no answer
}

// asker is a client of the tenant, with one connection at a time.
type asker struct {
	w        *world
	name     string
	home     int
	stop     <-chan struct{}
	sequence int
	asked    []askedRequest
}

func playQuota(w *world) (breaks []string, err error) {
	if err := w.open(3); err != nil {
		return nil, err
	}
	for i := range 6 {
		zone := fmt.Sprintf("zone%d", i%3+1)
		if err := w.addServer("look", zone, 16, 48, evenWork(5*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	c := newConfig(1, "look")
	c.Routes = []route{{
		Name: "r-look", Host: "look.example", Prefix: "/look/", Type: "idempotent", TimeoutMs: 1000, TargetMs: 500,
		Priority: 1, Upstream: "look", Retries: 2,
	}}
	c.Tenants = []tenant{{Name: "acme", Keys: []string{"key-of-acme"}, Rate: quotaRate, Burst: quotaBurst}}
	if err := w.launch(c); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var askers []*asker
	wave := func(n, clients int) { // the tenant's clients that begin now
		for i := range clients {
			a := &asker{w: w, name: fmt.Sprintf("w%d-%03d", n, i), home: i % 3, stop: stop}
			askers = append(askers, a)
			running.Go(a.run)
		}
	}
	wave(1, quotaAskers)
	time.Sleep(quotaBefore)
	if w.trouble {
		for _, m := range w.machines {
			m.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(quotaBefore)
	wave(2, 2*quotaAskers)
	time.Sleep(quotaPlay)
	close(stop)
	running.Wait()
	return judgeQuota(w, askers)
}

// run asks again and again, after an answer with Retry-After when that says.
func (a *asker) run() {
	for {
		front := a.w.platform.entry(a.home)
		if front != "" {
			if c, err := net.DialTimeout("tcp", front, time.Second); err == nil {
				a.askOn(c)
				_ = c.Close() // it has ended, or the client is done
			}
		}
		if a.stopped(20 * time.Millisecond) {
			return
		}
	}
}

// stopped waits for a pause and reports whether the client is to stop.
func (a *asker) stopped(pause time.Duration) bool {
	select {
	case <-a.stop:
		return true
	case <-time.After(pause):
		return false
	}
}

// askOn asks on a connection until that ends or the client is to stop.
func (a *asker) askOn(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		a.sequence++
		r := askedRequest{id: fmt.Sprintf("%s-%05d", a.name, a.sequence), sent: time.Now()}
		resp, err := ask(c, in, r.id)
		if err == nil {
			r.status = resp.StatusCode
		}
		a.asked = append(a.asked, r)
		if err != nil {
			return
		}
		pause := quotaPause
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			pause = max(pause, time.Duration(s*float64(time.Second)))
		}
		if a.stopped(pause) || resp.Close {
			return
		}
	}
}

// ask sends one request and reads its answer.
func ask(c net.Conn, in *bufio.Reader, id string) (*http.Response, error) {
	if err := c.SetDeadline(time.Now().Add(1500 * time.Millisecond)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: look.example\r\nAttempt-Id: %s\r\n"+
		"Time-Budget-Ms: 1000\r\nAuthorization: Token key-of-acme\r\n\r\n", id, id); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// judgeQuota counts the requests that are both sent and run in each window of the rule QUOTA.
func judgeQuota(w *world, askers []*asker) (breaks []string, err error) {
	sentAt, statuses := map[string]time.Time{}, map[int]int{}
	for _, a := range askers {
		for _, r := range a.asked {
			sentAt[r.id] = r.sent
			statuses[r.status]++
			w.rec.note("request %s sent %.1f status %d", r.id, w.rec.ms(r.sent), r.status)
		}
	}
	began := map[string]time.Time{} // the first run of each request
	for _, r := range w.allRuns() {
		if at, ran := began[r.id]; !ran || r.began.Before(at) {
			began[r.id] = r.began
		}
	}
	ids := slices.SortedFunc(maps.Keys(began), func(a, b string) int { return sentAt[a].Compare(sentAt[b]) })
	most, from := 0, ""
	for i, first := range ids {
		n := 0
		for _, id := range ids[i:] {
			if began[id].Sub(sentAt[first]) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first
		}
		w.rec.note("run %s sent %.1f began %.1f", first, w.rec.ms(sentAt[first]), w.rec.ms(began[first]))
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	w.rec.note("requests by status %v (0: no answer), run %d", statuses, len(ids))
	w.rec.note("most requests in a window: %d; %.0f are allowed", most, allowed)
	if float64(len(ids)) < quotaBurst {
		return nil, fmt.Errorf("%d requests ran: the tenant did not use its burst", len(ids))
	}
	if float64(most) > allowed {
		breaks = append(breaks, fmt.Sprintf("QUOTA: %d requests in the %s from %.0f ms on, %.0f are allowed", most,
			quotaWindow, w.rec.ms(sentAt[from]), allowed))
	}
	return breaks, nil
}

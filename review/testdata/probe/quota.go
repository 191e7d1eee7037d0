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
	quotaRate   = 100.0 // rate_per_s of the tenant
	quotaBurst  = 700.0
	quotaWindow = 5 * time.Second // quota_window_s
	quotaOver   = 0.1             // quota_overshoot
	quotaSlack  = 20.0            // quota_slack

	quotaUsual   = quotaRate / 1.6         // requests a second of the tenant, as quota_x of the sites has it
	quotaHot     = 7.5                     // times as many while the tenant is hot
	quotaHotFor  = 6500 * time.Millisecond // how long it is
	quotaBefore  = 1900 * time.Millisecond // from when it is hot to the kill
	quotaWorkers = 300                     // most requests of the tenant at a time
	quotaTries   = 3                       // of a client for one request, within its deadline
	quotaWait    = time.Second             // the deadline
)

// askedRequest is one try of a client.
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
	sequence int
	asked    []askedRequest
	c        net.Conn // nil: none
	in       *bufio.Reader
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
	time.Sleep(5 * time.Second) // longer than contact_ms

	due := make(chan struct{}, quotaWorkers)
	var running sync.WaitGroup
	var askers []*asker
	for i := range quotaWorkers {
		a := &asker{w: w, name: fmt.Sprintf("c%03d", i), home: i % 3}
		askers = append(askers, a)
		running.Go(func() { a.run(due) })
	}
	demand(due, quotaUsual, 2*time.Second)
	w.rec.note("the tenant is hot")
	demand(due, quotaUsual*quotaHot, quotaBefore)
	if w.trouble {
		for _, m := range w.machines {
			m.signal(syscall.SIGKILL)
		}
	}
	demand(due, quotaUsual*quotaHot, quotaHotFor-quotaBefore)
	w.rec.note("the tenant is as usual")
	demand(due, quotaUsual, 2*time.Second)
	close(due)
	running.Wait()
	return judgeQuota(w, askers)
}

// demand makes requests due at an even pace. Those that find no client free are left out.
func demand(due chan<- struct{}, perS float64, length time.Duration) {
	start := time.Now()
	for made := 0; ; {
		elapsed := time.Since(start)
		if elapsed >= length {
			return
		}
		for ; float64(made) < perS*elapsed.Seconds(); made++ {
			select {
			case due <- struct{}{}:
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// run makes the requests that are due: each again after a refusal, when that says, and after a failure, within its
// deadline.
func (a *asker) run(due <-chan struct{}) {
	for range due {
		deadline := time.Now().Add(quotaWait)
		for try := 0; try < quotaTries && time.Now().Before(deadline); try++ {
			status, pause := a.try()
			if status == http.StatusOK || time.Now().Add(pause).After(deadline) {
				break
			}
			time.Sleep(pause)
		}
	}
	a.hangUp()
}

// try makes one try; status 0: no answer.
func (a *asker) try() (status int, pause time.Duration) {
	const again = 50 * time.Millisecond // without Retry-After
	if a.c == nil {
		front := a.w.platform.entry(a.home)
		if front == "" {
			return 0, again
		}
		c, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			return 0, again
		}
		a.c, a.in = c, bufio.NewReader(c)
	}
	a.sequence++
	r := askedRequest{id: fmt.Sprintf("%s-%05d", a.name, a.sequence), sent: time.Now()}
	resp, err := ask(a.c, a.in, r.id)
	if err == nil {
		r.status = resp.StatusCode
	}
	a.asked = append(a.asked, r)
	if err != nil || resp.Close {
		a.hangUp()
	}
	pause = again
	if err == nil {
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(s * float64(time.Second))
		}
	}
	return r.status, pause
}

// hangUp closes the connection, if there is one.
func (a *asker) hangUp() {
	if a.c != nil {
		_ = a.c.Close() // it may have ended
		a.c = nil
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

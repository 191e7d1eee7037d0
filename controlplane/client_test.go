package controlplane

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/elmspan/api"
)

// endless is a body that says it is long and never comes.
type endless struct {
	read  chan struct{}
	close chan struct{}
}

func (e *endless) Read([]byte) (int, error) {
	select {
	case e.read <- struct{}{}:
	case <-e.close:
	}
	<-e.close
	return 0, io.ErrUnexpectedEOF
}

// Callers who say that they bring long configurations and never do take a bounded
// part of the memory; what is longer than is allowed is 413, and what breaks off 400.
func TestBodiesAreBounded(t *testing.T) {
	c := &Client{Log: slog.New(slog.DiscardHandler)}
	h := c.Handler()
	call := func(body io.Reader, length int64) int {
		r := httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", body)
		r.Header.Set("Base-Revision", "0")
		r.ContentLength = length
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	e := &endless{make(chan struct{}), make(chan struct{})}
	ended := make(chan int)
	for range maxConcurrentBodies {
		go func() { ended <- call(e, api.MaxConfigBytes) }()
		<-e.read
	}
	if code := call(bytes.NewReader([]byte("x")), 1); code != http.StatusServiceUnavailable {
		t.Errorf("one more is answered %d", code)
	}
	close(e.close)
	for range maxConcurrentBodies {
		if code := <-ended; code != http.StatusBadRequest {
			t.Errorf("one that breaks off is answered %d", code)
		}
	}
	if code := call(bytes.NewReader(make([]byte, api.MaxConfigBytes+1)), -1); code != http.StatusRequestEntityTooLarge {
		t.Errorf("one that is too long is answered %d", code)
	}
}

// Where no core is in reach, every operator's call is answered 503 within the
// second that he waits, with when to come back, also where eight come at once and
// wait for each other.
func TestNoAnswerComesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := (&Client{Log: slog.New(slog.DiscardHandler)}).Handler()
		var calls sync.WaitGroup
		for i := range 2 * maxConcurrentBodies {
			r := httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", bytes.NewReader([]byte("x")))
			r.Header.Set("Base-Revision", "0")
			if i%3 == 0 {
				r = httptest.NewRequest(http.MethodGet, "/v1/Config.Get", nil)
			}
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond) // the bubble's clock
				began, w := time.Now(), httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if took := time.Since(began); took >= operatorPatience || took > answeredIn || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
					t.Errorf("call %d: %d after %v, Retry-After %q", i, w.Code, took, w.Header().Get("Retry-After"))
				}
			})
		}
		calls.Wait()
	})
}

// A core was replaced machine by machine while a process heard nothing of it; a
// machine that left the core long ago lives on, is in reach, and goes on telling
// who was in it. It does not lead the process back there, whatever comes first: one
// that is in the core is found.
func TestOldListsLeadNowhere(t *testing.T) {
	old, now := []string{"a:1", "b:1", "x:1"}, []string{"c:1", "d:1", "e:1"}
	for _, seeds := range [][]string{old, {"x:1"}, {"a:1", "x:1"}} {
		for _, spare := range [][]string{{"x:1", "c:1"}, {"c:1", "x:1"}} {
			c := &Client{Name: "edge-1"}
			c.SetMembers("", seeds)
			c.SetFallbacks(spare)
			asked := 0
			for ; asked < 40; asked++ {
				at := c.WatchMember()
				if slices.Contains(now, at) {
					c.ObserveWatchResponse(&api.WatchResponse{Lease: true, Leader: "d:1", Members: now})
					break
				}
				if at == "x:1" {
					c.ObserveWatchResponse(&api.WatchResponse{Leader: "a:1", Members: old})
				}
				c.WatchMemberFailed(at)
			}
			if at := c.WatchMember(); !slices.Contains(now, at) {
				t.Errorf("seeds %v, spare %v: after %d calls %s is asked", seeds, spare, asked, at)
			}
			c.ObserveWatchResponse(&api.WatchResponse{Leader: "a:1", Members: old}) // late
			if at := c.WatchMember(); !slices.Contains(now, at) || c.selector.leaderCandidate() != "d:1" {
				t.Errorf("seeds %v, spare %v: led back to %s by a late answer", seeds, spare, at)
			}
		}
	}
}

// A process whose seeds name one machine alone, which left the core, is told by it
// where to go on.
func TestHearsayIsFollowedInTheEnd(t *testing.T) {
	c := &Client{Name: "edge-1"}
	c.SetMembers("", []string{"x:1"})
	for range 10 {
		at := c.WatchMember()
		if at == "a:1" {
			return
		}
		if at == "x:1" {
			c.ObserveWatchResponse(&api.WatchResponse{Members: []string{"x:1", "a:1"}})
		}
		c.WatchMemberFailed(at)
	}
	t.Error("nobody else is asked")
}

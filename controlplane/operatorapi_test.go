package controlplane

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/elmspan/api"
)

// stalledBody is a body whose first read signals read and then waits for release, after which
// the body breaks off.
type stalledBody struct {
	read    chan struct{}
	release chan struct{}
}

func (b *stalledBody) Read([]byte) (int, error) {
	select {
	case b.read <- struct{}{}:
	case <-b.release:
	}
	<-b.release
	return 0, io.ErrUnexpectedEOF
}

// newReplaceCall is an operator's call that replaces the configuration.
func newReplaceCall(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", body)
	r.Header.Set("Base-Revision", "0")
	r.ContentLength = length
	return r
}

// Callers who announce long configurations that never come take a bounded part of the
// memory; a body that is longer than is allowed is 413, and one that breaks off 400.
func TestRequestBodiesAreBounded(t *testing.T) {
	handler := (&Client{Log: slog.New(slog.DiscardHandler)}).Handler()
	call := func(body io.Reader, length int64) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newReplaceCall(body, length))
		return w.Code
	}
	stalled := &stalledBody{
		read:    make(chan struct{}),
		release: make(chan struct{}),
	}
	statuses := make(chan int)
	for range maxConcurrentBodies {
		go func() { statuses <- call(stalled, api.MaxConfigBytes) }()
		<-stalled.read
	}
	if status := call(bytes.NewReader([]byte("x")), 1); status != http.StatusServiceUnavailable {
		t.Errorf("one more body is answered %d", status)
	}
	close(stalled.release)
	for range maxConcurrentBodies {
		if status := <-statuses; status != http.StatusBadRequest {
			t.Errorf("a body that breaks off is answered %d", status)
		}
	}
	tooLong := bytes.NewReader(make([]byte, api.MaxConfigBytes+1))
	if status := call(tooLong, -1); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body that is too long is answered %d", status)
	}
}

// Where no member of the control plane is in reach, every operator's call is answered 503
// within the second that they wait, with Retry-After, also where eight come at once and wait
// for each other.
func TestOperatorIsAnsweredInTimeWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := (&Client{Log: slog.New(slog.DiscardHandler)}).Handler()
		var calls sync.WaitGroup
		for i := range 2 * maxConcurrentBodies {
			r := newReplaceCall(bytes.NewReader([]byte("x")), 1)
			if i%3 == 0 {
				r = httptest.NewRequest(http.MethodGet, "/v1/Config.Get", nil)
			}
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond) // the bubble's clock
				began, w := time.Now(), httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				took, retryAfter := time.Since(began), w.Header().Get("Retry-After")
				if took >= operatorDeadline || took > maxAnswerTime {
					t.Errorf("call %d is answered after %v", i, took)
				}
				if w.Code != http.StatusServiceUnavailable || retryAfter == "" {
					t.Errorf("call %d: %d, Retry-After %q", i, w.Code, retryAfter)
				}
			})
		}
		calls.Wait()
	})
}

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

// stalledBody is a request body whose first Read sends on read. Reads block until release is closed,
// and then fail as in a truncated body.
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

// newReplaceRequest returns an operator's request that replaces the configuration.
func newReplaceRequest(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", body)
	r.Header.Set("Base-Revision", "0")
	r.ContentLength = length
	return r
}

// Clients that announce large configurations but never send them use a bounded amount of memory. A
// body above the size limit is answered with 413, a truncated body with 400.
func TestRequestBodiesAreBounded(t *testing.T) {
	handler := (&Client{Log: slog.New(slog.DiscardHandler)}).Handler()
	call := func(body io.Reader, length int64) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newReplaceRequest(body, length))
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
		t.Errorf("request above the limit of concurrent bodies: status %d", status)
	}
	close(stalled.release)
	for range maxConcurrentBodies {
		if status := <-statuses; status != http.StatusBadRequest {
			t.Errorf("truncated body: status %d", status)
		}
	}
	tooLong := bytes.NewReader(make([]byte, api.MaxConfigBytes+1))
	if status := call(tooLong, -1); status != http.StatusRequestEntityTooLarge {
		t.Errorf("body above the size limit: status %d", status)
	}
}

// When no member of the control plane is reachable, every operator's call is answered with 503 and
// Retry-After within the one second that operators wait, even if eight calls overlap and wait for
// each other.
func TestOperatorIsAnsweredInTimeWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := (&Client{Log: slog.New(slog.DiscardHandler)}).Handler()
		var calls sync.WaitGroup
		for i := range 2 * maxConcurrentBodies {
			r := newReplaceRequest(bytes.NewReader([]byte("x")), 1)
			if i%3 == 0 {
				r = httptest.NewRequest(http.MethodGet, "/v1/Config.Get", nil)
			}
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond) // fake time
				began, w := time.Now(), httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				took, retryAfter := time.Since(began), w.Header().Get("Retry-After")
				if took >= operatorDeadline || took > maxAnswerTime {
					t.Errorf("call %d: answered after %v", i, took)
				}
				if w.Code != http.StatusServiceUnavailable || retryAfter == "" {
					t.Errorf("call %d: status %d, Retry-After %q", i, w.Code, retryAfter)
				}
			})
		}
		calls.Wait()
	})
}

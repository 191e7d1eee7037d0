package controlplane

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

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
	for range bodiesInHand {
		go func() { ended <- call(e, api.MaxConfig) }()
		<-e.read
	}
	if code := call(bytes.NewReader([]byte("x")), 1); code != http.StatusServiceUnavailable {
		t.Errorf("one more is answered %d", code)
	}
	close(e.close)
	for range bodiesInHand {
		if code := <-ended; code != http.StatusBadRequest {
			t.Errorf("one that breaks off is answered %d", code)
		}
	}
	if code := call(bytes.NewReader(make([]byte, api.MaxConfig+1)), -1); code != http.StatusRequestEntityTooLarge {
		t.Errorf("one that is too long is answered %d", code)
	}
}

package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/elmspan/api"
)

const (
	// operatorTimeout bounds an operator's call, not counting the time to read its body. Operators
	// give up after 1 s.
	operatorTimeout = 850 * time.Millisecond
	// bodySlotTimeout is the part of operatorTimeout that may be spent waiting for a slot to read
	// the body. The rest is enough for the control plane.
	bodySlotTimeout = operatorTimeout / 2
	// maxConcurrentBodies bounds the configurations that are read at a time: they are the largest
	// objects that a process holds for a caller.
	maxConcurrentBodies = 4
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 10 * time.Second
	// retryAfter is the Retry-After header of responses with status 503, in seconds.
	retryAfter = "0.2"
)

// operatorAPI serves the operator API: HTTP calls that the client forwards to the leader.
type operatorAPI struct {
	client *Client
	bodies chan struct{} // semaphore: one element for each body that is being read
}

// Handler returns the HTTP handler of the operator API.
func (c *Client) Handler() http.Handler {
	o := &operatorAPI{
		client: c,
		bodies: make(chan struct{}, maxConcurrentBodies),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/Config.Replace", o.replaceConfig)
	mux.HandleFunc("GET /v1/Config.Get", o.getConfig)
	mux.HandleFunc("GET /v1/Config.History", o.listRevisions)
	mux.HandleFunc("GET /v1/State.Export", o.exportState)
	mux.HandleFunc("GET /v1/Status", o.status)
	return mux
}

func (o *operatorAPI) replaceConfig(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
	if err != nil {
		http.Error(w, "Base-Revision: the number of the revision to be replaced is required",
			http.StatusBadRequest)
		return
	}
	start := time.Now()
	select {
	case o.bodies <- struct{}{}:
		defer func() { <-o.bodies }()
	case <-time.After(bodySlotTimeout):
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "too many configurations are being uploaded", http.StatusServiceUnavailable)
		return
	}
	remaining := operatorTimeout - time.Since(start)
	// The error is ignored: recorders in tests don't support deadlines, connections always do.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readBody(http.MaxBytesReader(w, r.Body, api.MaxConfigBytes), r.ContentLength)
	if err != nil {
		http.Error(w, "reading the configuration failed: "+err.Error(), bodyErrorStatus(err))
		return
	}
	o.respond(w, r, remaining, func(ctx context.Context) api.ControlResponse {
		return o.client.Replace(ctx, &api.ReplaceRequest{Base: base, Config: body})
	})
}

// readBody reads a body. If its length is known, the buffer is allocated at once: growing a buffer
// to the size of a large configuration takes several times its memory.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > api.MaxConfigBytes {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// bodyErrorStatus returns the status of the response to a body that could not be read.
func bodyErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (o *operatorAPI) getConfig(w http.ResponseWriter, r *http.Request) {
	request := &api.GetRequest{}
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if request.Revision, err = strconv.ParseUint(text, 10, 64); err != nil || request.Revision == 0 {
			http.Error(w, "revision: a positive number is required", http.StatusBadRequest)
			return
		}
	}
	o.read(w, r, request)
}

func (o *operatorAPI) listRevisions(w http.ResponseWriter, r *http.Request) {
	o.read(w, r, &api.GetRequest{Revisions: true})
}

func (o *operatorAPI) exportState(w http.ResponseWriter, r *http.Request) {
	o.read(w, r, &api.GetRequest{State: true})
}

func (o *operatorAPI) read(w http.ResponseWriter, r *http.Request, request *api.GetRequest) {
	o.respond(w, r, operatorTimeout, func(ctx context.Context) api.ControlResponse {
		return o.client.Get(ctx, request)
	})
}

func (o *operatorAPI) status(w http.ResponseWriter, _ *http.Request) {
	var status any
	if o.client.Status != nil {
		status = o.client.Status()
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(status) // fails only if the caller has disconnected
}

// respond makes a call for an operator, and writes its result as the response. The call is
// cancelled after a time-out, and when the operator disconnects.
func (o *operatorAPI) respond(
	w http.ResponseWriter,
	r *http.Request,
	timeout time.Duration,
	call func(context.Context) api.ControlResponse,
) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	result := call(ctx)
	o.client.Log.Info("operator call", "path", r.URL.Path, "base_revision", r.Header.Get("Base-Revision"),
		"status", result.Status, "reason", result.Reason)
	writeResult(w, &result)
}

// writeResult writes a result as an HTTP response. Write errors are ignored: the caller has
// disconnected.
func writeResult(w http.ResponseWriter, result *api.ControlResponse) {
	switch {
	case result.Status == http.StatusOK && result.Revisions != nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result.Revisions)
	case result.Status == http.StatusOK:
		if result.Config != nil {
			w.Header().Set("Content-Type", "application/cbor")
			w.Header().Set("Content-Length", strconv.Itoa(len(result.Config)))
		}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(result.Config)
	default:
		if result.Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
		http.Error(w, result.Reason, result.Status)
	}
}

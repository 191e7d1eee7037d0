package controlplane

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

const (
	callTimeout = 600 * time.Millisecond
	callPause   = 40 * time.Millisecond
	// operatorWait is how long an operator's call may take, the time left out in which
	// its body comes: it gives up after a second. Of it so much at most may go by
	// before there is room for a body; what is left is enough for the core.
	operatorWait = 850 * time.Millisecond
	roomWait     = operatorWait / 2
	// bodiesInHand configurations are read at a time, each within bodyWait: they are
	// the largest thing that a process holds for a caller.
	bodiesInHand = 4
	bodyWait     = 10 * time.Second
	// backAfter is when the member that serves this process first is tried again.
	backAfter = 10 * time.Second
	// mostHints bounds the members that are known by hearsay.
	mostHints = 16
)

// Client calls the core, from any process: the leader with what the operator
// wants, and for news whichever member comes first for this process.
type Client struct {
	Conns *api.ConnPool
	Local *Core // where this process is a member; else nil. While calls are made: SetLocal
	Log   *slog.Logger
	Name  string // of this process: which member serves it first depends on it
	// Status, where set, is shown as JSON at /v1/Status.
	Status func() any

	mu     sync.Mutex
	leader string
	addrs  []string // the one that serves this process first, first
	turn   int      // at the leader's place, where no leader is known
	helper int      // index of the member that is asked for news
	moved  time.Time
	failed int      // members that did not answer, one after the other
	spare  []string // core machines that are known otherwise
	hints  []string // by hearsay, and those that were asked before: the latest last
	strays int      // times that all of addrs had failed, since the core said who is in it
}

// Learn takes in where the core is.
func (c *Client) Learn(leader string, addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
	if len(addrs) == 0 {
		return
	}
	rank := func(addr string) uint64 { return xxhash.Sum64String(c.Name + "/" + addr) }
	next := slices.SortedFunc(slices.Values(addrs), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	c.strays = 0
	if !slices.Equal(next, c.addrs) {
		c.addrs, c.helper, c.failed = next, 0, 0
	}
}

// Heard takes in what a member said of the core with its news. Where it said so
// under a lease, a majority stood behind it after the call, so that it is not of
// the past. One that gives no lease may have been out of touch for long, or have
// left the core: what it says is only tried where all else has failed, and never
// leads back from what was said under a lease.
func (c *Client) Heard(n *api.WatchResponse) {
	if n.Lease {
		c.Learn(n.Leader, n.Members)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = n.Leader // it answers itself whether it leads
	}
	c.hint(n.Members)
}

// hint remembers members that may be asked where all else has failed.
func (c *Client) hint(addrs []string) {
	for _, a := range addrs {
		if !slices.Contains(c.hints, a) {
			c.hints = append(c.hints, a)
		}
	}
	c.hints = slices.Clone(c.hints[max(0, len(c.hints)-mostHints):])
}

// Spare takes in core machines that are known otherwise than from the core: they
// are asked where all that the core named have failed, as after it was replaced
// machine by machine while this process heard nothing of it.
func (c *Client) Spare(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = slices.Clone(addrs)
}

// Failed forgets a leader that does not answer.
func (c *Client) Failed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == addr {
		c.leader = ""
	}
}

// Next returns whom to ask for the leader's answer: it, or each of the core in turn.
func (c *Client) Next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	if len(c.addrs) == 0 {
		return ""
	}
	c.turn++
	return c.addrs[c.turn%len(c.addrs)]
}

// Helper returns the member to ask for news. Which one that is differs from
// process to process; one that failed is passed over for a while.
func (c *Client) Helper() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 {
		return ""
	}
	if c.helper != 0 && time.Since(c.moved) > backAfter {
		c.helper = 0
	}
	return c.addrs[c.helper%len(c.addrs)]
}

// HelperFailed has the next member asked from now on.
func (c *Client) HelperFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.helper%len(c.addrs)] == addr {
		c.helper, c.moved = (c.helper+1)%len(c.addrs), time.Now()
		if c.failed++; c.failed >= 2*len(c.addrs) {
			c.stray()
		}
	}
}

// stray has others asked, as all that were have failed: in turn the machines that
// are known otherwise than from the core, and those known by hearsay or before.
func (c *Client) stray() {
	next := c.spare
	if c.strays++; len(next) == 0 || c.strays%2 == 0 && len(c.hints) > 0 {
		next = c.hints
	}
	if len(next) > 0 {
		before := c.addrs
		c.addrs, c.helper, c.failed = slices.Clone(next), 0, 0
		c.hint(before)
	}
}

// SetLocal tells which member is in this process, nil for none.
func (c *Client) SetLocal(l *Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Local = l
}

func (c *Client) local() *Core {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Local
}

// toLeader calls until a process can say what came of it, or the context ends.
func (c *Client) toLeader(ctx context.Context, local func(*Core) (*api.ControlResponse, error),
	remote func(context.Context, *grpc.ClientConn) (*api.ControlResponse, error)) api.ControlResponse {
	for ctx.Err() == nil {
		if l := c.local(); l != nil && l.Leads() {
			if r, err := local(l); err == nil && r.Status != 0 {
				return *r
			}
		} else if addr := c.Next(); addr != "" {
			conn, err := c.Conns.Conn(addr)
			var r *api.ControlResponse
			if err == nil {
				call, cancel := context.WithTimeout(ctx, callTimeout)
				r, err = remote(call, conn)
				cancel()
			}
			switch {
			case err != nil:
				c.Failed(addr)
			case r.Status != 0:
				return *r
			default:
				c.Learn(r.Leader, nil)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(callPause):
		}
	}
	return api.ControlResponse{Status: http.StatusServiceUnavailable, Reason: "the core has no leader that answers; try again"}
}

// Replace brings a configuration to the leader.
func (c *Client) Replace(ctx context.Context, q *api.ReplaceRequest) api.ControlResponse {
	return c.toLeader(ctx, func(l *Core) (*api.ControlResponse, error) { return l.Replace(ctx, q) },
		func(ctx context.Context, conn *grpc.ClientConn) (*api.ControlResponse, error) {
			return api.CallReplace(ctx, conn, q)
		})
}

// Get reads what the core agrees on.
func (c *Client) Get(ctx context.Context, q *api.GetRequest) api.ControlResponse {
	return c.toLeader(ctx, func(l *Core) (*api.ControlResponse, error) { return l.Get(ctx, q) },
		func(ctx context.Context, conn *grpc.ClientConn) (*api.ControlResponse, error) {
			return api.CallGet(ctx, conn, q)
		})
}

// Handler returns the operator's interface.
func (c *Client) Handler() http.Handler {
	mux := http.NewServeMux()
	bodies := make(chan struct{}, bodiesInHand)
	mux.HandleFunc("POST /v1/Config.Replace", func(w http.ResponseWriter, r *http.Request) {
		base, err := strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
		if err != nil {
			http.Error(w, "Base-Revision: the number of the version that this one builds on is needed", http.StatusBadRequest)
			return
		}
		came := time.Now()
		select {
		case bodies <- struct{}{}:
			defer func() { <-bodies }()
		case <-time.After(roomWait):
			w.Header().Set("Retry-After", "0.2")
			http.Error(w, "other configurations are being brought", http.StatusServiceUnavailable)
			return
		}
		left := operatorWait - time.Since(came)
		// A recorder in a test has no deadline; a connection always has.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyWait))
		body, err := readBody(http.MaxBytesReader(w, r.Body, api.MaxConfigBytes), r.ContentLength)
		if err != nil {
			status := http.StatusBadRequest
			if _, ok := err.(*http.MaxBytesError); ok {
				status = http.StatusRequestEntityTooLarge
			}
			http.Error(w, "the configuration can't be read whole: "+err.Error(), status)
			return
		}
		c.answer(w, r, left, func(ctx context.Context) api.ControlResponse {
			return c.Replace(ctx, &api.ReplaceRequest{Base: base, Config: body})
		})
	})
	mux.HandleFunc("GET /v1/Status", func(w http.ResponseWriter, _ *http.Request) {
		var v any
		if c.Status != nil {
			v = c.Status()
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.Encode(v) // a caller that is gone needs no answer
	})
	read := func(w http.ResponseWriter, r *http.Request, q *api.GetRequest) {
		c.answer(w, r, operatorWait, func(ctx context.Context) api.ControlResponse { return c.Get(ctx, q) })
	}
	mux.HandleFunc("GET /v1/Config.Get", func(w http.ResponseWriter, r *http.Request) {
		q := &api.GetRequest{}
		if text := r.URL.Query().Get("revision"); text != "" {
			var err error
			if q.Revision, err = strconv.ParseUint(text, 10, 64); err != nil || q.Revision == 0 {
				http.Error(w, "revision: a version's number is needed", http.StatusBadRequest)
				return
			}
		}
		read(w, r, q)
	})
	mux.HandleFunc("GET /v1/Config.History", func(w http.ResponseWriter, r *http.Request) { read(w, r, &api.GetRequest{Versions: true}) })
	mux.HandleFunc("GET /v1/State.Export", func(w http.ResponseWriter, r *http.Request) { read(w, r, &api.GetRequest{State: true}) })
	return mux
}

// readBody reads a body whose length is told, if it is, at once: to let a buffer grow
// to a large configuration takes several times its memory.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > api.MaxConfigBytes {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// answer answers an operator's call with what comes of it within a time.
func (c *Client) answer(w http.ResponseWriter, r *http.Request, within time.Duration, call func(context.Context) api.ControlResponse) {
	ctx, cancel := context.WithTimeout(r.Context(), within)
	defer cancel()
	res := call(ctx)
	c.Log.Info("operator", "call", r.URL.Path, "base", r.Header.Get("Base-Revision"), "status", res.Status, "why", res.Reason)
	switch {
	case res.Status == http.StatusOK && res.Versions != nil:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(res.Versions) // a caller that is gone needs no answer
	case res.Status == http.StatusOK:
		if res.Config != nil {
			w.Header().Set("Content-Type", "application/cbor")
			w.Header().Set("Content-Length", strconv.Itoa(len(res.Config)))
		}
		w.WriteHeader(http.StatusOK)
		w.Write(res.Config)
	default:
		if res.Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "0.2")
		}
		http.Error(w, res.Reason, res.Status)
	}
}

package controlplane

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/raft/storage"
)

// cuts is what lies between the machines of a core: one of them may be cut off,
// both ways or one way, and answers to operators may be lost.
type cuts struct {
	mu          sync.Mutex
	off         string // "": none
	says, hears bool   // which way it still gets through
	calls       bool   // other calls than those of the agreement get through
	mute        bool   // orders are taken and not answered
}

func (c *cuts) set(off string, says, hears bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off, c.says, c.hears, c.calls = off, says, hears, false
}

// lag has one machine hear nothing of the agreement, while all else gets through.
func (c *cuts) lag(off string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off, c.says, c.hears, c.calls = off, true, false, true
}

func (c *cuts) setMute(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute = v
}

// cuttable is a member as the others reach it. What is cut is silent, until the
// caller gives up.
type cuttable struct {
	*Core
	cuts *cuts
	addr string
}

func silence[R any](ctx context.Context) (*R, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (c *cuttable) Deliver(ctx context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	c.cuts.mu.Lock()
	lost := c.cuts.off != "" && (d.Addr == c.cuts.off && !c.cuts.says || c.addr == c.cuts.off && !c.cuts.hears)
	c.cuts.mu.Unlock()
	if lost {
		return silence[api.DeliverResponse](ctx)
	}
	return c.Core.Deliver(ctx, d)
}

// cut tells of the other calls, which don't name who calls, that one end may be
// the machine that is cut off. They need both ways.
func (c *cuttable) cut() bool {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	return c.cuts.off != "" && !c.cuts.calls
}

func (c *cuttable) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	if c.cut() {
		return silence[api.WatchResponse](ctx)
	}
	return c.Core.Watch(ctx, q)
}

func (c *cuttable) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	if c.cut() {
		return silence[api.ReadIndexResponse](ctx)
	}
	return c.Core.ReadIndex(ctx, q)
}

func (c *cuttable) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	if c.cut() {
		return silence[api.ControlResponse](ctx)
	}
	return c.Core.Join(ctx, q)
}

func (c *cuttable) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	if c.cut() {
		return silence[api.ControlResponse](ctx)
	}
	return c.Core.Get(ctx, q)
}

func (c *cuttable) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	if c.cut() {
		return silence[api.ControlResponse](ctx)
	}
	r, err := c.Core.Replace(ctx, q)
	c.cuts.mu.Lock()
	mute := c.cuts.mute
	c.cuts.mu.Unlock()
	if mute && err == nil && r.Status == http.StatusOK {
		return silence[api.ControlResponse](ctx)
	}
	return r, err
}

// cutCore is a core of three machines that keep their disks over a restart.
type cutCore struct {
	*cluster
	cuts cuts
	dirs map[string]string
}

func newCutCore(t *testing.T) *cutCore {
	c := &cutCore{cluster: noCluster(t, 3), dirs: map[string]string{}}
	for _, a := range c.addrs {
		c.dirs[a] = memory(t)
		c.start(a)
	}
	return c
}

func (c *cutCore) start(addr string) {
	c.t.Helper()
	store, err := storage.Open(c.dirs[addr])
	if err != nil {
		c.t.Fatal(err)
	}
	conns := c.net.conns()
	core, err := NewCore(CoreConfig{Addr: addr, Seeds: c.addrs, Bootstrap: true, Voters: 3, Store: store, Conns: conns,
		Log: slog.New(slog.DiscardHandler), Seed: uint64(len(c.cores))})
	if err != nil {
		c.t.Fatal(err)
	}
	c.run(addr, c.net.listen(addr), core, &cuttable{core, &c.cuts, addr}, func() {
		conns.Close()
		store.Close()
	})
}

func (c *cutCore) restart(addr string) {
	c.t.Helper()
	c.stops[addr]()
	c.start(addr)
}

// leads returns the machine that leads, of all but one.
func (c *cutCore) leads(but string) (addr string) {
	c.until("a leader", func() bool {
		for a, k := range c.cores {
			if a != but && k.Leads() {
				addr = a
			}
		}
		return addr != ""
	})
	return addr
}

// at is the process of a machine, as operators reach it.
func (c *cutCore) at(addr string) *Client {
	cl := c.client()
	cl.SetLocalCore(c.cores[addr])
	return cl
}

// operator makes a call at a process and returns the answer, and how long it took.
func operator(h http.Handler, base string, body []byte) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, "/v1/Config.Get", nil)
	if body != nil {
		r = httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", bytes.NewReader(body))
		r.Header.Set("Base-Revision", base)
	}
	w, began := httptest.NewRecorder(), time.Now()
	h.ServeHTTP(w, r)
	return w, time.Since(began)
}

// take brings a configuration to those who are not cut off, whoever leads them by
// then, until there is a clear answer.
func (c *cutCore) take(off string, base uint64, body []byte) (status int) {
	c.t.Helper()
	c.until("an answer", func() bool {
		w, _ := operator(c.at(c.leads(off)).Handler(), strconv.FormatUint(base, 10), body)
		status = w.Code
		return status != http.StatusServiceUnavailable
	})
	return status
}

// sayNothing has operators and a limiter ask a machine that is cut off: no call has
// a clear answer, all have one in time, and nothing of what it knows goes out.
func (c *cutCore) sayNothing(off, when string, brings bool) {
	c.t.Helper()
	h := c.at(off).Handler()
	calls := []struct {
		what, base string
		body       []byte
	}{{"what was taken, sent again", "0", config(c.t, 5)}, {"what has lost", "0", config(c.t, 7)}, {"what is invalid there", "5", config(c.t, 3)}, {"a read", "", nil}}
	if brings { // not where it may still be heard: the others might agree on it
		calls = append(calls, struct {
			what, base string
			body       []byte
		}{"a new one", "5", config(c.t, 9)})
	}
	var all sync.WaitGroup
	for _, q := range calls {
		all.Go(func() {
			w, took := operator(h, q.base, q.body)
			if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
				c.t.Errorf("%s: %s is answered %d, Retry-After %q: %.60q", when, q.what, w.Code, w.Header().Get("Retry-After"), w.Body)
			}
			if took >= operatorPatience || took > answeredIn {
				c.t.Errorf("%s: %s is answered after %v, an operator waits for a second", when, q.what, took)
			}
		})
	}
	all.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if n, err := c.cores[off].Watch(ctx, &api.WatchRequest{}); err != nil || n.Lease || n.ConfigDelta != nil || n.ServersDelta != nil {
			c.t.Errorf("%s: a limiter is told %+v, %v", when, n, err)
		}
	})
	all.Wait()
}

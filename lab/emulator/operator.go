package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/lab/checker"
)

const (
	callFor   = time.Second
	callsMost = 60
)

// operator brings configurations and reads the newest back.
type operator struct {
	f    *Fleet
	http http.Client

	mu      sync.Mutex
	base    uint64 // acknowledged
	body    []byte
	keys    map[string][]string // of tenants, the one in use last
	timeout float64             // factor on the routes' time-outs
	missed  int
	acks    []time.Duration
}

func newOperator(f *Fleet) *operator {
	o := &operator{f: f, http: http.Client{Timeout: callFor, Transport: &http.Transport{DisableKeepAlives: true}}, keys: map[string][]string{}, timeout: 1}
	for _, t := range f.spec.Tenants {
		o.keys[t.Name] = []string{"key-" + t.Name + "-1"}
	}
	return o
}

// key is the one that a tenant's clients use.
func (f *Fleet) key(name string) string {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	ks := f.operator.keys[name]
	return ks[len(ks)-1]
}

// config is the configuration as the operator wants it. Called under the mutex.
func (o *operator) config(revision uint64) *api.Config {
	s := o.f.spec
	c := &api.Config{Revision: revision}
	for _, v := range s.Services {
		c.Upstreams = append(c.Upstreams, api.Upstream{Name: v.Name, HealthCheck: "/health", MaxConnections: 200, Protocol: "h1"})
	}
	for _, k := range s.Classes {
		c.Routes = append(c.Routes, api.Route{Name: "r-" + k.Name, Host: "emulator.example", Prefix: "/" + k.Name + "/", Type: k.Type,
			TimeoutMs: k.DeadlineMs * o.timeout, TargetMs: k.AimMs, Upstream: k.Service, Retries: 2})
	}
	for _, t := range s.Tenants {
		rate := s.Rate(&t)
		c.Tenants = append(c.Tenants, api.Tenant{Name: t.Name, Keys: o.keys[t.Name], Rate: rate, Burst: rate})
		o.f.ledger.Quota(t.Name, rate, rate)
	}
	return c
}

func (o *operator) first(ctx context.Context) error {
	if !o.bring(ctx) {
		return fmt.Errorf("emulator: the first configuration was not acknowledged; see the logs below %s", o.f.dir)
	}
	return nil
}

// bring sends the configuration until it is acknowledged.
func (o *operator) bring(ctx context.Context) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.config(o.base + 3)
	body, err := cbor.Marshal(c)
	if err != nil {
		return false
	}
	begun := time.Now()
	for i := range callsMost {
		if ctx.Err() != nil {
			return false
		}
		status, _ := o.call(i, http.MethodPost, "/v1/Config.Replace", o.base, body)
		if status == http.StatusOK {
			o.base, o.body = c.Revision, body
			o.acks = append(o.acks, time.Since(begun))
			return true
		}
		time.Sleep(time.Duration(min(i+1, 10)) * 20 * time.Millisecond)
	}
	o.missed++
	return false
}

// race brings two configurations on top of the same version at the same time, one
// to a machine and one to the others: one of them is acknowledged at most.
func (o *operator) race(ctx context.Context, one *node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var bodies [2][]byte
	var revisions [2]uint64
	for i := range bodies {
		c := o.config(o.base + 5 + uint64(i))
		c.Routes[0].TimeoutMs += float64(1 + i) // so that one can be told from the other
		var err error
		if bodies[i], err = cbor.Marshal(c); err != nil {
			return
		}
		revisions[i] = c.Revision
	}
	var acked [2]bool
	var both sync.WaitGroup
	for i := range bodies {
		both.Go(func() {
			for k := range callsMost {
				n := one
				if i == 1 {
					n = o.f.nodes[(k*7+int(o.base))%len(o.f.nodes)]
				}
				status, _ := o.callAt(n, http.MethodPost, "/v1/Config.Replace", o.base, bodies[i])
				if acked[i] = status == http.StatusOK; acked[i] || status == http.StatusPreconditionFailed || ctx.Err() != nil {
					return
				}
				time.Sleep(time.Duration(min(k+1, 10)) * 20 * time.Millisecond)
			}
		})
	}
	both.Wait()
	switch {
	case acked[0] && acked[1]:
		o.f.ledger.Breaks("CONFIG", "two changes on top of version %d are both acknowledged", o.base)
	case acked[0]:
		o.base, o.body = revisions[0], bodies[0]
	case acked[1]:
		o.base, o.body = revisions[1], bodies[1]
	default:
		o.missed++
	}
}

// invalid sends configurations that must not be taken.
func (o *operator) invalid() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, spoil := range map[string]func(*api.Config){
		"an unknown service": func(c *api.Config) { c.Routes[0].Upstream = "nowhere" },
		"no time-out":        func(c *api.Config) { c.Routes[0].TimeoutMs = 0 },
		"an old version":     func(c *api.Config) { c.Revision = 1 },
		"two of a place":     func(c *api.Config) { c.Routes = append(c.Routes, c.Routes[0]) },
	} {
		c := o.config(o.base + 2)
		spoil(c)
		body, err := cbor.Marshal(c)
		if err != nil {
			continue
		}
		if status, _ := o.call(1, http.MethodPost, "/v1/Config.Replace", o.base, body); status == http.StatusOK {
			o.f.ledger.Breaks("CONFIG", "a configuration with %s was acknowledged", name)
		}
	}
}

// revoke gives a tenant a new key and then takes the old one away.
func (o *operator) revoke(ctx context.Context, name string) {
	o.mu.Lock()
	old := o.keys[name][len(o.keys[name])-1]
	o.keys[name] = append(o.keys[name], fmt.Sprintf("key-%s-%d", name, len(o.keys[name])+1))
	o.mu.Unlock()
	if !o.bring(ctx) {
		return
	}
	time.Sleep(checker.ConfigApplyMs * time.Millisecond) // clients change over
	o.mu.Lock()
	o.keys[name] = o.keys[name][len(o.keys[name])-1:]
	o.mu.Unlock()
	if o.bring(ctx) {
		o.f.ledger.Revoked(old)
	}
}

// readBack asks for the newest version and compares it with what was acknowledged.
func (o *operator) readBack(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range callsMost {
		if ctx.Err() != nil {
			return
		}
		if status, body := o.call(i, http.MethodGet, "/v1/Config.Get", 0, nil); status == http.StatusOK {
			if !bytes.Equal(body, o.body) {
				o.f.ledger.Breaks("CONFIG", "what is read back is not what was acknowledged as %d", o.base)
			}
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.f.ledger.Breaks("CONFIG", "the configuration can't be read back")
}

func (o *operator) call(i int, method, path string, base uint64, body []byte) (int, []byte) {
	return o.callAt(o.f.nodes[(i*7+int(base))%len(o.f.nodes)], method, path, base, body)
}

func (o *operator) callAt(n *node, method, path string, base uint64, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Base-Revision", strconv.FormatUint(base, 10))
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := o.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, got
}

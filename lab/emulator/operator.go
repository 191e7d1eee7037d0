package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

const (
	callTimeout = time.Second
	maxCalls    = 60 // of one change
	replacePath = "/v1/Config.Replace"

	// addedRoutePrefix is what the first segment of a path begins with on routes that are added during the day.
	addedRoutePrefix = "added-"
)

// operator brings configurations, one at a time, and reads the newest back.
type operator struct {
	fleet *Fleet
	http  http.Client

	// bringing is held while a change is brought, so that each builds on the one before.
	// It is taken before mu.
	bringing sync.Mutex

	mu          sync.Mutex
	base        uint64              // revision that was acknowledged last
	body        []byte              // ... and its encoded configuration
	keys        map[string][]string // of tenants, as the configuration has them
	keyInUse    map[string]string   // the one that a tenant's clients use
	issued      int                 // keys beside each tenant's first
	timeout     float64             // factor on the routes' time-outs
	quotas      map[string]float64  // factors on the tenants' first limits; none: 1
	addsRoutes  bool                // each class has a second route from now on
	routesAdded time.Time           // when a configuration with these routes was acknowledged; zero: not yet
	extremes    int                 // configurations with the highest numbers that were wanted so far
	noTenants   bool                // the tenant table is empty
	missed      int                 // changes that were never acknowledged
	acks        []time.Duration     // how long each acknowledgement took
}

func newOperator(f *Fleet) *operator {
	o := &operator{
		fleet:    f,
		http:     http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		keys:     map[string][]string{},
		keyInUse: map[string]string{},
		quotas:   map[string]float64{},
		timeout:  1,
	}
	for _, t := range f.spec.Tenants {
		first := "key-" + t.Name + "-0"
		o.keys[t.Name], o.keyInUse[t.Name] = []string{first}, first
	}
	return o
}

// key is the one that a tenant's clients use.
func (o *operator) key(tenant string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keyInUse[tenant]
}

// revision is the newest that was acknowledged.
func (o *operator) revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.base
}

// counts returns how many changes were acknowledged, and how many never were.
func (o *operator) counts() (acknowledged, missed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acks), o.missed
}

// config is the configuration as the operator wants it now, under a revision so much
// above the acknowledged one.
func (o *operator) config(above uint64) *api.Config {
	o.mu.Lock()
	defer o.mu.Unlock()
	day := o.fleet.spec
	c := &api.Config{Revision: o.base + above}
	for _, v := range day.Services {
		c.Upstreams = append(c.Upstreams,
			api.Upstream{Name: v.Name, HealthCheck: "/health", MaxConnections: 200, Protocol: "h1"})
	}
	for i := range day.Classes {
		c.Routes = append(c.Routes, o.route(&day.Classes[i], ""))
	}
	if o.addsRoutes {
		for i := range day.Classes {
			c.Routes = append(c.Routes, o.route(&day.Classes[i], addedRoutePrefix))
		}
	}
	if o.extremes > 0 {
		makeExtreme(c, o.extremes)
	}
	if o.noTenants {
		c.Tenants = []api.Tenant{} // given, and empty
		return c
	}
	for _, t := range day.Tenants {
		rate := day.Rate(&t)
		if factor, changed := o.quotas[t.Name]; changed {
			rate *= factor
		}
		keys := slices.Clone(o.keys[t.Name])
		c.Tenants = append(c.Tenants, api.Tenant{Name: t.Name, Keys: keys, Rate: rate, Burst: rate})
	}
	return c
}

// route is a class's route, with what its path begins with before the class's name. Called under the mutex.
func (o *operator) route(k *scenario.Class, prefix string) api.Route {
	return api.Route{
		Name:        "r-" + prefix + k.Name,
		Host:        hostName,
		Prefix:      "/" + prefix + k.Name + "/",
		Type:        k.Type,
		TimeoutMs:   k.DeadlineMs * o.timeout,
		TargetMs:    k.TargetMs,
		Priority:    k.Priority,
		Upstream:    k.Service,
		MaxAttempts: checker.RouteRetries,
	}
}

// knownAddedRoutes reports whether the added routes must be in force everywhere.
func (o *operator) knownAddedRoutes() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.routesAdded.IsZero() && time.Since(o.routesAdded) > checker.ConfigApplyMs*time.Millisecond
}

func (o *operator) first(ctx context.Context) error {
	if !o.bring(ctx) {
		return fmt.Errorf("emulator: the first configuration was not acknowledged; see the logs below %s", o.fleet.dir)
	}
	return nil
}

// change brings a configuration whose routes have other time-outs than before.
func (o *operator) change(ctx context.Context) bool {
	o.mu.Lock()
	o.timeout = 1.5 - o.timeout/2
	o.addsRoutes = true
	o.mu.Unlock()
	return o.bring(ctx)
}

// changeQuota brings a configuration in which a tenant's limit is so many times its first one.
func (o *operator) changeQuota(ctx context.Context, tenant string, factor float64) bool {
	o.mu.Lock()
	o.quotas[tenant] = factor
	o.mu.Unlock()
	return o.bring(ctx)
}

// bring sends the configuration until it is acknowledged.
func (o *operator) bring(ctx context.Context) bool {
	o.bringing.Lock()
	defer o.bringing.Unlock()
	base, c := o.revision(), o.config(3)
	body, err := cbor.Marshal(c)
	if err != nil {
		return false
	}
	o.fleet.log.QuotasSent(c.Revision, c.Tenants)
	begun := time.Now()
	for i := range maxCalls {
		if ctx.Err() != nil {
			return false
		}
		if status, _ := o.call(ctx, i, http.MethodPost, replacePath, base, body); status == http.StatusOK {
			o.acknowledge(c.Revision, body, time.Since(begun))
			return true
		}
		backoff.Sleep(ctx, callPause(i))
	}
	o.miss()
	return false
}

// callPause is the pause after so many calls that were not acknowledged.
func callPause(calls int) time.Duration {
	return time.Duration(min(calls+1, 10)) * 20 * time.Millisecond
}

// acknowledge notes a configuration as the one in force.
func (o *operator) acknowledge(revision uint64, body []byte, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.base, o.body, o.acks = revision, body, append(o.acks, took)
	if o.addsRoutes && o.routesAdded.IsZero() && bytes.Contains(body, []byte(addedRoutePrefix)) {
		o.routesAdded = time.Now()
	}
	o.fleet.log.QuotasAcknowledged(revision)
}

// miss notes a change that was not acknowledged.
func (o *operator) miss() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.missed++
}

// racer is one of two changes on top of the same version.
type racer struct {
	revision uint64
	body     []byte
	to       func(call int) *node
	acked    bool
}

// race brings two configurations on top of the same version at the same time, one
// to a machine and one to the others: one of them is acknowledged at most.
func (o *operator) race(ctx context.Context, one *node) {
	o.bringing.Lock()
	defer o.bringing.Unlock()
	base, begun := o.revision(), time.Now()
	racers := [2]racer{
		{to: func(int) *node { return one }},
		{to: func(call int) *node { return o.target(call, base) }},
	}
	var both sync.WaitGroup
	for i := range racers {
		c := o.config(5 + uint64(i))
		c.Routes[0].TimeoutMs += float64(1 + i) // so that the two differ
		body, err := cbor.Marshal(c)
		if err != nil {
			return
		}
		racers[i].revision, racers[i].body = c.Revision, body
		o.fleet.log.QuotasSent(c.Revision, c.Tenants)
	}
	for i := range racers {
		both.Go(func() { o.compete(ctx, base, &racers[i]) })
	}
	both.Wait()
	switch {
	case racers[0].acked && racers[1].acked:
		o.fleet.log.Violation("CONFIG", "two changes on top of version %d are both acknowledged", base)
	case racers[0].acked:
		o.acknowledge(racers[0].revision, racers[0].body, time.Since(begun))
	case racers[1].acked:
		o.acknowledge(racers[1].revision, racers[1].body, time.Since(begun))
	default:
		o.miss()
	}
}

// compete sends a change until it is acknowledged or another was taken before it.
func (o *operator) compete(ctx context.Context, base uint64, r *racer) {
	for i := range maxCalls {
		status, _ := o.callAt(ctx, r.to(i), http.MethodPost, replacePath, base, r.body)
		r.acked = status == http.StatusOK
		if r.acked || status == http.StatusPreconditionFailed || ctx.Err() != nil {
			return
		}
		backoff.Sleep(ctx, callPause(i))
	}
}

// bringInvalid sends configurations that must be rejected.
func (o *operator) bringInvalid(ctx context.Context) {
	o.bringing.Lock()
	defer o.bringing.Unlock()
	for name, spoil := range map[string]func(*api.Config){
		"an unknown service": func(c *api.Config) { c.Routes[0].Upstream = "nowhere" },
		"no time-out":        func(c *api.Config) { c.Routes[0].TimeoutMs = 0 },
		"an old version":     func(c *api.Config) { c.Revision = 1 },
		"two of a place":     func(c *api.Config) { c.Routes = append(c.Routes, c.Routes[0]) },
	} {
		c := o.config(2)
		spoil(c)
		body, err := cbor.Marshal(c)
		if err != nil {
			continue
		}
		if status, _ := o.call(ctx, 1, http.MethodPost, replacePath, o.revision(), body); status == http.StatusOK {
			o.fleet.log.Violation("CONFIG", "a configuration with %s was acknowledged", name)
		}
	}
}

// revoke gives a tenant a new key and then takes the old one away. Its clients use the new one when it must be known
// everywhere, and the old one no more when it is taken away.
func (o *operator) revoke(ctx context.Context, tenant string) {
	o.mu.Lock()
	o.issued++
	next := fmt.Sprintf("key-%s-%d", tenant, o.issued)
	o.keys[tenant] = append(o.keys[tenant], next)
	o.mu.Unlock()
	if !o.bring(ctx) || !backoff.Sleep(ctx, checker.ConfigApplyMs*time.Millisecond) {
		return
	}
	o.mu.Lock()
	old := o.keyInUse[tenant]
	o.keyInUse[tenant] = next
	o.mu.Unlock()
	// What was sent with the old one is over by then.
	if !backoff.Sleep(ctx, max(checker.ConfigApplyMs*time.Millisecond, o.longestDeadline())) {
		return
	}
	o.mu.Lock()
	// Others may have been added meanwhile.
	o.keys[tenant] = slices.DeleteFunc(o.keys[tenant], func(key string) bool { return key == old })
	o.mu.Unlock()
	if o.bring(ctx) {
		o.fleet.log.Revoked(old)
	}
}

// longestDeadline is how long a client waits for an answer at most.
func (o *operator) longestDeadline() time.Duration {
	longest := 0.0
	for i := range o.fleet.spec.Classes {
		longest = max(longest, o.fleet.spec.Classes[i].DeadlineMs)
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// readBack asks for the newest version and compares it with what was acknowledged.
func (o *operator) readBack(ctx context.Context) {
	o.bringing.Lock()
	defer o.bringing.Unlock()
	o.mu.Lock()
	base, want := o.base, o.body
	o.mu.Unlock()
	for i := range maxCalls {
		if ctx.Err() != nil {
			return
		}
		if status, body := o.call(ctx, i, http.MethodGet, "/v1/Config.Get", 0, nil); status == http.StatusOK {
			if !bytes.Equal(body, want) {
				o.fleet.log.Violation("CONFIG", "what is read back is not what was acknowledged as %d", base)
			}
			return
		}
		backoff.Sleep(ctx, 100*time.Millisecond)
	}
	o.fleet.log.Violation("CONFIG", "the configuration can't be read back")
}

// target is the machine that a call goes to: another one each time.
func (o *operator) target(call int, base uint64) *node {
	return o.fleet.nodes[(call*7+int(base))%len(o.fleet.nodes)]
}

func (o *operator) call(ctx context.Context, i int, method, path string, base uint64, body []byte) (int, []byte) {
	return o.callAt(ctx, o.target(i, base), method, path, base, body)
}

// callAt calls a machine and returns the status of its answer, 0 where there was none,
// and the answer.
func (o *operator) callAt(ctx context.Context, n *node, method, path string, base uint64, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Base-Revision", strconv.FormatUint(base, 10))
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := o.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // read whole, or given up
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, got
}

package controlbench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
)

// measure plays one phase after the other.
func (r *run) measure(ctx context.Context) (*Report, error) {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	go r.sample(sampling) // ends with the measurement
	r.first()
	if _, err := r.bring(ctx, 0); err != nil {
		return nil, err
	}
	rep := &Report{Spec: r.spec}
	phase := func(name string, do func(*Phase) error) error {
		p := Phase{Name: name, Leader: r.leader(ctx)}
		before, counts := r.usage(), r.told()
		for _, w := range r.watchers {
			w.longest.Store(0)
		}
		begun := time.Now()
		err := do(&p)
		p.Lasted = time.Since(begun)
		p.News, p.Asks, p.Pieces = r.counts.bytes.Load()-counts.News, r.counts.asks.Load()-counts.Asks, r.counts.pieces.Load()-counts.Pieces
		for i, u := range r.usage() {
			p.Used = append(p.Used, u.since(before[i]))
		}
		var without []time.Duration
		for _, w := range r.watchers {
			without = append(without, max(time.Duration(w.longest.Load()), time.Since(r.counts.begun)-time.Duration(w.leasedAt.Load())))
		}
		slices.Sort(without)
		if len(without) > 0 {
			p.Without = without[len(without)-1]
		}
		rep.Phases = append(rep.Phases, p)
		if err != nil {
			return fmt.Errorf("phase %s: %w", name, err)
		}
		return nil
	}
	phases := []struct {
		name string
		is   bool
		do   func(*Phase) error
	}{
		{"start", true, func(p *Phase) error { return r.all(ctx, p) }},
		{"rest", true, func(*Phase) error { return r.sleep(ctx, r.spec.Rest) }},
		{"changes", true, func(p *Phase) error { return r.changes(ctx, p) }},
		{"release", r.spec.Release > 0, func(*Phase) error { return r.release(ctx) }},
		{"drain", r.spec.Release > 0, func(p *Phase) error { return r.drain(ctx, p) }},
		{"herd", r.spec.Herd, func(p *Phase) error { return r.all(ctx, p) }},
		{"follower", r.spec.Restarts, func(*Phase) error { return r.restart(ctx, (r.leader(ctx)+1)%r.spec.Members) }},
		{"leader", r.spec.Restarts, func(*Phase) error { return r.restart(ctx, r.leader(ctx)) }},
		{"power", r.spec.Restarts, func(p *Phase) error { return r.power(ctx, p) }},
	}
	for _, x := range phases {
		if !x.is {
			continue
		}
		if err := phase(x.name, x.do); err != nil {
			return rep, err
		}
	}
	for _, p := range r.procs {
		rep.PeakMB = append(rep.PeakMB, p.peakMB.Load())
		rep.DiskMB = append(rep.DiskMB, folderMB(p.home))
	}
	rep.Failed, rep.Leases = r.counts.failed.Load(), r.counts.leased.Load()
	return rep, nil
}

// first makes the first configuration.
func (r *run) first() {
	r.config = api.Config{Revision: 1}
	for i := range r.spec.Services {
		r.config.Upstreams = append(r.config.Upstreams, api.Upstream{Name: fmt.Sprint("service-", i), HealthCheck: "/health", MaxConnections: 100, Protocol: "h1"})
	}
	for i := range r.spec.Routes {
		r.config.Routes = append(r.config.Routes, api.Route{Name: fmt.Sprintf("r-%05d", i), Host: fmt.Sprintf("host%d.example", i%200),
			Prefix: fmt.Sprintf("/p%d/%x/", i/200, r.rng.Uint32()), Type: api.Idempotent, TimeoutMs: 1000, TargetMs: 300, Retries: 2,
			TrafficSplit: []api.WeightedUpstream{{Upstream: fmt.Sprint("service-", i%r.spec.Services), Weight: 50}, {Upstream: fmt.Sprint("service-", (i+1)%r.spec.Services), Weight: 50}}})
	}
	for i := range r.spec.Tenants {
		r.config.Tenants = append(r.config.Tenants, api.Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprintf("k%d-%x", i, r.rng.Uint64())}, Rate: 100, Burst: 100})
	}
}

// changes brings one other weight a second.
func (r *run) changes(ctx context.Context, p *Phase) error {
	for range r.spec.Changes {
		if err := r.change(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// change brings one other weight, and waits until all have it.
func (r *run) change(ctx context.Context, p *Phase) error {
	begun := time.Now()
	if r.spec.Whole {
		for _, w := range r.watchers {
			w.forget.Store(true)
		}
	}
	base := r.config.Revision
	r.config.Revision++
	s := r.config.Routes[r.rng.IntN(len(r.config.Routes))].TrafficSplit
	s[0].Weight++
	sent := time.Now()
	at, err := r.bring(ctx, base)
	if err != nil {
		return err
	}
	p.Acknowledged = append(p.Acknowledged, at.Sub(sent))
	if err := r.await(ctx, at, config, p); err != nil {
		return err
	}
	return r.sleep(ctx, changeGap-time.Since(begun))
}

// release has servers replaced.
func (r *run) release(ctx context.Context) error {
	for range r.spec.Changes {
		r.platform.replace(r.spec.Release)
		if err := r.sleep(ctx, changeGap); err != nil {
			return err
		}
	}
	return nil
}

// drain has servers replaced once, in quiet, and waits for the last watcher's next list.
func (r *run) drain(ctx context.Context, p *Phase) error {
	if err := r.sleep(ctx, drainsFor+2*changeGap); err != nil { // what the release left has gone
		return err
	}
	for len(r.news) > 0 { // lists before this one
		<-r.news
	}
	at := time.Now()
	r.platform.replace(r.spec.Release)
	return r.await(ctx, at, list, p)
}

// all has all watchers start at once, with nothing, and waits for the last to serve.
func (r *run) all(ctx context.Context, p *Phase) error {
	r.stopWatchers()
	at := time.Now()
	for i := range r.spec.Limiters {
		if err := r.watch(ctx, i); err != nil {
			return err
		}
	}
	return r.await(ctx, at, serves, p)
}

func (r *run) stopWatchers() {
	for _, w := range r.watchers {
		w.cancel()
	}
	for _, w := range r.watchers {
		w.stop()
	}
	r.watchers = nil
	r.news = make(chan taken, 4*r.spec.Limiters)
}

// downFor is how long a killed member is away.
const downFor = time.Second

// restart kills a member and starts it again, and waits until watchers that were
// sent elsewhere have had time to come back.
func (r *run) restart(ctx context.Context, i int) error {
	r.procs[i].kill()
	if err := r.sleep(ctx, downFor); err != nil {
		return err
	}
	peak := r.procs[i].peakMB.Load()
	p, err := r.start1(i)
	if err != nil {
		return err
	}
	p.peakMB.Store(peak)
	r.mu.Lock()
	r.procs[i] = p
	r.mu.Unlock()
	return r.sleep(ctx, 5*time.Second)
}

// power ends all, watchers too, and starts all at once.
func (r *run) power(ctx context.Context, p *Phase) error {
	r.stopWatchers()
	for _, p := range r.procs {
		p.kill()
	}
	for i := range r.procs {
		peak := r.procs[i].peakMB.Load()
		x, err := r.start1(i)
		if err != nil {
			return err
		}
		x.peakMB.Store(peak)
		r.mu.Lock()
		r.procs[i] = x
		r.mu.Unlock()
	}
	return r.all(ctx, p)
}

// await waits until every watcher has taken the configuration, serves, or has had a newer
// list since then.
func (r *run) await(ctx context.Context, since time.Time, of what, p *Phase) error {
	var after []time.Duration
	had := map[*watcher]bool{}
	t := time.NewTimer(takesIn)
	defer t.Stop()
	for len(after) < len(r.watchers) {
		select {
		case n := <-r.news:
			if n.revision == r.config.Revision && n.what == of && !had[n.by] && (of != list || !n.at.Before(since)) {
				had[n.by] = true
				after = append(after, max(0, n.at.Sub(since)))
			}
		case <-t.C:
			return fmt.Errorf("controlbench: %d of %d watchers have what was told at revision %d after %v", len(after), len(r.watchers), r.config.Revision, takesIn)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	slices.Sort(after)
	p.Takeover, p.Typical = append(p.Takeover, after[len(after)-1]), append(p.Typical, after[len(after)/2])
	return nil
}

func (r *run) watch(ctx context.Context, i int) error {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{cancel: cancel, done: make(chan struct{}), news: r.news, counts: &r.counts, perByte: time.Duration(8000 / r.spec.LinkMbps)}
	w.leasedAt.Store(int64(time.Since(r.counts.begun)))
	for k := range r.spec.Members {
		c, err := api.Dial(r.addr((i+k)%r.spec.Members, 0), nil)
		if err != nil {
			cancel()
			return fmt.Errorf("controlbench: %w", err)
		}
		w.conns = append(w.conns, c)
	}
	r.watchers = append(r.watchers, w)
	go w.run(ctx)
	return nil
}

func (r *run) told() Phase {
	return Phase{News: r.counts.bytes.Load(), Asks: r.counts.asks.Load(), Pieces: r.counts.pieces.Load()}
}

// leader is the index of the member that says that it leads; 0 where none does.
func (r *run) leader(ctx context.Context) int {
	for i := range r.spec.Members {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr(i, 4)+"/v1/Status", nil)
		if err != nil {
			continue
		}
		resp, err := r.control.Do(req)
		if err != nil {
			continue
		}
		var s struct{ Core *controlplane.CoreStatus }
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && s.Core != nil && s.Core.Role == raft.Leader.String() {
			return i
		}
	}
	return 0
}

func (r *run) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}

package coreload

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/api"
)

// Phase is one part of a measurement.
type Phase struct {
	Name     string
	Lasted   time.Duration
	CPU      []time.Duration // of each process
	News     int64           // bytes told to all watchers
	Takeover []time.Duration // from each acknowledgement to the last watcher; empty where none was brought
	Typical  []time.Duration // ... and to the watcher in the middle
}

// Report is what was measured.
type Report struct {
	Spec   Spec
	Phases []Phase
	PeakMB []float64 // of each process, without the pages of the program's file
	Failed int64     // asks that were not answered with a lease
	Leases int64
}

// Write writes the report for a person.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d limiters, %d routes, %d servers, links of %g Mbit/s\n", r.Spec.Limiters, r.Spec.Routes, r.Spec.Servers, r.Spec.LinkMbps)
	fmt.Fprintf(w, "%-10s %8s %22s %14s %22s\n", "phase", "seconds", "cores, each process", "KB a limiter", "taken over, ms: mid last")
	for _, p := range r.Phases {
		var cores, over []string
		for _, c := range p.CPU {
			cores = append(cores, fmt.Sprintf("%.3f", c.Seconds()/p.Lasted.Seconds()))
		}
		for i := range p.Takeover {
			over = append(over, fmt.Sprintf("%d/%d", p.Typical[i].Milliseconds(), p.Takeover[i].Milliseconds()))
		}
		fmt.Fprintf(w, "%-10s %8.1f %22s %14.1f %s\n", p.Name, p.Lasted.Seconds(), strings.Join(cores, " "),
			float64(p.News)/1000/float64(r.Spec.Limiters), strings.Join(over, " "))
	}
	var peaks []string
	for _, m := range r.PeakMB {
		peaks = append(peaks, fmt.Sprintf("%.1f", m))
	}
	fmt.Fprintf(w, "peak memory of each process, MB: %s\nleases granted %d, asks that failed %d\n", strings.Join(peaks, " "), r.Leases, r.Failed)
}

// Last is the longest time from an acknowledgement to the last watcher's having it.
func (r *Report) Last() (d time.Duration) {
	for _, p := range r.Phases {
		for _, t := range p.Takeover {
			d = max(d, t)
		}
	}
	return d
}

func (r *run) measure(ctx context.Context) (*Report, error) {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	go r.sample(sampling) // ends with the measurement
	r.first()
	if _, err := r.bring(ctx, 0); err != nil {
		return nil, err
	}
	news := make(chan taken, 4*r.spec.Limiters)
	for i := range r.spec.Limiters {
		if err := r.watch(ctx, i, news); err != nil {
			return nil, err
		}
	}
	rep := &Report{Spec: r.spec}
	phase := func(name string, do func(*Phase) error) error {
		p := Phase{Name: name}
		before, told, begun := r.cpu(), r.told(), time.Now()
		err := do(&p)
		p.Lasted, p.News = time.Since(begun), r.told()-told
		for i, c := range r.cpu() {
			p.CPU = append(p.CPU, c-before[i])
		}
		rep.Phases = append(rep.Phases, p)
		return err
	}
	err := phase("start", func(p *Phase) error { return r.await(ctx, news, time.Now(), p) })
	if err == nil {
		err = phase("rest", func(*Phase) error { return r.sleep(ctx, r.spec.Rest) })
	}
	if err == nil {
		err = phase("changes", func(p *Phase) error {
			for range r.spec.Changes {
				if err := r.change(ctx, news, p); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err == nil && r.spec.Release > 0 {
		err = phase("release", func(*Phase) error {
			for range r.spec.Changes {
				r.platform.replace(r.spec.Release)
				if err := r.sleep(ctx, changeGap); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err != nil {
		return nil, err
	}
	for _, p := range r.procs {
		rep.PeakMB = append(rep.PeakMB, p.peakMB.Load())
	}
	for _, w := range r.watchers {
		rep.Failed += w.failed.Load()
		rep.Leases += w.leased.Load()
	}
	return rep, nil
}

// first makes the first configuration.
func (r *run) first() {
	r.config = api.Config{Revision: 1}
	for i := range services {
		r.config.Upstreams = append(r.config.Upstreams, api.Upstream{Name: fmt.Sprint("service-", i), HealthCheck: "/health", MaxConnections: 100, Protocol: "h1"})
	}
	for i := range r.spec.Routes {
		r.config.Routes = append(r.config.Routes, api.Route{Name: fmt.Sprintf("r-%05d", i), Host: fmt.Sprintf("host%d.example", i%200),
			Prefix: fmt.Sprintf("/p%d/%x/", i/200, r.rng.Uint32()), Type: api.Idempotent, TimeoutMs: 1000, TargetMs: 300, Retries: 2,
			Split: []api.Split{{Upstream: "service-0", Weight: 50}, {Upstream: "service-1", Weight: 50}}})
	}
	for i := range 100 {
		r.config.Tenants = append(r.config.Tenants, api.Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprintf("k%d-%x", i, r.rng.Uint64())}, Rate: 100, Burst: 100})
	}
}

// change brings one other weight, and waits until all have it.
func (r *run) change(ctx context.Context, news <-chan taken, p *Phase) error {
	begun := time.Now()
	if r.spec.Whole {
		for _, w := range r.watchers {
			w.forget.Store(true)
		}
	}
	base := r.config.Revision
	r.config.Revision++
	s := r.config.Routes[r.rng.IntN(len(r.config.Routes))].Split
	s[0].Weight++
	at, err := r.bring(ctx, base)
	if err != nil {
		return err
	}
	if err := r.await(ctx, news, at, p); err != nil {
		return err
	}
	return r.sleep(ctx, changeGap-time.Since(begun))
}

// await waits until every watcher has the configuration.
func (r *run) await(ctx context.Context, news <-chan taken, acknowledged time.Time, p *Phase) error {
	var after []time.Duration
	t := time.NewTimer(takesIn)
	defer t.Stop()
	for len(after) < len(r.watchers) {
		select {
		case n := <-news:
			if n.revision == r.config.Revision {
				after = append(after, max(0, n.at.Sub(acknowledged)))
			}
		case <-t.C:
			return fmt.Errorf("coreload: %d of %d watchers have revision %d after %v", len(after), len(r.watchers), r.config.Revision, takesIn)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	slices.Sort(after)
	p.Takeover, p.Typical = append(p.Takeover, after[len(after)-1]), append(p.Typical, after[len(after)/2])
	return nil
}

func (r *run) watch(ctx context.Context, i int, news chan<- taken) error {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{cancel: cancel, done: make(chan struct{}), news: news, perByte: time.Duration(8000 / r.spec.LinkMbps)}
	for k := range members {
		c, err := api.Dial(r.addr((i+k)%members, 0), nil)
		if err != nil {
			cancel()
			return fmt.Errorf("coreload: %w", err)
		}
		w.conns = append(w.conns, c)
	}
	r.watchers = append(r.watchers, w)
	go w.run(ctx)
	return nil
}

func (r *run) told() (n int64) {
	for _, w := range r.watchers {
		n += w.bytes.Load()
	}
	return n
}

func (r *run) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}

// tick is what /proc counts processor time in (sysconf(_SC_CLK_TCK) is 100 on Linux).
const tick = 10 * time.Millisecond

// cpu is the processor time that each process has had.
func (r *run) cpu() (out []time.Duration) {
	for _, p := range r.procs {
		var d time.Duration
		if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid)); err == nil {
			// Fields 14 and 15, counted behind the name in brackets (proc(5)).
			if f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:])); len(f) > 12 {
				for _, v := range f[11:13] {
					if n, err := strconv.ParseInt(v, 10, 64); err == nil {
						d += time.Duration(n) * tick
					}
				}
			}
		}
		out = append(out, d)
	}
	return out
}

// sampleEvery is how often memory is looked at: the kernel keeps no peak of it.
const sampleEvery = 10 * time.Millisecond

// sample keeps the peaks of the processes' own memory until the context ends.
func (r *run) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range r.procs {
			if mb := ownMB(p.pid); mb > p.peakMB.Load() {
				p.peakMB.Store(mb)
			}
		}
	}
}

// ownMB is the memory that a process has for itself: pages of the program's file,
// which all processes of a machine share, are left out. 0 where that can't be had.
func ownMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 && err == nil {
			return kb / 1000
		}
	}
	return 0
}

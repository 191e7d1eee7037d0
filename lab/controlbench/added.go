package controlbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/elmspan/api"
)

// AddedSpec says at what size to measure what a gateway adds to a request. Its fields are flags of
// elmspan-lab added.
type AddedSpec struct {
	Routes  int     `help:"Routes of the configuration." default:"16000"`
	Tenants int     `help:"Tenants of the configuration." default:"14000"`
	Servers int     `help:"Servers on the platform's list." default:"9700"`
	PerS    float64 `help:"Requests a second, half of them through the gateway, half straight." default:"516"`
	Seconds float64 `help:"How long." default:"20"`
	Bytes   int     `help:"Bytes of an answer's body." default:"400"`
	Seed    uint64  `default:"1"`
}

// Quantiles are times at the 50th, the 99th and the 99.9th percentile, in ms.
type Quantiles [3]float64

var percentiles = Quantiles{50, 99, 99.9}

// AddedReport is what was measured: times from the first byte of a request that is written to the
// last of its response that is read.
type AddedReport struct {
	Spec           AddedSpec
	Through        Quantiles // requests through the gateway
	Straight       Quantiles // requests that go to a server
	Asked, Refused int       // through the gateway
	CPUMs          float64   // of the gateway's process, for each request through it
	// WaitedMs is how long the gateway's threads waited for a processor, for each request:
	// what a busy machine has in the times above.
	WaitedMs float64
	OwnMB    float64
}

// Write writes the report as text.
func (r *AddedReport) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d routes, %d tenants, %d servers, %g requests a second, half through one gateway\n"+
		"ms, p50 p99 p99.9: through %.3f, straight %.3f, added %.3f %.3f %.3f\n"+
		"%d through, of which %d did not end with 200; processor %.3f ms a request (control included), "+
		"%.3f waited for one, %.1f MB of its own\n",
		r.Spec.Routes, r.Spec.Tenants, r.Spec.Servers, r.Spec.PerS,
		r.Through, r.Straight, r.Through[0]-r.Straight[0], r.Through[1]-r.Straight[1], r.Through[2]-r.Straight[2],
		r.Asked, r.Refused, r.CPUMs, r.WaitedMs, r.OwnMB)
	return err
}

const (
	addedServers     = 8
	addedSlots       = 64 // requests at a time, of each server
	addedHost        = "added.example"
	addedKey         = "added-key"
	addedService     = "stand-in"
	addedConnections = 16 // to each of the two
	addedServices    = 170
	addedMembers     = 3
	addedCallsPerS   = 200
	addedLinkMbps    = 1000
	unlimited        = 1e6 // requests a second of the quota
	addedTimeout     = time.Second

	// The histograms take times up to a minute, in microseconds.
	maxMicros          = 60_000_000
	significantFigures = 3
	microsPerMs        = 1000
)

func (s *AddedSpec) check() error {
	if !(s.PerS > 0) || !(s.Seconds > 0) || s.Bytes < 0 {
		return errors.New("--per-s and --seconds above 0, --bytes from 0 on")
	}
	return nil
}

// controlSpec is the control plane that the gateway belongs to.
func (s *AddedSpec) controlSpec() Spec {
	return Spec{
		Limiters: 1,
		Routes:   s.Routes,
		Servers:  s.Servers,
		Tenants:  s.Tenants,
		Services: addedServices,
		Members:  addedMembers,
		Calls:    addedCallsPerS,
		Changes:  1,
		LinkMbps: addedLinkMbps,
		Seed:     s.Seed,
	}
}

// Added measures what one real gateway process adds to requests on loopback, in front of servers
// that respond at once.
func Added(ctx context.Context, spec AddedSpec, program []string, dir string) (report *AddedReport, err error) {
	control := spec.controlSpec()
	if err := errors.Join(spec.check(), control.check()); err != nil {
		return nil, err
	}
	b := newBench(control, program, dir)
	defer func() { err = errors.Join(err, b.close()) }()
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	servers, closeServers, err := startInstantServers(spec.Bytes)
	defer func() { err = errors.Join(err, closeServers()) }()
	if err != nil {
		return nil, err
	}
	b.platform.add(servers)
	b.buildConfig()
	b.addMeasuredRoute()
	if _, err := b.replaceConfig(ctx, 0); err != nil {
		return nil, err
	}
	follower := (b.leader(ctx) + 1) % control.Members
	front := b.addr(follower, frontPort)
	if err := awaitServing(ctx, front); err != nil {
		return nil, err
	}
	before := b.usage()[follower]
	report = compare(ctx, spec, overTCP(front), overTCP(servers[0].Addr))
	report.setUsage(b.usage()[follower].since(before))
	return report, ctx.Err()
}

// addMeasuredRoute adds the route, the service and the tenant of the requests that are measured.
func (b *bench) addMeasuredRoute() {
	b.config.Upstreams = append(b.config.Upstreams, upstream(addedService))
	b.config.Routes = append(b.config.Routes, api.Route{
		Name:        "added",
		Host:        addedHost,
		Prefix:      "/",
		Type:        api.Idempotent,
		TimeoutMs:   1000,
		TargetMs:    300,
		MaxAttempts: 2,
		Upstream:    addedService,
	})
	b.config.Tenants = append(b.config.Tenants, api.Tenant{
		Name:  "added",
		Keys:  []string{addedKey},
		Rate:  unlimited,
		Burst: unlimited,
	})
}

// setUsage notes what the gateway used for its requests.
func (r *AddedReport) setUsage(u Usage) {
	requests := float64(max(1, r.Asked))
	r.CPUMs = u.CPU.Seconds() * 1000 / requests
	r.WaitedMs = u.Waited.Seconds() * 1000 / requests
	r.OwnMB = u.OwnMB
}

// dialer connects to one address.
type dialer func() (net.Conn, error)

func overTCP(addr string) dialer {
	return func() (net.Conn, error) { return net.DialTimeout("tcp", addr, addedTimeout) }
}

// comparison is a measurement of a gateway and a server side by side.
type comparison struct {
	spec AddedSpec

	mu             sync.Mutex // guards all that follows
	asked, refused int        // of the gateway
	through        *hdrhistogram.Histogram
	straight       *hdrhistogram.Histogram
}

// compare sends requests to a gateway and to a server at the same time, and returns how long each took.
func compare(ctx context.Context, spec AddedSpec, gateway, server dialer) *AddedReport {
	c := &comparison{
		spec:     spec,
		through:  hdrhistogram.New(1, maxMicros, significantFigures),
		straight: hdrhistogram.New(1, maxMicros, significantFigures),
	}
	var tasks sync.WaitGroup
	for i := range addedConnections {
		tasks.Go(func() { c.sendRequests(ctx, &addedClient{dial: gateway, id: uint64(i) << 24}, i) })
		tasks.Go(func() {
			client := &addedClient{dial: server, id: 1<<40 | uint64(i)<<24, straight: true}
			c.sendRequests(ctx, client, addedConnections+i)
		})
	}
	tasks.Wait()
	report := &AddedReport{Spec: spec, Asked: c.asked, Refused: c.refused}
	for i, percentile := range percentiles {
		report.Through[i] = float64(c.through.ValueAtQuantile(percentile)) / microsPerMs
		report.Straight[i] = float64(c.straight.ValueAtQuantile(percentile)) / microsPerMs
	}
	return report
}

// sendRequests sends requests on one connection, at random times, until the measurement ends. A
// request that takes long puts off the next.
func (c *comparison) sendRequests(ctx context.Context, client *addedClient, stream int) {
	defer client.close()
	rng := rand.New(rand.NewPCG(c.spec.Seed, uint64(2+stream)))
	meanPause := 2 * addedConnections / c.spec.PerS * float64(time.Second)
	end := time.Now().Add(time.Duration(c.spec.Seconds * float64(time.Second)))
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(meanPause * rng.ExpFloat64())) {
		if sleep(ctx, time.Until(next)) != nil {
			return
		}
		begun := time.Now()
		status, err := client.send()
		c.record(client.straight, time.Since(begun), err == nil && status == http.StatusOK)
	}
}

// record notes a request that has ended.
func (c *comparison) record(straight bool, took time.Duration, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	histogram := c.straight
	if !straight {
		histogram = c.through
		c.asked++
		if !served {
			c.refused++
		}
	}
	_ = histogram.RecordValue(took.Microseconds()) // within its range: requests end after addedTimeout
}

// awaitServing waits until a gateway serves.
func awaitServing(ctx context.Context, front string) error {
	client := &addedClient{dial: overTCP(front), id: 1 << 60}
	defer client.close()
	last := errors.New("not asked")
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		status, err := client.send()
		if err == nil && status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d", status)
		}
		_ = sleep(ctx, retryPause) // the loop looks at the context
	}
	return fmt.Errorf("controlbench: the gateway does not serve: %w", last)
}

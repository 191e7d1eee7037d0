package controlbench

import (
	"bufio"
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
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/lab/checker"
)

// AddedSpec says at what size to measure what a gateway adds to a request.
type AddedSpec struct {
	Routes  int     `help:"Routes of the configuration." default:"16000"`
	Tenants int     `help:"Tenants of the configuration." default:"14000"`
	Servers int     `help:"Servers on the platform's list." default:"9700"`
	PerS    float64 `help:"Requests a second, half of them through the gateway and half straight to the servers." default:"516"`
	Seconds float64 `help:"How long." default:"20"`
	Bytes   int     `help:"Bytes of an answer's body." default:"400"`
	Seed    uint64  `default:"1"`
}

// AddedReport is what was measured: times in ms from the first byte of a request that is
// written to the last of its answer that is read.
type AddedReport struct {
	Spec           AddedSpec
	Through        [3]float64 // p50, p99, p99.9
	Straight       [3]float64
	Asked, Refused int
	CPUMs          float64 // of the gateway's process, for each request through it
	// WaitedMs is how long the gateway's threads waited for a processor, for each request:
	// what a busy machine has in the times above.
	WaitedMs float64
	OwnMB    float64
}

// Write writes the report for a person.
func (r *AddedReport) Write(w io.Writer) {
	fmt.Fprintf(w, "%d routes, %d tenants, %d servers, %g requests a second, half through one gateway\n", r.Spec.Routes, r.Spec.Tenants, r.Spec.Servers, r.Spec.PerS)
	fmt.Fprintf(w, "ms, p50 p99 p99.9: through %.3f, straight %.3f, added %.3f %.3f %.3f\n", r.Through, r.Straight,
		r.Through[0]-r.Straight[0], r.Through[1]-r.Straight[1], r.Through[2]-r.Straight[2])
	fmt.Fprintf(w, "%d through, of which %d did not end with 200; processor %.3f ms a request (control included), %.3f waited for one, %.1f MB of its own\n", r.Asked, r.Refused, r.CPUMs, r.WaitedMs, r.OwnMB)
}

const (
	standIns    = 8
	standInSlot = 64 // requests at a time
	addedHost   = "added.example"
	addedKey    = "added-key"
	addedConns  = 16 // connections to each of the two
	quotaOfAll  = 1e6
)

// Added measures what one real gateway process adds to requests on loopback, before
// servers that answer at once.
func Added(ctx context.Context, spec AddedSpec, program []string, dir string) (*AddedReport, error) {
	if !(spec.PerS > 0) || !(spec.Seconds > 0) || spec.Bytes < 0 {
		return nil, errors.New("--per-s and --seconds above 0, --bytes from 0 on")
	}
	s := Spec{Limiters: 1, Routes: spec.Routes, Servers: spec.Servers, Tenants: spec.Tenants, Services: 170, Members: 3, Calls: 200, Changes: 1, LinkMbps: 1000, Seed: spec.Seed}
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &run{spec: s, rng: rand.New(rand.NewPCG(spec.Seed, 1)), counts: counts{begun: time.Now()}, control: http.Client{Timeout: 5 * time.Second}}
	defer r.end()
	if err := r.start(ctx, program, dir); err != nil {
		return nil, err
	}
	var servers []api.Server
	for i := range standIns {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("controlbench: %w", err)
		}
		defer l.Close()
		m := api.Server{ID: fmt.Sprint("stand-in-", i), Upstream: "stand-in", Addr: l.Addr().String(), Zone: "z", Revision: "v1", Capacity: standInSlot, State: api.InService}
		go serveAtOnce(l, m.ID, spec.Bytes) // ends with the listener
		servers = append(servers, m)
	}
	r.platform.add(servers)
	r.first()
	r.config.Upstreams = append(r.config.Upstreams, api.Upstream{Name: "stand-in", HealthCheck: "/health", MaxConnections: 100, Protocol: "h1"})
	r.config.Routes = append(r.config.Routes, api.Route{Name: "added", Host: addedHost, Prefix: "/", Type: api.Idempotent, TimeoutMs: 1000, TargetMs: 300, Retries: 2, Upstream: "stand-in"})
	r.config.Tenants = append(r.config.Tenants, api.Tenant{Name: "added", Keys: []string{addedKey}, Rate: quotaOfAll, Burst: quotaOfAll})
	if _, err := r.bring(ctx, 0); err != nil {
		return nil, err
	}
	at := (r.leader(ctx) + 1) % s.Members // a limiter that does not lead
	if err := r.serves(ctx, r.addr(at, 2)); err != nil {
		return nil, err
	}
	before := r.usage()[at]
	rep := r.compare(ctx, spec, overTCP(r.addr(at, 2)), overTCP(servers[0].Addr))
	u := r.usage()[at].since(before)
	rep.WaitedMs = u.Waited.Seconds() * 1000 / float64(max(1, rep.Asked))
	rep.CPUMs, rep.OwnMB = u.CPU.Seconds()*1000/float64(max(1, rep.Asked)), u.OwnMB
	return rep, ctx.Err()
}

// dialer connects to one address.
type dialer func() (net.Conn, error)

func overTCP(addr string) dialer {
	return func() (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) }
}

// compare asks a gateway and a server at once, and tells how long each took.
func (r *run) compare(ctx context.Context, spec AddedSpec, gateway, server dialer) *AddedReport {
	rep := &AddedReport{Spec: spec}
	through, straight := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	fronts := []struct {
		to dialer
		h  *hdrhistogram.Histogram
	}{{gateway, through}, {server, straight}}
	for k, f := range fronts {
		for i := range addedConns {
			rng := rand.New(rand.NewPCG(spec.Seed, uint64(2+k*addedConns+i)))
			tasks.Go(func() {
				c := &asker{to: f.to, id: uint64(k)<<40 | uint64(i)<<24}
				defer c.close()
				gap := 2 * addedConns / spec.PerS
				end := time.Now().Add(time.Duration(spec.Seconds * float64(time.Second)))
				for next := time.Now(); next.Before(end) && ctx.Err() == nil; next = next.Add(time.Duration(gap * rng.ExpFloat64() * float64(time.Second))) {
					if r.sleep(ctx, time.Until(next)) != nil {
						return
					}
					begun := time.Now()
					status, err := c.ask(k == 1)
					took := time.Since(begun)
					mu.Lock()
					if k == 0 {
						rep.Asked++
						if err != nil || status != http.StatusOK {
							rep.Refused++
						}
					}
					f.h.RecordValue(took.Microseconds()) // within the histogram's minute, as the deadline is a second
					mu.Unlock()
				}
			})
		}
	}
	tasks.Wait()
	for i, q := range []float64{50, 99, 99.9} {
		rep.Through[i], rep.Straight[i] = float64(through.ValueAtQuantile(q))/1000, float64(straight.ValueAtQuantile(q))/1000
	}
	return rep
}

// serves waits until a gateway answers.
func (r *run) serves(ctx context.Context, front string) error {
	c := &asker{to: overTCP(front), id: 1 << 60}
	defer c.close()
	var last error
	for end := time.Now().Add(startsIn); time.Now().Before(end) && ctx.Err() == nil; r.sleep(ctx, lead) {
		status, err := c.ask(false)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d", status)
		}
	}
	return fmt.Errorf("controlbench: the gateway does not serve: %w", last)
}

// serveAtOnce answers each request at once, as a server of the system does.
func serveAtOnce(l net.Listener, id string, n int) {
	body := make([]byte, n)
	for i := range body {
		body[i] = 'x'
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				c.SetReadDeadline(time.Now().Add(time.Minute))
				h, _, err := h1.ReadWhole(in, 16<<10)
				if err != nil {
					return
				}
				try := h.Get("Attempt-Id")
				if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nMember-Id: %s\r\nServer-Seal: %s\r\nKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n%s",
					try, id, checker.Seal(id, try, body), n, body); err != nil {
					return
				}
			}
		}()
	}
}

// asker asks on one connection, and on a new one where that ended.
type asker struct {
	to   dialer
	id   uint64
	conn net.Conn
	in   *bufio.Reader
}

func (c *asker) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends one request and reads its answer. A straight one names its server.
func (c *asker) ask(straight bool) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = c.to(); err != nil {
			c.conn = nil
			return 0, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	c.id++
	c.conn.SetDeadline(time.Now().Add(time.Second))
	member := ""
	if straight {
		member = "Target-Member: stand-in-0\r\n"
	}
	if _, err = fmt.Fprintf(c.conn, "GET /x/%x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nTime-Budget-Ms: 1000\r\nAuthorization: Token %s\r\n%sContent-Length: 0\r\n\r\n",
		c.id, addedHost, c.id, addedKey, member); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, err
}

package dataplane

import (
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/versioned"
)

// Numbers that a valid configuration may hold, from those that switch a limit off to the largest of their type.
var (
	extremeInts   = []int64{math.MinInt64, -1, 0, 1 << 20, 35_184_372_088_832, math.MaxInt64 - 1, math.MaxInt64}
	extremeTimes  = []float64{1e4, 1e12, 1e13, 9.3e15, 1e300, math.MaxFloat64, math.Inf(1)} // ms
	extremeFloats = append([]float64{math.NaN(), math.Inf(-1), -1, 0, math.SmallestNonzeroFloat64}, extremeTimes...)
	extremeRates  = []float64{0, 1e3, 1e9, 1e13, 1e300, math.MaxFloat64, math.Inf(1)}
)

// extremeConfig draws a configuration of such numbers, under which every request is to be served.
func extremeConfig(rng *rand.Rand) *api.Config {
	float := func(of []float64) float64 { return of[rng.IntN(len(of))] }
	integer := func() int64 { return extremeInts[rng.IntN(len(extremeInts))] }
	c := testConfig(1000, api.RequestLimits{
		MaxHeaderBytes: integer(), MaxBodyBytes: integer(),
		HeaderTimeoutMs: max(1e3, float(extremeTimes)), IdleTimeoutMs: float(extremeTimes),
	})
	c.Revision = 2
	if rng.IntN(2) == 0 {
		c.Limits.HeaderTimeoutMs, c.Limits.IdleTimeoutMs = -1, math.NaN()
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.TimeoutMs, r.TargetMs = float(extremeTimes), float(extremeFloats)
		r.MaxAttempts, r.Priority = int(max(0, integer())), int(integer())
		if rng.IntN(2) == 0 {
			weight := float(extremeTimes)
			r.TrafficSplit = []api.WeightedUpstream{{Upstream: "s", Weight: weight}, {Upstream: "s", Weight: weight}}
		}
	}
	c.Upstreams[0].MaxConnections = int(integer())
	for i := range c.Tenants {
		t := &c.Tenants[i]
		t.Rate, t.Burst, t.Priority = float(extremeRates), float(extremeTimes), int(integer())
	}
	return c
}

// A retry_count that no memory holds ended every process at the next request on its route (docs/incidents/0027). No
// number of a valid configuration ends a process, or has a request refused that the configuration allows: drawn by
// seeds, with servers that answer, reject and break off.
func FuzzExtremeConfigServesRequests(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := extremeConfig(rand.New(rand.NewPCG(seed, 2)))
		if err := c.Validate(); err != nil {
			t.Fatalf("seed %d: the configuration is not valid: %v", seed, err)
		}
		inFakeTime(t, func(t testing.TB) { serveUnder(t, seed, c) })
	})
}

// serveUnder applies a configuration and sends requests of each kind.
func serveUnder(t testing.TB, seed uint64, c *api.Config) {
	rejecting := newBackend(t, respondStatus("503 x\r\nNot-Executed: full"))
	serving := newBackend(t, respondOK("yes"))
	g := newGateway(t, rejecting, serving, serving)
	applyConfig(t, g, &versioned.Table{}, c)
	time.Sleep(20 * time.Millisecond) // the bucket of a tenant whose limit is new starts empty
	begun := time.Now()
	for _, line := range []string{"GET /get/", "POST /once/", "GET /open/", "GET /bulk/", "GET /get/"} {
		conn := dial(t, g)
		conn.send(line, "Content-Length: 4\r\n", "body")
		h, got, err := conn.readResponse()
		oneAttempt := err == nil && h.Status == 503 // with one attempt, the rejecting server may be the only one
		if err != nil || got != "yes" && !oneAttempt {
			t.Errorf("seed %d: %s: %+v %q, %v", seed, line, h, got, err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("seed %d: served after %v", seed, took)
	}
}

// The highest retry_count ended the process at the next request on its route (docs/incidents/0027). However high it is,
// a request is sent to each server once at most.
func TestRouteWithTheHighestRetryCountIsServed(t *testing.T) {
	t.Parallel()
	for _, retries := range []int{0, 1, 1_000_000, 35_184_372_088_832, math.MaxInt64} {
		inFakeTime(t, func(t testing.TB) {
			refusing := newBackend(t, respondStatus("503 x\r\nNot-Executed: full"))
			g := newGateway(t, refusing, refusing, refusing)
			c := testConfig(3000, api.RequestLimits{})
			c.Revision = 2
			for i := range c.Routes {
				c.Routes[i].MaxAttempts = retries
			}
			applyConfig(t, g, &versioned.Table{}, c)
			conn := dial(t, g)
			conn.send("GET /get/", "", "")
			conn.expect(503, "")
			if n := refusing.requests.Load(); n > 3 {
				t.Errorf("retry_count %d: the request was sent %d times to 3 servers", retries, n)
			}
		})
	}
}

// A split of weights whose sum is too large for a number keeps its proportions.
func TestHugeWeightsKeepTheirProportions(t *testing.T) {
	t.Parallel()
	inf := math.Inf(1)
	for _, c := range []struct{ weights, want [2]float64 }{
		{[2]float64{1.5e308, 0.5e308}, [2]float64{0.75, 0.25}},
		{[2]float64{math.MaxFloat64, math.MaxFloat64}, [2]float64{0.5, 0.5}},
		{[2]float64{inf, inf}, [2]float64{0.5, 0.5}},
		{[2]float64{1, inf}, [2]float64{0, 1}},
	} {
		r := newRoute(&api.Route{TrafficSplit: []api.WeightedUpstream{
			{Upstream: "a", Weight: c.weights[0]}, {Upstream: "b", Weight: c.weights[1]},
		}})
		const draws = 1000
		got := map[string]float64{}
		for i := range draws {
			got[r.pickService(float64(i)/draws)] += 1.0 / draws
		}
		if math.Abs(got["a"]-c.want[0]) > 0.01 || math.Abs(got["b"]-c.want[1]) > 0.01 {
			t.Errorf("%v: %v, want %v", c.weights, got, c.want)
		}
	}
}

// Durations out of range are the longest ones, and not in the past.
func TestDurationsAreSaturated(t *testing.T) {
	t.Parallel()
	const longest = time.Duration(math.MaxInt64)
	for ms, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Microsecond, -2: -2 * time.Millisecond,
		1e18: longest, math.Inf(1): longest, math.Inf(-1): -longest,
	} {
		if got := millis(ms); (got - want).Abs() > time.Second {
			t.Errorf("%v ms: %v, want %v", ms, got, want)
		}
	}
	if got := millis(math.NaN()); got != 0 {
		t.Errorf("NaN: %v", got)
	}
	for _, ms := range extremeTimes {
		if got := configDuration(ms); got <= 0 || got > maxConfigDuration {
			t.Errorf("%v ms: %v", ms, got)
		}
	}
}

// A request head is read into memory: the limit on it is bounded whatever the configuration says.
func TestRequestHeadIsBoundedWhateverIsConfigured(t *testing.T) {
	t.Parallel()
	for configured, want := range map[int64]int{
		0: defaultMaxHead, -1: defaultMaxHead, math.MinInt64: defaultMaxHead, 2000: 2000, math.MaxInt64: maxMaxHead,
	} {
		var s snapshot
		s.setLimits(&api.RequestLimits{MaxHeaderBytes: configured})
		if s.maxHead != want {
			t.Errorf("max_header_bytes %d: %d, want %d", configured, s.maxHead, want)
		}
	}
}

// panicOnce is a source of random numbers that panics at its first draw.
type panicOnce struct {
	panicked bool
	rand.Source
}

func (p *panicOnce) Uint64() uint64 {
	if !p.panicked {
		p.panicked = true
		panic("a fault in the handling of one request")
	}
	return p.Source.Uint64()
}

// A panic while one request is handled ends that request, and neither the process nor other requests, also if it
// strikes under the limiter's mutex or in an attempt (docs/incidents/0027).
func TestPanicEndsOneRequestOnly(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		inject func(g *Gateway)
		status int
	}{
		"under the mutex": {func(g *Gateway) { g.guarded.rng = rand.New(&panicOnce{Source: rand.NewPCG(1, 1)}) }, 500},
		"in an attempt": {func(g *Gateway) {
			classify, panicked := g.forwarder.rules.Classify, false
			g.forwarder.rules.Classify = func(e attempt.Evidence) attempt.Classification {
				if !panicked {
					panicked = true
					panic("a fault in one attempt")
				}
				return classify(e)
			}
		}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, line := range []string{"GET /get/", "POST /once/"} {
				inFakeTime(t, func(t testing.TB) {
					g := newGateway(t, newBackend(t, respondOK("yes")))
					c.inject(g)
					conn := dial(t, g)
					conn.send(line, "Content-Length: 0\r\n", "")
					conn.expect(c.status, "")
					conn.send("GET /get/", "", "")
					conn.expect(200, "yes")
					if n := g.forwarder.inFlight.Load(); n != 0 {
						t.Errorf("%s: %d requests in flight", line, n)
					}
				})
			}
		})
	}
}

// A panic before a request is forwarded ends that request only: those read before it on its connection are with their
// servers by then, and keep their responses (docs/incidents/0030).
func TestPanicBeforeForwardingKeepsEarlierResponses(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			time.Sleep(time.Second)
			return respondOK("yes")(w, h, body)
		})
		g := newGateway(t, b)
		panicOnRoute(g, "broken")
		c := dial(t, g)
		c.pipeline(3)
		write(c, "GET /open/ HTTP/1.1\r\nHost: broken\r\nAttempt-Id: 3\r\n\r\n")
		c.pipeline(1)
		for range 3 {
			c.expect(200, "yes")
		}
		if h := c.expect(500, ""); !h.ClosesConnection() || h.Get("Attempt-Id") != "3" {
			t.Errorf("response to the request that panicked: %+v", h)
		}
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("after it: %v, want EOF", err)
		}
		if n := b.requests.Load(); n != 3 {
			t.Errorf("%d requests reached the server, want 3", n)
		}
	})
}

// panicOnRoute makes the search for the route of a host panic: the lengths of its prefixes are corrupt.
func panicOnRoute(g *Gateway, name string) {
	s := *g.router.current()
	hosts := s.hosts.Builder()
	hosts.Put(name, &host{lengths: []int{0}})
	s.hosts = hosts.Map()
	g.router.snapshot.Store(&s)
}

package simulation

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/elmspan/lab/scenario"
)

// Vary sets a parameter of a day. The number of machines takes the load and the
// servers along, so that each limiter keeps its share.
func Vary(d *scenario.Day, name string, v float64) error {
	if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("simulation: %s: %v is no value", name, v)
	}
	switch name {
	case "machines_per_zone":
		if v < 1 || v != math.Trunc(v) {
			return fmt.Errorf("simulation: machines_per_zone: %v is no number of machines", v)
		}
		x := v / float64(d.PerZone)
		d.PerZone = int(v)
		scale(d, x, x)
	case "load":
		scale(d, v, 1)
	case "servers":
		scale(d, 1, v)
	case "words_loss":
		d.Network.GossipLoss = v
	case "quota_x":
		for i := range d.Tenants {
			d.Tenants[i].QuotaFactor = v
		}
	case "seed":
		d.Seed = uint64(v)
	default:
		return fmt.Errorf(
			"simulation: no parameter %q; there are machines_per_zone, load, servers, words_loss, quota_x, seed", name)
	}
	return d.Validate()
}

func scale(d *scenario.Day, load, servers float64) {
	for i := range d.Classes {
		d.Classes[i].PerS *= load
	}
	for i := range d.Services {
		d.Services[i].Servers = max(1, int(math.Round(float64(d.Services[i].Servers)*servers)))
	}
}

func clone(d *scenario.Day) *scenario.Day {
	c := *d
	c.Zones, c.Services, c.Classes = slices.Clone(d.Zones), slices.Clone(d.Services), slices.Clone(d.Classes)
	c.Tenants, c.Faults = slices.Clone(d.Tenants), slices.Clone(d.Faults)
	return &c
}

// Experiment is a set of days to simulate: each value under each policy, with each seed.
type Experiment struct {
	Day       *scenario.Day
	Parameter string // see [Vary]; empty: the day as it is, and Values is not used
	Values    []float64
	Policies  []string
	Seeds     int              // number of seeds, from the day's own on
	Progress  func(msg string) // is called after each day; may be nil
}

// Point is one value of a parameter under one policy, with a result for each seed.
type Point struct {
	Policy  string
	Value   float64
	Results []*Result
}

// points are those of the experiment, without results.
func (x *Experiment) points() (points []Point) {
	values := x.Values
	if x.Parameter == "" {
		values = []float64{0}
	}
	for _, p := range x.Policies {
		for _, v := range values {
			points = append(points, Point{p, v, make([]*Result, x.Seeds)})
		}
	}
	return points
}

// day is that of one value and seed.
func (x *Experiment) day(value float64, seed int) (*scenario.Day, error) {
	d := clone(x.Day)
	d.Seed += uint64(seed)
	if x.Parameter == "" {
		return d, nil
	}
	return d, Vary(d, x.Parameter, value)
}

// Sweep plays an experiment. Days run side by side, each on its own; the first error
// ends all.
func Sweep(ctx context.Context, x *Experiment) ([]Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &sweep{experiment: x, cancel: cancel, points: x.points(), slots: make(chan struct{}, runtime.GOMAXPROCS(0))}
	for i := range s.points {
		for seed := range x.Seeds {
			d, err := x.day(s.points[i].Value, seed)
			if err != nil {
				cancel()
				s.tasks.Wait()
				return nil, err
			}
			s.tasks.Go(func() { s.play(ctx, &s.points[i], seed, d) })
		}
	}
	s.tasks.Wait()
	return s.points, s.err
}

// sweep is an experiment that is being played.
type sweep struct {
	experiment *Experiment
	cancel     context.CancelFunc
	slots      chan struct{} // holds one element for each day that runs
	tasks      sync.WaitGroup

	mu     sync.Mutex // over the following, while days run
	points []Point
	err    error // the first
}

// play simulates one day and stores its result.
func (s *sweep) play(ctx context.Context, p *Point, seed int, d *scenario.Day) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	r, err := Run(ctx, d, Options{Policy: p.Policy})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if s.err == nil {
			s.err = err
		}
		s.cancel()
		return
	}
	p.Results[seed] = r
	if s.experiment.Progress != nil {
		s.experiment.Progress(fmt.Sprintf("%s %s=%v seed %d: served %.4f, in aim %.4f, %d rules broken",
			p.Policy, s.experiment.Parameter, p.Value, d.Seed, r.Served(), r.InTarget(), len(r.ViolationCounts)))
	}
}

// Over returns the mean, lowest and highest value of a figure over the seeds.
func (p *Point) Over(figure func(*Result) float64) (mean, low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, r := range p.Results {
		v := figure(r)
		mean += v / float64(len(p.Results))
		low, high = min(low, v), max(high, v)
	}
	return mean, low, high
}

// brokenRules counts the rules broken, over all seeds.
func (p *Point) brokenRules() (n int) {
	for _, r := range p.Results {
		n += len(r.ViolationCounts)
	}
	return n
}

// maxLatencyUs is the longest time of an answer that a histogram keeps, in µs.
const maxLatencyUs = 60_000_000

// Quantile is the q-th percentile of the times of successful answers, over all classes, in ms.
func (r *Result) Quantile(q float64) float64 {
	all := hdrhistogram.New(1, maxLatencyUs, 3)
	for _, c := range r.Classes {
		all.Merge(r.Stats[c].Latency)
	}
	return float64(all.ValueAtQuantile(q)) / 1000
}

// Requirement is what a day's servers must be enough for.
type Requirement struct {
	Day       *scenario.Day
	Policy    string
	Share     float64 // of the requests within the quotas, to be answered within their target
	Low, High float64 // factors on the number of servers between which to search
	Seeds     int     // with each of which it must hold
	Progress  func(msg string)
}

// factorStep is how near [MinServerFactor] comes.
const factorStep = 0.1

// MinServerFactor finds the lowest factor on the number of servers with which the
// requirement holds, over all seeds and with no rule broken, to within 0.1.
func MinServerFactor(ctx context.Context, q *Requirement) (float64, error) {
	low, high := q.Low, q.High
	if ok, err := q.holds(ctx, high); err != nil || !ok {
		if err == nil {
			err = fmt.Errorf("simulation: not even %.2f times the servers are enough", high)
		}
		return 0, err
	}
	for high-low > factorStep {
		mid := (low + high) / 2
		ok, err := q.holds(ctx, mid)
		if err != nil {
			return 0, err
		}
		if ok {
			high = mid
		} else {
			low = mid
		}
	}
	return high, nil
}

func (q *Requirement) holds(ctx context.Context, factor float64) (bool, error) {
	points, err := Sweep(ctx, &Experiment{Day: q.Day, Parameter: "servers", Values: []float64{factor},
		Policies: []string{q.Policy}, Seeds: q.Seeds})
	if err != nil {
		return false, err
	}
	_, lowest, _ := points[0].Over(func(r *Result) float64 { return r.InTarget() })
	broken := points[0].brokenRules()
	if q.Progress != nil {
		q.Progress(fmt.Sprintf("%.2f times the servers: %.4f in aim, %d rules broken", factor, lowest, broken))
	}
	return lowest >= q.Share && broken == 0, nil
}

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

// Vary sets a parameter of a day. The machines' number takes the load and the
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
		return fmt.Errorf("simulation: no parameter %q; there are machines_per_zone, load, servers, words_loss, quota_x, seed", name)
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

// Cell is one value of a parameter under one policy, with a result a seed.
type Cell struct {
	Policy  string
	Value   float64
	Results []*Result
}

// Sweep simulates a day with each value of a parameter, under each policy, with
// so many seeds from the day's own on. An empty name is the day as it is. Days
// run side by side, each on its own.
func Sweep(ctx context.Context, day *scenario.Day, name string, values []float64, policies []string, seeds int, done func(string)) ([]Cell, error) {
	if name == "" {
		values = []float64{0}
	}
	var cells []Cell
	for _, p := range policies {
		for _, v := range values {
			cells = append(cells, Cell{p, v, make([]*Result, seeds)})
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	var first error
	for i := range cells {
		for k := range seeds {
			d := clone(day)
			d.Seed += uint64(k)
			var err error
			if name != "" {
				err = Vary(d, name, cells[i].Value)
			}
			if err != nil {
				cancel()
				tasks.Wait()
				return nil, err
			}
			tasks.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				r, err := Run(ctx, d, Options{Policy: cells[i].Policy})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					if first == nil {
						first = err
					}
					cancel()
					return
				}
				cells[i].Results[k] = r
				if done != nil {
					done(fmt.Sprintf("%s %s=%v seed %d: served %.4f, in aim %.4f, %d rules broken", cells[i].Policy, name, cells[i].Value, d.Seed,
						r.Served(), r.InTarget(), len(r.ViolationCounts)))
				}
			})
		}
	}
	tasks.Wait()
	return cells, first
}

// Over returns the mean, least and most of a figure over the cell's seeds.
func (c *Cell) Over(of func(*Result) float64) (mean, low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, r := range c.Results {
		v := of(r)
		mean += v / float64(len(c.Results))
		low, high = min(low, v), max(high, v)
	}
	return mean, low, high
}

// Quantile is one of the times of answers with success, over all classes, in ms.
func (r *Result) Quantile(q float64) float64 {
	all := hdrhistogram.New(1, 60_000_000, 3)
	for _, c := range r.Classes {
		all.Merge(r.Stats[c].Latency)
	}
	return float64(all.ValueAtQuantile(q)) / 1000
}

// Least finds the least factor on the servers' number with which a share of the
// requests within the quotas is answered within its aim, over all seeds and with
// no rule broken. It looks between low and high to a tenth.
func Least(ctx context.Context, day *scenario.Day, policy string, share, low, high float64, seeds int, done func(string)) (float64, error) {
	holds := func(x float64) (bool, error) {
		cells, err := Sweep(ctx, day, "servers", []float64{x}, []string{policy}, seeds, nil)
		if err != nil {
			return false, err
		}
		_, least, _ := cells[0].Over(func(r *Result) float64 { return r.InTarget() })
		broken := 0
		for _, r := range cells[0].Results {
			broken += len(r.ViolationCounts)
		}
		if done != nil {
			done(fmt.Sprintf("%.2f times the servers: %.4f in aim, %d rules broken", x, least, broken))
		}
		return least >= share && broken == 0, nil
	}
	if ok, err := holds(high); err != nil || !ok {
		if err == nil {
			err = fmt.Errorf("simulation: not even %.2f times the servers are enough", high)
		}
		return 0, err
	}
	for high-low > 0.1 {
		mid := (low + high) / 2
		ok, err := holds(mid)
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

// Command elmspan-lab experiments with the gateway: days on a simulated clock,
// sweeps of a parameter against plain policies, planning, and load on a running
// system. It is a program of its own because drawing plots would cost every
// gateway process some 4 MB of memory.
//
// Exit codes: 0 all is well, 1 it failed, 2 the command line can't be read, 3 a
// rule was broken.
package main

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"example.org/elmspan/lab/plots"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/lab/simulation"
)

type commands struct {
	Simulate simulateCmd `cmd:"" help:"Play a day on a simulated clock. Example: elmspan-lab simulate docs/days/large.toml --html report.html"`
	Sweep    sweepCmd    `cmd:"" help:"Play a day with several values of a parameter, under several policies. Example: elmspan-lab sweep docs/fleet.toml load=0.5,1,1.5 --html report.html"`
	Plan     planCmd     `cmd:"" help:"Find how many servers a day needs. Example: elmspan-lab plan docs/fleet.toml --in-aim 0.98"`
	Load     loadCmd     `cmd:"" help:"Send a day's requests to a running system. Example: elmspan-lab load docs/fleet.toml --front 127.10.0.1:8080 --key large=secret"`
	Core     coreCmd     `cmd:"" help:"Measure the core with many limiters: three real processes on loopback. Example: elmspan-lab core --limiters 1000 --servers 3000"`
	Added    addedCmd    `cmd:"" help:"Measure what one gateway process adds to a request on loopback. Example: elmspan-lab added --seconds 20"`
	Hollow   hollowCmd   `cmd:"" help:"Measure what a limiter holds and spends for control: hundreds of hollow ones in one process. Example: elmspan-lab hollow --hollow 200"`
	Replay   replayCmd   `cmd:"" help:"Send recorded requests to a running system, as they were spaced. The record: CSV with at_s,class,tenant."`
}

var errRule = errors.New("a rule was broken")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("elmspan-lab"), kong.Description("Experiments with the elmspan gateway."),
		kong.UsageOnError(), kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "elmspan-lab:", err)
		if errors.Is(err, errRule) {
			os.Exit(3)
		}
		os.Exit(1)
	}
}

// Common are the flags of simulated experiments.
type Common struct {
	Policy []string `help:"Policies to compare: elmspan (the default), least-outstanding, random, round-robin, two-choices; or all."`
	Seeds  int      `help:"So many seeds, from the day's own on." default:"1"`
	HTML   string   `help:"Write a page with plots to this file." placeholder:"FILE"`
	CSV    string   `help:"Write a line for each simulated day to this file." placeholder:"FILE"`
}

func (c *Common) policies() []string {
	switch {
	case len(c.Policy) == 0:
		return []string{simulation.Elmspan}
	case slices.Contains(c.Policy, "all"):
		return simulation.Policies()
	}
	return c.Policy
}

func (c *Common) check() error {
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("--seeds: %d: from 1 to 1000", c.Seeds)
	}
	for _, p := range c.policies() {
		if !slices.Contains(simulation.Policies(), p) {
			return fmt.Errorf("--policy: %q: there are %s and all", p, strings.Join(simulation.Policies(), ", "))
		}
	}
	return nil
}

type simulateCmd struct {
	Common
	Day     string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	Seconds float64 `help:"Another length than the file's."`
	Machine int     `help:"Another number of machines a zone than the file's; load and servers go along." name:"machines-per-zone"`
	Seed    uint64  `help:"Another seed than the file's."`
}

// Run plays the day under each policy. A rule that the gateway's own breaks is exit code 3.
func (c *simulateCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		day.Seed = c.Seed
	}
	if c.Seconds > 0 {
		day.Shorten(c.Seconds)
	}
	if c.Machine > 0 {
		if err := simulation.Vary(day, "machines_per_zone", float64(c.Machine)); err != nil {
			return err
		}
	}
	begun := time.Now()
	cells, err := simulation.Sweep(ctx, &simulation.Experiment{Day: day, Policies: c.policies(), Seeds: c.Seeds, Progress: progress})
	if err != nil {
		return err
	}
	for _, cell := range cells {
		for k, r := range cell.Results {
			fmt.Printf("== %s, seed %d\n", cell.Policy, day.Seed+uint64(k))
			if err := r.Write(os.Stdout); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d days of %.0f s in %.1f s\n", len(cells)*c.Seeds, day.LengthS, time.Since(begun).Seconds())
	return c.write("A day of "+strconv.Itoa(day.PerZone*len(day.Zones))+" limiters", "", cells, perSecond(cells))
}

type sweepCmd struct {
	Common
	Day   string `arg:"" help:"The fleet and its day." type:"existingfile"`
	Param string `arg:"" help:"The parameter and its values, as load=0.5,1,2. Parameters: machines_per_zone, load, servers, words_loss, quota_x."`
}

// Run plays the sweep.
func (c *sweepCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	name, list, ok := strings.Cut(c.Param, "=")
	var values []float64
	for text := range strings.SplitSeq(list, ",") {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !ok {
			return fmt.Errorf("%q: a name, =, and numbers between commas are needed", c.Param)
		}
		values = append(values, v)
	}
	cells, err := simulation.Sweep(ctx, &simulation.Experiment{Day: day, Parameter: name, Values: values,
		Policies: c.policies(), Seeds: c.Seeds, Progress: progress})
	if err != nil {
		return err
	}
	table(cells, name)
	return c.write("A sweep of "+name, name, cells, overValues(cells, name))
}

type planCmd struct {
	Day    string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	InAim  float64 `help:"Share of what is within the quotas that must be answered within its aim." default:"0.98"`
	Policy string  `help:"The policy." default:"elmspan"`
	Seeds  int     `help:"So many seeds, all of which must hold." default:"3"`
}

// Factors on the file's number of servers between which a plan is searched.
const (
	minServerFactor = 0.2
	maxServerFactor = 4
)

// progress shows how far an experiment is.
func progress(line string) { fmt.Fprintln(os.Stderr, line) }

// Run searches.
func (c *planCmd) Run(ctx context.Context) error {
	if err := (&Common{Policy: []string{c.Policy}, Seeds: c.Seeds}).check(); err != nil {
		return err
	}
	if c.InAim <= 0 || c.InAim >= 1 {
		return fmt.Errorf("--in-aim: %v: between 0 and 1", c.InAim)
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	x, err := simulation.MinServerFactor(ctx, &simulation.Requirement{Day: day, Policy: c.Policy, Share: c.InAim,
		Low: minServerFactor, High: maxServerFactor, Seeds: c.Seeds, Progress: progress})
	if err != nil {
		return err
	}
	fmt.Printf("%.2f times the file's servers are enough for %.3f in aim:\n", x, c.InAim)
	if err := simulation.Vary(day, "servers", x); err != nil {
		return err
	}
	for _, v := range day.Services {
		fmt.Printf("  %s: %d servers of %d slots\n", v.Name, v.Servers, v.Slots)
	}
	return nil
}

// ---- Results ----

var figures = []struct {
	name string
	of   func(*simulation.Result) float64
}{
	{"served", func(r *simulation.Result) float64 { return r.Served() }},
	{"in aim", func(r *simulation.Result) float64 { return r.InTarget() }},
	{"p50 ms", func(r *simulation.Result) float64 { return r.Quantile(50) }},
	{"p99 ms", func(r *simulation.Result) float64 { return r.Quantile(99) }},
	{"words/s", func(r *simulation.Result) float64 { return r.MessagesPerS }},
	{"bytes/s", func(r *simulation.Result) float64 { return r.BytesPerS }},
	{"heartbeats/s", func(r *simulation.Result) float64 { return r.HeartbeatsPerS }},
	{"rules broken", func(r *simulation.Result) float64 { return float64(len(r.ViolationCounts)) }},
}

func rows(cells []simulation.Point, name string) (head []string, out [][]string) {
	head = []string{"policy"}
	if name != "" {
		head = append(head, name)
	}
	head = append(head, "limiters")
	for _, f := range figures {
		head = append(head, f.name)
	}
	for i := range cells {
		row := []string{cells[i].Policy}
		if name != "" {
			row = append(row, strconv.FormatFloat(cells[i].Value, 'g', -1, 64))
		}
		row = append(row, strconv.Itoa(cells[i].Results[0].Limiters))
		for _, f := range figures {
			mean, low, high := cells[i].Over(f.of)
			text := strconv.FormatFloat(mean, 'f', 4, 64)
			if mean >= 10 {
				text = strconv.FormatFloat(mean, 'f', 1, 64)
			}
			if low != high {
				text += fmt.Sprintf(" (%.4g-%.4g)", low, high)
			}
			row = append(row, text)
		}
		out = append(out, row)
	}
	return head, out
}

func table(cells []simulation.Point, name string) {
	head, out := rows(cells, name)
	fmt.Println(strings.Join(head, "\t"))
	for _, r := range out {
		fmt.Println(strings.Join(r, "\t"))
	}
}

// perSecond are the charts of one day under several policies.
func perSecond(cells []simulation.Point) []plots.Chart {
	good := plots.Chart{Title: "Answered within the aim, of what was within the quotas", X: "second", Y: "share"}
	tail := plots.Chart{Title: "Times of answers", X: "share of answers that are slower, percent", Y: "ms", LogX: true, LogY: true}
	for _, c := range cells {
		r := c.Results[0]
		g, q := plots.Line{Name: c.Policy}, plots.Line{Name: c.Policy}
		for i, s := range r.Seconds {
			if n := s.Requests - s.OverQuota; n > 0 {
				v := float64(s.InTarget) / float64(n)
				g.Points = append(g.Points, plots.Point{X: float64(i), Y: v, Low: v, High: v})
			}
		}
		for _, over := range []float64{90, 75, 50, 25, 10, 5, 2, 1, 0.5, 0.2, 0.1} {
			v := r.Quantile(100 - over)
			q.Points = append(q.Points, plots.Point{X: over, Y: v, Low: v, High: v})
		}
		good.Lines, tail.Lines = append(good.Lines, g), append(tail.Lines, q)
	}
	return []plots.Chart{good, tail}
}

// overValues are the charts of a sweep: each figure over the parameter.
func overValues(cells []simulation.Point, name string) (out []plots.Chart) {
	for _, f := range figures {
		c := plots.Chart{Title: f.name, X: name, Y: f.name}
		byPolicy := map[string]int{}
		for i := range cells {
			at, had := byPolicy[cells[i].Policy]
			if !had {
				at = len(c.Lines)
				byPolicy[cells[i].Policy] = at
				c.Lines = append(c.Lines, plots.Line{Name: cells[i].Policy})
			}
			mean, low, high := cells[i].Over(f.of)
			c.Lines[at].Points = append(c.Lines[at].Points, plots.Point{X: cells[i].Value, Y: mean, Low: low, High: high})
		}
		out = append(out, c)
	}
	return out
}

// write writes the page and the lines that were asked for, and tells of a
// broken rule of the gateway's own policy.
func (c *Common) write(title, name string, cells []simulation.Point, charts []plots.Chart) error {
	if c.HTML != "" {
		p := plots.Page{Title: title, Charts: charts, Intro: []string{"Simulated; means over the seeds, with the least and the most of them. Policies other than elmspan have a fixed, equal share of each quota and tell nobody anything."}}
		p.Head, p.Rows = rows(cells, name)
		f, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		if err := errors.Join(p.Write(f), f.Close()); err != nil {
			return err
		}
	}
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		w := csv.NewWriter(f)
		head := []string{"policy", "value", "seed"}
		for _, g := range figures {
			head = append(head, g.name)
		}
		w.Write(head)
		for _, cell := range cells {
			for k, r := range cell.Results {
				row := []string{cell.Policy, strconv.FormatFloat(cell.Value, 'g', -1, 64), strconv.Itoa(k)}
				for _, g := range figures {
					row = append(row, strconv.FormatFloat(g.of(r), 'g', 6, 64))
				}
				w.Write(row)
			}
		}
		w.Flush()
		if err := errors.Join(w.Error(), f.Close()); err != nil {
			return err
		}
	}
	for _, cell := range cells {
		for _, r := range cell.Results {
			if cell.Policy == simulation.Elmspan && !r.Passed() {
				return errRule
			}
		}
	}
	return nil
}

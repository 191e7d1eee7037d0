package emulator

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Report is what came of a day.
type Report struct {
	Classes []string
	Stats   map[string]*ClassStats
	Seconds []Second
	Broken  []string       // the first broken rules, as they were seen
	Counts  map[string]int // of broken rules
	Exits   int            // processes that ended by themselves
	Calls   int            // to the platform
	Missed  int            // configurations never acknowledged
	Servers int            // lives of servers
}

// Second is one second of traffic, by when requests were first sent.
type Second struct{ Asked, InAim, Late, Beyond, Refused, Failed int }

func (f *Fleet) report() *Report {
	f.load.mu.Lock()
	defer f.load.mu.Unlock()
	r := &Report{Stats: f.load.stats}
	f.ledger.mu.Lock()
	r.Broken, r.Counts = slices.Clone(f.ledger.broken), maps.Clone(f.ledger.counts)
	f.ledger.mu.Unlock()
	f.platform.mu.Lock()
	r.Calls, r.Servers = f.platform.calls, f.lives
	f.platform.mu.Unlock()
	f.operator.mu.Lock()
	r.Missed = f.operator.missed
	f.operator.mu.Unlock()
	r.Exits = int(f.exits.Load())
	for _, c := range f.spec.Classes {
		r.Classes = append(r.Classes, c.Name)
	}
	r.Seconds = f.load.secs
	return r
}

// Sound tells that no rule was broken and no process ended by itself.
func (r *Report) Sound() bool { return len(r.Counts) == 0 && r.Exits == 0 }

// Served is the share of the requests within the quotas that were answered with success.
func (r *Report) Served() float64 {
	asked, served := 0, 0
	for _, s := range r.Stats {
		asked, served = asked+s.Asked-s.Beyond, served+s.InAim+s.Late
	}
	return float64(served) / float64(max(1, asked))
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\tin aim\tlate\tbeyond quota\trefused\tfailed\ttries\tp50 ms\tp99 ms\t")
	for _, name := range r.Classes {
		s := r.Stats[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", name, s.Asked, s.InAim, s.Late, s.Beyond, s.Refused, s.Failed, s.Tries,
			float64(s.Latency.ValueAtQuantile(50))/1000, float64(s.Latency.ValueAtQuantile(99))/1000)
	}
	t.Flush()
	fmt.Fprintf(w, "served %.4f of what was within the quotas; %d calls to the platform; %d lives of servers; %d configurations missed; %d processes ended by themselves\n",
		r.Served(), r.Calls, r.Servers, r.Missed, r.Exits)
	if len(r.Counts) == 0 {
		fmt.Fprintln(w, "no rule broken")
		return
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, "BROKEN %s %d times\n", rule, r.Counts[rule])
	}
	for _, b := range r.Broken {
		fmt.Fprintln(w, "  "+b)
	}
}

// WriteCSV writes a line for each second.
func (r *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	c.Write([]string{"second", "asked", "in_aim", "late", "beyond_quota", "refused", "failed"})
	for i, s := range r.Seconds {
		row := []string{strconv.Itoa(i)}
		for _, v := range []int{s.Asked, s.InAim, s.Late, s.Beyond, s.Refused, s.Failed} {
			row = append(row, strconv.Itoa(v))
		}
		c.Write(row)
	}
	c.Flush()
	return c.Error()
}

func (f *Fleet) progress() {
	f.load.mu.Lock()
	asked, good := 0, 0
	for _, s := range f.load.stats {
		asked, good = asked+s.Asked, good+s.InAim+s.Late
	}
	f.load.mu.Unlock()
	f.ledger.mu.Lock()
	broken := len(f.ledger.counts)
	f.ledger.mu.Unlock()
	fmt.Fprintf(f.log, "%5.1f s  %d asked, %d served, %d rules broken\n", f.ledger.now().Seconds(), asked, good, broken)
}

package checker

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/elmspan/lab/scenario"
)

// Report is what came of a day.
type Report struct {
	Classes         []string
	Stats           map[string]*Stats
	Seconds         []Second
	Violations      []string       // the first broken rules, as they were seen
	ViolationCounts map[string]int // of broken rules
	UnexpectedExits int            // processes that ended by themselves
	MissedChanges   int            // configurations that were never acknowledged
	Notes           []string       // what else is worth knowing, a line each
}

// Second is one second of traffic, by when requests were first sent.
type Second struct{ Asked, InAim, Late, Beyond, Refused, Failed int }

// Stats is what became of a class's requests.
type Stats struct {
	Asked, InAim, Late, Beyond, Refused, Failed, Tries int                     // Beyond: 429, beyond a quota
	Latency                                            *hdrhistogram.Histogram // of answers with success, in microseconds
}

// Tally counts what became of requests.
type Tally struct {
	mu      sync.Mutex
	classes []string
	stats   map[string]*Stats
	secs    []Second
}

// NewTally returns the tally of a day's classes.
func NewTally(d *scenario.Day) *Tally {
	t := &Tally{stats: map[string]*Stats{}, secs: make([]Second, int(math.Ceil(d.LengthS))+1)}
	for _, c := range d.Classes {
		t.classes = append(t.classes, c.Name)
		t.stats[c.Name] = &Stats{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	return t
}

// Add counts one request: when it was first sent, since the start of traffic,
// the status of its last try (0: none) and how long all took.
func (t *Tally) Add(c *scenario.Class, begun time.Duration, status, tries int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, sec := t.stats[c.Name], &t.secs[min(len(t.secs)-1, max(0, int(begun.Seconds())))]
	s.Asked++
	sec.Asked++
	s.Tries += tries
	switch {
	case status/100 == 2 && float64(took)/float64(time.Millisecond) <= c.TargetMs:
		s.InAim++
		sec.InAim++
	case status/100 == 2:
		s.Late++
		sec.Late++
	case status == 429:
		s.Beyond++
		sec.Beyond++
	case status == 503:
		s.Refused++
		sec.Refused++
	default:
		s.Failed++
		sec.Failed++
	}
	if status/100 == 2 {
		s.Latency.RecordValue(took.Microseconds()) // out of range only past the deadline
	}
}

// Report closes a day: nothing is counted any more.
func (t *Tally) Report(l *Log) *Report {
	l.Finish()
	t.mu.Lock()
	defer t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Report{Classes: t.classes, Stats: t.stats, Seconds: t.secs, Violations: slices.Clone(l.violations), ViolationCounts: maps.Clone(l.counts)}
}

// Progress says how far it is.
func (t *Tally) Progress(l *Log) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	asked, good := 0, 0
	for _, s := range t.stats {
		asked, good = asked+s.Asked, good+s.InAim+s.Late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%5.1f s  %d asked, %d served, %d rules broken", l.clock().Seconds(), asked, good, len(l.counts))
}

// Passed tells that no rule was broken and no process ended by itself.
func (r *Report) Passed() bool { return len(r.ViolationCounts) == 0 && r.UnexpectedExits == 0 }

// Served is the share of the requests within the quotas that were answered with success.
func (r *Report) Served() float64 {
	asked, served := 0, 0
	for _, s := range r.Stats {
		asked, served = asked+s.Asked-s.Beyond, served+s.InAim+s.Late
	}
	return float64(served) / float64(max(1, asked))
}

// InTarget is the share of the requests within the quotas that were answered
// with success within their aim.
func (r *Report) InTarget() float64 {
	asked, good := 0, 0
	for _, s := range r.Stats {
		asked, good = asked+s.Asked-s.Beyond, good+s.InAim
	}
	return float64(good) / float64(max(1, asked))
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
	fmt.Fprintf(w, "served %.4f of what was within the quotas, %.4f in its aim\n", r.Served(), r.InTarget())
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	if r.UnexpectedExits > 0 {
		fmt.Fprintf(w, "%d processes ended by themselves\n", r.UnexpectedExits)
	}
	if len(r.ViolationCounts) == 0 {
		fmt.Fprintln(w, "no rule broken")
		return
	}
	for _, rule := range slices.Sorted(maps.Keys(r.ViolationCounts)) {
		fmt.Fprintf(w, "BROKEN %s %d times\n", rule, r.ViolationCounts[rule])
	}
	for _, b := range r.Violations {
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

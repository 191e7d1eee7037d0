package checker

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/elmspan/lab/scenario"
)

// Latencies that are distinguished, in microseconds, and to how many digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// Report is what came of a day.
type Report struct {
	Classes         []string // in the order of the day's file
	Stats           map[string]*Stats
	Seconds         []Second
	Violations      []string       // the first broken rules, as they were seen
	ViolationCounts map[string]int // by rule
	Ends            Ends
	QuotaUse        []QuotaUse // of each tenant with a limit, by name
	UnexpectedExits int        // processes that ended by themselves
	MissedChanges   int        // configurations that were never acknowledged
	Notes           []string   // what else there is to know, a line each
}

// Counts are requests by what became of them.
type Counts struct {
	Requests  int // of clients; each ends as one of the others
	InTarget  int // succeeded within the latency target
	Late      int // succeeded after it
	OverQuota int // 429
	Rejected  int // 503
	Failed    int // anything else, or no answer
}

// Second is one second of traffic, by when requests were first sent.
type Second struct{ Counts }

// Stats is what became of a class's requests.
type Stats struct {
	Counts
	Attempts int
	Latency  *hdrhistogram.Histogram // of answers with success, in microseconds
}

// add counts a request that ended with a status after a time; 0: no answer.
func (c *Counts) add(status int, inTarget bool) {
	c.Requests++
	switch {
	case status/100 == 2 && inTarget:
		c.InTarget++
	case status/100 == 2:
		c.Late++
	case status == 429:
		c.OverQuota++
	case status == 503:
		c.Rejected++
	default:
		c.Failed++
	}
}

// Counter counts what became of requests. Its methods may be called at the same time.
type Counter struct {
	mu      sync.Mutex
	classes []string
	stats   map[string]*Stats
	seconds []Second
}

// NewCounter returns a counter for a day's classes.
func NewCounter(d *scenario.Day) *Counter {
	t := &Counter{stats: map[string]*Stats{}, seconds: make([]Second, int(math.Ceil(d.LengthS))+1)}
	for _, c := range d.Classes {
		t.classes = append(t.classes, c.Name)
		t.stats[c.Name] = &Stats{Latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
	}
	return t
}

// Add counts one request: when it was first sent, since the start of traffic,
// the status of its last attempt (0: no answer) and how long all took.
func (t *Counter) Add(c *scenario.Class, begun time.Duration, status, attempts int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inTarget := float64(took)/float64(time.Millisecond) <= c.TargetMs
	stats := t.stats[c.Name]
	stats.add(status, inTarget)
	stats.Attempts += attempts
	t.seconds[min(len(t.seconds)-1, max(0, int(begun.Seconds())))].add(status, inTarget)
	if status/100 == 2 {
		_ = stats.Latency.RecordValue(took.Microseconds()) // out of range only past the deadline
	}
}

// starvedShare is the least part of the share that is served of all requests at which each kind must be served.
const starvedShare = 0.25

// checkStarved checks that no kind of request is served far less often than all.
func (t *Counter) checkStarved(l *Log) {
	served, within := 0, 0
	for _, s := range t.stats {
		served, within = served+s.InTarget+s.Late, within+s.Requests-s.OverQuota
	}
	if within == 0 {
		return
	}
	all := float64(served) / float64(within)
	for _, name := range t.classes {
		s := t.stats[name]
		n := s.Requests - s.OverQuota
		if own := float64(s.InTarget + s.Late); n > 0 && own < starvedShare*all*float64(n) {
			l.Violation(ruleStarved, "%s: %.0f of %d served, of all %.2f", name, own, n, all)
		}
	}
}

// Report closes a day: nothing is counted any more.
func (t *Counter) Report(l *Log) *Report {
	l.Finish()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkStarved(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Report{
		Classes:         t.classes,
		Stats:           t.stats,
		Seconds:         t.seconds,
		Violations:      slices.Clone(l.violations),
		ViolationCounts: maps.Clone(l.violationCounts),
		Ends:            l.ends,
		QuotaUse:        slices.Clone(l.quotaUse),
	}
}

// Progress says how far the day is.
func (t *Counter) Progress(l *Log) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests, served := 0, 0
	for _, s := range t.stats {
		requests, served = requests+s.Requests, served+s.InTarget+s.Late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%5.1f s  %d asked, %d served, %d rules broken",
		l.clock().Seconds(), requests, served, len(l.violationCounts))
}

// Passed reports that no rule was broken and no process ended by itself.
func (r *Report) Passed() bool { return len(r.ViolationCounts) == 0 && r.UnexpectedExits == 0 }

// Requests is how many requests clients have sent.
func (r *Report) Requests() int {
	sum := 0
	for _, s := range r.Stats {
		sum += s.Requests
	}
	return sum
}

// Served is the share of the requests within the quotas that were answered with success.
func (r *Report) Served() float64 {
	return r.share(func(s *Stats) int { return s.InTarget + s.Late })
}

// InTarget is the share of the requests within the quotas that were answered with
// success within their latency target.
func (r *Report) InTarget() float64 {
	return r.share(func(s *Stats) int { return s.InTarget })
}

// share is that of some requests among those within the quotas.
func (r *Report) share(of func(*Stats) int) float64 {
	within, sum := 0, 0
	for _, s := range r.Stats {
		within, sum = within+s.Requests-s.OverQuota, sum+of(s)
	}
	return float64(sum) / float64(max(1, within))
}

// NearestQuota is the quota that came nearest to its bound; false where no tenant has a limit.
func (r *Report) NearestQuota() (nearest QuotaUse, limited bool) {
	for _, u := range r.QuotaUse {
		if !limited || u.Share() > nearest.Share() {
			nearest, limited = u, true
		}
	}
	return nearest, limited
}

// Write writes the report as text. An error is one of w.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, r.rows()); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.summary())
	return err
}

// rows are a line on each class, with tabs between the columns.
func (r *Report) rows() string {
	var b strings.Builder
	b.WriteString("class\tasked\tin aim\tlate\tbeyond quota\trefused\tfailed\ttries\tp50 ms\tp99 ms\t\n")
	for _, name := range r.Classes {
		s := r.Stats[name]
		p50, p99 := float64(s.Latency.ValueAtQuantile(50))/1000, float64(s.Latency.ValueAtQuantile(99))/1000
		fmt.Fprintf(&b, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			name, s.Requests, s.InTarget, s.Late, s.OverQuota, s.Rejected, s.Failed, s.Attempts, p50, p99)
	}
	return b.String()
}

// summary is what is said below the classes.
func (r *Report) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "served %.4f of what was within the quotas, %.4f in its aim\n", r.Served(), r.InTarget())
	e := r.Ends
	fmt.Fprintf(&b, "%d clients left, %d of %d lasting runs went on, %d came late; "+
		"%d requests cut, %d lost, %d behind closing answers; %d denied\n",
		e.Left, e.Continued, e.LongRuns, e.ArrivedLate, e.Aborted, e.Lost, e.Unread, e.Denied)
	if u, limited := r.NearestQuota(); limited {
		fmt.Fprintf(&b, "nearest to its quota: %s, %d of %.0f in %v s up to %.1f s; %s\n",
			u.Tenant, u.Ran, u.Allowed, QuotaWindowS, u.EndS, u.Detail)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(&b, n)
	}
	if r.UnexpectedExits > 0 {
		fmt.Fprintf(&b, "%d processes ended by themselves\n", r.UnexpectedExits)
	}
	if len(r.ViolationCounts) == 0 {
		fmt.Fprintln(&b, "no rule broken")
		return b.String()
	}
	for _, rule := range slices.Sorted(maps.Keys(r.ViolationCounts)) {
		fmt.Fprintf(&b, "BROKEN %s %d times\n", rule, r.ViolationCounts[rule])
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&b, "  "+v)
	}
	return b.String()
}

// WriteCSV writes a line for each second.
func (r *Report) WriteCSV(w io.Writer) error {
	rows := [][]string{{"second", "asked", "in_aim", "late", "beyond_quota", "refused", "failed"}}
	for i, s := range r.Seconds {
		row := []string{strconv.Itoa(i)}
		for _, v := range []int{s.Requests, s.InTarget, s.Late, s.OverQuota, s.Rejected, s.Failed} {
			row = append(row, strconv.Itoa(v))
		}
		rows = append(rows, row)
	}
	return csv.NewWriter(w).WriteAll(rows)
}

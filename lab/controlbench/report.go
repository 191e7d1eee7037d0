package controlbench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const bytesPerKB = 1000

// Phase is one part of a measurement.
type Phase struct {
	Name       string
	Lasted     time.Duration
	Used       []Usage // by each process
	Leader     int     // which of them led at the beginning
	DeltaBytes int64   // sent to all watchers
	Watches    int64   // calls of all watchers
	Chunks     int64   // of long deltas, that they fetched
	// Takeover is the time from each acknowledgment until the last watcher has the change, or from
	// the start of all until the last has everything and a lease; empty where there was neither.
	Takeover []time.Duration
	Typical  []time.Duration // the same, until the watcher in the middle
	// Acknowledged is how long each change took to be acknowledged.
	Acknowledged []time.Duration
	// LongestWithoutLease is the longest time that a watcher was without a new lease; 1.5 s
	// between two is usual.
	LongestWithoutLease time.Duration
}

// Report is what was measured.
type Report struct {
	Spec   Spec
	Phases []Phase
	PeakMB []float64 // of each process, without the pages of the program's file
	DiskMB []float64 // of each process: its files at the end
	Failed int64     // watches that were not answered with a lease
	Leases int64
}

// columns are the heads of the table; "leader" and "follower" are of the figure before them.
var columns = []string{
	"phase", "s", "cores: leader", "follower", "messages/s: all",
	"KB/s in: leader", "follower", "out: leader", "follower",
	"disk KB: leader", "MB own: leader", "follower", "heap: leader", "follower", "KB a limiter", "ms without lease",
	"acknowledged, then mid/last, ms",
}

// Write writes the report as text: a line for each phase, the leader's figures before the mean of
// its followers'.
func (r *Report) Write(w io.Writer) error {
	s := &r.Spec
	_, err := fmt.Fprintf(w, "%d limiters, %d routes, %d tenants, %d services, %d servers, %d members, "+
		"links of %g Mbit/s\n",
		s.Limiters, s.Routes, s.Tenants, s.Services, s.Servers, s.Members, s.LinkMbps)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := [][]string{columns}
	for i := range r.Phases {
		rows = append(rows, r.Phases[i].row(s.Limiters))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")+"\t"); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "peak memory of each process, MB: %.1f\nfiles of each process, MB: %.1f\n"+
		"leases granted %d, asks that failed %d\n", r.PeakMB, r.DiskMB, r.Leases, r.Failed)
	return err
}

// row is the phase's line of the table.
func (p *Phase) row(limiters int) []string {
	seconds := p.Lasted.Seconds()
	perSecond := func(bytes int64) float64 { return float64(bytes) / bytesPerKB / seconds }
	row := []string{p.Name, fmt.Sprintf("%.1f", seconds)}
	leaderAndFollowers := func(format string, of func(Usage) float64) {
		leader, followers := p.Of(of)
		row = append(row, fmt.Sprintf(format, leader), fmt.Sprintf(format, followers))
	}
	leaderAndFollowers("%.3f", func(u Usage) float64 { return u.CPU.Seconds() / seconds })
	row = append(row, fmt.Sprintf("%.0f", float64(p.Watches+p.Chunks)/seconds))
	leaderAndFollowers("%.0f", func(u Usage) float64 { return perSecond(u.ReadBytes) })
	leaderAndFollowers("%.0f", func(u Usage) float64 { return perSecond(u.WrittenBytes) })
	row = append(row, fmt.Sprintf("%.0f", float64(p.Used[p.Leader].DiskBytes)/bytesPerKB))
	leaderAndFollowers("%.1f", func(u Usage) float64 { return u.OwnMB })
	leaderAndFollowers("%.0f", func(u Usage) float64 { return u.HeapMB })
	return append(row,
		fmt.Sprintf("%.1f", float64(p.DeltaBytes)/bytesPerKB/float64(limiters)),
		fmt.Sprint(p.LongestWithoutLease.Milliseconds()),
		p.takeoverText())
}

// takeoverText shows for each change how long it took to be acknowledged, then until the watcher in
// the middle and the last one had it.
func (p *Phase) takeoverText() string {
	var parts []string
	for i := range p.Takeover {
		acknowledged := ""
		if i < len(p.Acknowledged) {
			acknowledged = fmt.Sprint(p.Acknowledged[i].Milliseconds(), "+")
		}
		typical, last := p.Typical[i].Milliseconds(), p.Takeover[i].Milliseconds()
		parts = append(parts, fmt.Sprintf("%s%d/%d", acknowledged, typical, last))
	}
	return strings.Join(parts, " ")
}

// Of is a figure of the leader, and the mean over the others.
func (p *Phase) Of(of func(Usage) float64) (leader, follower float64) {
	for i, u := range p.Used {
		if i == p.Leader {
			leader = of(u)
		} else {
			follower += of(u) / float64(len(p.Used)-1)
		}
	}
	return leader, follower
}

// Last is the longest time from an acknowledgment until the last watcher has the change.
func (r *Report) Last() (longest time.Duration) {
	for _, p := range r.Phases {
		for _, t := range p.Takeover {
			longest = max(longest, t)
		}
	}
	return longest
}

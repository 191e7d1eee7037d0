package controlbench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Phase is one part of a measurement.
type Phase struct {
	Name   string
	Lasted time.Duration
	Used   []Usage // by each process
	Leader int     // which of them led at the beginning
	News   int64   // bytes told to all watchers
	Asks   int64   // watches of all watchers
	Pieces int64   // pieces of long differences that they asked for
	// From each acknowledgement to the last watcher, or from the start of all to the
	// last that has all and a lease; empty where there was neither.
	Takeover []time.Duration
	Typical  []time.Duration // ... and to the watcher in the middle
	// Acknowledged is how long each change took to be acknowledged.
	Acknowledged []time.Duration
	Without      time.Duration // the longest that a watcher was without a new lease; 1.5 s between two is usual
}

// Report is what was measured.
type Report struct {
	Spec   Spec
	Phases []Phase
	PeakMB []float64 // of each process, without the pages of the program's file
	DiskMB []float64 // of each process: its files at the end
	Failed int64     // asks that were not answered with a lease
	Leases int64
}

// Write writes the report for a person: a line for each phase, the leader's figures
// before the mean of its followers'.
func (r *Report) Write(w io.Writer) {
	s := &r.Spec
	fmt.Fprintf(w, "%d limiters, %d routes, %d tenants, %d services, %d servers, %d members, links of %g Mbit/s\n",
		s.Limiters, s.Routes, s.Tenants, s.Services, s.Servers, s.Members, s.LinkMbps)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\ts\tcores: leader\tfollower\tmessages/s: all\tKB/s in: leader\tfollower\tout: leader\tfollower\tdisk KB: leader\tMB own: leader\tfollower\theap: leader\tfollower\tKB a limiter\tms without lease\tacknowledged, then mid/last, ms\t")
	for i := range r.Phases {
		p := &r.Phases[i]
		sec := p.Lasted.Seconds()
		var over []string
		for k := range p.Takeover {
			ack := ""
			if k < len(p.Acknowledged) {
				ack = fmt.Sprint(p.Acknowledged[k].Milliseconds(), "+")
			}
			over = append(over, fmt.Sprintf("%s%d/%d", ack, p.Typical[k].Milliseconds(), p.Takeover[k].Milliseconds()))
		}
		both := func(format string, of func(Usage) float64) string {
			lead, rest := p.Of(of)
			return fmt.Sprintf(format+"\t"+format, lead, rest)
		}
		fmt.Fprintf(t, "%s\t%.1f\t%s\t%.0f\t%s\t%s\t%.0f\t%s\t%s\t%.1f\t%d\t%s\t\n", p.Name, sec,
			both("%.3f", func(u Usage) float64 { return u.CPU.Seconds() / sec }), float64(p.Asks+p.Pieces)/sec,
			both("%.0f", func(u Usage) float64 { return float64(u.Read) / 1000 / sec }),
			both("%.0f", func(u Usage) float64 { return float64(u.Written) / 1000 / sec }),
			float64(p.Used[p.Leader].Disk)/1000,
			both("%.1f", func(u Usage) float64 { return u.OwnMB }), both("%.0f", func(u Usage) float64 { return u.HeapMB }),
			float64(p.News)/1000/float64(s.Limiters), p.Without.Milliseconds(), strings.Join(over, " "))
	}
	t.Flush()
	fmt.Fprintf(w, "peak memory of each process, MB: %.1f\nfiles of each process, MB: %.1f\nleases granted %d, asks that failed %d\n",
		r.PeakMB, r.DiskMB, r.Leases, r.Failed)
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

// Last is the longest time from an acknowledgement to the last watcher's having it.
func (r *Report) Last() (d time.Duration) {
	for _, p := range r.Phases {
		for _, t := range p.Takeover {
			d = max(d, t)
		}
	}
	return d
}

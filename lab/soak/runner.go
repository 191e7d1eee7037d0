package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/emulator"
)

// Runner plays days.
type Runner struct {
	Program []string  // command line of the gateway
	Dir     string    // for a folder of each day; that of a day on which nothing broke is removed
	Out     io.Writer // for progress
	Shape   Shape
}

// Result is what became of a day.
type Result struct {
	Seed   uint64
	Shape  Shape
	Report *checker.Report
	Err    error // the day could not be played to its end
	Took   time.Duration
	Dir    string // of the day's logs, where something broke
}

// Passed reports that the day was played to its end, and that no rule was broken.
func (r *Result) Passed() bool { return r.Err == nil && r.Report.Passed() }

// Run plays the day of a seed.
func (r *Runner) Run(ctx context.Context, seed uint64) *Result {
	result := &Result{Seed: seed, Shape: r.Shape, Dir: filepath.Join(r.Dir, fmt.Sprintf("seed-%d", seed))}
	begun := time.Now()
	result.Report, result.Err = r.play(ctx, seed, result.Dir)
	result.Took = time.Since(begun)
	if result.Passed() {
		result.Err = os.RemoveAll(result.Dir)
	}
	return result
}

// play plays a day in a folder.
func (r *Runner) play(ctx context.Context, seed uint64, dir string) (*checker.Report, error) {
	if err := os.Mkdir(dir, 0o755); err != nil { // the data of another day is no beginning
		return nil, fmt.Errorf("soak: %w", err)
	}
	fleet, err := emulator.NewFleet(Day(seed, r.Shape), r.Program, dir, r.Out)
	if err != nil {
		return nil, err
	}
	return fleet.Run(ctx)
}

// Write writes a line on a day, and where something broke its report.
func (r *Result) Write(w io.Writer) error {
	if r.Report == nil {
		_, err := fmt.Fprintf(w, "seed %d: not played: %v; logs below %s\n", r.Seed, r.Err, r.Dir)
		return err
	}
	verdict := "nothing broken"
	if !r.Passed() {
		verdict = "BROKEN"
	}
	ends := r.Report.Ends
	nearest, limited := r.Report.NearestQuota()
	share := 0.0
	if limited {
		share = nearest.Share()
	}
	_, err := fmt.Fprintf(w, "seed %d: %s; %d machines, %d requests, served %.3f, in aim %.3f, %d missed changes, "+
		"%d clients left, %d of %d runs went on, %d cut, nearest quota %.2f, %.0f s\n",
		r.Seed, verdict, r.Shape.Machines, r.Report.Requests(), r.Report.Served(), r.Report.InTarget(),
		r.Report.MissedChanges, ends.Left, ends.Continued, ends.LongRuns, ends.Aborted, share, r.Took.Seconds())
	if err != nil || r.Passed() {
		return err
	}
	if r.Err != nil {
		if _, err := fmt.Fprintf(w, "%v\n", r.Err); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "logs below %s\n", r.Dir); err != nil {
		return err
	}
	return r.Report.Write(w)
}

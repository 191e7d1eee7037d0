package telemetry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/metrics"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used since some time.
type Usage struct {
	WallS     float64
	UserS     float64 // processor time, in its own code
	KernelS   float64 // ... and in the kernel for it
	Collector float64 // processor seconds of the garbage collector, by the runtime's own estimate
	WakeUps   float64 // its threads waited for something and went on (voluntary context switches)
	Collected float64 // cycles of the garbage collector
	Objects   float64 // allocated
	AllocMB   float64
	HeapMB    float64 // live at the last collection; not a difference
	PeakMB    float64 // the most that was resident, pages of the program's file included; not a difference
}

// ReadUsage returns what this process has used since its start. The kernel's counts
// are those of proc(5) and getrusage(2); what can't be had is 0.
func ReadUsage() Usage {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/gc/heap/live:bytes"},
		{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	of := func(i int) float64 {
		switch v := samples[i].Value; v.Kind() {
		case metrics.KindUint64:
			return float64(v.Uint64())
		case metrics.KindFloat64:
			return v.Float64()
		}
		return 0
	}
	return Usage{UserS: time.Duration(u.Utime.Nano()).Seconds(), KernelS: time.Duration(u.Stime.Nano()).Seconds(), WakeUps: float64(u.Nvcsw),
		Collector: of(0), HeapMB: of(1) / 1e6, Objects: of(2), AllocMB: of(3) / 1e6, Collected: of(4), PeakMB: float64(u.Maxrss) / 1000}
}

// Since is what was used since an earlier look.
func (s Usage) Since(b Usage) Usage {
	s.WallS -= b.WallS
	s.UserS -= b.UserS
	s.KernelS -= b.KernelS
	s.Collector -= b.Collector
	s.WakeUps -= b.WakeUps
	s.Collected -= b.Collected
	s.Objects -= b.Objects
	s.AllocMB -= b.AllocMB
	return s
}

// Recording is a profile of this process that is being made.
type Recording struct {
	path  string
	out   *os.File
	begun time.Time
	start Usage
}

// StartRecording begins to write a CPU profile of this process to DIR/NAME.PID.pprof, for
// `go tool pprof`. What was spent goes into a file beside it; see [WriteUsageReport].
func StartRecording(dir, name string) (*Recording, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s.%d", strings.ReplaceAll(name, "/", "-"), os.Getpid()))
	out, err := os.Create(path + ".pprof")
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: %w", err), out.Close())
	}
	return &Recording{path, out, time.Now(), ReadUsage()}, nil
}

// Close ends the profile.
func (r *Recording) Close() error {
	s := ReadUsage().Since(r.start)
	s.WallS = time.Since(r.begun).Seconds()
	pprof.StopCPUProfile()
	data, err := json.Marshal(s)
	if err == nil {
		err = os.WriteFile(r.path+".json", data, 0o644)
	}
	return errors.Join(err, r.out.Close())
}

// WriteUsageReport writes for a person what the processes spent whose profiles are in a
// folder, on the mean: a process that was killed wrote nothing.
func WriteUsageReport(w io.Writer, dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return fmt.Errorf("telemetry: %w", err)
	}
	var sum Usage
	for _, f := range files {
		var s Usage
		data, err := os.ReadFile(f)
		if err == nil {
			err = json.Unmarshal(data, &s)
		}
		if err != nil {
			return fmt.Errorf("telemetry: %s: %w", f, err)
		}
		sum = sum.Since(Usage{-s.WallS, -s.UserS, -s.KernelS, -s.Collector, -s.WakeUps, -s.Collected, -s.Objects, -s.AllocMB, 0, 0})
		sum.HeapMB += s.HeapMB
		sum.PeakMB += s.PeakMB
	}
	n := float64(len(files))
	if sum.WallS <= 0 {
		return fmt.Errorf("telemetry: no process below %s has written what it spent", dir)
	}
	fmt.Fprintf(w, "a process, of %d, on the mean of %.1f s: processor %.2f %% of a core (%.2f own code, of which %.2f collector; %.2f kernel)\n", len(files), sum.WallS/n,
		100*(sum.UserS+sum.KernelS)/sum.WallS, 100*sum.UserS/sum.WallS, 100*sum.Collector/sum.WallS, 100*sum.KernelS/sum.WallS)
	fmt.Fprintf(w, "  a second: %.0f wake-ups, %.1f collections, %.0f objects, %.0f KB allocated; heap %.1f MB, resident at its peak %.1f MB\n",
		sum.WakeUps/sum.WallS, sum.Collected/sum.WallS, sum.Objects/sum.WallS, 1000*sum.AllocMB/sum.WallS, sum.HeapMB/n, sum.PeakMB/n)
	return nil
}

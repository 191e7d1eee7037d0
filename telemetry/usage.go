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

// Usage is what a process has used since some time. Its fields' names are those of the JSON
// files that a [Recording] leaves.
//
// It is what a process knows of itself, by the kernel's getrusage(2) and the Go runtime. What
// a bench can see of other processes by proc(5) is lab/controlbench's own Usage.
type Usage struct {
	WallS     float64 // seconds of time; set by a Recording alone
	UserS     float64 // processor seconds in the process's own code
	KernelS   float64 // processor seconds in the kernel for it
	Collector float64 // processor seconds of the garbage collector, by the runtime's own estimate
	WakeUps   float64 // how often a thread waited for something and went on (voluntary context switches)
	Collected float64 // cycles of the garbage collector
	Objects   float64 // objects allocated
	AllocMB   float64 // 10^6 bytes allocated
	HeapMB    float64 // 10^6 bytes live at the last collection; not a difference
	PeakMB    float64 // 10^6 bytes resident at most, pages of the program's file included; not a difference
}

// The runtime's metrics that ReadUsage reads.
const (
	metricCollector = "/cpu/classes/gc/total:cpu-seconds"
	metricHeapLive  = "/gc/heap/live:bytes"
	metricObjects   = "/gc/heap/allocs:objects"
	metricAllocated = "/gc/heap/allocs:bytes"
	metricCycles    = "/gc/cycles/total:gc-cycles"
)

// ReadUsage returns what this process has used since its start. What can't be read is 0.
func ReadUsage() Usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		r = syscall.Rusage{}
	}
	value := readRuntime(metricCollector, metricHeapLive, metricObjects, metricAllocated, metricCycles)
	return Usage{
		UserS:     time.Duration(r.Utime.Nano()).Seconds(),
		KernelS:   time.Duration(r.Stime.Nano()).Seconds(),
		WakeUps:   float64(r.Nvcsw),
		PeakMB:    float64(r.Maxrss) / 1000,
		Collector: value[metricCollector],
		HeapMB:    value[metricHeapLive] / 1e6,
		Objects:   value[metricObjects],
		AllocMB:   value[metricAllocated] / 1e6,
		Collected: value[metricCycles],
	}
}

// readRuntime returns metrics of the Go runtime by name. One that the runtime does not have
// is 0.
func readRuntime(names ...string) map[string]float64 {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	out := map[string]float64{}
	for _, s := range samples {
		switch s.Value.Kind() {
		case metrics.KindUint64:
			out[s.Name] = float64(s.Value.Uint64())
		case metrics.KindFloat64:
			out[s.Name] = s.Value.Float64()
		}
	}
	return out
}

// Since is what was used since an earlier reading of the same process. HeapMB and PeakMB
// remain those of the later one.
func (u Usage) Since(earlier Usage) Usage {
	u.WallS -= earlier.WallS
	u.UserS -= earlier.UserS
	u.KernelS -= earlier.KernelS
	u.Collector -= earlier.Collector
	u.WakeUps -= earlier.WakeUps
	u.Collected -= earlier.Collected
	u.Objects -= earlier.Objects
	u.AllocMB -= earlier.AllocMB
	return u
}

// add adds what another process has used, all fields.
func (u *Usage) add(other Usage) {
	u.WallS += other.WallS
	u.UserS += other.UserS
	u.KernelS += other.KernelS
	u.Collector += other.Collector
	u.WakeUps += other.WakeUps
	u.Collected += other.Collected
	u.Objects += other.Objects
	u.AllocMB += other.AllocMB
	u.HeapMB += other.HeapMB
	u.PeakMB += other.PeakMB
}

// Recording is a CPU profile of this process that is being written.
type Recording struct {
	path  string // without the extension
	out   *os.File
	began time.Time
	start Usage
}

const (
	profileExtension = ".pprof"
	usageExtension   = ".json"
)

// StartRecording begins to write a CPU profile of this process to DIR/NAME.PID.pprof, for
// `go tool pprof`. There can be one at a time. At its end what was used goes into a file
// beside it, see [WriteUsageReport].
func StartRecording(dir, name string) (*Recording, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s.%d", strings.ReplaceAll(name, "/", "-"), os.Getpid()))
	out, err := os.Create(path + profileExtension)
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: %w", err), out.Close())
	}
	return &Recording{path: path, out: out, began: time.Now(), start: ReadUsage()}, nil
}

// Close ends the profile and writes what was used meanwhile.
func (r *Recording) Close() error {
	used := ReadUsage().Since(r.start)
	used.WallS = time.Since(r.began).Seconds()
	pprof.StopCPUProfile()
	data, err := json.Marshal(used)
	if err == nil {
		err = os.WriteFile(r.path+usageExtension, data, 0o644)
	}
	return errors.Join(err, r.out.Close())
}

// WriteUsageReport writes for a person the mean of what the processes used whose recordings
// are in a folder. A process that was killed has left nothing there. No file at all is an
// error, and so is one that can't be read.
func WriteUsageReport(w io.Writer, dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*"+usageExtension))
	if err != nil {
		return fmt.Errorf("telemetry: %w", err)
	}
	var sum Usage
	for _, file := range files {
		u, err := readUsageFile(file)
		if err != nil {
			return fmt.Errorf("telemetry: %s: %w", file, err)
		}
		sum.add(u)
	}
	if sum.WallS <= 0 {
		return fmt.Errorf("telemetry: no process below %s has written what it spent", dir)
	}
	return sum.writeMeans(w, len(files))
}

func readUsageFile(path string) (u Usage, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return u, err
	}
	err = json.Unmarshal(data, &u)
	return u, err
}

// writeMeans writes the means of a sum over processes.
func (u *Usage) writeMeans(w io.Writer, processes int) error {
	n := float64(processes)
	percent := func(seconds float64) float64 { return 100 * seconds / u.WallS }
	_, err := fmt.Fprintf(w, "a process, of %d, on the mean of %.1f s: processor %.2f %% of a core "+
		"(%.2f own code, of which %.2f collector; %.2f kernel)\n"+
		"  a second: %.0f wake-ups, %.1f collections, %.0f objects, %.0f KB allocated; "+
		"heap %.1f MB, resident at its peak %.1f MB\n",
		processes, u.WallS/n, percent(u.UserS+u.KernelS), percent(u.UserS), percent(u.Collector), percent(u.KernelS),
		u.WakeUps/u.WallS, u.Collected/u.WallS, u.Objects/u.WallS, 1000*u.AllocMB/u.WallS, u.HeapMB/n, u.PeakMB/n)
	return err
}

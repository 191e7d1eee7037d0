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

// Usage is the resource usage of a process over a period. The names of its fields are those in
// the JSON files that a [Recording] writes.
//
// A process measures its own usage with getrusage(2) and the metrics of the Go runtime. The type
// Usage of lab/controlbench holds what a benchmark measures of other processes with proc(5).
type Usage struct {
	WallS     float64 // wall-clock seconds; set only by a Recording
	UserS     float64 // CPU seconds in user mode
	KernelS   float64 // CPU seconds in kernel mode
	Collector float64 // CPU seconds of the garbage collector, as estimated by the runtime
	WakeUps   float64 // voluntary context switches
	Collected float64 // garbage collection cycles
	Objects   float64 // objects allocated
	AllocMB   float64 // 10^6 bytes allocated
	HeapMB    float64 // 10^6 bytes live after the last collection; not cumulative
	PeakMB    float64 // 1000 KiB of peak resident memory, including file-backed pages of the program; not cumulative
}

// Runtime metrics that ReadUsage reads.
const (
	metricCollector = "/cpu/classes/gc/total:cpu-seconds"
	metricHeapLive  = "/gc/heap/live:bytes"
	metricObjects   = "/gc/heap/allocs:objects"
	metricAllocated = "/gc/heap/allocs:bytes"
	metricCycles    = "/gc/cycles/total:gc-cycles"
)

// ReadUsage returns the usage of this process since its start. Values that can't be read are 0.
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

// readRuntime returns metrics of the Go runtime by name. Metrics that the runtime does not
// support are missing from the result, so that they read as 0.
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

// Since returns the usage since an earlier reading of the same process. HeapMB and PeakMB are not
// cumulative and keep their later values.
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

// add adds all fields of the usage of another process.
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

// Recording is a running recording of this process's CPU profile and usage.
type Recording struct {
	path      string // without the extension
	out       *os.File
	startedAt time.Time
	start     Usage
}

const (
	profileExtension = ".pprof"
	usageExtension   = ".json"
)

// StartRecording starts writing a CPU profile of this process to DIR/NAME.PID.pprof, for
// `go tool pprof`. Only one recording can run at a time. [Recording.Close] writes the usage to
// DIR/NAME.PID.json, which [WriteUsageReport] reads.
func StartRecording(dir, name string) (*Recording, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s.%d", strings.ReplaceAll(name, "/", "-"), os.Getpid()))
	out, err := os.Create(path + profileExtension)
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, errors.Join(fmt.Errorf("telemetry: %w", err), out.Close())
	}
	return &Recording{path: path, out: out, startedAt: time.Now(), start: ReadUsage()}, nil
}

// Close ends the profile and writes the usage since the start of the recording.
func (r *Recording) Close() error {
	used := ReadUsage().Since(r.start)
	used.WallS = time.Since(r.startedAt).Seconds()
	pprof.StopCPUProfile()
	data, err := json.Marshal(used)
	if err == nil {
		err = os.WriteFile(r.path+usageExtension, data, 0o644)
	}
	return errors.Join(err, r.out.Close())
}

// WriteUsageReport writes a human-readable report with the mean usage of the processes whose
// recordings are in a directory. A process that was killed has not written its usage and is not
// included. It returns an error if there are no usage files or one can't be read.
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
		return fmt.Errorf("telemetry: no usage recorded in %s", dir)
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

// writeMeans writes the means of a sum over a number of processes.
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

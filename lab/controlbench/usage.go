package controlbench

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process used in some time, as the kernel counts it (proc(5)).
type Usage struct {
	CPU time.Duration // counted in steps of 10 ms
	// Waited is how long its threads were ready and had no processor: what a busy machine
	// adds to its times.
	Waited time.Duration
	// Bytes that it read and wrote, from and to sockets, files and all else, and by how
	// many calls; and those that went to disk.
	Read, Written int64
	Reads, Writes int64
	Disk          int64
	pid           int
	OwnMB, HeapMB float64 // at the end: memory of its own, and what its last collection left on the heap
}

// since is what was used since an earlier look. Of a process that was started in
// between all counts.
func (u Usage) since(b Usage) Usage {
	if u.pid != b.pid {
		return u
	}
	u.CPU -= b.CPU
	u.Waited -= b.Waited
	u.Read -= b.Read
	u.Written -= b.Written
	u.Reads -= b.Reads
	u.Writes -= b.Writes
	u.Disk -= b.Disk
	return u
}

// tick is what /proc counts processor time in (sysconf(_SC_CLK_TCK) is 100 on Linux).
const tick = 10 * time.Millisecond

// usage is what each process has used since its start.
func (r *run) usage() (out []Usage) {
	for _, p := range r.members() {
		u := Usage{pid: p.pid, Waited: waited(p.pid), OwnMB: ownMB(p.pid), HeapMB: heapMB(filepath.Join(p.home, "log"))}
		if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid)); err == nil {
			// Fields 14 and 15, counted behind the name in brackets.
			if f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:])); len(f) > 12 {
				for _, v := range f[11:13] {
					if n, err := strconv.ParseInt(v, 10, 64); err == nil {
						u.CPU += time.Duration(n) * tick
					}
				}
			}
		}
		if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.pid)); err == nil {
			fields := map[string]*int64{"rchar": &u.Read, "wchar": &u.Written, "syscr": &u.Reads, "syscw": &u.Writes, "write_bytes": &u.Disk}
			for line := range strings.Lines(string(data)) {
				name, v, _ := strings.Cut(strings.TrimSpace(line), ": ")
				if at := fields[name]; at != nil {
					*at, _ = strconv.ParseInt(v, 10, 64) // the kernel's own figures
				}
			}
		}
		out = append(out, u)
	}
	return out
}

// sampleEvery is how often memory is looked at: the kernel keeps no peak of it.
const sampleEvery = 10 * time.Millisecond

// sample keeps the peaks of the processes' own memory until the context ends.
func (r *run) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range r.members() {
			if mb := ownMB(p.pid); mb > p.peakMB.Load() {
				p.peakMB.Store(mb)
			}
		}
	}
}

// ownMB is the memory that a process has for itself: pages of the program's file,
// which all processes of a machine share, are left out. 0 where that can't be had.
func ownMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 && err == nil {
			return kb / 1000
		}
	}
	return 0
}

// waited is how long a process's threads have waited for a processor, those that have
// ended left out. 0 where that can't be had.
func waited(pid int) (d time.Duration) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, t := range tasks {
		data, err := os.ReadFile(t)
		if f := strings.Fields(string(data)); err == nil && len(f) == 3 {
			if ns, err := strconv.ParseInt(f[1], 10, 64); err == nil {
				d += time.Duration(ns)
			}
		}
	}
	return d
}

// heapMB is what the last collection left on the heap, as GODEBUG=gctrace=1 has it in
// the log: "gc 12 @3.1s 2%: ..., 7->8->4 MB, ...". In whole MB.
func heapMB(log string) float64 {
	data, err := os.ReadFile(log)
	if err != nil {
		return 0
	}
	for lines := strings.Split(string(data), "\n"); len(lines) > 0; lines = lines[:len(lines)-1] {
		line := lines[len(lines)-1]
		if !strings.HasPrefix(line, "gc ") {
			continue
		}
		for part := range strings.SplitSeq(line, ", ") {
			var a, b, left float64
			if n, err := fmt.Sscanf(part, "%f->%f->%f MB", &a, &b, &left); n == 3 && err == nil {
				return left
			}
		}
	}
	return 0
}

// folderMB is what files below a folder have, in MB.
func folderMB(dir string) float64 {
	var sum int64
	// What goes while it is looked at is not counted.
	filepath.WalkDir(filepath.Join(dir, "data"), func(_ string, d fs.DirEntry, err error) error {
		if err != nil {
			return nil
		}
		if info, err := d.Info(); err == nil && !d.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return float64(sum) / 1e6
}

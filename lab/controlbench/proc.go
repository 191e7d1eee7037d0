package controlbench

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is what /proc counts processor time in (sysconf(_SC_CLK_TCK) is 100 on Linux).
	clockTick = 10 * time.Millisecond
	// userTimeField is the place of utime in /proc/PID/stat, counted behind the name in brackets; stime
	// follows it.
	userTimeField = 11
	// schedstatFields is how many fields /proc/PID/task/TID/schedstat has; the second is the time that
	// the thread waited for a processor.
	schedstatFields = 3

	bytesPerMB = 1e6
	kbPerMB    = 1000
)

// usage is what the member's process has used since its start. What can't be read is 0.
func (m *member) usage() Usage {
	u := Usage{
		pid:    m.pid,
		CPU:    processorTime(m.pid),
		Waited: waitTime(m.pid),
		OwnMB:  ownMB(m.pid),
		HeapMB: heapMB(filepath.Join(m.home, logFile)),
	}
	u.readIO()
	return u
}

// processorTime is the processor time of a process, in user mode and in the kernel.
func processorTime(pid int) (total time.Duration) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < userTimeField+2 {
		return 0
	}
	for _, field := range fields[userTimeField : userTimeField+2] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0
		}
		total += time.Duration(ticks) * clockTick
	}
	return total
}

// readIO reads what the process has read and written.
func (u *Usage) readIO() {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", u.pid))
	if err != nil {
		return
	}
	fields := map[string]*int64{
		"rchar":       &u.ReadBytes,
		"wchar":       &u.WrittenBytes,
		"write_bytes": &u.DiskBytes,
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if field := fields[name]; field != nil {
			*field, _ = strconv.ParseInt(value, 10, 64) // the kernel's own figures
		}
	}
}

// ownMB is the memory that a process has for itself: pages of the program's file, which all
// processes of a machine share, are left out. 0 where that can't be read.
func ownMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 && err == nil {
			return kb / kbPerMB
		}
	}
	return 0
}

// waitTime is how long a process's threads have waited for a processor, those that have ended
// left out. 0 where that can't be read.
func waitTime(pid int) (total time.Duration) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0
	}
	for _, path := range threads {
		data, err := os.ReadFile(path)
		fields := strings.Fields(string(data))
		if err != nil || len(fields) != schedstatFields {
			continue
		}
		if ns, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			total += time.Duration(ns)
		}
	}
	return total
}

// heapMB is what the last collection left on the heap, as GODEBUG=gctrace=1 has it in the log:
// "gc 12 @3.1s 2%: ..., 7->8->4 MB, ...". In whole MB; 0 where there was none.
func heapMB(log string) float64 {
	data, err := os.ReadFile(log)
	if err != nil {
		return 0
	}
	for lines := strings.Split(string(data), "\n"); len(lines) > 0; lines = lines[:len(lines)-1] {
		if left, ok := parseGCTrace(lines[len(lines)-1]); ok {
			return left
		}
	}
	return 0
}

// parseGCTrace reads what a collection left on the heap, in MB.
func parseGCTrace(line string) (left float64, ok bool) {
	if !strings.HasPrefix(line, "gc ") {
		return 0, false
	}
	for part := range strings.SplitSeq(line, ", ") {
		var begun, ended float64
		if n, err := fmt.Sscanf(part, "%f->%f->%f MB", &begun, &ended, &left); n == 3 && err == nil {
			return left, true
		}
	}
	return 0, false
}

// folderMB is the size of a member's files, in MB. What is removed meanwhile is not counted.
func folderMB(home string) float64 {
	var sum int64
	count := func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	}
	_ = filepath.WalkDir(filepath.Join(home, dataDir), count) // count returns no error
	return float64(sum) / bytesPerMB
}

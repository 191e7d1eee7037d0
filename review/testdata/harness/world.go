package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The machines: two in each of three zones, the first of each with a disk.
const (
	machinesPerZone = 2
	firstPort       = 21000
	portStep        = 40
	portRows        = 900
)

// Ports of a machine, counted from the first of its row.
const (
	frontPort = iota
	readyPort
	controlPort
	_
	internalPort
	lastInternal = internalPort + 15
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 8 * time.Second
	pollEvery    = 100 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// world is the deployment with its stand-ins.
type world struct {
	dir, program string
	trouble      bool // play the disruption
	log          *record
	machines     []*machine
	platform     *platform
	operator     *operator
	ports        int // first port of the row
}

// machine is one machine with its gateway process.
type machine struct {
	name, zone, ip, dir string
	disk                bool

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	ends     []string // how processes that nobody ended have ended
	done     chan struct{}
}

func (w *world) addr(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, w.ports+port) }

func newWorld(dir, program string, trouble bool, log *record) (*world, error) {
	w := &world{dir: dir, program: program, trouble: trouble, log: log}
	for z, zone := range []string{"macon-hall", "warner-hall", "milledge-hall"} {
		for i := range machinesPerZone {
			m := &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, i+1),
				zone: zone,
				ip:   fmt.Sprintf("127.%d.0.%d", 61+z, 11+i),
				disk: i == 0,
			}
			m.dir = filepath.Join(dir, m.name)
			if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
				return nil, err
			}
			w.machines = append(w.machines, m)
		}
	}
	if err := w.findPorts(); err != nil {
		return nil, err
	}
	var err error
	if w.platform, err = startPlatform(log); err != nil {
		return nil, err
	}
	w.operator = &operator{world: w}
	return w, nil
}

// findPorts finds a row of ports that are free on all machines.
func (w *world) findPorts() error {
	for row := range portRows {
		w.ports = firstPort + (os.Getpid()+row)%portRows*portStep
		if w.rowIsFree() {
			return nil
		}
	}
	return fmt.Errorf("no row of free ports")
}

func (w *world) rowIsFree() bool {
	for _, m := range w.machines {
		for port := range lastInternal + 1 {
			l, err := net.Listen("tcp", w.addr(m, port))
			if err != nil {
				return false
			}
			_ = l.Close() // it has served its purpose
		}
	}
	return true
}

// start starts all machines.
func (w *world) start() error {
	for _, m := range w.machines {
		if err := w.writeSettings(m, true); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := w.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of a machine.
func (w *world) launch(m *machine) error {
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.program, "gateway")
	cmd.Env = []string{
		"ELMSPAN_NODE_FILE=" + filepath.Join(m.dir, "node.toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir,
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		defer close(done)
		_ = cmd.Wait() // how it ended is in its state
		_ = out.Close()
		w.ended(m, cmd.ProcessState)
	}()
	return nil
}

// ended notes the end of a process that nobody ended, and starts it again, as the platform does.
func (w *world) ended(m *machine, state *os.ProcessState) {
	m.mu.Lock()
	stopping := m.stopping
	if !stopping {
		m.ends = append(m.ends, state.String())
	}
	m.mu.Unlock()
	if stopping {
		return
	}
	w.log.printf("%s: its process ended by itself: %v", m.name, state)
	for _, line := range m.lastWords() {
		w.log.printf("%s says: %s", m.name, line)
	}
	time.Sleep(restartDelay)
	m.mu.Lock()
	stopping = m.stopping
	m.mu.Unlock()
	if !stopping {
		if err := w.launch(m); err != nil {
			w.log.printf("%s: can't be started again: %v", m.name, err)
		}
	}
}

// lastWords are the lines of the log that tell why a process ended.
func (m *machine) lastWords() (lines []string) {
	data, err := os.ReadFile(filepath.Join(m.dir, "log"))
	if err != nil {
		return nil
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			lines = append(lines[:0], line)
		}
	}
	return lines
}

// ownEnds is how often processes have ended by themselves.
func (w *world) ownEnds() (n int) {
	for _, m := range w.machines {
		m.mu.Lock()
		n += len(m.ends)
		m.mu.Unlock()
	}
	return n
}

// stop ends all machines and stand-ins.
func (w *world) stop() {
	var all sync.WaitGroup
	for _, m := range w.machines {
		all.Go(m.stop)
	}
	all.Wait()
	w.platform.stop()
}

// stop ends the process of a machine, with SIGTERM and after a time with SIGKILL.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopping = true
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // as above
		<-done
	}
}

// waitReady waits until all machines say that they are ready.
func (w *world) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for _, m := range w.machines {
		for !isReady(client, w.addr(m, readyPort)) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

func isReady(client *http.Client, addr string) bool {
	resp, err := client.Get("http://" + addr + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status is all
	return resp.StatusCode == http.StatusOK
}

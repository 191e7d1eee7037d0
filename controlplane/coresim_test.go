package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// faultyCluster runs real cores on simulated stores and links, with operators that replace and
// read the configuration while faults are injected. All events and delays derive from the seed.
// The order of goroutines that wake at the same instant of the synctest bubble's clock does not: a
// seed reproduces the same faults, and in most runs, but not all, the same history.
type faultyCluster struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand // draws the fault events
	net        *pipeNetwork
	machines   []*faultyMachine
	operators  sync.WaitGroup
	startCount uint64

	mu          sync.Mutex // guards the fields below, and the fields of machines and links
	faultsEnded bool       // no new faults or calls; calls in progress are completed
	failure     error      // the first violation found
	links       map[addrPair]*faultyLink
	// sentTerms maps the term of a leader, and the index of an entry that it has sent, to the
	// term of the entry.
	sentTerms            map[uint64]map[uint64]uint64
	commitIndex          uint64                     // the highest one that a leader has sent
	disks                map[raft.ID]*simulatedDisk // including lost ones
	appliedRevisions     []appliedRevision          // in the order in which members apply them
	sentCommands         map[fingerprint]input      // including unanswered ones
	refusedCommands      map[fingerprint]bool
	acknowledgedRevision uint64 // the highest one
	powerOffAllOnAck     bool   // all machines lose power at the next acknowledgement
	clock                int64  // incremented at each call and each result
	history              []porcupine.Operation
	counts               coverageCounts
}

// coverageCounts counts the events that a run must contain for its checks to be meaningful.
type coverageCounts struct {
	messages          int
	duringWrite       int // messages sent while a write was in progress
	acknowledgements  int // of entries, checked against the disk
	powerLosses       int
	interruptedWrites int // power losses during a write
	disksLost         int
	calls             int
	applied           int
}

func (n *coverageCounts) add(o *coverageCounts) {
	n.messages += o.messages
	n.duringWrite += o.duringWrite
	n.acknowledgements += o.acknowledgements
	n.powerLosses += o.powerLosses
	n.interruptedWrites += o.interruptedWrites
	n.disksLost += o.disksLost
	n.calls += o.calls
	n.applied += o.applied
}

// sufficient reports whether the counts of a number of runs are high enough.
func (n *coverageCounts) sufficient(runs int) bool {
	return n.duringWrite >= 20*runs && n.interruptedWrites >= runs && n.disksLost >= runs &&
		n.calls >= 20*runs && n.applied >= 5*runs
}

// addrPair is the sender and the receiver of one direction of a link.
type addrPair [2]string

// faultyLink is one direction of a link.
type faultyLink struct {
	rng         *rand.Rand
	partitioned bool
	maxDelay    time.Duration // of each call and each response
}

// faultyMachine runs a member, restarts it after power losses, and replaces it after disk losses.
type faultyMachine struct {
	addr    string
	rng     *rand.Rand // draws the outcome of writes
	disk    *simulatedDisk
	process *memberProcess // nil while the machine is off

	writesFailUntil, writesSlowUntil time.Time
	corrupt                          bool // detected at the next write or start
}

// memberProcess is a member from its start until it loses power.
type memberProcess struct {
	cluster  *faultyCluster
	machine  *faultyMachine
	disk     *simulatedDisk
	core     *Core
	ctx      context.Context // canceled when the machine loses power
	powerOff context.CancelFunc
	unsynced *raft.PersistentState // the state after the write in progress, nil if there is none
	ended    chan struct{}         // closed when Run has returned
	err      error                 // the error that Run returned
	stop     func()
}

var (
	errNoSpace   = errors.New("no space left")
	errPowerLost = errors.New("power lost")
)

func newFaultyCluster(t *testing.T, seed uint64, machines int) *faultyCluster {
	t.Helper()
	c := &faultyCluster{
		t:               t,
		seed:            seed,
		rng:             rand.New(rand.NewPCG(seed, 21)),
		net:             newPipeNetwork(),
		links:           map[addrPair]*faultyLink{},
		sentTerms:       map[uint64]map[uint64]uint64{},
		disks:           map[raft.ID]*simulatedDisk{},
		sentCommands:    map[fingerprint]input{},
		refusedCommands: map[fingerprint]bool{},
	}
	for i := range machines {
		c.machines = append(c.machines, &faultyMachine{
			addr: c.net.newAddr(),
			rng:  rand.New(rand.NewPCG(seed, 100+uint64(i))),
			disk: &simulatedDisk{},
		})
	}
	for i, a := range c.machines {
		for j, b := range c.machines {
			c.links[addrPair{a.addr, b.addr}] = &faultyLink{
				rng: rand.New(rand.NewPCG(seed, uint64(1000+100*i+j))),
			}
		}
	}
	return c
}

func (c *faultyCluster) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// fail records a violation.
func (c *faultyCluster) fail(format string, args ...any) {
	c.locked(func() { c.failLocked(format, args...) })
}

// failLocked is fail for callers that hold the mutex. Only the first violation is kept.
func (c *faultyCluster) failLocked(format string, args ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf(format, args...)
	}
}

func (c *faultyCluster) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

func (c *faultyCluster) addrs() []string {
	var addrs []string
	for _, m := range c.machines {
		addrs = append(addrs, m.addr)
	}
	return addrs
}

// start powers a machine on and runs a member on its disk.
func (c *faultyCluster) start(m *faultyMachine, bootstrap bool) {
	c.t.Helper()
	c.startCount++
	c.locked(func() {
		if m.corrupt && m.disk.id != 0 { // the corruption is detected at the start
			c.loseDisk(m)
		}
	})
	p := &memberProcess{
		cluster: c,
		machine: m,
		disk:    m.disk,
		ended:   make(chan struct{}),
	}
	p.ctx, p.powerOff = context.WithCancel(context.Background())
	conns := api.NewConnPool(nil,
		grpc.WithContextDialer(c.net.dial),
		grpc.WithUnaryInterceptor(p.interceptCall))
	p.core = c.newCore(p, conns, bootstrap)
	server, listener := api.NewServer(nil), c.net.listen(m.addr)
	api.RegisterControl(server, p.core)
	go serveUntilStopped(server, listener)
	go func() {
		p.err = p.core.Run(p.ctx)
		close(p.ended)
	}()
	p.stop = func() {
		server.Stop()
		<-p.ended
		conns.Close()
	}
	c.locked(func() {
		c.disks[p.disk.id] = p.disk
		m.process = p
	})
}

// newCore creates the core of a member on its disk. With an even seed it takes snapshots more
// often than in production.
func (c *faultyCluster) newCore(p *memberProcess, conns *api.ConnPool, bootstrap bool) *Core {
	c.t.Helper()
	cfg := CoreConfig{
		Addr:      p.machine.addr,
		Seeds:     c.addrs(),
		Bootstrap: bootstrap,
		Voters:    len(c.machines),
		Store:     p,
		Conns:     conns,
		Log:       slog.New(slog.DiscardHandler),
		Seed:      c.seed<<16 + c.startCount,
	}
	core, err := NewCore(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.seed%2 != 0 {
		return core
	}
	stored, err := p.Load()
	if err != nil {
		c.t.Fatal(err)
	}
	core.host.node = raft.New(raft.Config{
		ID:               core.host.id,
		ElectionTicks:    electionTicks,
		HeartbeatTicks:   heartbeatTicks,
		Seed:             cfg.Seed,
		ValidateSnapshot: core.store.checkSnapshot,
		SnapshotEntries:  12,
		TrailingEntries:  3,
	}, stored)
	return core
}

// powerOff makes machines lose power at the same instant. A write in progress is either durable as a
// whole or lost.
func (c *faultyCluster) powerOff(machines ...*faultyMachine) {
	var stopped []*memberProcess
	c.locked(func() {
		for _, m := range machines {
			p := m.process
			if p == nil {
				continue
			}
			if p.unsynced != nil {
				c.counts.interruptedWrites++
				if m.rng.IntN(2) == 0 {
					p.disk.stored = *p.unsynced
				}
			}
			m.process = nil
			p.powerOff()
			stopped = append(stopped, p)
			c.counts.powerLosses++
		}
	})
	for _, p := range stopped {
		p.stop()
	}
}

// loseDisk replaces the disk of a machine by an empty one, for a member with a new id. The caller
// holds the mutex.
func (c *faultyCluster) loseDisk(m *faultyMachine) {
	c.counts.disksLost++
	m.corrupt = false
	m.disk = &simulatedDisk{id: raft.ID(c.seed<<20 + uint64(c.counts.disksLost)*2 + 1<<40)}
}

// run injects a number of faults, ends all faults, waits for convergence and checks the history. It
// returns the first violation.
func (c *faultyCluster) run(faults int) error {
	for _, m := range c.machines {
		c.start(m, true)
	}
	defer func() {
		c.powerOff(c.machines...)
		c.operators.Wait()
	}()
	for id := range 4 {
		c.operators.Go(func() { c.runOperator(id) })
	}
	for range faults {
		time.Sleep(time.Duration(20+c.rng.IntN(700)) * time.Millisecond)
		c.injectFault()
		c.startSomeMachines()
		c.superviseMembers()
		if err := c.failed(); err != nil {
			return err
		}
	}
	c.endFaults()
	if err := c.awaitConvergence(); err != nil {
		return err
	}
	return c.checkHistory()
}

// startSomeMachines starts each machine that is off with a probability of one in three.
func (c *faultyCluster) startSomeMachines() {
	for _, m := range c.machines {
		off := false
		c.locked(func() { off = m.process == nil })
		if c.rng.IntN(3) == 0 && off {
			c.start(m, false)
		}
	}
}

// endFaults repairs the links and stops the injection of faults and new calls.
func (c *faultyCluster) endFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEnded, c.powerOffAllOnAck = true, false
	c.repairLinks()
}

// awaitConvergence waits until all machines have applied the same revisions. It then submits one
// more command, at which one machine detects a corrupt disk, and waits until that machine has
// caught up too.
func (c *faultyCluster) awaitConvergence() error {
	operatorsDone := make(chan struct{})
	go func() {
		c.operators.Wait()
		close(operatorsDone)
	}()
	var corrupted *faultyMachine // nil until the last command is sent
	for range 1200 {
		for _, m := range c.machines {
			if m.process == nil {
				c.start(m, false)
			}
		}
		c.superviseMembers()
		if err := c.failed(); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
		select {
		case <-operatorsDone:
		default:
			continue
		}
		switch {
		case !c.converged():
		case corrupted == nil && c.canLoseDisk():
			corrupted = c.machines[c.rng.IntN(len(c.machines))]
			if err := c.sendLastCommand(corrupted); err != nil {
				return err
			}
		case corrupted != nil && !corrupted.corrupt:
			return nil
		}
	}
	return errors.New("members have not converged a minute after the last fault")
}

// sendLastCommand submits a command, at which the given machine detects that its disk is corrupt.
func (c *faultyCluster) sendLastCommand(m *faultyMachine) error {
	c.locked(func() { m.corrupt = true })
	newest := uint64(0)
	if n := len(c.appliedRevisions); n > 0 {
		newest = c.appliedRevisions[n-1].Revision
	}
	call := input{base: newest, revision: newest + 1}
	result := c.submit(0, rand.New(rand.NewPCG(c.seed, 499)), call, "last")
	if result.status != http.StatusOK {
		return fmt.Errorf("the last command was answered with status %d", result.status)
	}
	return nil
}

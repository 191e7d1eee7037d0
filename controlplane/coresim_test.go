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

// faultyCluster are real cores over stores and links of the test, operators that replace and
// read the configuration, and faults. All events and delays come from the seed. In which order
// goroutines run that wake at the same instant of the bubble's clock does not: a seed gives
// the same faults, and mostly, not always, the same history.
type faultyCluster struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand // of the events
	net       *pipeNetwork
	machines  []*faultyMachine
	operators sync.WaitGroup
	starts    uint64

	mu      sync.Mutex // guards all that follows and the fields of machines and links
	calm    bool       // no more faults, and no more calls but those under way
	failure error      // the first broken rule
	links   map[addrPair]*faultyLink
	// sentTerms are the terms of entries, by index, that the leader of a term has sent.
	sentTerms     map[uint64]map[uint64]uint64
	commitIndex   uint64                     // the highest that a leader has sent
	disks         map[raft.ID]*simulatedDisk // all there ever were
	chain         []appliedRevision          // what members have applied
	commands      map[fingerprint]input      // all that were sent
	refused       map[fingerprint]bool
	acknowledged  uint64 // the highest revision
	failAllAtNext bool   // all lose power at the next acknowledgement
	clock         int64  // rises with each call and result
	history       []porcupine.Operation
	counts        faultCounts
}

// faultCounts show whether a run shows anything.
type faultCounts struct {
	messages         int
	besideWrite      int // messages that were sent while a write was under way
	acknowledgements int // of entries, that were checked
	powerLosses      int
	tornWrites       int // losses of power in a write
	disksLost        int
	calls            int
	applied          int
}

func (n *faultCounts) add(o *faultCounts) {
	n.messages += o.messages
	n.besideWrite += o.besideWrite
	n.acknowledgements += o.acknowledgements
	n.powerLosses += o.powerLosses
	n.tornWrites += o.tornWrites
	n.disksLost += o.disksLost
	n.calls += o.calls
	n.applied += o.applied
}

// enough reports whether so many runs show anything.
func (n *faultCounts) enough(runs int) bool {
	return n.besideWrite >= 20*runs && n.tornWrites >= runs && n.disksLost >= runs &&
		n.calls >= 20*runs && n.applied >= 5*runs
}

// addrPair is one direction between two machines: from, to.
type addrPair [2]string

// faultyLink is one direction of a link.
type faultyLink struct {
	rng         *rand.Rand
	partitioned bool
	slow        time.Duration // the longest delay
}

// faultyMachine runs one member after the other.
type faultyMachine struct {
	addr    string
	rng     *rand.Rand // of its writes
	disk    *simulatedDisk
	process *memberProcess // nil: without power

	failsUntil, slowUntil time.Time
	corrupt               bool // the next write finds it out
}

// memberProcess is a member from its start to a loss of power.
type memberProcess struct {
	cluster  *faultyCluster
	machine  *faultyMachine
	disk     *simulatedDisk
	core     *Core
	ctx      context.Context // until it loses power
	powerOff context.CancelFunc
	unsynced *raft.PersistentState // what the write that is under way is to leave
	ended    chan struct{}         // closed when Run has returned
	err      error                 // what Run has returned
	stop     func()
}

var (
	errNoSpace   = errors.New("no space left")
	errPowerLost = errors.New("power is lost")
)

func newFaultyCluster(t *testing.T, seed uint64, machines int) *faultyCluster {
	t.Helper()
	c := &faultyCluster{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 21)),
		net:       newPipeNetwork(),
		links:     map[addrPair]*faultyLink{},
		sentTerms: map[uint64]map[uint64]uint64{},
		disks:     map[raft.ID]*simulatedDisk{},
		commands:  map[fingerprint]input{},
		refused:   map[fingerprint]bool{},
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

// fail notes that a rule is broken.
func (c *faultyCluster) fail(format string, args ...any) {
	c.locked(func() { c.failLocked(format, args...) })
}

// failLocked is fail under the mutex. The first failure counts.
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

// start has a machine's power come back.
func (c *faultyCluster) start(m *faultyMachine, bootstrap bool) {
	c.t.Helper()
	c.starts++
	c.locked(func() {
		if m.corrupt && m.disk.id != 0 { // found at the start
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

// newCore opens a member over its disk. In every second run it makes snapshots often.
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
		Seed:      c.seed<<16 + c.starts,
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

// powerOff has machines lose power at one moment. A write that is under way is kept whole, or
// nothing of it is.
func (c *faultyCluster) powerOff(machines ...*faultyMachine) {
	var stopped []*memberProcess
	c.locked(func() {
		for _, m := range machines {
			p := m.process
			if p == nil {
				continue
			}
			if p.unsynced != nil {
				c.counts.tornWrites++
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

// loseDisk puts an empty disk, of a member with a new id, in the place of a machine's. Called
// under the mutex.
func (c *faultyCluster) loseDisk(m *faultyMachine) {
	c.counts.disksLost++
	m.corrupt = false
	m.disk = &simulatedDisk{id: raft.ID(c.seed<<20 + uint64(c.counts.disksLost)*2 + 1<<40)}
}

// play has a number of faults happen, then calm come. It returns the first broken rule.
func (c *faultyCluster) play(faults int) error {
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
		c.startSome()
		c.superviseMembers()
		if err := c.failed(); err != nil {
			return err
		}
	}
	c.beCalm()
	if err := c.awaitConvergence(); err != nil {
		return err
	}
	return c.checkHistory()
}

// startSome starts one in three of the machines that are off.
func (c *faultyCluster) startSome() {
	for _, m := range c.machines {
		off := false
		c.locked(func() { off = m.process == nil })
		if c.rng.IntN(3) == 0 && off {
			c.start(m, false)
		}
	}
}

// beCalm ends all faults.
func (c *faultyCluster) beCalm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calm, c.failAllAtNext = true, false
	c.repairLinks()
}

// awaitConvergence waits until all machines have applied the same. Then one more command is sent, at
// which a disk is found corrupt, and it waits until its machine has caught up too.
func (c *faultyCluster) awaitConvergence() error {
	operatorsDone := make(chan struct{})
	go func() {
		c.operators.Wait()
		close(operatorsDone)
	}()
	var last *faultyMachine // the one with the corrupt disk
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
		case last == nil && c.canLoseDisk():
			last = c.machines[c.rng.IntN(len(c.machines))]
			if err := c.sendLastCommand(last); err != nil {
				return err
			}
		case last != nil && !last.corrupt:
			return nil
		}
	}
	return errors.New("the members have not converged after a minute of calm")
}

// sendLastCommand sends a command, at which a machine finds its disk corrupt.
func (c *faultyCluster) sendLastCommand(corrupt *faultyMachine) error {
	c.locked(func() { corrupt.corrupt = true })
	newest := uint64(0)
	if n := len(c.chain); n > 0 {
		newest = c.chain[n-1].Revision
	}
	call := input{base: newest, revision: newest + 1}
	result := c.submit(0, rand.New(rand.NewPCG(c.seed, 499)), call, "last")
	if result.status != http.StatusOK {
		return fmt.Errorf("the last command is answered %d", result.status)
	}
	return nil
}

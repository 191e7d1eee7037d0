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

// coreWorld are real cores over stores and links of the test, operators that bring orders
// and read, and what strikes them. All events and delays come from the seed. In which order
// goroutines run that wake at the same instant of the bubble's clock does not: a seed gives
// the same troubles, and mostly, not always, the same history.
type coreWorld struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand // of the events
	net      *network
	machines []*coreMachine
	all      sync.WaitGroup // operators
	starts   uint64

	mu      sync.Mutex
	calm    bool // no more troubles, and no more orders but those in hand
	fault   error
	links   map[[2]string]*trouble
	told    map[uint64]map[uint64]uint64 // by the leader of a term: the terms of entries
	agreed  uint64                       // the highest index that a leader has told to be
	stores  map[raft.ID]*platter         // all that ever were
	chain   []appliedRevision
	orders  map[fingerprint]input
	refused map[fingerprint]bool
	acked   uint64 // the highest revision that was acknowledged
	trap    bool   // all lose power at the next acknowledgement
	clock   int64
	history []porcupine.Operation
	seen    struct{ sent, beside, torn, powers, lost, taken, calls, checked int }
}

// trouble is that of a link, one way.
type trouble struct {
	rng  *rand.Rand
	cut  bool
	slow time.Duration
}

// coreMachine holds one member after the other.
type coreMachine struct {
	addr    string
	rng     *rand.Rand // of its writes
	platter *platter
	life    *life // nil: without power

	fails, slow time.Time // until then
	corrupt     bool      // the next write says so
}

// life is a member from its start to a loss of power.
type life struct {
	w       *coreWorld
	m       *coreMachine
	p       *platter
	core    *Core
	ctx     context.Context
	over    context.CancelFunc    // power is lost
	pending *raft.PersistentState // what a write is to leave, while it is under way
	ended   chan struct{}         // Run has returned
	err     error                 // ... with this
	stop    func()
}

var errDisk, errPower = errors.New("no space left"), errors.New("power is lost")

func newCoreWorld(t *testing.T, seed uint64, machines int) *coreWorld {
	w := &coreWorld{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 21)), net: newNetwork(), links: map[[2]string]*trouble{},
		told: map[uint64]map[uint64]uint64{}, stores: map[raft.ID]*platter{}, orders: map[fingerprint]input{}, refused: map[fingerprint]bool{}}
	for i := range machines {
		w.machines = append(w.machines, &coreMachine{addr: w.net.addr(), rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), platter: &platter{}})
	}
	for i, a := range w.machines {
		for j, b := range w.machines {
			w.links[[2]string{a.addr, b.addr}] = &trouble{rng: rand.New(rand.NewPCG(seed, uint64(1000+100*i+j)))}
		}
	}
	return w
}

func (w *coreWorld) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed(format, args...)
}

// failed is fail under the mutex. The first counts.
func (w *coreWorld) failed(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

func (w *coreWorld) seeds() (out []string) {
	for _, m := range w.machines {
		out = append(out, m.addr)
	}
	return out
}

// start has a machine's power come back.
func (w *coreWorld) start(m *coreMachine, bootstrap bool) {
	w.starts++
	w.mu.Lock()
	if m.corrupt && m.platter.id != 0 { // found at the start
		w.forget(m)
	}
	w.mu.Unlock()
	l := &life{w: w, m: m, p: m.platter, ended: make(chan struct{})}
	l.ctx, l.over = context.WithCancel(context.Background())
	conns := api.NewConnPool(nil, grpc.WithContextDialer(w.net.dial), grpc.WithUnaryInterceptor(l.carryCall))
	cfg := CoreConfig{Addr: m.addr, Seeds: w.seeds(), Bootstrap: bootstrap, Voters: len(w.machines), Store: l, Conns: conns,
		Log: slog.New(slog.DiscardHandler), Seed: w.seed<<16 + w.starts}
	core, err := NewCore(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.seed%2 == 0 { // snapshots, often
		st, _ := l.Load()
		core.host.node = raft.New(raft.Config{ID: core.host.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: cfg.Seed,
			ValidateSnapshot: core.store.checkSnapshot, SnapshotEntries: 12, TrailingEntries: 3}, st)
	}
	l.core = core
	srv, lis := api.NewServer(nil), w.net.listen(m.addr)
	api.RegisterControl(srv, core)
	go srv.Serve(lis)
	go func() {
		l.err = core.Run(l.ctx)
		close(l.ended)
	}()
	l.stop = func() {
		srv.Stop()
		<-l.ended
		conns.Close()
	}
	w.mu.Lock()
	w.stores[l.p.id] = l.p
	m.life = l
	w.mu.Unlock()
}

// powerOff has machines lose power at one moment. A write that is under way is
// kept whole, or nothing of it is.
func (w *coreWorld) powerOff(ms ...*coreMachine) {
	var ls []*life
	w.mu.Lock()
	for _, m := range ms {
		l := m.life
		if l == nil {
			continue
		}
		if l.pending != nil {
			w.seen.torn++
			if m.rng.IntN(2) == 0 {
				l.p.stored = *l.pending
			}
		}
		m.life = nil
		l.over()
		ls = append(ls, l)
		w.seen.powers++
	}
	w.mu.Unlock()
	for _, l := range ls {
		l.stop()
	}
}

// forget has the machine's store be lost: an empty one, under a new id, is in its place.
// Called under the mutex.
func (w *coreWorld) forget(m *coreMachine) {
	w.seen.lost++
	m.corrupt, m.platter = false, &platter{id: raft.ID(w.seed<<20 + uint64(w.seen.lost)*2 + 1<<40)}
}

// play has all of it happen, then calm come.
func (w *coreWorld) play(events int) error {
	for _, m := range w.machines {
		w.start(m, true)
	}
	defer func() {
		w.powerOff(w.machines...)
		w.all.Wait()
	}()
	for id := range 4 {
		w.all.Go(func() { w.operate(id) })
	}
	for range events {
		time.Sleep(time.Duration(20+w.rng.IntN(700)) * time.Millisecond)
		w.strike()
		for _, m := range w.machines {
			w.mu.Lock()
			off := m.life == nil
			w.mu.Unlock()
			if w.rng.IntN(3) == 0 && off {
				w.start(m, false)
			}
		}
		if w.tend(); w.failure() != nil {
			return w.failure()
		}
	}
	w.mu.Lock()
	w.calm, w.trap = true, false
	for _, k := range w.links {
		k.cut, k.slow = false, 0
	}
	w.mu.Unlock()
	var last *coreMachine
	ops := make(chan struct{})
	go func() { w.all.Wait(); close(ops) }()
	for range 1200 {
		for _, m := range w.machines {
			if m.life == nil {
				w.start(m, false)
			}
		}
		if w.tend(); w.failure() != nil {
			return w.failure()
		}
		time.Sleep(50 * time.Millisecond)
		select {
		case <-ops:
			if !w.level() {
				continue
			}
			if last == nil && w.whole() { // one more order, at which a store says that it is corrupt
				last = w.machines[w.rng.IntN(len(w.machines))]
				w.mu.Lock()
				last.corrupt = true
				w.mu.Unlock()
				newest := uint64(0)
				if n := len(w.chain); n > 0 {
					newest = w.chain[n-1].Revision
				}
				if out, _ := w.bring(0, rand.New(rand.NewPCG(w.seed, 499)), input{base: newest, revision: newest + 1}, "last"); out.status != http.StatusOK {
					return fmt.Errorf("the last order is answered %d", out.status)
				}
			} else if last != nil && !last.corrupt {
				return w.verdict()
			}
		default:
		}
	}
	return errors.New("not all are together after a minute of calm")
}

func (w *coreWorld) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

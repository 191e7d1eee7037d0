package controlplane

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

var coreSeeds = flag.Uint64("core.seeds", 24, "runs of TestCoresUnderFaults")

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
	chain   []taken
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

// platter is what a store keeps over a loss of power.
type platter struct {
	id     raft.ID
	stored raft.Stored
}

// holds tells whether an entry is stored.
func (p *platter) holds(index, term uint64) bool {
	if index <= p.stored.Snapshot.Index {
		return true
	}
	i := index - p.stored.Snapshot.Index - 1
	return i < uint64(len(p.stored.Entries)) && p.stored.Entries[i].Term == term
}

// life is a member from its start to a loss of power.
type life struct {
	w       *coreWorld
	m       *coreMachine
	p       *platter
	core    *Core
	ctx     context.Context
	over    context.CancelFunc // power is lost
	pending *raft.Stored       // what a write is to leave, while it is under way
	ended   chan struct{}      // Run has returned
	err     error              // ... with this
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
	conns := api.NewConns(nil, grpc.WithContextDialer(w.net.dial), grpc.WithUnaryInterceptor(l.carryCall))
	cfg := CoreConfig{Addr: m.addr, Seeds: w.seeds(), Bootstrap: bootstrap, Voters: len(w.machines), Store: l, Conns: conns,
		Log: slog.New(slog.DiscardHandler), Seed: w.seed<<16 + w.starts}
	core, err := NewCore(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.seed%2 == 0 { // snapshots, often
		st, _ := l.Load()
		core.node = raft.New(raft.Config{ID: core.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: cfg.Seed,
			Check: core.check, LogEntries: 12, TailEntries: 3}, st)
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

// ---- The store ----

func (l *life) Identity() (raft.ID, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.p.id, nil
}

func (l *life) Load() (raft.Stored, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	st := l.p.stored
	st.Entries = slices.Clone(st.Entries)
	return st, nil
}

func (l *life) Begin(id raft.ID, first raft.Snapshot) error {
	return l.write(func(p *platter) { *p = platter{id: id, stored: raft.Stored{Snapshot: first}} })
}

func (l *life) Save(r raft.Ready) error {
	return l.write(func(p *platter) {
		s := &p.stored
		if r.Hard != nil {
			s.Hard = *r.Hard
		}
		if r.Snapshot != nil {
			s.Snapshot, s.Entries = *r.Snapshot, nil
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - s.Snapshot.Index - 1
			s.Entries = append(slices.Clone(s.Entries[:keep]), r.Entries...)
		}
	})
}

func (l *life) Compact(snap raft.Snapshot) error {
	return l.write(func(p *platter) {
		if s := &p.stored; snap.Index > s.Snapshot.Index {
			s.Entries, s.Snapshot = slices.Clone(s.Entries[snap.Index-s.Snapshot.Index:]), snap
		}
	})
}

// write takes its time, and lasts when it returns. One that fails may have been kept.
func (l *life) write(change func(*platter)) error {
	w, m := l.w, l.m
	w.mu.Lock()
	if l.ctx.Err() != nil {
		w.mu.Unlock()
		return errPower
	}
	next := *l.p
	change(&next)
	l.pending = &next.stored
	now := time.Now()
	takes := time.Duration(1+m.rng.IntN(20)) * time.Millisecond
	if !w.calm && (now.Before(m.slow) || m.rng.IntN(50) == 0) {
		takes = time.Duration(1+m.rng.IntN(2000)) * time.Millisecond
	}
	fails, kept, corrupt := now.Before(m.fails) && !w.calm, m.rng.IntN(4) == 0, m.corrupt
	w.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-l.ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.pending = nil
	switch {
	case l.ctx.Err() != nil: // powerOff has decided what is kept
		return errPower
	case corrupt && m.corrupt:
		return fmt.Errorf("%w: something promised is gone", storage.ErrCorrupt)
	case fails && !kept:
		return errDisk
	}
	*l.p = next
	if fails {
		return errDisk
	}
	return nil
}

// ---- The links ----

// carryCall is on the way of each call that the member makes.
func (l *life) carryCall(ctx context.Context, method string, q, r any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	to := strings.TrimPrefix(conn.Target(), "passthrough:///")
	if d, ok := q.(*api.Deliver); ok {
		l.leave(d)
	}
	if err := l.w.pass(ctx, l, l.m.addr, to); err != nil {
		return err
	}
	if err := invoke(ctx, method, q, r, conn, opts...); err != nil {
		return err
	}
	return l.w.pass(ctx, l, to, l.m.addr)
}

// pass carries something one way: it takes a while, or it is lost and the caller gives up.
func (w *coreWorld) pass(ctx context.Context, l *life, from, to string) error {
	w.mu.Lock()
	link := w.links[[2]string{from, to}]
	cut, wait := link.cut, time.Duration(0)
	if link.slow > 0 {
		wait = time.Duration(link.rng.Int64N(int64(link.slow)))
	}
	w.mu.Unlock()
	if cut || l.ctx.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// leave holds what leaves a member against what its store holds at this moment.
func (l *life) leave(d *api.Deliver) {
	w := l.w
	l.core.mu.Lock()
	role, term, sets := l.core.node.Role(), l.core.node.Term(), l.core.node.Members()
	l.core.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	if d.Part != nil {
		w.failed("a message in parts: it is not looked at")
	}
	for i := range d.Messages {
		m := &d.Messages[i]
		w.seen.sent++
		if l.pending != nil {
			w.seen.beside++
		}
		if why := w.promises(l.p, m, role == raft.Candidate && m.Term == term); why != "" {
			w.failed("%x: %s leaves, and its store holds term %d, vote %x, up to %d: %+v", uint64(l.p.id), why,
				l.p.stored.Hard.Term, uint64(l.p.stored.Hard.Vote), l.p.stored.Snapshot.Index+uint64(len(l.p.stored.Entries)), m)
		}
		if m.Kind == raft.Append && m.Commit > w.agreed && role == raft.Leader && m.Term == term {
			w.majority(m, sets)
		}
	}
}

// promises tells what a message says that the sender's store does not bear out. What is of
// an earlier term than the stored one is none any more: its batch may hold what came after.
// Nor is the log of one that is no candidate any more: it counts no votes, and the leader
// of its term may have had it cut off its log's end in the same batch.
func (w *coreWorld) promises(p *platter, m *raft.Message, stands bool) (why string) {
	hard := p.stored.Hard
	if m.Kind != raft.PreVote && (m.Kind != raft.PreVoteReply || m.Reject) && m.Term > hard.Term {
		return "a term"
	}
	terms := w.told[m.Term]
	tell := func(index, term uint64) {
		if terms == nil {
			terms = map[uint64]uint64{}
			w.told[m.Term] = terms
		}
		if t, known := terms[index]; known && t != term {
			w.failed("term %d has two leaders: entry %d is of terms %d and %d", m.Term, index, t, term)
		}
		terms[index] = term
	}
	switch m.Kind {
	case raft.Append:
		if m.LogTerm > 0 {
			tell(m.Index, m.LogTerm)
		}
		for _, e := range m.Entries {
			tell(e.Index, e.Term)
		}
	case raft.Piece, raft.Install:
		tell(m.Snapshot.Index, m.Snapshot.Term)
	case raft.Vote:
		if m.Term == hard.Term && (hard.Vote != m.From || stands && !p.holds(m.Index, m.LogTerm)) {
			return "a candidate's word"
		}
	case raft.VoteReply:
		if !m.Reject && m.Term == hard.Term && hard.Vote != m.To {
			return "a vote"
		}
	case raft.AppendReply:
		if m.Reject || m.Term != hard.Term || m.Index == 0 {
			return ""
		}
		w.seen.checked++
		if t, known := terms[m.Index]; !known && m.Index > p.stored.Snapshot.Index {
			return "an acknowledgement of what no leader sent"
		} else if !p.holds(m.Index, t) {
			return "an acknowledgement"
		}
	}
	return ""
}

// majority holds what a leader tells to be agreed, for the first time, against the stores.
func (w *coreWorld) majority(m *raft.Message, members []raft.Member) {
	t, known := w.told[m.Term][m.Commit]
	if !known {
		return
	}
	has, of, old, ofOld := 0, 0, 0, 0
	for _, x := range members {
		p := w.stores[x.ID]
		holds := p != nil && p.holds(m.Commit, t)
		if x.Voter {
			if of++; holds {
				has++
			}
		}
		if x.Old {
			if ofOld++; holds {
				old++
			}
		}
	}
	if 2*has <= of || ofOld > 0 && 2*old <= ofOld {
		w.failed("a leader tells that %d of term %d is agreed, which %d of %d voters have stored, %d of %d before: %+v", m.Commit, t, has, of, old, ofOld, members)
	}
	w.agreed = m.Commit
}

// ---- Operators ----

// operate makes one call after the other, each until it is answered clearly.
func (w *coreWorld) operate(id int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(500+id)))
	newest, learn := uint64(0), true
	for n := 0; ; n++ {
		time.Sleep(time.Duration(20+rng.IntN(400)) * time.Millisecond)
		in := input{get: learn || rng.IntN(4) == 0, base: newest, revision: newest + 1 + rng.Uint64N(3)}
		if rng.IntN(30) == 0 && newest > 0 {
			in.revision = newest // never valid
		}
		w.mu.Lock()
		over := w.calm || w.fault != nil
		w.mu.Unlock()
		if over {
			return
		}
		out, _ := w.bring(id, rng, in, fmt.Sprint("operator-", id, "-", n))
		if learn = out.status == http.StatusPreconditionFailed; out.status == http.StatusOK {
			newest = out.revision
		}
	}
}

// bring makes a call, with a configuration of its own, and notes what came of it.
func (w *coreWorld) bring(id int, rng *rand.Rand, in input, name string) (out output, answered bool) {
	var err error
	if in.config, err = cbor.Marshal(&api.Config{Revision: in.revision, Upstreams: []api.Upstream{{Name: name}}}); err != nil {
		w.fail("%v", err)
		return out, false
	}
	in.print = fingerprintOf(in.config)
	w.mu.Lock()
	if !in.get {
		w.orders[in.print] = in
	}
	w.clock++
	call, floor := w.clock, w.acked
	w.seen.calls++
	w.mu.Unlock()
	out, answered = w.ask(rng, in)
	w.end(id, call, floor, in, out, answered)
	return out, answered
}

// ask sends a call to one member after the other, unchanged, until one answers.
func (w *coreWorld) ask(rng *rand.Rand, in input) (out output, answered bool) {
	at := rng.IntN(len(w.machines))
	for range 400 {
		w.mu.Lock()
		l, over := w.machines[at].life, w.fault != nil
		w.mu.Unlock()
		if over {
			return out, false
		}
		r := &api.Result{}
		if l != nil {
			ctx, cancel := context.WithTimeout(l.ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond)
			var err error
			if in.get {
				r, err = l.core.Get(ctx, &api.Read{})
			} else {
				r, err = l.core.Replace(ctx, &api.Replace{Base: in.base, Config: in.config})
			}
			cancel()
			if err != nil {
				w.fail("a call: %v", err)
				return out, false
			}
			if l.ctx.Err() != nil {
				r = &api.Result{} // it died with the answer
			}
		}
		if r.Status != 0 && r.Status != http.StatusServiceUnavailable && rng.IntN(12) > 0 { // else: the answer is lost
			out = output{status: r.Status, revision: in.revision, print: in.print}
			if in.get && r.Status == http.StatusOK {
				c, err := api.ParseConfig(r.Config)
				if err != nil {
					w.fail("what is read back: %v", err)
					return out, false
				}
				out.revision, out.print = c.Revision, fingerprintOf(r.Config)
			}
			return out, true
		}
		at = rng.IntN(len(w.machines))
		for i, m := range w.machines {
			if r.Leader == m.addr && rng.IntN(4) > 0 {
				at = i
			}
		}
		time.Sleep(time.Duration(1+rng.IntN(60)) * time.Millisecond)
	}
	return out, false
}

// end notes what came of a call.
func (w *coreWorld) end(id int, call int64, floor uint64, in input, out output, answered bool) {
	w.mu.Lock()
	w.clock++
	op := porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: w.clock}
	var struck []*coreMachine
	switch {
	case !answered && in.get: // says nothing
		w.mu.Unlock()
		return
	case !answered:
		op.ClientId, op.Return = 1000+len(w.history), openEnd
	case in.get && (out.status != http.StatusOK && floor > 0 || out.status == http.StatusOK && out.revision < floor):
		w.failed("a read is answered %d, revision %d, after %d was acknowledged", out.status, out.revision, floor)
	case in.get:
	case out.status == http.StatusOK:
		w.acked = max(w.acked, in.revision)
		if w.trap {
			w.trap, struck = false, w.machines
		}
	default:
		w.refused[in.print] = true
	}
	w.history = append(w.history, op)
	w.mu.Unlock()
	w.powerOff(struck...)
}

// ---- Events ----

// look holds what a member has taken against what others have.
func (w *coreWorld) look(l *life) {
	l.core.mu.Lock()
	has := slices.Clone(l.core.state.Taken)
	l.core.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	k := min(len(has), len(w.chain))
	if !slices.Equal(has[:k], w.chain[:k]) {
		w.failed("a member has taken %v, another %v", has, w.chain)
		return
	}
	for _, v := range has[k:] {
		before := uint64(0)
		if n := len(w.chain); n > 0 {
			before = w.chain[n-1].Revision
		}
		if o, sent := w.orders[v.fingerprint]; !sent || o.base != before || o.revision != v.Revision {
			w.failed("revision %d is taken on top of %d, ordered was %+v", v.Revision, before, o)
		}
		w.chain = append(w.chain, v)
	}
	for _, v := range w.chain {
		if w.refused[v.fingerprint] {
			w.failed("revision %d was refused and is in a member's past", v.Revision)
		}
	}
}

// tend looks at all members, and has one whose store was found corrupt begin anew.
func (w *coreWorld) tend() {
	for _, m := range w.machines {
		w.mu.Lock()
		l := m.life
		w.mu.Unlock()
		if l == nil {
			continue
		}
		w.look(l)
		select {
		case <-l.ended:
			if !errors.Is(l.err, storage.ErrCorrupt) {
				w.fail("Run ends with %v, %s", l.err, l.core.halted)
				return
			}
			w.powerOff(m)
			w.mu.Lock()
			if m.corrupt {
				w.forget(m)
			}
			w.mu.Unlock()
			w.start(m, false)
		default:
		}
	}
}

// whole tells that all members are there and at one on who they are: a store can be lost.
func (w *coreWorld) whole() bool {
	var ids []raft.ID
	var lives []*life
	w.mu.Lock()
	ok := true
	for _, m := range w.machines {
		ok = ok && m.life != nil && !m.corrupt && m.life.p == m.platter
		ids, lives = append(ids, m.platter.id), append(lives, m.life)
	}
	for _, k := range w.links {
		ok = ok && !k.cut
	}
	w.mu.Unlock()
	if !ok {
		return false
	}
	var leader raft.ID
	for _, l := range lives {
		l.core.mu.Lock()
		ms, of, changing := l.core.node.Members(), l.core.node.Leader(), l.core.node.Changing()
		l.core.mu.Unlock()
		if of == 0 || leader != 0 && of != leader || changing || len(ms) != len(w.machines) ||
			slices.ContainsFunc(ms, func(x raft.Member) bool { return !x.Voter || !slices.Contains(ids, x.ID) }) {
			return false
		}
		leader = of
	}
	return true
}

// strike has something happen.
func (w *coreWorld) strike() {
	rng := w.rng
	one := w.machines[rng.IntN(len(w.machines))]
	until := time.Now().Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
	kind, some, coin := rng.IntN(20), rng.Perm(len(w.machines))[:len(w.machines)/2+1], rng.IntN(3)
	set := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}
	switch kind {
	case 0, 1: // in the middle of a write, where there is one soon
		for range 100 {
			writes := false
			set(func() { writes = one.life != nil && one.life.pending != nil })
			if writes {
				break
			}
			time.Sleep(time.Millisecond)
		}
		w.powerOff(one)
	case 2:
		w.powerOff(one)
	case 3, 4:
		for _, i := range some {
			defer w.powerOff(w.machines[i])
		}
	case 5, 6:
		w.powerOff(w.machines...)
	case 7:
		set(func() { w.trap = true })
	case 8: // the core falls in two
		set(func() {
			for i, a := range w.machines {
				for j, b := range w.machines {
					if slices.Contains(some, i) != slices.Contains(some, j) {
						w.links[[2]string{a.addr, b.addr}].cut = true
					}
				}
			}
		})
	case 9, 10: // one machine is cut off, or its words alone, or what it hears
		set(func() {
			for _, o := range w.machines {
				if o != one {
					w.links[[2]string{one.addr, o.addr}].cut = coin != 0
					w.links[[2]string{o.addr, one.addr}].cut = coin != 1
				}
			}
		})
	case 11, 12:
		set(func() {
			for _, k := range w.links {
				k.cut, k.slow = false, 0
			}
		})
	case 13:
		set(func() {
			for _, o := range w.machines {
				w.links[[2]string{one.addr, o.addr}].slow = 250 * time.Millisecond
			}
		})
	case 14, 15:
		set(func() { one.fails = until })
	case 16:
		set(func() { one.slow = until })
	case 17, 18:
		if w.whole() {
			w.powerOff(one)
			set(func() { w.forget(one) })
		}
	case 19:
		if w.whole() {
			set(func() { one.corrupt = true })
		}
	}
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

// level tells that all machines have all that was taken, by one leader.
func (w *coreWorld) level() bool {
	led := 0
	for _, m := range w.machines {
		c := m.life.core
		c.mu.Lock()
		k, n := len(c.state.Taken), c.node
		ok := n.Leader() != 0 && !n.Changing() && n.Applied() == n.Commit()
		if n.Serves() {
			led++
		}
		c.mu.Unlock()
		w.mu.Lock()
		ok = ok && k == len(w.chain)
		w.mu.Unlock()
		if !ok {
			return false
		}
	}
	return led == 1
}

// verdict holds the whole history against what all have in the end.
func (w *coreWorld) verdict() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.taken = len(w.chain)
	for _, op := range w.history {
		in, out := op.Input.(input), op.Output.(output)
		is := slices.ContainsFunc(w.chain, func(v taken) bool { return v.fingerprint == in.print })
		if !in.get && out.status == http.StatusOK && !is {
			w.failed("revision %d on %d was acknowledged and is gone", in.revision, in.base)
		}
	}
	if w.fault != nil {
		return w.fault
	}
	h := &world{history: w.history}
	if got := h.linearizable(); got != porcupine.Ok {
		var b strings.Builder
		for _, op := range h.history {
			in, out := op.Input.(input), op.Output.(output)
			fmt.Fprintf(&b, "\n%d: %d to %d: get %t, base %d, revision %d: %d, revision %d", op.ClientId, op.Call, op.Return, in.get, in.base, in.revision, out.status, out.revision)
		}
		return fmt.Errorf("not the history of one register: %v%s", got, &b)
	}
	return nil
}

// Real cores, three and five, with orders by four operators that pick the same numbers and
// are sent again until they are answered, while writes take up to 2 s, disks are full,
// stores are lost or found corrupt, machines are cut off, one way too, and power is lost
// by one, a majority or all, in the middle of a write and right after an acknowledgement.
// Whatever the loop of [Core] sends while its store writes: no vote, term or
// acknowledgement leaves before it is stored, nothing is told to be agreed that a majority
// has not stored, and operators are answered the history of one register.
func TestCoresUnderFaults(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var sent, beside, checked, torn, powers, lost, calls, changes int
	t.Run("seeds", func(t *testing.T) {
		for seed := range *coreSeeds {
			runInBubble(t, fmt.Sprint(seed), func(t *testing.T) {
				machines := 3
				if seed%4 == 3 {
					machines = 5
				}
				w := newCoreWorld(t, seed, machines)
				if err := w.play(60); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				mu.Lock()
				defer mu.Unlock()
				s := &w.seen
				sent, beside, checked, torn = sent+s.sent, beside+s.beside, checked+s.checked, torn+s.torn
				powers, lost, calls, changes = powers+s.powers, lost+s.lost, calls+s.calls, changes+s.taken
			})
		}
	})
	n := int(*coreSeeds)
	t.Logf("%d runs: %d messages, %d of them beside a write, %d acknowledgements of entries; %d losses of power, %d in a write; %d stores lost; %d calls, %d changes",
		n, sent, beside, checked, powers, torn, lost, calls, changes)
	if !t.Failed() && (beside < 20*n || torn < n || lost < n || calls < 20*n || changes < 5*n) {
		t.Error("too little to show anything")
	}
}

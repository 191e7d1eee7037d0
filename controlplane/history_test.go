package controlplane

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/agreement"
	"example.org/elmspan/api"
)

var historySeeds = flag.Uint64("history.seeds", 150, "runs of TestHistoriesAreLinearizable")

// world is a core without sockets or disks: members that store, send and apply as
// [Core] does, and clients whose calls go to whichever member, again and again
// until there is an answer.
type world struct {
	rng     *rand.Rand
	members map[agreement.ID]*member
	disks   map[agreement.ID]*agreement.Stored
	net     []agreement.Message
	deaf    map[[2]agreement.ID]bool
	frozen  map[agreement.ID]int
	now     int64
	clients []*client
	history []porcupine.Operation
	fault   string // planted
}

type member struct{ register }

// client makes one call after the other.
type client struct {
	id      int
	seen    uint64 // the newest version that it knows
	in      input
	begun   int64
	at      agreement.ID
	p       *pending
	patient int // steps until it asks another member
	tries   int
	busy    bool
}

// input and output are those of the register, for the checker.
type input struct {
	get            bool
	base, revision uint64
}

type output struct {
	status   int // 0: no clear answer
	revision uint64
}

const (
	coreSize    = 3
	historyLong = 700
	mostTries   = 300
	openEnd     = int64(1) << 40 // of calls without a clear answer: they may take effect at any time
)

func newWorld(seed uint64, fault string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), members: map[agreement.ID]*member{}, disks: map[agreement.ID]*agreement.Stored{},
		deaf: map[[2]agreement.ID]bool{}, frozen: map[agreement.ID]int{}, fault: fault}
	var first agreement.Snapshot
	for i := range coreSize {
		first.Members = append(first.Members, agreement.Member{ID: agreement.ID(i + 1), Voter: true})
	}
	for i := range coreSize {
		id := agreement.ID(i + 1)
		w.disks[id] = &agreement.Stored{Snapshot: first}
		w.start(id)
	}
	for i := range 4 {
		w.clients = append(w.clients, &client{id: i})
	}
	return w
}

func (w *world) start(id agreement.ID) {
	d := w.disks[id]
	d.Entries = slices.Clone(d.Entries)
	w.members[id] = &member{register{calls: map[uint64]*pending{},
		node: agreement.New(agreement.Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: w.rng.Uint64()}, *d)}}
}

// carry has a member store, send and apply what is ready.
func (w *world) carry(id agreement.ID) {
	m := w.members[id]
	for {
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		d := w.disks[id]
		if r.Hard != nil {
			d.Hard = *r.Hard
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - d.Snapshot.Index - 1
			d.Entries = append(slices.Clip(d.Entries[:keep]), r.Entries...)
		}
		w.net = append(w.net, r.Messages...)
		news := false
		for _, e := range r.Committed {
			news = m.apply(e) || news
		}
		m.node.Advance(r)
		if news && w.rng.IntN(30) == 0 && m.node.Role() == agreement.Leader {
			w.answer(id) // power is lost right after an acknowledgement
			delete(w.members, id)
			return
		}
	}
}

func (w *world) ids() []agreement.ID { return slices.Sorted(maps.Keys(w.members)) }

// strike has something happen.
func (w *world) strike() {
	one, other := agreement.ID(1+w.rng.IntN(coreSize)), agreement.ID(1+w.rng.IntN(coreSize))
	switch w.rng.IntN(60) {
	case 0:
		delete(w.members, one) // loses power
	case 1, 2, 3:
		w.deaf[[2]agreement.ID{one, other}] = true
	case 4: // the leader is cut off
		for _, id := range w.ids() {
			if w.members[id].node.Role() == agreement.Leader {
				for o := range coreSize {
					w.deaf[[2]agreement.ID{id, agreement.ID(o + 1)}] = w.rng.IntN(2) == 0
					w.deaf[[2]agreement.ID{agreement.ID(o + 1), id}] = true
				}
			}
		}
	case 5, 6:
		clear(w.deaf)
	case 7:
		w.frozen[one] = 20 + w.rng.IntN(60)
	case 8, 9, 10, 11:
		if w.members[one] == nil {
			w.start(one)
		}
	case 12:
		clear(w.members) // all lose power
		for i := range coreSize {
			w.start(agreement.ID(i + 1))
		}
	}
}

func (w *world) step(calm bool) {
	w.now++
	if !calm {
		w.strike()
	}
	for _, id := range w.ids() {
		if w.frozen[id] > 0 {
			w.frozen[id]--
			continue
		}
		w.members[id].node.Tick()
		w.carry(id)
	}
	msgs := w.net
	w.net = nil
	w.rng.Shuffle(len(msgs), func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	for _, x := range msgs {
		m := w.members[x.To]
		switch {
		case m == nil || w.deaf[[2]agreement.ID{x.From, x.To}] || !calm && w.rng.IntN(40) == 0:
		case w.frozen[x.To] > 0 || w.rng.IntN(4) == 0:
			w.net = append(w.net, x) // later
		default:
			m.node.Step(x)
			w.carry(x.To)
		}
	}
	for _, c := range w.clients {
		w.ask(c, calm)
	}
	for _, id := range w.ids() {
		w.answer(id)
	}
}

// ask has a client go on with its call, or begin one.
func (w *world) ask(c *client, calm bool) {
	if !c.busy {
		if calm || w.rng.IntN(6) > 0 {
			return
		}
		c.busy, c.begun, c.tries, c.p = true, w.now, 0, nil
		c.in = input{get: w.rng.IntN(3) == 0, base: c.seen, revision: uint64(w.now)<<8 | uint64(c.id) + 1}
	}
	if c.p != nil {
		if c.patient--; c.patient > 0 && w.members[c.at] != nil {
			return
		}
		c.p = nil // no clear answer here
	}
	if c.tries++; c.tries > mostTries {
		w.end(c, output{}, true)
		return
	}
	if w.rng.IntN(3) > 0 {
		return
	}
	c.at, c.patient = agreement.ID(1+w.rng.IntN(coreSize)), 10+w.rng.IntN(30)
	p := &pending{get: c.in.get, base: c.in.base, revision: c.in.revision}
	if !p.get {
		config := fmt.Append(nil, c.in.revision)
		data, err := newProposal(p.base, p.revision, config)
		if err != nil {
			panic(err)
		}
		p.data, p.print = data, fingerprintOf(config)
	}
	c.p = p
}

// answer has a member go on with the calls that are at it.
func (w *world) answer(id agreement.ID) {
	m := w.members[id]
	if m == nil || w.frozen[id] > 0 {
		return
	}
	for _, c := range w.clients {
		if !c.busy || c.p == nil || c.at != id {
			continue
		}
		r, done, beat := w.next(m, c.p)
		if beat {
			m.node.Beat()
		}
		if !done {
			w.carry(id)
			if w.members[id] == nil {
				return
			}
			continue
		}
		if r.Status == 0 {
			c.p = nil
			continue
		}
		if w.rng.IntN(12) == 0 {
			c.p = nil // the answer is lost: the call is sent again unchanged
			continue
		}
		w.end(c, output{r.Status, m.state.Revision}, false)
	}
}

// next is the register's, or that of one with a fault in it.
func (w *world) next(m *member, p *pending) (r api.Result, done, beat bool) {
	if m.node.Role() == agreement.Leader && p.index == 0 {
		switch {
		case w.fault == "reads without a confirmation" && p.get && m.state.Revision != 0:
			return api.Result{Status: http.StatusOK}, true, false
		case w.fault == "turned down without a confirmation" && !p.get:
			if r := m.state.Judge(p.base, p.revision, p.print); r.Status != 0 {
				return r, true, false
			}
		}
	}
	return m.next(p)
}

func (w *world) end(c *client, out output, open bool) {
	c.busy, c.p = false, nil
	op := porcupine.Operation{ClientId: c.id, Input: c.in, Call: 2 * c.begun, Output: out, Return: 2*w.now + 1}
	if open {
		if c.in.get {
			return // says nothing
		}
		// The checker wants one call at a time of each client: this one goes on as
		// another's.
		op.ClientId, op.Return = 1000+len(w.history), openEnd
	}
	w.history = append(w.history, op)
	switch {
	case out.status == http.StatusOK && !c.in.get:
		c.seen = c.in.revision
	case out.status != 0:
		c.seen = out.revision
	}
}

// model is a register with compare and swap.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		v, i, o := state.(uint64), in.(input), out.(output)
		takes := i.base == v && i.revision > v
		switch {
		case i.get && o.status == http.StatusNotFound:
			return v == 0, v
		case i.get:
			return o.revision == v, v
		case o.status == http.StatusOK:
			return takes, i.revision
		case o.status == http.StatusPreconditionFailed:
			return i.base != v, v
		case o.status == http.StatusBadRequest:
			return i.base == v && i.revision <= v, v
		case takes: // no clear answer: it takes effect here, or after all others
			return true, i.revision
		}
		return true, v
	},
	Equal: func(a, b any) bool { return a.(uint64) == b.(uint64) },
}

func (w *world) play() porcupine.CheckResult {
	for range historyLong {
		w.step(false)
	}
	clear(w.deaf)
	clear(w.frozen)
	for i := range coreSize {
		if id := agreement.ID(i + 1); w.members[id] == nil {
			w.start(id)
		}
	}
	for range 400 { // what is still asked is answered
		w.step(true)
	}
	for _, c := range w.clients {
		if c.busy {
			w.end(c, output{}, true)
		}
	}
	slices.SortFunc(w.history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	return porcupine.CheckOperationsTimeout(model, w.history, 5*time.Second)
}

// However the core is cut, one way too, and whoever loses power when: what
// operators are answered is the history of one register. (Told by the users: two
// changes on top of the same version were both confirmed while the network was cut.)
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	calls, taken := 0, 0
	for seed := range *historySeeds {
		w := newWorld(seed, "")
		if got := w.play(); got != porcupine.Ok {
			t.Fatalf("seed %d: %v: %v", seed, got, w.history)
		}
		calls += len(w.history)
		for _, op := range w.history {
			if op.Output.(output).status == http.StatusOK && !op.Input.(input).get {
				taken++
			}
		}
	}
	if n := int(*historySeeds); calls < 20*n || taken < 3*n {
		t.Errorf("%d calls, %d changes taken in %d histories: too few to show anything", calls, taken, n)
	}
}

// The checker finds what is to be found: registers with a fault in them.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"reads without a confirmation", "turned down without a confirmation"} {
		found := false
		for seed := range uint64(400) {
			if found = newWorld(seed, fault).play() == porcupine.Illegal; found {
				t.Logf("%s: seed %d", fault, seed)
				break
			}
		}
		if !found {
			t.Errorf("%s: not found", fault)
		}
	}
}

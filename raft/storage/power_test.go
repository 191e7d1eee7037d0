package storage

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"

	"example.org/elmspan/raft"
)

var diskSeeds = flag.Int("disk.seeds", 40, "seeds of each test on the simulated disk; 10000 for a long run")

const dir = "/data/log"

// held is what a member has been told is stored.
type held struct {
	ID raft.ID
	raft.Stored
}

func read(s *Store) (h held, err error) {
	if h.ID, err = s.Identity(); err != nil {
		return h, err
	}
	h.Stored, err = s.Load()
	return h, err
}

func (h held) same(o held) bool {
	return h.ID == o.ID && h.Hard == o.Hard && h.Snapshot.Index == o.Snapshot.Index && h.Snapshot.Term == o.Snapshot.Term &&
		slices.Equal(h.Snapshot.Data, o.Snapshot.Data) && slices.EqualFunc(h.Entries, o.Entries, func(a, b raft.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && slices.Equal(a.Data, b.Data)
	})
}

func (h held) String() string {
	return fmt.Sprintf("member %d, term %d, snapshot %d, %d entries", h.ID, h.Hard.Term, h.Snapshot.Index, len(h.Entries))
}

// host does to a store what a member does: one call after the other, each one
// again until it goes through.
type host struct {
	r    *rand.Rand
	id   raft.ID
	has  held // acknowledged by the store
	goal held // and with the call that is under way
	big  bool // entries as long as configurations
}

// next draws a call.
func (h *host) next() func(*Store) error {
	h.goal = h.has
	h.goal.Entries = slices.Clone(h.has.Entries)
	last := h.has.Snapshot.Index + uint64(len(h.has.Entries))
	switch k := h.r.IntN(20); {
	case h.has.ID == 0:
		h.goal.ID, h.goal.Snapshot = h.id, raft.Snapshot{Data: h.data()}
		return func(s *Store) error { return s.Initialize(h.goal.ID, h.goal.Snapshot) }
	case k == 0: // a snapshot from the leader
		snap := raft.Snapshot{Index: last + 3, Term: h.has.Hard.Term, Data: h.data()}
		h.goal.Snapshot, h.goal.Entries = snap, nil
		return func(s *Store) error { return s.Save(raft.Ready{Snapshot: &snap}) }
	case k <= 2 && len(h.has.Entries) > 0:
		n := 1 + h.r.IntN(len(h.has.Entries))
		snap := raft.Snapshot{Index: h.has.Snapshot.Index + uint64(n), Term: h.has.Hard.Term, Data: h.data()}
		h.goal.Snapshot, h.goal.Entries = snap, h.goal.Entries[n:]
		return func(s *Store) error { return s.Compact(snap) }
	}
	var ready raft.Ready
	if h.r.IntN(3) == 0 {
		h.goal.Hard = raft.HardState{Term: h.has.Hard.Term + 1, Vote: h.id}
		ready.Hard = &h.goal.Hard
	}
	if ready.Hard == nil || h.r.IntN(2) == 0 {
		if n := len(h.has.Entries); n > 0 && h.r.IntN(4) == 0 { // another leader's in place of some
			h.goal.Entries = h.goal.Entries[:h.r.IntN(n)]
		}
		at := len(h.goal.Entries)
		for range 1 + h.r.IntN(3) {
			h.goal.Entries = append(h.goal.Entries, raft.Entry{
				Index: h.has.Snapshot.Index + uint64(len(h.goal.Entries)) + 1, Term: h.goal.Hard.Term, Data: h.data()})
		}
		ready.Entries = slices.Clone(h.goal.Entries[at:])
	}
	return func(s *Store) error { return s.Save(ready) }
}

func (h *host) data() []byte {
	n := h.r.IntN(200)
	if h.big {
		n = []int{20, 3000, 41 << 10, 41 << 10, 150 << 10}[h.r.IntN(5)]
	}
	data := make([]byte, n)
	for i := 0; i < n; i += 8 {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], h.r.Uint64())
		copy(data[i:], b[:])
	}
	return data
}

// begin opens the store of a disk, as a process that starts. What is there must
// be all that was acknowledged, with or without the call that was under way.
func (h *host) begin(d *disk) (*Store, error) {
	s, err := openAt(d, dir)
	if err != nil {
		return nil, err
	}
	s.pause = 0
	got, err := read(s)
	if err == nil && !got.same(h.has) && !got.same(h.goal) {
		err = fmt.Errorf("LOST: there is %v; acknowledged was %v", got, h.has)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	h.has, h.goal = got, got
	return s, nil
}

// live does calls until their number is reached or the power goes. Now and then
// the disk is full, or fails to sync, for a while.
func (h *host) live(d *disk, s *Store, calls int, faults bool) error {
	for range calls {
		call := h.next()
		var bad int
		if faults && h.r.IntN(4) == 0 {
			bad = 1 + h.r.IntN(4)
			d.mu.Lock()
			if d.full = h.r.IntN(2) == 0; !d.full {
				d.failSyncs = bad
			}
			d.mu.Unlock()
		}
		for try := 0; ; try++ {
			err := call(s)
			d.mu.Lock()
			if try >= bad {
				d.full, d.failSyncs = false, 0
			}
			dead := d.dead
			d.mu.Unlock()
			if err == nil {
				break
			}
			if dead {
				return nil
			}
			if errors.Is(err, ErrCorrupt) {
				return fmt.Errorf("LOST: %w", err)
			}
			if try > bad+1 {
				return fmt.Errorf("the disk is well again and the store isn't: %w", err)
			}
		}
		h.has = h.goal
	}
	return nil
}

// lives plays a member whose power goes a few times, at any step of anything.
func lives(seed uint64, faults bool, plant func(*disk)) error {
	r := rand.New(rand.NewPCG(seed, 1))
	h := &host{r: r, id: raft.ID(r.Uint64() | 1), big: r.IntN(3) > 0}
	d := newDisk()
	plant(d)
	for life := range 4 {
		d.dieAt = 1 + r.IntN([]int{30, 100, 400}[r.IntN(3)])
		s, err := h.begin(d)
		if err == nil {
			err = h.live(d, s, 1+r.IntN(30), faults)
			if r.IntN(2) == 0 { // the process ends before the power does, or with it
				s.Close()
			}
			d.lose(r) // whatever goleveldb still does happens to a disk without power
			if r.IntN(2) == 1 {
				s.Close()
			}
		} else if d.dead && !errors.Is(err, ErrCorrupt) {
			err = nil
		}
		if err != nil {
			return fmt.Errorf("life %d: %w", life, err)
		}
		was := d
		if d = was.lose(r); s != nil {
			s.Close()
		}
	}
	s, err := h.begin(d)
	if err != nil {
		return fmt.Errorf("at the end: %w", err)
	}
	return s.Close()
}

// seeds runs so many seeds side by side and returns the failures of each.
func seeds(n int, run func(seed uint64) error) map[uint64]error {
	n = max(1, n/slowdown)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	out := map[uint64]error{}
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		tasks.Go(func() {
			for seed := range next {
				if err := run(seed); err != nil {
					mu.Lock()
					out[seed] = err
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		next <- uint64(i) + 1
	}
	close(next)
	tasks.Wait()
	return out
}

func none(t *testing.T, failed map[uint64]error) {
	t.Helper()
	for seed, err := range failed {
		t.Errorf("seed %d: %v", seed, err)
	}
}

// Whatever step the power goes at, and whichever of the names that were not
// synced are lost with it, all that was acknowledged is there when it comes back,
// and the store is never taken for a corrupt one.
func TestPowerLost(t *testing.T) {
	none(t, seeds(*diskSeeds, func(seed uint64) error { return lives(seed, false, func(*disk) {}) }))
}

// The same with a disk that is full for a while, or fails to sync what it then
// forgets: the member comes back by itself, and nothing acknowledged is lost.
func TestPowerLostWithFaults(t *testing.T) {
	none(t, seeds(*diskSeeds, func(seed uint64) error { return lives(seed, true, func(*disk) {}) }))
}

// The tests above find what they are there for: with a sync left out, promises
// are lost.
func TestPowerLostFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(*disk){
		"folders not synced":   func(d *disk) { d.noDirSync = true },
		"journals not synced":  func(d *disk) { d.noSyncKind = "journal" },
		"manifests not synced": func(d *disk) { d.noSyncKind = "MANIFEST" },
		"tables not synced":    func(d *disk) { d.noSyncKind = "table" },
		"the seal not synced":  func(d *disk) { d.noSyncKind = "seal" },
	} {
		failed := seeds(40, func(seed uint64) error { return lives(seed, false, plant) })
		if len(failed) == 0 {
			t.Errorf("%s: not found", name)
		}
		t.Logf("%s: found by %d seeds of %d", name, len(failed), 40/slowdown)
	}
}

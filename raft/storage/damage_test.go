package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// worn makes a disk with a store on it that was in use for a while, and returns
// it as it is and as it was at some earlier moment.
func worn(r *rand.Rand) (h *host, now, older *disk, err error) {
	h = &host{r: r, id: raft.ID(r.Uint64() | 1), big: r.IntN(3) > 0}
	now = newDisk()
	older = now
	for range 1 + r.IntN(3) {
		s, err := h.begin(now)
		if err != nil {
			return nil, nil, nil, err
		}
		for range 1 + r.IntN(3) {
			if err := h.live(now, s, 1+r.IntN(15), false); err != nil {
				return nil, nil, nil, err
			}
			if r.IntN(3) == 0 {
				older = now.clone()
			}
		}
		s.Close()
	}
	return h, now, older, nil
}

// Whatever is done to one file of a store that is at rest: the member has all
// that was promised, or it is ErrCorrupt, now and the next time, and begins anew
// under another id. It never ends in another error, and never with less.
func TestDamage(t *testing.T) {
	var mu sync.Mutex
	found, whole := map[string]int{}, map[string]int{}
	none(t, seeds(*diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 2))
		h, d, older, err := worn(r)
		if err != nil {
			return err
		}
		for _, k := range kinds {
			d, h := d.clone(), &host{r: r, id: h.id, has: h.has, goal: h.has, big: h.big}
			what := d.damage(r, dir, older, k)
			corrupt, err := h.endure(d)
			if err != nil {
				return fmt.Errorf("%s: %w", what, err)
			}
			mu.Lock()
			if corrupt {
				found[k]++
			} else {
				whole[k]++
			}
			mu.Unlock()
		}
		return nil
	}))
	for _, k := range kinds {
		t.Logf("%-8s damaged: %d had all, %d were corrupt", k, whole[k], found[k])
		if found[k] == 0 && slowdown == 1 {
			t.Errorf("%s: no damage was found", k)
		}
	}
}

// endure opens a store that was damaged, and tells whether it is corrupt. Either
// way it must go on: with all that was promised, or as a new member.
func (h *host) endure(d *disk) (corrupt bool, err error) {
	was := d.listing()
	s, err := h.begin(d)
	was += " opened: " + d.listing()
	if err == nil { // what was unread so far must not be met later
		err = h.live(d, s, 10, false)
		s.Close()
	} else {
		if !errors.Is(err, ErrCorrupt) {
			return false, err
		}
		if _, err := openAt(d, dir); !errors.Is(err, ErrCorrupt) {
			return true, fmt.Errorf("it was corrupt and is now: %w", err)
		}
		corrupt = true
		if s, err = resetAt(d, dir); err != nil {
			return corrupt, err
		}
		h.id, h.has, h.goal = h.id+1, held{}, held{}
		err = h.live(d, s, 5, false)
		s.Close()
	}
	if err != nil {
		return corrupt, err
	}
	back := d.lose(h.r)
	if s, err = h.begin(back); err != nil {
		return corrupt, fmt.Errorf("%w\nbefore: %s\nlive:   %s\nafter:  %s", err, was, d.listing(), back.listing())
	}
	s.Close()
	return corrupt, nil
}

// Without the seal the test above would find members that go on with less than
// they promised: here the seal is made to agree with what the
// database says, whose write-ahead log has lost something.
func TestDamageNeedsTheSeal(t *testing.T) {
	lost := seeds(80, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 3))
		h, d, older, err := worn(r)
		if err != nil {
			return nil
		}
		d.damage(r, dir, older, "journal")
		bare := &Store{fs: d, dir: dir}
		m, err := bare.read(true)
		bare.shut()
		if err != nil {
			return nil // goleveldb, or the digest, found it
		}
		if err := makeSeal(d, dir, filepath.Join(dir, sealName), m.mark()); err != nil {
			return err
		}
		h.goal = h.has
		s, err := h.begin(d)
		if err == nil {
			s.Close()
		}
		return err
	})
	if len(lost) == 0 {
		t.Error("no promise was lost without a seal")
	}
	t.Logf("%d of %d seeds lost a promise", len(lost), 80/slowdown)
}

// A process that begins anew and is cut off while it removes the old state is
// never taken for one that has none, nor for the member that it was.
func TestResetIsCutOff(t *testing.T) {
	none(t, seeds(*diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 4))
		h, d, _, err := worn(r)
		if err != nil {
			return err
		}
		old := h.id
		delete(d.dirs[dir].now, sealName)
		delete(d.dirs[dir].last, sealName)
		begun := &host{r: r, id: old + 1}
		for range 5 {
			if _, err := openAt(d, dir); !errors.Is(err, ErrCorrupt) {
				return fmt.Errorf("a store half removed opens: %v", err)
			}
			d.dieAt = d.steps + 1 + r.IntN(40)
			s, err := resetAt(d, dir)
			if err == nil {
				begun.has, begun.goal = held{}, held{}
				err = begun.live(d, s, 1+r.IntN(3), false)
			}
			if err != nil && !d.dead {
				return err
			}
			d = d.lose(r)
			if s != nil {
				s.Close()
			}
			s, err = openAt(d, dir)
			if err == nil {
				id, _ := s.Identity()
				s.Close()
				if id != begun.id {
					return fmt.Errorf("member %d came back as %d, %d was begun", old, id, begun.id)
				}
				if s, err = begun.begin(d); err == nil {
					s.Close()
				}
				return err
			}
			if begun.has.ID != 0 {
				return fmt.Errorf("it had begun: %w", err)
			}
		}
		return nil
	}))
}

// former writes a store of the format before the seal.
func former(d *disk, h held) error {
	if err := makeDir(d, dir); err != nil {
		return err
	}
	f := &files{fs: d, dir: dir}
	db, err := leveldb.Open(f, options(false))
	if err != nil {
		return err
	}
	var b leveldb.Batch
	for _, rec := range []struct {
		key []byte
		v   any
	}{{keyIdentity, h.ID}, {keySnapshot, h.Snapshot}, {keyHard, h.Hard}} {
		data, err := encode(rec.key, rec.v)
		if err != nil {
			return err
		}
		b.Put(rec.key, data)
	}
	for _, e := range h.Entries {
		data, err := encode(entryKey(e.Index), e)
		if err != nil {
			return err
		}
		b.Put(entryKey(e.Index), data)
	}
	err = db.Write(&b, nil)
	f.shut()
	return errors.Join(err, db.Close())
}

// A store of the format before the seal is taken up as it is, at whatever step
// the power goes; from then on its seal counts.
func TestFormerFormatIsTakenUp(t *testing.T) {
	none(t, seeds(*diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 5))
		h := &host{r: r, id: 7}
		h.has = held{ID: 7, Stored: raft.Stored{Hard: raft.HardState{Term: 4, Vote: 7},
			Snapshot: raft.Snapshot{Index: 5, Term: 3}, Entries: []raft.Entry{entry(6, 3, "a"), entry(7, 4, "b")}}}
		d := newDisk()
		if err := former(d, h.has); err != nil {
			return err
		}
		d = d.clone()
		for range 3 {
			d.dieAt = d.steps + 1 + r.IntN(60)
			s, err := h.begin(d)
			if err == nil {
				err = h.live(d, s, 3, false)
			}
			if err != nil && (!d.dead || errors.Is(err, ErrCorrupt)) {
				return err
			}
			d = d.lose(r)
			if s != nil {
				s.Close()
			}
		}
		s, err := h.begin(d)
		if err != nil {
			return err
		}
		s.Close()
		delete(d.dirs[dir].now, sealName)
		if _, err := h.begin(d); !errors.Is(err, ErrCorrupt) {
			return fmt.Errorf("the seal was removed: %v", err)
		}
		return nil
	}))
}

// One of the former format without an identity is corrupt, not empty.
func TestFormerFormatWithoutIdentity(t *testing.T) {
	d := newDisk()
	if err := former(d, held{ID: 7}); err != nil {
		t.Fatal(err)
	}
	db, err := leveldb.Open(&files{fs: d, dir: dir}, options(false))
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Delete(keyIdentity, nil); err != nil {
		t.Fatal(err)
	}
	db.Close()
	if _, err := openAt(d, dir); !errors.Is(err, ErrCorrupt) {
		t.Errorf("%v", err)
	}
}

// A batch that was written and not sealed counts only where the contents are the
// ones that it says: here the seal is one behind, and a record is gone.
func TestUnsealedBatchIsHeldAgainstItsDigest(t *testing.T) {
	for _, gone := range [][]byte{keyHard, entryKey(1), entryKey(2), keyCommit, nil} {
		d := newDisk()
		s, err := openAt(d, dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.Initialize(7, raft.Snapshot{}), s.Save(raft.Ready{Hard: &raft.HardState{Term: 1},
			Entries: []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b")}})); err != nil {
			t.Fatal(err)
		}
		before := s.promised
		if err := s.Save(raft.Ready{Hard: &raft.HardState{Term: 2}}); err != nil {
			t.Fatal(err)
		}
		if gone != nil {
			if err := s.db.Delete(gone, nil); err != nil {
				t.Fatal(err)
			}
		}
		s.Close()
		if err := makeSeal(d, dir, s.path(sealName), before); err != nil {
			t.Fatal(err)
		}
		s, err = openAt(d, dir)
		if corrupt := errors.Is(err, ErrCorrupt); corrupt != (gone != nil) || err != nil && !corrupt {
			t.Errorf("%q gone: %v", gone, err)
		}
		if err == nil {
			s.Close()
		}
	}
}

// A sync of the seal that failed leaves a slot that only the page cache has: it is
// written again before the other slot, which is the one on disk, is written over.
func TestSealInThePageCache(t *testing.T) {
	none(t, seeds(200, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 6))
		h := &host{r: r, id: 7}
		d := newDisk()
		s, err := h.begin(d)
		if err != nil {
			return err
		}
		defer s.Close()
		if err := h.live(d, s, 3+r.IntN(2), false); err != nil {
			return err
		}
		call := h.next()
		d.failSyncAt = d.syncs + 2 // the journal's, then the seal's
		if err := call(s); err == nil {
			return errors.New("the sync did not fail")
		}
		d.dieAt = d.steps + 1 + r.IntN(40)
		if err := call(s); err == nil {
			h.has = h.goal
		} else if !d.dead {
			return err
		}
		back, err := h.begin(d.lose(r))
		if err == nil {
			back.Close()
		}
		return err
	}))
}

// The handles at a table's end must lie within it: goleveldb takes as much memory
// as they say.
func TestFooter(t *testing.T) {
	for _, c := range []struct {
		handles []uint64
		ok      bool
	}{
		{[]uint64{0, 10, 15, 20}, true}, {[]uint64{0, 1 << 33, 15, 20}, false}, {[]uint64{0, 10, 15, 1 << 62}, false},
		{[]uint64{1 << 63, 1 << 63, 15, 20}, false}, {[]uint64{90, 20, 0, 5}, false}, {nil, false},
	} {
		data := make([]byte, 100+footerSize)
		at := data[100:100]
		for _, v := range c.handles {
			at = binary.AppendUvarint(at, v)
		}
		if c.handles == nil {
			for range footerSize - footerMagic {
				at = append(at, 0xff)
			}
		}
		if err := checkFooter(&handle{d: newDisk(), n: &inode{now: data}}); (err == nil) != c.ok {
			t.Errorf("%v: %v", c.handles, err)
		}
	}
}

// Whoever names a manifest finds it: a pointer that outlived the power while its
// manifest did not would, a life later, name a new manifest of the same number
// that is only half written. (Found by TestPowerLost, once in 10,000 seeds.)
func TestPointersOutliveNoManifest(t *testing.T) {
	none(t, seeds(400, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 7))
		h := &host{r: r, id: 7}
		d := newDisk()
		for range 2 {
			s, err := h.begin(d)
			if err != nil {
				return err
			}
			if err := h.live(d, s, 2, false); err != nil {
				return err
			}
			s.Close()
			d = d.clone()
		}
		d.dieAt = d.steps + 1 + r.IntN(25)
		if s, err := h.begin(d); err == nil {
			s.Close()
		}
		now := d.lose(r).dirs[dir].now
		highest := -1
		for name := range now {
			if number, err := strconv.Atoi(strings.TrimPrefix(name, currentName+".")); err == nil {
				highest = max(highest, number)
			}
		}
		if now[fmt.Sprintf("MANIFEST-%06d", highest)] == nil {
			return fmt.Errorf("CURRENT.%d is there and its manifest isn't: %s", highest, d.listing())
		}
		return nil
	}))
}

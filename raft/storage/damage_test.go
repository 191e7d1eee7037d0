package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"

	"example.org/elmspan/raft"
)

// newUsedStore returns a member, a disk with the store that it used for a while, and a copy
// of the disk from an earlier time.
func newUsedStore(r *rand.Rand) (m *testMember, now, older *faultDisk, err error) {
	m = &testMember{rand: r, id: raft.ID(r.Uint64() | 1), largeEntries: r.IntN(3) > 0}
	now = newFaultDisk()
	older = now
	for range 1 + r.IntN(3) {
		s, err := m.start(now)
		if err != nil {
			return nil, nil, nil, err
		}
		for range 1 + r.IntN(3) {
			if err := m.run(now, s, 1+r.IntN(15), false); err != nil {
				return nil, nil, nil, err
			}
			if r.IntN(3) == 0 {
				older = now.clone()
			}
		}
		closeStore(s)
	}
	return m, now, older, nil
}

// damageCounts counts the damaged stores found corrupt and intact, by kind of file.
type damageCounts struct {
	mu              sync.Mutex
	corrupt, intact map[string]int
}

func (c *damageCounts) add(kind string, corrupt bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if corrupt {
		c.corrupt[kind]++
	} else {
		c.intact[kind]++
	}
}

// Damages one file of a closed store. The store must either open with everything that was
// acknowledged, or fail with ErrCorrupt each time, after which a new member can replace it.
// It must not fail with another error, or open with less than was acknowledged.
func TestDamagedStoreIsIntactOrCorrupt(t *testing.T) {
	counts := damageCounts{corrupt: map[string]int{}, intact: map[string]int{}}
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 2))
		used, disk, older, err := newUsedStore(r)
		if err != nil {
			return err
		}
		for _, kind := range fileKinds {
			d, m := disk.clone(), *used
			m.pending = m.acknowledged
			what := d.damage(r, storeDir, older, kind)
			corrupt, err := m.runAfterDamage(d)
			if err != nil {
				return fmt.Errorf("%s: %w", what, err)
			}
			counts.add(kind, corrupt)
		}
		return nil
	})
	for _, kind := range fileKinds {
		t.Logf("%-8s damaged: %d intact, %d corrupt", kind, counts.intact[kind], counts.corrupt[kind])
		if counts.corrupt[kind] == 0 && seedDivisor == 1 {
			t.Errorf("%s: no damage was detected", kind)
		}
	}
}

// runAfterDamage opens a damaged store, and reports whether it is corrupt. In both cases the
// member must be able to continue, with everything that was acknowledged or as a new member.
func (m *testMember) runAfterDamage(d *faultDisk) (corrupt bool, err error) {
	before := d.listing()
	s, err := m.start(d)
	before += " opened: " + d.listing()
	if err == nil { // data that was not read when the store was opened must not fail later
		err = m.run(d, s, 10, false)
		closeStore(s)
	} else {
		corrupt = errors.Is(err, ErrCorrupt)
		if !corrupt {
			return false, err
		}
		err = m.replaceCorrupt(d)
	}
	if err != nil {
		return corrupt, err
	}
	after := d.losePower(m.rand)
	if err := m.startAndStop(after); err != nil {
		return corrupt, fmt.Errorf("%w\ndamaged: %s\nbefore the power loss: %s\nafter the power loss: %s",
			err, before, d.listing(), after.listing())
	}
	return corrupt, nil
}

// replaceCorrupt runs a new member in the directory of a corrupt store.
func (m *testMember) replaceCorrupt(d *faultDisk) error {
	if _, err := openStore(d, storeDir); !errors.Is(err, ErrCorrupt) {
		return fmt.Errorf("corrupt store opened again: got %w, want ErrCorrupt", err)
	}
	s, err := resetStore(d, storeDir)
	if err != nil {
		return err
	}
	defer closeStore(s)
	m.id, m.acknowledged, m.pending = m.id+1, memberState{}, memberState{}
	return m.run(d, s, 5, false)
}

// Checks that the test above depends on the seal: here the write-ahead log is damaged, and
// the seal is replaced by one that matches what is left of the database. Some members must
// then start with less than they acknowledged.
func TestDamageIsFoundByTheSeal(t *testing.T) {
	lost := runSeeds(80, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 3))
		m, d, older, err := newUsedStore(r)
		if err != nil {
			return nil
		}
		d.damage(r, storeDir, older, "journal")
		unsealed := &Store{fs: d, dir: storeDir}
		found, err := unsealed.readDatabase(true)
		unsealed.closeFiles()
		if err != nil {
			return nil // detected by goleveldb or the digest
		}
		if err := createSeal(d, storeDir, filepath.Join(storeDir, sealName), found.batchID()); err != nil {
			return err
		}
		m.pending = m.acknowledged
		return m.startAndStop(d)
	})
	if len(lost) == 0 {
		t.Error("no acknowledged data was lost without the seal")
	}
	t.Logf("%d of %d seeds lost acknowledged data", len(lost), 80/seedDivisor)
}

// If a power loss interrupts Reset, the store must be corrupt or that of the new member, but
// neither empty nor that of the old member.
func TestInterruptedResetIsNeverAnEmptyStore(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 4))
		old, d, _, err := newUsedStore(r)
		if err != nil {
			return err
		}
		delete(d.dirs[storeDir].visible, sealName)
		delete(d.dirs[storeDir].durable, sealName)
		replacement := &testMember{rand: r, id: old.id + 1}
		for range 5 {
			after, err := replacement.resetUntilPowerLoss(d)
			if err != nil {
				return err
			}
			d = after
			s, err := openStore(d, storeDir)
			if err == nil {
				return replacement.checkReplaced(d, s, old.id)
			}
			if replacement.acknowledged.ID != 0 {
				return fmt.Errorf("opening the store of the initialized new member: %w", err)
			}
		}
		return nil
	})
}

// resetUntilPowerLoss resets a corrupt store and runs the member in it. It returns the disk
// after a power loss at a random step.
func (m *testMember) resetUntilPowerLoss(d *faultDisk) (after *faultDisk, err error) {
	if _, err := openStore(d, storeDir); !errors.Is(err, ErrCorrupt) {
		return nil, fmt.Errorf("corrupt or partly removed store: got %w, want ErrCorrupt", err)
	}
	d.powerLossAt = d.steps + 1 + m.rand.IntN(40)
	s, err := resetStore(d, storeDir)
	if err == nil {
		m.acknowledged, m.pending = memberState{}, memberState{}
		err = m.run(d, s, 1+m.rand.IntN(3), false)
	}
	if err != nil && !d.powerLost {
		return nil, err
	}
	after = d.losePower(m.rand)
	if s != nil {
		closeStore(s)
	}
	return after, nil
}

// checkReplaced checks that an open store belongs to the new member, and not to the
// replaced one.
func (m *testMember) checkReplaced(d *faultDisk, s *Store, replaced raft.ID) error {
	id, err := s.Identity()
	closeStore(s)
	if err != nil {
		return err
	}
	if id != m.id {
		return fmt.Errorf("member %d was replaced: got identity %d, want %d", replaced, id, m.id)
	}
	return m.startAndStop(d)
}

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

// usedStore makes a disk with a store on it that was in use for a while, and returns the
// disk as it is now and as it was at some earlier time.
func usedStore(r *rand.Rand) (m *testMember, now, older *faultDisk, err error) {
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

// damageCounts counts by kind of file how the damage ended.
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

// Whatever is done to one file of a store at rest: the member has everything that was
// acknowledged, or it gets ErrCorrupt, now and the next time, and starts again under
// another identity. It never ends in another error, and never with less.
func TestDamagedStoreIsIntactOrCorrupt(t *testing.T) {
	counts := damageCounts{corrupt: map[string]int{}, intact: map[string]int{}}
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 2))
		used, disk, older, err := usedStore(r)
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
		t.Logf("%-8s damaged: %d were intact, %d were corrupt", kind, counts.intact[kind], counts.corrupt[kind])
		if counts.corrupt[kind] == 0 && slowdown == 1 {
			t.Errorf("%s: no damage was found", kind)
		}
	}
}

// runAfterDamage opens a store that was damaged, and reports whether it is corrupt. Either
// way the member must be able to go on: with everything that was acknowledged, or as a new
// member.
func (m *testMember) runAfterDamage(d *faultDisk) (corrupt bool, err error) {
	before := d.listing()
	s, err := m.start(d)
	before += " opened: " + d.listing()
	if err == nil { // what was not read so far must not fail later
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
		return corrupt, fmt.Errorf("%w\nbefore: %s\nlive:   %s\nafter:  %s", err, before, d.listing(), after.listing())
	}
	return corrupt, nil
}

// replaceCorrupt runs a new member in place of one whose store is corrupt.
func (m *testMember) replaceCorrupt(d *faultDisk) error {
	if _, err := openStore(d, storeDir); !errors.Is(err, ErrCorrupt) {
		return fmt.Errorf("it was corrupt and is now: %w", err)
	}
	s, err := resetStore(d, storeDir)
	if err != nil {
		return err
	}
	defer closeStore(s)
	m.id, m.acknowledged, m.pending = m.id+1, memberState{}, memberState{}
	return m.run(d, s, 5, false)
}

// Without the seal the test above would find members that go on with less than they
// acknowledged: here the seal is made to agree with what the database says, whose
// write-ahead log has lost something.
func TestDamageIsFoundByTheSeal(t *testing.T) {
	lost := runSeeds(80, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 3))
		m, d, older, err := usedStore(r)
		if err != nil {
			return nil
		}
		d.damage(r, storeDir, older, "journal")
		unsealed := &Store{fs: d, dir: storeDir}
		found, err := unsealed.readDatabase(true)
		unsealed.closeFiles()
		if err != nil {
			return nil // goleveldb, or the digest, has found it
		}
		if err := createSeal(d, storeDir, filepath.Join(storeDir, sealName), found.batchID()); err != nil {
			return err
		}
		m.pending = m.acknowledged
		return m.startAndStop(d)
	})
	if len(lost) == 0 {
		t.Error("nothing acknowledged was lost without a seal")
	}
	t.Logf("%d of %d seeds lost something acknowledged", len(lost), 80/slowdown)
}

// A process that starts a new member and is interrupted while it removes the old state is
// never taken for one that has none, nor for the member that it was.
func TestInterruptedResetIsNeverAnEmptyStore(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 4))
		old, d, _, err := usedStore(r)
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
				return fmt.Errorf("it was initialized: %w", err)
			}
		}
		return nil
	})
}

// resetUntilPowerLoss starts the member in place of a corrupt store, and returns the disk
// as it comes back after a loss of power at any step.
func (m *testMember) resetUntilPowerLoss(d *faultDisk) (after *faultDisk, err error) {
	if _, err := openStore(d, storeDir); !errors.Is(err, ErrCorrupt) {
		return nil, fmt.Errorf("a store that is half removed opens: %w", err)
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

// checkReplaced checks that an open store is the one of the member, which stands in place
// of another.
func (m *testMember) checkReplaced(d *faultDisk, s *Store, replaced raft.ID) error {
	id, err := s.Identity()
	closeStore(s)
	if err != nil {
		return err
	}
	if id != m.id {
		return fmt.Errorf("member %d came back as %d, %d was initialized", replaced, id, m.id)
	}
	return m.startAndStop(d)
}

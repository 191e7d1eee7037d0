package storage

import (
	"errors"
	"math/rand/v2"
	"testing"

	"example.org/elmspan/raft"
)

// A batch that was written and not sealed counts only if the contents are those of its
// digest: here the seal is one batch behind, and a record is gone.
func TestUnsealedBatchIsCheckedAgainstItsDigest(t *testing.T) {
	for _, gone := range [][]byte{keyHardState, entryKey(1), entryKey(2), keyBatch, nil} {
		d := newFaultDisk()
		s, err := openStore(d, storeDir)
		if err != nil {
			t.Fatal(err)
		}
		first := raft.Ready{
			HardState: &raft.HardState{Term: 1},
			Entries:   []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b")},
		}
		if err := errors.Join(s.Initialize(7, raft.Snapshot{}), s.Save(first)); err != nil {
			t.Fatal(err)
		}
		sealed := s.acknowledged
		if err := s.Save(raft.Ready{HardState: &raft.HardState{Term: 2}}); err != nil {
			t.Fatal(err)
		}
		if gone != nil {
			if err := s.db.Delete(gone, nil); err != nil {
				t.Fatal(err)
			}
		}
		closeStore(s)
		if err := createSeal(d, storeDir, s.path(sealName), sealed); err != nil {
			t.Fatal(err)
		}
		s, err = openStore(d, storeDir)
		if corrupt := errors.Is(err, ErrCorrupt); corrupt != (gone != nil) || err != nil && !corrupt {
			t.Errorf("%q gone: %v", gone, err)
		}
		if err == nil {
			closeStore(s)
		}
	}
}

// A failed sync of the seal leaves a slot that only the page cache has: it is written
// again before the other slot, which is the one on disk, is written over.
func TestSealSlotInThePageCacheIsRewrittenFirst(t *testing.T) {
	checkSeeds(t, 200, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 6))
		m := &testMember{rand: r, id: 7}
		d := newFaultDisk()
		s, err := m.start(d)
		if err != nil {
			return err
		}
		defer closeStore(s)
		if err := m.run(d, s, 3+r.IntN(2), false); err != nil {
			return err
		}
		call := m.nextCall()
		d.failSyncNumber = d.syncs + 2 // the journal's, then the seal's
		if err := call(s); err == nil {
			return errors.New("the sync did not fail")
		}
		d.powerLossAt = d.steps + 1 + r.IntN(40)
		if err := call(s); err == nil {
			m.acknowledged = m.pending
		} else if !d.powerLost {
			return err
		}
		return m.startAndStop(d.losePower(r))
	})
}

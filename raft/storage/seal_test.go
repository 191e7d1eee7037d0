package storage

import (
	"errors"
	"math/rand/v2"
	"testing"

	"example.org/elmspan/raft"
)

// A batch that the seal does not record yet must be accepted only if the contents match its
// digest. Here the seal is one batch behind, and a record is missing, except in the last case.
func TestUnsealedBatchIsCheckedAgainstItsDigest(t *testing.T) {
	for _, deleted := range [][]byte{keyHardState, entryKey(1), entryKey(2), keyBatch, nil} {
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
		if deleted != nil {
			if err := s.db.Delete(deleted, nil); err != nil {
				t.Fatal(err)
			}
		}
		closeStore(s)
		if err := createSeal(d, storeDir, s.path(sealName), sealed); err != nil {
			t.Fatal(err)
		}
		s, err = openStore(d, storeDir)
		if corrupt := errors.Is(err, ErrCorrupt); corrupt != (deleted != nil) || err != nil && !corrupt {
			t.Errorf("%q deleted: got error %v", deleted, err)
		}
		if err == nil {
			closeStore(s)
		}
	}
}

// A failed sync of the seal leaves a slot that exists only in the page cache. It must be
// written again before the other slot, the only one on disk, is overwritten.
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
		d.failSyncNumber = d.syncs + 2 // the first is that of the write-ahead log, the second that of the seal
		if err := call(s); err == nil {
			return errors.New("the call succeeded in spite of the failed sync")
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

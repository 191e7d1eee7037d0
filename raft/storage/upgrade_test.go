package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// writeUnsealedStore writes a store in the old format without a seal.
func writeUnsealedStore(d *faultDisk, state memberState) error {
	if err := makeDirAll(d, storeDir); err != nil {
		return err
	}
	files := &dbFiles{fs: d, dir: storeDir}
	db, err := leveldb.Open(files, databaseOptions(false))
	if err != nil {
		return err
	}
	var b writeBatch
	b.putIdentity(state.ID)
	b.putSnapshot(state.Snapshot)
	b.putHardState(state.HardState)
	b.putEntries(state.Entries)
	err = errors.Join(b.err, db.Write(&b.records, nil))
	files.shutDown()
	return errors.Join(err, db.Close())
}

// A store that predates the seal must be upgraded with all its data, even if power is lost
// at any step. Once upgraded, it must be corrupt without its seal.
func TestStoreFromBeforeTheSealIsUpgraded(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 5))
		m := &testMember{rand: r, id: 7, acknowledged: memberState{ID: 7, PersistentState: raft.PersistentState{
			HardState: raft.HardState{Term: 4, Vote: 7},
			Snapshot:  raft.Snapshot{Index: 5, Term: 3},
			Entries:   []raft.Entry{entry(6, 3, "a"), entry(7, 4, "b")},
		}}}
		d := newFaultDisk()
		if err := writeUnsealedStore(d, m.acknowledged); err != nil {
			return err
		}
		d = d.clone()
		for range 3 {
			d.powerLossAt = d.steps + 1 + r.IntN(60)
			s, err := m.start(d)
			if err == nil {
				err = m.run(d, s, 3, false)
			}
			if err != nil && (!d.powerLost || errors.Is(err, ErrCorrupt)) {
				return err
			}
			d = d.losePower(r)
			if s != nil {
				closeStore(s)
			}
		}
		if err := m.startAndStop(d); err != nil {
			return err
		}
		delete(d.dirs[storeDir].visible, sealName)
		if _, err := m.start(d); !errors.Is(err, ErrCorrupt) {
			return fmt.Errorf("after removing the seal: got %w, want ErrCorrupt", err)
		}
		return nil
	})
}

// A store that predates the seal and has no identity must be corrupt, and not empty.
func TestStoreFromBeforeTheSealWithoutIdentityIsCorrupt(t *testing.T) {
	d := newFaultDisk()
	if err := writeUnsealedStore(d, memberState{ID: 7}); err != nil {
		t.Fatal(err)
	}
	db, err := leveldb.Open(&dbFiles{fs: d, dir: storeDir}, databaseOptions(false))
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Delete(keyIdentity, nil); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(d, storeDir); !errors.Is(err, ErrCorrupt) {
		t.Errorf("%v", err)
	}
}

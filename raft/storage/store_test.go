package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// open opens a store on the local disk, and closes it at the end of the test.
func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(s) })
	return s
}

// openSimulated opens a store on a simulated disk, and closes it at the end of the test.
func openSimulated(t *testing.T, d *faultDisk) *Store {
	t.Helper()
	s, err := openStore(d, storeDir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(s) })
	return s
}

func entry(index, term uint64, data string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(data)}
}

// Saved state must be loaded after a restart, with later entries in place of those that
// they overwrite.
func TestSavedStateIsLoadedAfterARestart(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	first := raft.Snapshot{Members: []raft.Member{{ID: 7, Addr: "a", Voter: true}}}
	if err := s.Initialize(7, first); err != nil {
		t.Fatal(err)
	}
	hardState := raft.HardState{Term: 2, Vote: 7}
	for _, r := range []raft.Ready{
		{Entries: []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}},
		{HardState: &hardState, Entries: []raft.Entry{entry(2, 2, "d")}},
	} {
		if err := s.Save(r); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(s)
	s = open(t, dir)
	id, err := s.Identity()
	if id != 7 || err != nil {
		t.Errorf("identity %v, %v, want 7", id, err)
	}
	want := []raft.Entry{entry(1, 1, "a"), entry(2, 2, "d")}
	stored, err := s.Load()
	if err != nil || stored.HardState != hardState || !reflect.DeepEqual(stored.Entries, want) {
		t.Errorf("loaded %+v, %v", stored, err)
	}
	if err := s.Compact(raft.Snapshot{Index: 1, Term: 1}); err != nil {
		t.Fatal(err)
	}
	if stored, err = s.Load(); err != nil || stored.Snapshot.Index != 1 || len(stored.Entries) != 1 {
		t.Errorf("loaded %+v after the compaction, %v", stored, err)
	}
}

// Load must fail with ErrCorrupt if a record is damaged or an entry in the middle of the log
// is missing, so that the member doesn't vote based on the rest.
func TestDamagedOrMissingEntryIsCorrupt(t *testing.T) {
	s := open(t, t.TempDir())
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	entries := []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}
	if err := s.Save(raft.Ready{Entries: entries}); err != nil {
		t.Fatal(err)
	}
	if err := s.db.Delete(entryKey(2), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("missing entry: got error %v, want ErrCorrupt", err)
	}
	var b leveldb.Batch
	b.Put(entryKey(2), []byte("nonsense"))
	if err := s.db.Write(&b, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("invalid record: got error %v, want ErrCorrupt", err)
	}
}

// If a power loss tore the end of the write-ahead log, the torn part must be ignored, and
// the data synced before must be kept.
func TestTornEndOfTheLogIsIgnored(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(raft.Ready{Entries: []raft.Entry{entry(1, 1, "a")}}); err != nil {
		t.Fatal(err)
	}
	closeStore(s)
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("write-ahead logs %v, %v, want one", logs, err)
	}
	f, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte{1, 2, 3, 4, 200, 0, 1, 9, 9, 9})
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	if stored, err := open(t, dir).Load(); err != nil || len(stored.Entries) != 1 {
		t.Errorf("loaded %+v, %v, want one entry", stored, err)
	}
}

// A store must not be open twice, and the error of the second Open must not be ErrCorrupt,
// which would make a second process replace the member of the first.
func TestStoreIsOpenInOneProcessAtATime(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "log")
	s := open(t, dir)
	if _, err := Open(dir); err == nil || errors.Is(err, ErrCorrupt) {
		t.Errorf("second Open: got error %v, want one other than ErrCorrupt", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Save(raft.Ready{HardState: &raft.HardState{Term: 1}}); err == nil {
		t.Error("Save succeeded on a closed store")
	}
	open(t, dir)
}

// A store must open on a full disk with everything that was acknowledged, fail writes, and
// accept them again once there is space.
func TestMemberStartsOnAFullDisk(t *testing.T) {
	d := newFaultDisk()
	s := openSimulated(t, d)
	hardState := raft.HardState{Term: 2, Vote: 7}
	if err := errors.Join(s.Initialize(7, raft.Snapshot{}), s.Save(raft.Ready{HardState: &hardState})); err != nil {
		t.Fatal(err)
	}
	closeStore(s)
	d.full = true
	s = openSimulated(t, d)
	s.reopenInterval = 0
	if found, err := readState(s); err != nil || found.ID != 7 || found.HardState != hardState {
		t.Errorf("read %v on a full disk, %v", found, err)
	}
	next := raft.HardState{Term: 3, Vote: 8}
	for range 5 {
		if err := s.Save(raft.Ready{HardState: &next}); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("%v", err)
		}
	}
	files := len(d.dirs[storeDir].visible)
	d.full = false
	if err := s.Save(raft.Ready{HardState: &next}); err != nil {
		t.Fatal(err)
	}
	if found, err := readState(s); err != nil || found.HardState != next {
		t.Errorf("read %v after the last Save, %v", found, err)
	}
	if files > 8 {
		t.Errorf("%d files after failed writes on a full disk, want at most 8", files)
	}
}

// Data that a failed sync left only in the page cache must not be read as stored while it
// can't be written again, and must not be reported as corrupt.
func TestPageCacheIsNotTrustedAfterAFailedSync(t *testing.T) {
	d := newFaultDisk()
	s := openSimulated(t, d)
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	d.failSyncs = 1
	if err := s.Save(raft.Ready{HardState: &raft.HardState{Term: 9, Vote: 9}}); !errors.Is(err, syscall.EIO) {
		t.Fatalf("%v", err)
	}
	closeStore(s) // the process ends, the machine keeps its page cache
	d.full = true
	if s, err := openStore(d, storeDir); err == nil || errors.Is(err, ErrCorrupt) {
		found, _ := readState(s)
		t.Errorf("opened on a full disk: read %v, %v", found, err)
	}
	d.full = false
	s = openSimulated(t, d)
	found, err := readState(s)
	if err != nil {
		t.Fatal(err)
	}
	afterPowerLoss := openSimulated(t, d.losePower(rand.New(rand.NewPCG(1, 1))))
	if reread, err := readState(afterPowerLoss); err != nil || !reread.equal(found) {
		t.Errorf("read %v before a power loss and %v after it, %v", found, reread, err)
	}
}

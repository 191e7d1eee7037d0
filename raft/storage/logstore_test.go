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

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func entry(i, term uint64, data string) raft.Entry {
	return raft.Entry{Index: i, Term: term, Data: []byte(data)}
}

// What Save has stored is there after the process ends, with later entries in
// place of those they overwrite.
func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := s.Initialize(7, raft.Snapshot{Members: []raft.Member{{ID: 7, Addr: "a", Voter: true}}}); err != nil {
		t.Fatal(err)
	}
	h := raft.HardState{Term: 2, Vote: 7}
	for _, r := range []raft.Ready{
		{Entries: []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}},
		{Hard: &h, Entries: []raft.Entry{entry(2, 2, "d")}},
	} {
		if err := s.Save(r); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = open(t, dir)
	id, err := s.Identity()
	if id != 7 || err != nil {
		t.Errorf("id %v, %v", id, err)
	}
	st, err := s.Load()
	if err != nil || st.Hard != h || !reflect.DeepEqual(st.Entries, []raft.Entry{entry(1, 1, "a"), entry(2, 2, "d")}) {
		t.Errorf("%+v, %v", st, err)
	}
	if err := s.Compact(raft.Snapshot{Index: 1, Term: 1}); err != nil {
		t.Fatal(err)
	}
	if st, err = s.Load(); err != nil || st.Snapshot.Index != 1 || len(st.Entries) != 1 {
		t.Errorf("%+v, %v", st, err)
	}
}

// A record that is spoilt, or one that is missing in the middle, is told as
// corrupt: the member must not vote with it.
func TestCorruptIsTold(t *testing.T) {
	s := open(t, t.TempDir())
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(raft.Ready{Entries: []raft.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}}); err != nil {
		t.Fatal(err)
	}
	if err := s.db.Delete(entryKey(2), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a gap: %v", err)
	}
	var b leveldb.Batch
	b.Put(entryKey(2), []byte("nonsense"))
	if err := s.db.Write(&b, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("nonsense: %v", err)
	}
}

// The end of the journal that a loss of power left torn is passed over; what
// was synced before stays.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(raft.Ready{Entries: []raft.Entry{entry(1, 1, "a")}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("%v, %v", logs, err)
	}
	f, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte{1, 2, 3, 4, 200, 0, 1, 9, 9, 9})
	f.Close()
	if st, err := open(t, dir).Load(); err != nil || len(st.Entries) != 1 {
		t.Errorf("%+v, %v", st, err)
	}
}

// Two processes never have one store open, and the second one's failure is no
// damage: it must not begin anew over the first.
func TestOneProcessAtATime(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "log")
	s := open(t, dir)
	if _, err := Open(dir); err == nil || errors.Is(err, ErrCorrupt) {
		t.Errorf("opened twice: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Save(raft.Ready{Hard: &raft.HardState{Term: 1}}); err == nil {
		t.Error("saved in a store that is closed")
	}
	open(t, dir)
}

// A member starts on a full disk with all that it promised, promises nothing, and
// goes on once there is room.
func TestStartsOnAFullDisk(t *testing.T) {
	d := newDisk()
	s, err := openAt(d, dir)
	if err != nil {
		t.Fatal(err)
	}
	h := raft.HardState{Term: 2, Vote: 7}
	if err := errors.Join(s.Initialize(7, raft.Snapshot{}), s.Save(raft.Ready{Hard: &h})); err != nil {
		t.Fatal(err)
	}
	s.Close()
	d.full = true
	if s, err = openAt(d, dir); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.pause = 0
	if got, err := read(s); err != nil || got.ID != 7 || got.Hard != h {
		t.Errorf("%v, %v", got, err)
	}
	next := raft.HardState{Term: 3, Vote: 8}
	for range 5 {
		if err := s.Save(raft.Ready{Hard: &next}); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("%v", err)
		}
	}
	files := len(d.dirs[dir].now)
	d.full = false
	if err := s.Save(raft.Ready{Hard: &next}); err != nil {
		t.Fatal(err)
	}
	if got, err := read(s); err != nil || got.Hard != next {
		t.Errorf("%v, %v", got, err)
	}
	if files > 8 {
		t.Errorf("%d files after tries on a full disk", files)
	}
}

// What a failed sync left in the page cache is neither read as stored, where it
// can't be written again, nor taken for damage.
func TestPageCacheIsNotBelieved(t *testing.T) {
	d := newDisk()
	s, err := openAt(d, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Initialize(7, raft.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	d.failSyncs = 1
	if err := s.Save(raft.Ready{Hard: &raft.HardState{Term: 9, Vote: 9}}); !errors.Is(err, syscall.EIO) {
		t.Fatalf("%v", err)
	}
	s.Close() // the process ends; the machine goes on
	d.full = true
	if s, err := openAt(d, dir); err == nil || errors.Is(err, ErrCorrupt) {
		got, _ := read(s)
		t.Errorf("%v, %v", got, err)
	}
	d.full = false
	if s, err = openAt(d, dir); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := read(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := openAt(d.lose(rand.New(rand.NewPCG(1, 1))), dir)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	if again, err := read(back); err != nil || !again.same(got) {
		t.Errorf("read as %v, and %v after the power was gone, %v", got, again, err)
	}
}

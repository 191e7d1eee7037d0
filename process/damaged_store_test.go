package process

import (
	"os"
	"path/filepath"
	"testing"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
	"example.org/elmspan/settings"
)

// damage corrupts the files of a member's store.
type damage func(t *testing.T, dir string)

// changeNewest applies a change to the newest file that matches a pattern.
func changeNewest(pattern string, change func(path string) error) damage {
	return func(t *testing.T, dir string) {
		t.Helper()
		found, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: %v, %v", pattern, found, err)
		}
		if err := change(found[len(found)-1]); err != nil {
			t.Fatal(err)
		}
	}
}

func truncateTo(size int64) func(path string) error {
	return func(path string) error { return os.Truncate(path, size) }
}

func flipBit(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	data[len(data)/2] ^= 4
	return os.WriteFile(path, data, 0o600)
}

func removeAllBut(name string) func(path string) error {
	return func(path string) error {
		dir := filepath.Dir(path)
		all, err := os.ReadDir(dir)
		for _, f := range all {
			if err == nil && f.Name() != name {
				err = os.Remove(filepath.Join(dir, f.Name()))
			}
		}
		return err
	}
}

// markLost writes the marker file of a store whose removal has begun.
func markLost(t *testing.T, dir string) {
	t.Helper()
	if err := os.WriteFile(dir+".lost", nil, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A process with a damaged store starts as a new member even if bootstrap is set, never under
// the id that may have voted. The same holds if the process ended while it was removing the
// store. If only goleveldb's own errors counted as corruption, the process would exit instead.
func TestDamagedStoreStartsAsNewMember(t *testing.T) {
	t.Parallel()
	for name, corrupt := range map[string]damage{
		"table bit flipped":    changeNewest("*.ldb", flipBit),
		"table truncated":      changeNewest("*.ldb", truncateTo(40)),
		"table removed":        changeNewest("*.ldb", os.Remove),
		"manifest emptied":     changeNewest("MANIFEST-*", truncateTo(0)),
		"current emptied":      changeNewest("CURRENT*", truncateTo(0)),
		"seal removed":         changeNewest("SEAL", os.Remove),
		"all but seal removed": changeNewest("[0-9CM]*", removeAllBut("SEAL")),
		"removal interrupted":  markLost,
		"removed, not recreated": func(t *testing.T, dir string) {
			if err := os.RemoveAll(dir); err != nil {
				t.Fatal(err)
			}
			markLost(t, dir)
		},
	} {
		t.Run(name, func(t *testing.T) { testDamagedStore(t, corrupt) })
	}
}

func testDamagedStore(t *testing.T, corrupt damage) {
	m := newMachine(t)
	m.removeEdgeRole()
	cfg, err := settings.Read(m.path())
	if err != nil {
		t.Fatal(err)
	}
	first := controlplane.BootstrapID(cfg.InternalAddr())
	if id := m.memberAtStart(); id != first {
		t.Fatalf("first start: member id %x, want %x", id, first)
	}
	if id := m.memberAtStart(); id != first { // the write-ahead log has become a table by now
		t.Fatalf("second start: member id %x, want %x", id, first)
	}
	corrupt(t, filepath.Join(m.dir, memberDir))
	id := m.memberAtStart()
	if id == first || id == 0 {
		t.Errorf("member id %x after the damage, want a new one", id)
	}
	if next := m.memberAtStart(); next != id {
		t.Errorf("the id of the new member was %x and is %x after a restart", id, next)
	}
}

// memberAtStart opens the machine's process, closes it without running it, and returns the id
// of its member.
func (m *machine) memberAtStart() raft.ID {
	m.t.Helper()
	p := m.newProcess()
	id, err := p.member.store.Identity()
	if err != nil {
		m.t.Error(err)
	}
	if err := p.closeListeners(); err != nil {
		m.t.Error(err)
	}
	if err := p.member.close(); err != nil {
		m.t.Error(err)
	}
	return id
}

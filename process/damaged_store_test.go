package process

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
	"example.org/elmspan/settings"
)

// A process over a damaged store starts, as a new member: whatever the settings
// say of a first start, never under the id that may have promised something. A
// store that was being removed when the process ended is no exception. (Fails
// where only goleveldb's own errors count as damage: the process ends.)
func TestDamagedStoreStartsAsNewMember(t *testing.T) {
	t.Parallel()
	one := func(pattern string, spoil func(path string) error) func(dir string) error {
		return func(dir string) error {
			found, err := filepath.Glob(filepath.Join(dir, pattern))
			if err != nil || len(found) == 0 {
				t.Errorf("%s: %v, %v", pattern, found, err)
				return err
			}
			return spoil(found[len(found)-1])
		}
	}
	empty := func(path string) error { return os.Truncate(path, 0) }
	flip := func(path string) error {
		data, err := os.ReadFile(path)
		if err == nil {
			data[len(data)/2] ^= 4
			err = os.WriteFile(path, data, 0o600)
		}
		return err
	}
	for name, spoil := range map[string]func(dir string) error{
		"table flipped":      one("*.ldb", flip),
		"table cut":          one("*.ldb", func(path string) error { return os.Truncate(path, 40) }),
		"table removed":      one("*.ldb", os.Remove),
		"manifest emptied":   one("MANIFEST-*", empty),
		"current emptied":    one("CURRENT*", empty),
		"seal removed":       one("SEAL", os.Remove),
		"all but seal gone":  one("[0-9CM]*", func(path string) error { return removeAllBut(filepath.Dir(path), "SEAL") }),
		"removal was broken": func(dir string) error { return os.WriteFile(dir+".lost", nil, 0o600) },
		"removed, not begun": func(dir string) error {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
			return os.WriteFile(dir+".lost", nil, 0o600)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(t)
			text, err := os.ReadFile(m.path())
			if err != nil {
				t.Fatal(err)
			}
			text = bytes.Replace(text, []byte(`"edge", `), nil, 1) // no traffic here
			if err := os.WriteFile(m.path(), text, 0o600); err != nil {
				t.Fatal(err)
			}
			begin := func() (id raft.ID) {
				t.Helper()
				p, err := New(Options{SettingsPath: m.path(), Tuning: settings.DefaultTuning(), Log: slog.New(slog.DiscardHandler)})
				if err != nil {
					t.Fatal(err)
				}
				if id, err = p.host.store.Identity(); err != nil {
					t.Error(err)
				}
				if err := p.close(); err != nil {
					t.Error(err)
				}
				return id
			}
			cfg, err := settings.Read(m.path())
			if err != nil {
				t.Fatal(err)
			}
			first := controlplane.BootstrapID(cfg.InternalAddr())
			if id := begin(); id != first {
				t.Fatalf("the first start: member %x in place of %x", id, first)
			}
			if id := begin(); id != first { // its write-ahead log is a table by now
				t.Fatalf("the second start: member %x in place of %x", id, first)
			}
			if err := spoil(filepath.Join(m.dir, "log")); err != nil {
				t.Fatal(err)
			}
			id := begin()
			if id == first || id == 0 {
				t.Errorf("member %x came back under its id", id)
			}
			if again := begin(); again != id {
				t.Errorf("the new member %x is %x at the next start", id, again)
			}
		})
	}
}

func removeAllBut(dir, name string) error {
	all, err := os.ReadDir(dir)
	for _, f := range all {
		if err == nil && f.Name() != name {
			err = os.Remove(filepath.Join(dir, f.Name()))
		}
	}
	return err
}

package storage

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"example.org/elmspan/raft"
)

// write puts a file on a disk, to last.
func (d *disk) write(path, text string) {
	f, name, _ := d.at(path)
	f.now[name] = &inode{now: []byte(text), last: []byte(text)}
	f.last[name] = f.now[name]
}

func (d *disk) contents() map[string]string {
	out := map[string]string{}
	for name, n := range d.dirs[dir].now {
		out[name] = string(n.now)
	}
	return out
}

// A store that a newer program has written is not corrupt, whatever else is wrong
// with it as far as this program can see: nothing on the disk changes, and the newer
// program finds all of it. One that says that this program may use it is used, and
// goes on saying so.
func TestNewerFormat(t *testing.T) {
	none(t, seeds(*diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 5))
		h, d, older, err := worn(r)
		if err != nil {
			return err
		}
		may := d.clone()
		may.write(filepath.Join(dir, "FORMAT.2"), version{Format: 2, Reader: 1}.text())
		s, err := h.begin(may)
		if err != nil {
			return fmt.Errorf("one that we may use: %w", err)
		}
		s.Close()
		if v, _, err := readVersion(may, dir); err != nil || v.Format != 2 {
			return fmt.Errorf("one that we may use says %+v afterwards, %w", v, err)
		}
		d.damage(r, dir, older, kinds[r.IntN(len(kinds))]) // a form that this program doesn't know
		d.write(filepath.Join(dir, "FORMAT.2"), version{Format: 2, Reader: 2}.text())
		was := d.contents()
		for range 2 {
			if _, err := openAt(d, dir); !errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrCorrupt) {
				return fmt.Errorf("a newer one: %w", err)
			}
		}
		if now := d.contents(); !maps.Equal(now, was) {
			return fmt.Errorf("files %v were changed, there are %v", slices.Sorted(maps.Keys(was)), slices.Sorted(maps.Keys(now)))
		}
		return nil
	}))
}

// Damage to the file that names the format takes nothing from a store of ours, and
// never makes one of ours a newer one; it is mended by the next opening.
func TestFormatDamaged(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 5))
	h, d, _, err := worn(r)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "FORMAT.1")
	whole := d.contents()["FORMAT.1"]
	if whole != ours.text() {
		t.Fatalf("it says %q", whole)
	}
	spoilt := []string{"", whole[:len(whole)-1], whole + "x", version{Format: 2, Reader: 2}.text(), "elmspan member, format 9, reader 9, sum 0\n"}
	for i := range whole {
		b := []byte(whole)
		b[i] ^= 1 << r.IntN(8)
		spoilt = append(spoilt, whole[:i], string(b))
	}
	for _, text := range spoilt {
		d := d.clone()
		d.write(path, text)
		s, err := h.begin(d)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		s.Close()
		if v, _, err := readVersion(d, dir); err != nil || v != ours {
			t.Errorf("%q: %+v afterwards, %v", text, v, err)
		}
	}
}

// The format lasts before anything of it does: wherever in a first start the power
// goes, there is no seal and no database without it. An opening that could not
// make it last is followed by one that does.
func TestFormatLastsFirst(t *testing.T) {
	for at := 1; ; at++ {
		ended := false
		for seed := range uint64(10) {
			d := newDisk()
			d.dieAt = at
			s, err := openAt(d, dir)
			if err == nil {
				err = s.Initialize(7, raft.Snapshot{})
				ended = err == nil
				s.Close()
			}
			if !ended && err == nil {
				t.Fatal("no power, and no error")
			}
			back := d.lose(rand.New(rand.NewPCG(seed, uint64(at))))
			if back.dirs[dir] == nil {
				continue
			}
			v, _, err := readVersion(back, dir)
			if err != nil {
				t.Fatal(err)
			}
			for name := range back.contents() {
				if (ofDatabase(name) || kind(name) == "seal") && v != ours {
					t.Fatalf("step %d, seed %d: %s is there, and the format is %+v", at, seed, name, v)
				}
			}
		}
		if ended {
			break
		}
	}
	// The page cache has it, the disk has not.
	d := newDisk()
	if err := makeDir(d, dir); err != nil {
		t.Fatal(err)
	}
	d.write(filepath.Join(dir, "FORMAT.1"), ours.text())
	f := d.dirs[dir]
	delete(f.last, "FORMAT.1")
	f.now["FORMAT.1"].last = nil
	s, err := openAt(d, dir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if n := f.last["FORMAT.1"]; n == nil || string(n.last) != ours.text() {
		t.Error("an opening believes the page cache")
	}
}

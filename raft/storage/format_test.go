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

// A store that a newer program has written is not corrupt, whatever else is wrong with it
// as far as this program can see: nothing on the disk changes, and the newer program finds
// all of it. One that says that this program may use it is used, and goes on saying so.
func TestStoreOfANewerFormatIsNotChanged(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 5))
		m, d, older, err := usedStore(r)
		if err != nil {
			return err
		}
		usable := d.clone()
		usable.write(filepath.Join(storeDir, "FORMAT.2"), formatVersion{Format: 2, MinReader: 1}.content())
		if err := m.startAndStop(usable); err != nil {
			return fmt.Errorf("one that we may use: %w", err)
		}
		if v, _, err := readFormat(usable, storeDir); err != nil || v.Format != 2 {
			return fmt.Errorf("one that we may use says %+v afterwards, %w", v, err)
		}
		d.damage(r, storeDir, older, fileKinds[r.IntN(len(fileKinds))]) // a form that this program doesn't know
		d.write(filepath.Join(storeDir, "FORMAT.2"), formatVersion{Format: 2, MinReader: 2}.content())
		before := d.contents()
		for range 2 {
			if _, err := openStore(d, storeDir); !errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrCorrupt) {
				return fmt.Errorf("a newer one: %w", err)
			}
		}
		if after := d.contents(); !maps.Equal(after, before) {
			return fmt.Errorf("of the files %v some were changed, there are %v",
				slices.Sorted(maps.Keys(before)), slices.Sorted(maps.Keys(after)))
		}
		return nil
	})
}

// Damage to the format file takes nothing from a store of ours, and never makes one of
// ours a newer one. The next opening repairs it.
func TestDamagedFormatFileIsRepaired(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 5))
	m, disk, _, err := usedStore(r)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(storeDir, "FORMAT.1")
	intact := disk.contents()["FORMAT.1"]
	if intact != currentFormat.content() {
		t.Fatalf("it says %q", intact)
	}
	damaged := []string{
		"",
		intact[:len(intact)-1],
		intact + "x",
		formatVersion{Format: 2, MinReader: 2}.content(),
		"elmspan member, format 9, reader 9, sum 0\n",
	}
	for i := range intact {
		flipped := []byte(intact)
		flipped[i] ^= 1 << r.IntN(8)
		damaged = append(damaged, intact[:i], string(flipped))
	}
	for _, content := range damaged {
		d := disk.clone()
		d.write(path, content)
		if err := m.startAndStop(d); err != nil {
			t.Fatalf("%q: %v", content, err)
		}
		if v, _, err := readFormat(d, storeDir); err != nil || v != currentFormat {
			t.Errorf("%q: %+v afterwards, %v", content, v, err)
		}
	}
}

// The format is durable before anything that is written in it: wherever in a first start
// the power is lost, there is no seal and no database without it.
func TestFormatIsDurableBeforeAnyData(t *testing.T) {
	for step := 1; ; step++ {
		completed := false
		for seed := range uint64(10) {
			d := newFaultDisk()
			d.powerLossAt = step
			s, err := openStore(d, storeDir)
			if err == nil {
				err = s.Initialize(7, raft.Snapshot{})
				completed = err == nil
				closeStore(s)
			}
			if !completed && err == nil {
				t.Fatal("no power, and no error")
			}
			after := d.losePower(rand.New(rand.NewPCG(seed, uint64(step))))
			if after.dirs[storeDir] == nil {
				continue
			}
			if err := checkFormatBeforeData(after); err != nil {
				t.Fatalf("step %d, seed %d: %v", step, seed, err)
			}
		}
		if completed {
			return
		}
	}
}

// checkFormatBeforeData fails if the store folder has data and no format.
func checkFormatBeforeData(d *faultDisk) error {
	v, _, err := readFormat(d, storeDir)
	if err != nil {
		return err
	}
	for name := range d.contents() {
		if (isDatabaseFile(name) || fileKind(name) == "seal") && v != currentFormat {
			return fmt.Errorf("%s is there, and the format is %+v", name, v)
		}
	}
	return nil
}

// An opening that could not make the format durable is followed by one that does: here the
// page cache has the format file and the disk has not.
func TestFormatInThePageCacheIsMadeDurable(t *testing.T) {
	d := newFaultDisk()
	if err := makeDirAll(d, storeDir); err != nil {
		t.Fatal(err)
	}
	d.write(filepath.Join(storeDir, "FORMAT.1"), currentFormat.content())
	folder := d.dirs[storeDir]
	delete(folder.durable, "FORMAT.1")
	folder.visible["FORMAT.1"].durable = nil
	openSimulated(t, d)
	if f := folder.durable["FORMAT.1"]; f == nil || string(f.durable) != currentFormat.content() {
		t.Error("an opening trusts the page cache")
	}
}

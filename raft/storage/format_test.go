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

// A store of a newer format must fail with ErrNewerFormat, and not with ErrCorrupt, however
// damaged it looks to this version. Nothing on disk may change, so that the newer version
// can still use it. A store of a newer format that this version may use must open and keep
// its format file.
func TestStoreOfANewerFormatIsNotChanged(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 5))
		m, d, older, err := newUsedStore(r)
		if err != nil {
			return err
		}
		usable := d.clone()
		usable.write(filepath.Join(storeDir, "FORMAT.2"), formatVersion{Format: 2, MinReader: 1}.content())
		if err := m.startAndStop(usable); err != nil {
			return fmt.Errorf("usable store of a newer format: %w", err)
		}
		if v, _, err := readFormat(usable, storeDir); err != nil || v.Format != 2 {
			return fmt.Errorf("usable store of a newer format: the format file now has %+v, %w", v, err)
		}
		d.damage(r, storeDir, older, fileKinds[r.IntN(len(fileKinds))]) // simulates an unknown file format
		d.write(filepath.Join(storeDir, "FORMAT.2"), formatVersion{Format: 2, MinReader: 2}.content())
		before := d.contents()
		for range 2 {
			if _, err := openStore(d, storeDir); !errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrCorrupt) {
				return fmt.Errorf("store of a newer format: got %w, want ErrNewerFormat", err)
			}
		}
		if after := d.contents(); !maps.Equal(after, before) {
			return fmt.Errorf("files changed: before %v, after %v",
				slices.Sorted(maps.Keys(before)), slices.Sorted(maps.Keys(after)))
		}
		return nil
	})
}

// A damaged format file must not make a store of the current format unreadable or look like
// one of a newer format. Opening the store must repair it.
func TestDamagedFormatFileIsRepaired(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 5))
	m, disk, _, err := newUsedStore(r)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(storeDir, "FORMAT.1")
	intact := disk.contents()["FORMAT.1"]
	if intact != currentFormat.content() {
		t.Fatalf("unexpected format file %q", intact)
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
			t.Errorf("%q: got format %+v after opening, %v", content, v, err)
		}
	}
}

// The format file must be durable before any data is written: after a power loss at any
// step of the first start, there is no seal or database file without it.
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
				t.Fatal("no error after the power loss")
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

// checkFormatBeforeData fails if the store directory has data but no valid format file.
func checkFormatBeforeData(d *faultDisk) error {
	v, _, err := readFormat(d, storeDir)
	if err != nil {
		return err
	}
	for name := range d.contents() {
		if (isDatabaseFile(name) || fileKind(name) == "seal") && v != currentFormat {
			return fmt.Errorf("%s exists, but the format is %+v", name, v)
		}
	}
	return nil
}

// Opening a store must sync a format file that exists only in the page cache, as an earlier
// process may have ended before it synced the file.
func TestFormatInThePageCacheIsMadeDurable(t *testing.T) {
	d := newFaultDisk()
	if err := makeDirAll(d, storeDir); err != nil {
		t.Fatal(err)
	}
	d.write(filepath.Join(storeDir, "FORMAT.1"), currentFormat.content())
	dir := d.dirs[storeDir]
	delete(dir.durable, "FORMAT.1")
	dir.visible["FORMAT.1"].durable = nil
	openSimulated(t, d)
	if f := dir.durable["FORMAT.1"]; f == nil || string(f.durable) != currentFormat.content() {
		t.Error("the format file is not durable after opening the store")
	}
}

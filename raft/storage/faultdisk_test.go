package storage

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// faultDisk simulates a disk in memory, with the faults of real ones. After a power loss,
// each write that was not synced may be present, torn or lost. Each directory entry that
// was added or removed since the last sync of the directory is kept or lost independently
// of the others and of the contents of the file. The disk can lose power at any step, fill
// up, fail to sync, and have its files damaged.
type faultDisk struct {
	mu    sync.Mutex
	dirs  map[string]*diskDir
	steps int // number of changes requested so far
	syncs int // number of syncs requested so far

	// Faults.
	powerLossAt    int  // step at which power is lost, 0 for never
	powerLost      bool // all changes fail
	full           bool // no space is left
	failSyncs      int  // number of syncs that fail from now on; their data is never written
	failSyncNumber int  // the number, as counted by syncs, of a sync that fails likewise

	// Simulated bugs of the store: directories, or files of one kind, are not synced.
	skipDirSync  bool
	skipSyncKind string
}

// diskDir holds the entries of a directory: those that a process sees, and those that
// survive a power loss.
type diskDir struct{ visible, durable map[string]*diskFile }

// diskFile holds the contents of a file: those that a process sees, and those that survive a
// power loss.
type diskFile struct {
	visible, durable []byte
	pending          []pendingWrite // writes since the last sync
}

type pendingWrite struct {
	offset int
	data   []byte
}

var errPowerLost = errors.New("simulated power loss")

func newFaultDisk() *faultDisk {
	return &faultDisk{dirs: map[string]*diskDir{"/": newDiskDir(), "/data": newDiskDir()}}
}

func newDiskDir() *diskDir { return &diskDir{map[string]*diskFile{}, map[string]*diskFile{}} }

// step counts a change, and fails if power was lost before or is lost at this step. Reads
// still work without power, which is harmless, as nothing can be written or acknowledged
// based on them.
func (d *faultDisk) step() error {
	if d.powerLost {
		return errPowerLost
	}
	if d.steps++; d.steps == d.powerLossAt {
		d.powerLost = true
		return errPowerLost
	}
	return nil
}

// losePower cuts the power, and returns the disk with what survived.
func (d *faultDisk) losePower(r *rand.Rand) *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	out := &faultDisk{dirs: map[string]*diskDir{}, skipDirSync: d.skipDirSync, skipSyncKind: d.skipSyncKind}
	kept := map[*diskFile]*diskFile{}
	for _, dir := range slices.Sorted(maps.Keys(d.dirs)) {
		out.dirs[dir] = d.dirs[dir].afterPowerLoss(r, kept)
	}
	// A directory whose entry is lost is lost with all its files.
	for _, dir := range slices.Sorted(maps.Keys(out.dirs)) {
		if dir == "/" || dir == "/data" {
			continue
		}
		if parent := out.dirs[filepath.Dir(dir)]; parent == nil || parent.visible[filepath.Base(dir)] == nil {
			delete(out.dirs, dir)
		}
	}
	return out
}

// afterPowerLoss returns the directory as it is after a power loss. kept maps the files
// that survived so far, under any name, to their copies.
func (d *diskDir) afterPowerLoss(r *rand.Rand, kept map[*diskFile]*diskFile) *diskDir {
	out := newDiskDir()
	names := maps.Clone(d.visible)
	maps.Copy(names, d.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		f := d.visible[name]
		if old := d.durable[name]; old != f && r.IntN(2) == 0 {
			f = old
		}
		if f == nil {
			continue
		}
		if kept[f] == nil {
			data := f.afterPowerLoss(r)
			kept[f] = &diskFile{visible: data, durable: slices.Clone(data)}
		}
		out.visible[name], out.durable[name] = kept[f], kept[f]
	}
	return out
}

// afterPowerLoss returns the contents of the file after a power loss.
func (f *diskFile) afterPowerLoss(r *rand.Rand) []byte {
	data := slices.Clone(f.durable)
	for _, w := range f.pending {
		switch r.IntN(3) {
		case 0: // lost
			continue
		case 1: // torn at any byte
			w.data = w.data[:r.IntN(len(w.data)+1)]
		}
		data = overwrite(data, w)
	}
	return data
}

func overwrite(data []byte, w pendingWrite) []byte {
	if missing := w.offset + len(w.data) - len(data); missing > 0 {
		data = append(data, make([]byte, missing)...)
	}
	copy(data[w.offset:], w.data)
	return data
}

// lookUp returns the parent directory of a path, and the name in it.
func (d *faultDisk) lookUp(path string) (*diskDir, string, error) {
	parent := d.dirs[filepath.Dir(path)]
	if parent == nil {
		return nil, "", os.ErrNotExist
	}
	return parent, filepath.Base(path), nil
}

func (d *faultDisk) Create(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	parent, name, err := d.lookUp(path)
	if err != nil {
		return nil, err
	}
	if d.full {
		return nil, syscall.ENOSPC
	}
	// Truncation also creates a new diskFile, so that a power loss may restore the old one.
	f := &diskFile{}
	parent.visible[name] = f
	return &diskHandle{disk: d, file: f, kind: fileKind(name)}, nil
}

func (d *faultDisk) Open(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parent, name, err := d.lookUp(path)
	if err != nil {
		return nil, err
	}
	if f := parent.visible[name]; f != nil {
		return &diskHandle{disk: d, file: f, kind: fileKind(name)}, nil
	}
	return nil, os.ErrNotExist
}

func (d *faultDisk) OpenInPlace(path string) (file, error) { return d.Open(path) }

func (d *faultDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	parent, name, err := d.lookUp(path)
	if err != nil || parent.visible[name] == nil {
		return os.ErrNotExist
	}
	delete(parent.visible, name)
	return nil
}

func (d *faultDisk) Names(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if directory := d.dirs[dir]; directory != nil {
		return slices.Sorted(maps.Keys(directory.visible)), nil
	}
	return nil, os.ErrNotExist
}

func (d *faultDisk) Mkdir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	parent, name, err := d.lookUp(dir)
	if err != nil {
		return err
	}
	d.dirs[dir], parent.visible[name] = newDiskDir(), &diskFile{}
	return nil
}

func (d *faultDisk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sync(); err != nil {
		return err
	}
	if directory := d.dirs[dir]; directory != nil && !d.skipDirSync {
		directory.durable = maps.Clone(directory.visible)
	}
	return nil
}

func (d *faultDisk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.syncs++
	if d.failSyncs > 0 {
		d.failSyncs--
		return syscall.EIO
	}
	if d.syncs == d.failSyncNumber {
		return syscall.EIO
	}
	return nil
}

func (d *faultDisk) Lock(path string) (io.Closer, error) {
	f, err := d.Create(path)
	if errors.Is(err, syscall.ENOSPC) { // a lock file that exists or is empty needs no space
		return &diskHandle{disk: d, file: &diskFile{}}, nil
	}
	return f, err
}

// clone returns a copy of the disk as a process sees it, with everything durable.
func (d *faultDisk) clone() *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &faultDisk{dirs: map[string]*diskDir{}, skipDirSync: d.skipDirSync, skipSyncKind: d.skipSyncKind}
	for dir, directory := range d.dirs {
		to := newDiskDir()
		for name, f := range directory.visible {
			copied := &diskFile{visible: slices.Clone(f.visible), durable: slices.Clone(f.visible)}
			to.visible[name], to.durable[name] = copied, copied
		}
		out.dirs[dir] = to
	}
	return out
}

// fileKind returns the kind of a file, based on its name. A journal is a write-ahead log.
func fileKind(name string) string {
	switch {
	case strings.HasPrefix(name, currentName):
		return "CURRENT"
	case strings.HasPrefix(name, "MANIFEST"):
		return "MANIFEST"
	case strings.HasPrefix(name, sealName):
		return "seal"
	case strings.HasSuffix(name, ".log"):
		return "journal"
	case strings.HasSuffix(name, ".ldb"):
		return "table"
	}
	return "other"
}

// listing returns the names and sizes of the files in the store directory, for messages.
func (d *faultDisk) listing() (out string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if directory := d.dirs[storeDir]; directory != nil {
		for _, name := range slices.Sorted(maps.Keys(directory.visible)) {
			out += fmt.Sprintf(" %s(%d)", name, len(directory.visible[name].visible))
		}
	}
	return out
}

// write durably writes a file.
func (d *faultDisk) write(path, content string) {
	parent, name, _ := d.lookUp(path)
	parent.visible[name] = &diskFile{visible: []byte(content), durable: []byte(content)}
	parent.durable[name] = parent.visible[name]
}

// contents returns the contents of the files in the store directory by name.
func (d *faultDisk) contents() map[string]string {
	out := map[string]string{}
	for name, f := range d.dirs[storeDir].visible {
		out[name] = string(f.visible)
	}
	return out
}

// clearFaults ends the temporary faults.
func (d *faultDisk) clearFaults() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.failSyncs = false, 0
}

func (d *faultDisk) hasPower() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.powerLost
}

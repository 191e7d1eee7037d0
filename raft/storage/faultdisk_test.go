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

// faultDisk is a simulated disk in memory, with the faults of real ones. What was written
// and not synced may be there after a loss of power, in part or not at all, write by
// write. Each name that was made or removed without a sync of its folder is kept or lost
// by itself, whatever is in the file. The disk can lose power at any step, fill up, fail
// to sync, and have its files damaged.
type faultDisk struct {
	mu    sync.Mutex
	dirs  map[string]*diskFolder
	steps int // changes asked for so far
	syncs int // syncs asked for so far

	// Faults.
	powerLossAt    int  // the step at which the power is lost, 0 for never
	powerLost      bool // no change is made any more
	full           bool // no space is left
	failSyncs      int  // so many syncs from now on fail, and what was to be synced is never written
	failSyncNumber int  // the same for the sync with this number

	// Planted faults of the program: folders, or files of a kind, are not synced.
	skipDirSync  bool
	skipSyncKind string
}

// diskFolder has the names of a folder as a process sees them, and those that survive a
// loss of power.
type diskFolder struct{ visible, durable map[string]*diskFile }

// diskFile has the bytes of a file, likewise.
type diskFile struct {
	visible, durable []byte
	pending          []pendingWrite // what was written since the last sync
}

type pendingWrite struct {
	offset int
	data   []byte
}

var errPowerLost = errors.New("the power was lost")

func newFaultDisk() *faultDisk {
	return &faultDisk{dirs: map[string]*diskFolder{"/": newDiskFolder(), "/data": newDiskFolder()}}
}

func newDiskFolder() *diskFolder { return &diskFolder{map[string]*diskFile{}, map[string]*diskFile{}} }

// step is one change. It fails where the disk does. Reads go on without power: no process
// is left that could act on them.
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

// losePower ends the power and returns the disk as it comes back.
func (d *faultDisk) losePower(r *rand.Rand) *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLost = true
	out := &faultDisk{dirs: map[string]*diskFolder{}, skipDirSync: d.skipDirSync, skipSyncKind: d.skipSyncKind}
	kept := map[*diskFile]*diskFile{}
	for _, dir := range slices.Sorted(maps.Keys(d.dirs)) {
		out.dirs[dir] = d.dirs[dir].afterPowerLoss(r, kept)
	}
	// A folder whose name is lost is lost with everything in it.
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

// afterPowerLoss is what a folder holds after a loss of power. kept has the files that
// came back so far, under whatever name.
func (f *diskFolder) afterPowerLoss(r *rand.Rand, kept map[*diskFile]*diskFile) *diskFolder {
	out := newDiskFolder()
	names := maps.Clone(f.visible)
	maps.Copy(names, f.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n := f.visible[name]
		if old := f.durable[name]; old != n && r.IntN(2) == 0 {
			n = old
		}
		if n == nil {
			continue
		}
		if kept[n] == nil {
			data := n.afterPowerLoss(r)
			kept[n] = &diskFile{visible: data, durable: slices.Clone(data)}
		}
		out.visible[name], out.durable[name] = kept[n], kept[n]
	}
	return out
}

// afterPowerLoss is what a file holds after a loss of power.
func (n *diskFile) afterPowerLoss(r *rand.Rand) []byte {
	data := slices.Clone(n.durable)
	for _, w := range n.pending {
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

// lookUp returns the folder of a path, and its name in there.
func (d *faultDisk) lookUp(path string) (*diskFolder, string, error) {
	f := d.dirs[filepath.Dir(path)]
	if f == nil {
		return nil, "", os.ErrNotExist
	}
	return f, filepath.Base(path), nil
}

func (d *faultDisk) Create(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f, name, err := d.lookUp(path)
	if err != nil {
		return nil, err
	}
	if d.full {
		return nil, syscall.ENOSPC
	}
	// Emptied or new, it is another file: the old bytes may come back with the old name.
	n := &diskFile{}
	f.visible[name] = n
	return &diskHandle{disk: d, file: n, kind: fileKind(name)}, nil
}

func (d *faultDisk) Open(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, name, err := d.lookUp(path)
	if err != nil {
		return nil, err
	}
	if n := f.visible[name]; n != nil {
		return &diskHandle{disk: d, file: n, kind: fileKind(name)}, nil
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
	f, name, err := d.lookUp(path)
	if err != nil || f.visible[name] == nil {
		return os.ErrNotExist
	}
	delete(f.visible, name)
	return nil
}

func (d *faultDisk) Names(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.dirs[dir]; f != nil {
		return slices.Sorted(maps.Keys(f.visible)), nil
	}
	return nil, os.ErrNotExist
}

func (d *faultDisk) Mkdir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	f, name, err := d.lookUp(dir)
	if err != nil {
		return err
	}
	d.dirs[dir], f.visible[name] = newDiskFolder(), &diskFile{}
	return nil
}

func (d *faultDisk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sync(); err != nil {
		return err
	}
	if f := d.dirs[dir]; f != nil && !d.skipDirSync {
		f.durable = maps.Clone(f.visible)
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
	if errors.Is(err, syscall.ENOSPC) { // the file exists already, or takes no space
		return &diskHandle{disk: d, file: &diskFile{}}, nil
	}
	return f, err
}

// clone copies a disk as a process sees it, with everything durable.
func (d *faultDisk) clone() *faultDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &faultDisk{dirs: map[string]*diskFolder{}, skipDirSync: d.skipDirSync, skipSyncKind: d.skipSyncKind}
	for dir, f := range d.dirs {
		to := newDiskFolder()
		for name, n := range f.visible {
			c := &diskFile{visible: slices.Clone(n.visible), durable: slices.Clone(n.visible)}
			to.visible[name], to.durable[name] = c, c
		}
		out.dirs[dir] = to
	}
	return out
}

// fileKind is the kind of a file by its name.
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

// listing is the content of the store folder, for messages.
func (d *faultDisk) listing() (out string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.dirs[storeDir]; f != nil {
		for _, name := range slices.Sorted(maps.Keys(f.visible)) {
			out += fmt.Sprintf(" %s(%d)", name, len(f.visible[name].visible))
		}
	}
	return out
}

// write puts a durable file on the disk.
func (d *faultDisk) write(path, content string) {
	f, name, _ := d.lookUp(path)
	f.visible[name] = &diskFile{visible: []byte(content), durable: []byte(content)}
	f.durable[name] = f.visible[name]
}

// contents returns the files of the store folder by name.
func (d *faultDisk) contents() map[string]string {
	out := map[string]string{}
	for name, n := range d.dirs[storeDir].visible {
		out[name] = string(n.visible)
	}
	return out
}

// clearFaults ends the faults that last for a while.
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

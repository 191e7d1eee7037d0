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

// disk is a disk in memory that behaves badly. What was written and not synced
// may be there after a loss of power, in part or not at all, write by write; and
// each name that was made or removed without a sync of its folder is kept or lost
// by itself, whatever is in the file. It can lose power at any step, fill up, fail
// to sync, and have its files damaged.
type disk struct {
	mu    sync.Mutex
	dirs  map[string]*folder
	steps int // changes asked for so far
	// Of faults: the step at which the power goes, 0 for never; no space; the number
	// of syncs from now on that fail, with what was written dropped from memory too or not.
	dieAt      int
	dead       bool
	full       bool
	failSyncs  int
	failSyncAt int // or the one with this number
	syncs      int
	// Planted faults: folders, or files of a kind, are not synced.
	noDirSync  bool
	noSyncKind string
}

type folder struct{ now, last map[string]*inode } // names as seen, names that last

type inode struct {
	now, last []byte  // as seen, as it lasts
	pending   []piece // what was written since the last sync
}

type piece struct {
	at   int
	data []byte
}

var errPower = errors.New("no power")

func newDisk() *disk {
	return &disk{dirs: map[string]*folder{"/": newFolder(), "/data": newFolder()}}
}

func newFolder() *folder { return &folder{map[string]*inode{}, map[string]*inode{}} }

// step is one change; it fails where the disk does. Reads go on without power: no
// one is left who could act on them.
func (d *disk) step() error {
	if d.dead {
		return errPower
	}
	if d.steps++; d.steps == d.dieAt {
		d.dead = true
		return errPower
	}
	return nil
}

// lose ends the power and returns the disk as it comes back.
func (d *disk) lose(r *rand.Rand) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
	out := &disk{dirs: map[string]*folder{}, noDirSync: d.noDirSync, noSyncKind: d.noSyncKind}
	kept := map[*inode]*inode{}
	for _, dir := range slices.Sorted(maps.Keys(d.dirs)) {
		f, to := d.dirs[dir], newFolder()
		names := maps.Clone(f.now)
		maps.Copy(names, f.last)
		for _, name := range slices.Sorted(maps.Keys(names)) {
			n := f.now[name]
			if old := f.last[name]; old != n && r.IntN(2) == 0 {
				n = old
			}
			if n == nil {
				continue
			}
			if kept[n] == nil {
				data := n.torn(r)
				kept[n] = &inode{now: data, last: slices.Clone(data)}
			}
			to.now[name], to.last[name] = kept[n], kept[n]
		}
		out.dirs[dir] = to
	}
	// A folder whose name is lost is lost with all in it.
	for _, dir := range slices.Sorted(maps.Keys(out.dirs)) {
		if up := filepath.Dir(dir); dir != "/" && dir != "/data" && (out.dirs[up] == nil || out.dirs[up].now[filepath.Base(dir)] == nil) {
			delete(out.dirs, dir)
		}
	}
	return out
}

// torn is what a file holds after a loss of power.
func (n *inode) torn(r *rand.Rand) []byte {
	data := slices.Clone(n.last)
	for _, p := range n.pending {
		switch r.IntN(3) {
		case 0: // lost
			continue
		case 1: // torn at any byte
			p.data = p.data[:r.IntN(len(p.data)+1)]
		}
		data = overwrite(data, p)
	}
	return data
}

func overwrite(data []byte, p piece) []byte {
	if short := p.at + len(p.data) - len(data); short > 0 {
		data = append(data, make([]byte, short)...)
	}
	copy(data[p.at:], p.data)
	return data
}

func (d *disk) at(path string) (*folder, string, error) {
	f := d.dirs[filepath.Dir(path)]
	if f == nil {
		return nil, "", os.ErrNotExist
	}
	return f, filepath.Base(path), nil
}

func (d *disk) Create(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f, name, err := d.at(path)
	if err != nil {
		return nil, err
	}
	if d.full {
		return nil, syscall.ENOSPC
	}
	// Emptied or new, it is another file: the old bytes may come back with the old name.
	n := &inode{}
	f.now[name] = n
	return &handle{d: d, n: n, kind: kind(name)}, nil
}

func (d *disk) Open(path string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, name, err := d.at(path)
	if err != nil {
		return nil, err
	}
	if n := f.now[name]; n != nil {
		return &handle{d: d, n: n, kind: kind(name)}, nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) Update(path string) (file, error) { return d.Open(path) }

func (d *disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	f, name, err := d.at(path)
	if err != nil || f.now[name] == nil {
		return os.ErrNotExist
	}
	delete(f.now, name)
	return nil
}

func (d *disk) Names(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.dirs[dir]; f != nil {
		return slices.Sorted(maps.Keys(f.now)), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) Mkdir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	f, name, err := d.at(dir)
	if err != nil {
		return err
	}
	d.dirs[dir], f.now[name] = newFolder(), &inode{}
	return nil
}

func (d *disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sync(); err != nil {
		return err
	}
	if f := d.dirs[dir]; f != nil && !d.noDirSync {
		f.last = maps.Clone(f.now)
	}
	return nil
}

func (d *disk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.syncs++
	if d.failSyncs > 0 {
		d.failSyncs--
		return syscall.EIO
	}
	if d.syncs == d.failSyncAt {
		return syscall.EIO
	}
	return nil
}

func (d *disk) Lock(path string) (io.Closer, error) {
	f, err := d.Create(path)
	if errors.Is(err, syscall.ENOSPC) { // it is there already, or takes no space
		return &handle{d: d, n: &inode{}}, nil
	}
	return f, err
}

type handle struct {
	d    *disk
	n    *inode
	off  int
	kind string
}

func (h *handle) ReadAt(p []byte, at int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	n := copy(p, h.n.now[min(int(at), len(h.n.now)):])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) Read(p []byte) (int, error) {
	n, err := h.ReadAt(p, int64(h.off))
	if h.off += n; n > 0 {
		err = nil
	}
	return n, err
}

func (h *handle) Write(p []byte) (int, error) {
	n, err := h.WriteAt(p, int64(h.off))
	h.off += n
	return n, err
}

func (h *handle) WriteAt(p []byte, at int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.dead {
		return 0, errPower
	}
	err := h.d.step()
	if err == nil && h.d.full {
		err, p = syscall.ENOSPC, p[:len(p)/2] // a part of it still had room
	}
	w := piece{int(at), slices.Clone(p)} // what the power ended may have begun to be written
	h.n.pending = append(h.n.pending, w)
	h.n.now = overwrite(h.n.now, w)
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.sync(); err != nil {
		if errors.Is(err, syscall.EIO) { // the pages count as clean from here on, and aren't written
			h.n.pending = nil
		}
		return err
	}
	if h.kind == h.d.noSyncKind {
		return nil
	}
	for _, p := range h.n.pending {
		h.n.last = overwrite(h.n.last, p)
	}
	h.n.pending = nil
	return nil
}

func (h *handle) Seek(off int64, whence int) (int64, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	switch whence {
	case io.SeekCurrent:
		off += int64(h.off)
	case io.SeekEnd:
		off += int64(len(h.n.now))
	}
	h.off = int(off)
	return off, nil
}

func (h *handle) Close() error { return nil }

var kinds = []string{"CURRENT", "MANIFEST", "journal", "table", "seal"}

// damage spoils one file of a kind in a folder in one way, and says which.
func (d *disk) damage(r *rand.Rand, dir string, older *disk, of string) string {
	f := d.dirs[dir]
	var names []string
	for _, n := range slices.Sorted(maps.Keys(f.now)) {
		if kind(n) == of {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return "no " + of
	}
	name := names[r.IntN(len(names))]
	n := f.now[name]
	was := len(n.now)
	set := func(data []byte) { f.now[name] = &inode{now: data, last: slices.Clone(data)} }
	how := r.IntN(7)
	if was == 0 && how < 4 {
		how = 4
	}
	switch how {
	case 0:
		data := slices.Clone(n.now)
		at := r.IntN(was)
		data[at] ^= 1 << r.IntN(8)
		set(data)
		return fmt.Sprintf("%s: a bit of byte %d of %d flipped", name, at, was)
	case 1:
		data := slices.Clone(n.now)
		at := r.IntN(was)
		for i := at; i < min(was, at+512); i++ {
			data[i] = byte(r.Uint32())
		}
		set(data)
		return fmt.Sprintf("%s: 512 bytes at %d of %d overwritten", name, at, was)
	case 2:
		cut := r.IntN(was)
		set(slices.Clone(n.now[:cut]))
		return fmt.Sprintf("%s: cut to %d of %d", name, cut, was)
	case 3:
		set(nil)
		return name + ": emptied"
	case 4:
		delete(f.now, name)
		return name + ": removed"
	case 5:
		data := slices.Clone(n.now)
		clear(data[r.IntN(was+1):])
		set(data)
		return name + ": zeros to its end"
	default:
		if old := older.dirs[dir]; old != nil && old.now[name] != nil {
			set(slices.Clone(old.now[name].now))
			return name + ": replaced by an older copy of itself"
		}
		delete(f.now, name)
		return name + ": removed"
	}
}

// clone copies a disk as it is seen.
func (d *disk) clone() *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &disk{dirs: map[string]*folder{}, noDirSync: d.noDirSync, noSyncKind: d.noSyncKind}
	for dir, f := range d.dirs {
		to := newFolder()
		for name, n := range f.now {
			c := &inode{now: slices.Clone(n.now), last: slices.Clone(n.now)}
			to.now[name], to.last[name] = c, c
		}
		out.dirs[dir] = to
	}
	return out
}

// kind is a file's kind, for counting.
func kind(name string) string {
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

// listing is what is in the store's folder, for messages.
func (d *disk) listing() (out string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.dirs[dir]; f != nil {
		for _, name := range slices.Sorted(maps.Keys(f.now)) {
			out += fmt.Sprintf(" %s(%d)", name, len(f.now[name].now))
		}
	}
	return out
}

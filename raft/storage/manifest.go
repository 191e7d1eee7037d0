package storage

import (
	"cmp"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// A small file names the current manifest. goleveldb renames a new CURRENT
// over the old one; here each manifest gets a file of its own, CURRENT.n, and the highest
// of them that can be read is in force (goleveldb reads the same names). So there is no
// moment at which a lost rename leaves no pointer at all.
const (
	currentName = "CURRENT"
	// maxCurrentSize bounds what is read of such a file, in bytes.
	maxCurrentSize = 64
	// anyManifest stands for the number in the name CURRENT, which has none.
	anyManifest = -1
)

// SetMeta implements storage.Storage: it makes a manifest the current one.
func (f *dbFiles) SetMeta(manifest storage.FileDesc) error {
	if err := f.writeError(); err != nil {
		return err
	}
	f.mu.Lock()
	f.manifestSet = true
	f.mu.Unlock()
	err := f.setCurrent(manifest)
	f.noteWriteError(err)
	return err
}

// setCurrent writes the pointer to a manifest. The manifest and its name are made durable
// first: a pointer that outlives its manifest would, after the next start, name a new
// manifest of the same number that is only half written.
func (f *dbFiles) setCurrent(manifest storage.FileDesc) error {
	if err := f.syncManifest(manifest); err != nil {
		return err
	}
	name := currentName + "." + strconv.FormatInt(manifest.Num, 10)
	pointer, err := f.fs.Create(filepath.Join(f.dir, name))
	if err != nil {
		return err
	}
	_, err = io.WriteString(pointer, manifest.String()+"\n")
	if err := errors.Join(err, pointer.Sync(), pointer.Close()); err != nil {
		return err
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		return err
	}
	return f.removePointersBut(name)
}

// syncManifest makes a manifest and its name durable: goleveldb flushes its manifest, and
// does not sync it.
func (f *dbFiles) syncManifest(manifest storage.FileDesc) error {
	m, err := f.fs.OpenInPlace(f.path(manifest))
	if err != nil {
		return err
	}
	return errors.Join(m.Sync(), m.Close(), f.fs.SyncDir(f.dir))
}

func (f *dbFiles) removePointersBut(name string) error {
	pointers, err := f.manifestPointers()
	if err != nil {
		return err
	}
	for _, p := range pointers {
		if p.name != name {
			_ = f.fs.Remove(filepath.Join(f.dir, p.name)) // one that stays has a lower number
		}
	}
	return nil
}

// manifestPointer is a file that names a manifest.
type manifestPointer struct {
	name     string
	manifest int64 // the number of the manifest; anyManifest: what is in the file decides
}

// manifestPointers lists the files that may name the current manifest, the newest first.
func (f *dbFiles) manifestPointers() ([]manifestPointer, error) {
	names, err := f.fs.Names(f.dir)
	if err != nil {
		f.noteReadError(err)
		return nil, err
	}
	var pointers []manifestPointer
	for _, name := range names {
		if name == currentName {
			pointers = append(pointers, manifestPointer{name, anyManifest})
			continue
		}
		number, err := strconv.ParseInt(strings.TrimPrefix(name, currentName+"."), 10, 64)
		if err == nil && strings.HasPrefix(name, currentName) {
			pointers = append(pointers, manifestPointer{name, number})
		}
	}
	slices.SortFunc(pointers, func(a, b manifestPointer) int { return cmp.Compare(b.manifest, a.manifest) })
	return pointers, nil
}

// GetMeta implements storage.Storage. It returns the current manifest: of those that are
// named and can be opened, the newest. What the manifest leads to is checked against the
// seal.
func (f *dbFiles) GetMeta() (current storage.FileDesc, err error) {
	pointers, err := f.manifestPointers()
	if err != nil {
		return current, err
	}
	for _, p := range pointers {
		manifest, ok := f.readPointer(p)
		if ok && f.canOpen(manifest) && (current.Zero() || manifest.Num > current.Num) {
			current = manifest
		}
	}
	if !current.Zero() {
		return current, nil
	}
	if len(pointers) > 0 {
		return current, &storage.ErrCorrupted{Err: errors.New("no file names the current manifest")}
	}
	return current, os.ErrNotExist // there is no database yet
}

// readPointer returns the manifest that a pointer names. It is not ok if the file can't be
// read, or does not agree with its own name.
func (f *dbFiles) readPointer(p manifestPointer) (manifest storage.FileDesc, ok bool) {
	opened, err := f.fs.Open(filepath.Join(f.dir, p.name))
	if err != nil {
		f.noteReadError(err)
		return manifest, false
	}
	defer closeUnwritten(opened)
	content, err := io.ReadAll(io.LimitReader(opened, maxCurrentSize))
	if err != nil {
		f.noteReadError(err)
		return manifest, false
	}
	manifest, ok = parseFileName(strings.TrimSuffix(string(content), "\n"))
	ok = ok && manifest.Type == storage.TypeManifest
	return manifest, ok && (p.manifest <= anyManifest || p.manifest == manifest.Num)
}

// canOpen reports whether a file is there and can be opened.
func (f *dbFiles) canOpen(fd storage.FileDesc) bool {
	opened, err := f.fs.Open(f.path(fd))
	if err != nil {
		f.noteReadError(err)
		return false
	}
	closeUnwritten(opened)
	return true
}

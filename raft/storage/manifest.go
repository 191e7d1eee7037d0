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

// A small pointer file names the current manifest. goleveldb's own storage renames a new
// CURRENT over the old one. Here each manifest gets its own pointer file, CURRENT.n, and
// the readable one with the highest number applies (goleveldb reads the same names). This
// way, a rename lost in a power loss can't leave the store without any pointer file.
const (
	currentName    = "CURRENT"
	maxCurrentSize = 64 // bytes; the rest of a larger pointer file is not read
	// unnumberedPointer is the number of the pointer file CURRENT, whose name has none.
	unnumberedPointer = -1
)

// SetMeta implements storage.Storage: it sets the current manifest.
func (f *dbFiles) SetMeta(manifest storage.FileDesc) error {
	if err := f.writeError(); err != nil {
		return err
	}
	f.mu.Lock()
	f.manifestSet = true
	f.mu.Unlock()
	err := f.setCurrent(manifest)
	f.recordWriteError(err)
	return err
}

// setCurrent writes the pointer file of a manifest. The manifest and its directory entry
// are made durable first. Otherwise a power loss could remove the manifest but not the
// pointer file, which would refer, after the next start, to a partly written new manifest
// of the same number.
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
	return f.removeOtherPointers(name)
}

// syncManifest makes a manifest and its directory entry durable. goleveldb only flushes a
// new manifest and doesn't sync it.
func (f *dbFiles) syncManifest(manifest storage.FileDesc) error {
	m, err := f.fs.OpenInPlace(f.path(manifest))
	if err != nil {
		return err
	}
	return errors.Join(m.Sync(), m.Close(), f.fs.SyncDir(f.dir))
}

// removeOtherPointers removes all pointer files except the named one.
func (f *dbFiles) removeOtherPointers(name string) error {
	pointers, err := f.manifestPointers()
	if err != nil {
		return err
	}
	for _, p := range pointers {
		if p.name != name {
			_ = f.fs.Remove(filepath.Join(f.dir, p.name)) // a remaining file has a lower number
		}
	}
	return nil
}

// manifestPointer is a pointer file, which names a manifest.
type manifestPointer struct {
	name   string
	number int64 // in the file name, or unnumberedPointer
}

// manifestPointers lists the pointer files, newest first.
func (f *dbFiles) manifestPointers() ([]manifestPointer, error) {
	names, err := f.fs.Names(f.dir)
	if err != nil {
		f.recordReadError(err)
		return nil, err
	}
	var pointers []manifestPointer
	for _, name := range names {
		if name == currentName {
			pointers = append(pointers, manifestPointer{name, unnumberedPointer})
			continue
		}
		number, err := strconv.ParseInt(strings.TrimPrefix(name, currentName+"."), 10, 64)
		if err == nil && strings.HasPrefix(name, currentName) {
			pointers = append(pointers, manifestPointer{name, number})
		}
	}
	slices.SortFunc(pointers, func(a, b manifestPointer) int { return cmp.Compare(b.number, a.number) })
	return pointers, nil
}

// GetMeta implements storage.Storage. It returns the current manifest: the newest one that
// a pointer file names and that can be opened. The contents of the database that the
// manifest describes are checked against the seal later.
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
		return current, &storage.ErrCorrupted{Err: errors.New("no CURRENT file names a manifest that can be opened")}
	}
	return current, os.ErrNotExist // there is no database yet
}

// readPointer returns the manifest that a pointer file names. ok is false if the file can't
// be read, or if its contents don't match the number in its name.
func (f *dbFiles) readPointer(p manifestPointer) (manifest storage.FileDesc, ok bool) {
	opened, err := f.fs.Open(filepath.Join(f.dir, p.name))
	if err != nil {
		f.recordReadError(err)
		return manifest, false
	}
	defer closeQuietly(opened)
	content, err := io.ReadAll(io.LimitReader(opened, maxCurrentSize))
	if err != nil {
		f.recordReadError(err)
		return manifest, false
	}
	manifest, ok = parseFileName(strings.TrimSuffix(string(content), "\n"))
	ok = ok && manifest.Type == storage.TypeManifest
	return manifest, ok && (p.number <= unnumberedPointer || p.number == manifest.Num)
}

// canOpen reports whether a file exists and can be opened.
func (f *dbFiles) canOpen(fd storage.FileDesc) bool {
	opened, err := f.fs.Open(f.path(fd))
	if err != nil {
		f.recordReadError(err)
		return false
	}
	closeQuietly(opened)
	return true
}

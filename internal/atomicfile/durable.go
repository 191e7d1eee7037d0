// Package atomicfile writes files so that they outlive a loss of power: the bytes
// are synced before the name is given, and the folder after it. A file's own
// sync does not make its name last (see fsync(2)), and a rename that lasts
// before the bytes do leaves an empty file under the good name.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// WriteFile puts data in place of what a file held, whole or not at all. When
// it returns without an error, the file survives a loss of power. A link is
// followed; what is no regular file (a pipe, a terminal) is written to as it is.
func WriteFile(path string, data []byte, perm fs.FileMode) (err error) {
	if to, err := filepath.EvalSymlinks(path); err == nil {
		path = to
	}
	if info, err := os.Stat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, data, perm)
	}
	dir := filepath.Dir(path)
	t, err := os.CreateTemp(dir, "."+filepath.Base(path)+"-")
	if err != nil {
		return err
	}
	_, err = t.Write(data)
	if err = errors.Join(err, t.Chmod(perm), t.Sync(), t.Close()); err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		os.Remove(t.Name())
		return err
	}
	return SyncDir(dir)
}

// MkdirAll makes a folder and those above it that are missing, each of them to last.
func MkdirAll(path string, perm fs.FileMode) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	up := filepath.Dir(path)
	if up != path {
		if err := MkdirAll(up, perm); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, perm); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return SyncDir(up)
}

// Remove removes a file for good: it does not come back with the power.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes the names in a folder last: those made, renamed and removed.
func SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	err = f.Sync()
	if errors.Is(err, syscall.EINVAL) { // a file system without such a thing as a synced folder
		err = nil
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("syncing folder %s: %w", path, err)
	}
	return nil
}

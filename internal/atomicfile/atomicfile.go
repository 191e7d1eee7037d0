// Package atomicfile changes files atomically and durably: a file is replaced entirely or
// not at all, and the change survives a power failure once the call has returned.
//
// Syncing a file does not make its directory entry durable (see fsync(2)), and if a rename
// becomes durable before the file's contents, a power failure leaves an empty file under the
// final name. So the contents are synced first, then the file is renamed, and then the
// directory is synced.
//
// All errors are those of package os, some of them joined or wrapped.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// WriteFile replaces the contents of a file, or creates it, and sets its mode. If it
// succeeds, the new contents survive a power failure. If it fails, the file has either the
// old contents or the new ones. Symbolic links are followed. A file that is not regular (a
// pipe, a terminal) is written to directly.
func WriteFile(path string, data []byte, mode fs.FileMode) error {
	if target, err := filepath.EvalSymlinks(path); err == nil {
		path = target
	}
	if info, err := os.Stat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, data, mode)
	}
	dir := filepath.Dir(path)
	temp, err := os.CreateTemp(dir, "."+filepath.Base(path)+"-")
	if err != nil {
		return err
	}
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Chmod(mode), temp.Sync(), temp.Close()); err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temp.Name()) // best effort: the original error is returned
		return err
	}
	return SyncDir(dir)
}

// MkdirAll durably creates a directory and its missing parents. It does nothing if the
// directory exists.
func MkdirAll(path string, mode fs.FileMode) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := MkdirAll(parent, mode); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, mode); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return SyncDir(parent)
}

// Remove removes a file durably: it does not reappear after a power failure.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes a directory's entries durable, including renames and removals. It does
// nothing on file systems that can't sync directories.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if errors.Is(err, syscall.EINVAL) { // the file system can't sync directories
		err = nil
	}
	if err = errors.Join(err, dir.Close()); err != nil {
		return fmt.Errorf("sync directory %s: %w", path, err)
	}
	return nil
}

// Package atomicfile changes files so that the change survives a loss of power: a file is
// replaced in whole or not at all, and its name is durable when the call returns.
//
// A file's own sync does not make its name durable (see fsync(2)), and a rename that is
// durable before the bytes are leaves an empty file under the right name. So the bytes are
// synced first, then the file is renamed, then the folder is synced.
//
// All errors are those of package os, some of them joined.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// WriteFile replaces the contents of a file, which is made if it is missing, and sets its
// mode. When it returns without an error, the new contents survive a loss of power; after
// an error the file holds the old contents or the new ones. A symbolic link is followed.
// What is no regular file (a pipe, a terminal) is written to as it is.
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
		_ = os.Remove(temp.Name()) // best effort: the first error is returned
		return err
	}
	return SyncDir(dir)
}

// MkdirAll makes a folder and its missing parents, each of them durable. It does nothing if
// the folder is there.
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

// Remove removes a file durably: it does not come back after a loss of power.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes the names in a folder durable: those made, renamed and removed. It does
// nothing on a file system that can't sync a folder.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if errors.Is(err, syscall.EINVAL) { // the file system can't sync a folder
		err = nil
	}
	if err = errors.Join(err, dir.Close()); err != nil {
		return fmt.Errorf("syncing folder %s: %w", path, err)
	}
	return nil
}

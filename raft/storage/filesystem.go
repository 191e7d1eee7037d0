package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"example.org/elmspan/internal/atomicfile"
)

// fileSystem is the part of a file system that a store uses. Tests replace it with a
// simulated disk that loses power, fills up and damages files. Errors are those of package
// os, such as os.ErrNotExist for a missing file.
type fileSystem interface {
	// Create opens a file for writing, and creates or truncates it.
	Create(path string) (file, error)
	// Open opens a file for reading.
	Open(path string) (file, error)
	// OpenInPlace opens an existing file for reading and writing.
	OpenInPlace(path string) (file, error)
	// Remove removes a file, or a directory with its contents. It may return nil if nothing is
	// there. The removal is durable only after SyncDir.
	Remove(path string) error
	// Names lists the names in a directory, in no particular order.
	Names(dir string) ([]string, error)
	// Mkdir creates a directory.
	Mkdir(dir string) error
	// SyncDir makes the entries of a directory durable, both added and removed ones.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, which it creates if missing. The lock is held
	// until the result is closed. Lock fails if the file is already locked.
	Lock(path string) (io.Closer, error)
}

// file is an open file.
type file interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.WriterAt
	io.Seeker
	io.Closer
	// Sync makes the contents and the size durable, but not the directory entry.
	Sync() error
}

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

// osFile is a file of an osFileSystem.
type osFile struct{ *os.File }

// Sync implements file.
func (f osFile) Sync() error { return atomicfile.SyncData(f.File) }

func openOSFile(path string, flag int) (file, error) {
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create implements fileSystem.
func (osFileSystem) Create(path string) (file, error) {
	return openOSFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
}

// Open implements fileSystem.
func (osFileSystem) Open(path string) (file, error) { return openOSFile(path, os.O_RDONLY) }

// OpenInPlace implements fileSystem.
func (osFileSystem) OpenInPlace(path string) (file, error) { return openOSFile(path, os.O_RDWR) }

// Remove implements fileSystem.
func (osFileSystem) Remove(path string) error { return os.RemoveAll(path) }

// Mkdir implements fileSystem.
func (osFileSystem) Mkdir(dir string) error { return os.Mkdir(dir, dirMode) }

// SyncDir implements fileSystem.
func (osFileSystem) SyncDir(dir string) error { return atomicfile.SyncDir(dir) }

// Names implements fileSystem.
func (osFileSystem) Names(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(f)
	return f.Readdirnames(0)
}

// Lock implements fileSystem. It uses flock(2), so the lock ends with the process.
func (osFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		closeQuietly(f)
		return nil, fmt.Errorf("%s is locked by another process: %w", path, err)
	}
	return f, nil
}

// makeDirAll durably creates a directory and its missing parents: the entry of each is
// synced in its parent directory before anything is created in it.
func makeDirAll(fs fileSystem, dir string) error {
	if _, err := fs.Names(dir); err == nil {
		return nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(dir)
	if parent == dir {
		return os.ErrNotExist
	}
	if err := makeDirAll(fs, parent); err != nil {
		return err
	}
	if err := fs.Mkdir(dir); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return fs.SyncDir(parent)
}

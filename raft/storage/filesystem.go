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

// fileSystem is everything that a store needs of a disk. Tests put a simulated disk in
// its place that loses power, fills up and damages files. Errors are those of package os:
// a missing file is os.ErrNotExist.
type fileSystem interface {
	// Create opens a file for writing, made or emptied.
	Create(path string) (file, error)
	// Open opens a file for reading.
	Open(path string) (file, error)
	// OpenInPlace opens an existing file for reading and writing.
	OpenInPlace(path string) (file, error)
	// Remove removes a file. The removal is durable after SyncDir only.
	Remove(path string) error
	// Names lists the names in a folder, in no order.
	Names(dir string) ([]string, error)
	// Mkdir makes a folder.
	Mkdir(dir string) error
	// SyncDir makes the names in a folder durable: those made and those removed.
	SyncDir(dir string) error
	// Lock keeps every other process out until it is closed.
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
	// Sync makes the bytes and the length durable, but not the name of the file.
	Sync() error
}

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// osFileSystem is the disk of the machine.
type osFileSystem struct{}

// osFile is a file on it.
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
	defer closeUnwritten(f)
	return f.Readdirnames(0)
}

// Lock implements fileSystem, by flock(2): the lock ends with the process.
func (osFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		closeUnwritten(f)
		return nil, fmt.Errorf("%s: another process has it open: %w", path, err)
	}
	return f, nil
}

// makeDirAll makes a folder and its missing parents, durable: the name of each is synced
// in the folder above it before anything is put into it.
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

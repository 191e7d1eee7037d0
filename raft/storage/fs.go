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

// fileSystem is all that the store asks of a disk. Paths are the system's. The
// errors are those of package os: what is missing is os.ErrNotExist.
type fileSystem interface {
	Create(path string) (file, error) // for writing, emptied where it is there
	Open(path string) (file, error)   // for reading
	Update(path string) (file, error) // for reading and writing in place; it must be there
	Remove(path string) error
	Names(dir string) ([]string, error)
	Mkdir(dir string) error
	// SyncDir makes the names in a folder last.
	SyncDir(dir string) error
	// Lock keeps every other process out of a folder until it is closed.
	Lock(path string) (io.Closer, error)
}

type file interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.WriterAt
	io.Seeker
	io.Closer
	// Sync makes the bytes and the length last, the name not.
	Sync() error
}

// osFS is the machine's disk.
type osFS struct{}

type osFile struct{ *os.File }

func (f osFile) Sync() error { return atomicfile.SyncData(f.File) }

func osOpen(path string, flag int) (file, error) {
	f, err := os.OpenFile(path, flag, 0o644)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (osFS) Create(path string) (file, error) {
	return osOpen(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
}
func (osFS) Open(path string) (file, error)   { return osOpen(path, os.O_RDONLY) }
func (osFS) Update(path string) (file, error) { return osOpen(path, os.O_RDWR) }
func (osFS) Remove(path string) error         { return os.RemoveAll(path) }
func (osFS) Mkdir(dir string) error           { return os.Mkdir(dir, 0o755) }
func (osFS) SyncDir(dir string) error         { return atomicfile.SyncDir(dir) }

func (osFS) Names(dir string) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Readdirnames(0)
}

func (osFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: another process has it open: %w", path, err)
	}
	return f, nil
}

// makeDir makes a folder and those above it that are missing, each of them to
// last: its name is synced in the folder above before anything is put into it.
func makeDir(fs fileSystem, dir string) error {
	if _, err := fs.Names(dir); err == nil {
		return nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	up := filepath.Dir(dir)
	if up == dir {
		return os.ErrNotExist
	}
	if err := makeDir(fs, up); err != nil {
		return err
	}
	if err := fs.Mkdir(dir); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return fs.SyncDir(up)
}

package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// files is the folder as goleveldb sees it. goleveldb's own storage loses
// acknowledged writes with the power, so this one differs from it:
//
//   - The first sync of a file syncs its folder too: without it a new journal is
//     a file of synced bytes that may have no name.
//   - A manifest is synced, and its name, before it becomes the current one.
//   - CURRENT is never renamed into place: each manifest gets a small file of its
//     own, CURRENT.n, and the highest of them counts (goleveldb reads the same
//     names). So no moment exists in which a lost rename leaves no pointer at all.
//   - After the first write, sync or new file that failed, nothing is changed on
//     the disk any more (it is fenced). goleveldb would try again on the same
//     file, and a second fsync says nothing of pages that the first one gave up.
//     goleveldb isn't told, so that its compaction neither tries for seconds nor
//     fails while a writer waits for it; the store asks fenced after each write,
//     promises nothing, opens the database anew, and reads.
//
// Removals aren't synced: what is removed is no longer named by the manifest,
// which is on disk by then, and a file that comes back is passed over.
type files struct {
	fs  fileSystem
	dir string

	mu      sync.Mutex
	err     error                        // the first failure to write; nothing is written after it
	ioErr   error                        // the first failure that isn't damage
	made    []storage.FileDesc           // not named by any manifest yet
	pointed bool                         // SetMeta was called
	ghosts  map[storage.FileDesc]*writer // tables not on disk in whole, since the fence
	closed  bool
}

const currentName = "CURRENT"

var errClosed = errors.New("storage: the files are closed")

func (s *files) path(fd storage.FileDesc) string { return filepath.Join(s.dir, fd.String()) }

// failed notes a failure to write.
func (s *files) failed(err error) error {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.err == nil {
			s.err = err
		}
	}
	return err
}

// unread notes a failure to read that says nothing about what is on the disk: no
// permission, too many files open, a device that is gone. What is missing or ends
// too soon is damage, and so is a block that the medium can't read (EIO).
func (s *files) unread(err error) error {
	if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EIO) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ioErr == nil {
			s.ioErr = err
		}
	}
	return err
}

// fault is the failure of the disk that stands behind a failure of the
// database; nil where there is none, which leaves damage.
func (s *files) fault() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	return s.ioErr
}

// fenced is why nothing may be written any more, nil while it may.
func (s *files) fenced() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	return s.err
}

// shut has nothing written any more, and takes back what no manifest names, so
// that tries on a full disk don't fill it further.
func (s *files) shut() {
	s.mu.Lock()
	s.closed = true
	made, pointed := s.made, s.pointed
	s.mu.Unlock()
	if !pointed {
		for _, fd := range made {
			s.fs.Remove(s.path(fd))
		}
	}
}

func (s *files) Lock() (storage.Locker, error) { return unlocked{}, nil } // the store holds the lock
func (s *files) Log(string)                    {}
func (s *files) Close() error                  { return nil }

type unlocked struct{}

func (unlocked) Unlock() {}

// SetMeta makes a manifest the current one.
func (s *files) SetMeta(fd storage.FileDesc) error {
	if err := s.fenced(); err != nil {
		return err
	}
	s.mu.Lock()
	s.pointed = true
	s.mu.Unlock()
	return s.failed(s.point(fd))
}

func (s *files) point(fd storage.FileDesc) error {
	m, err := s.fs.Update(s.path(fd)) // goleveldb flushes its manifest, and doesn't sync it
	if err != nil {
		return err
	}
	// Its name must last before the one that leads to it may.
	if err := errors.Join(m.Sync(), m.Close(), s.fs.SyncDir(s.dir)); err != nil {
		return err
	}
	name := currentName + "." + strconv.FormatInt(fd.Num, 10)
	f, err := s.fs.Create(filepath.Join(s.dir, name))
	if err != nil {
		return err
	}
	_, err = io.WriteString(f, fd.String()+"\n")
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return err
	}
	all, err := s.pointers()
	for _, p := range all {
		if p.name != name {
			s.fs.Remove(filepath.Join(s.dir, p.name))
		}
	}
	return err
}

type pointer struct {
	name string
	num  int64 // of the manifest; -1: what is in the file decides
}

// pointers lists what may name the current manifest, the newest first.
func (s *files) pointers() ([]pointer, error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return nil, s.unread(err)
	}
	var out []pointer
	for _, n := range names {
		if num, err := strconv.ParseInt(strings.TrimPrefix(n, currentName+"."), 10, 64); err == nil && strings.HasPrefix(n, currentName) {
			out = append(out, pointer{n, num})
		} else if n == currentName {
			out = append(out, pointer{n, -1})
		}
	}
	slices.SortFunc(out, func(a, b pointer) int { return int(max(-1, min(1, b.num-a.num))) })
	return out, nil
}

// GetMeta returns the current manifest: of the files that name one, the newest
// that can be read. What it leads to is checked against the seal.
func (s *files) GetMeta() (best storage.FileDesc, err error) {
	all, err := s.pointers()
	if err != nil {
		return best, err
	}
	for _, p := range all {
		f, err := s.fs.Open(filepath.Join(s.dir, p.name))
		if err != nil {
			s.unread(err)
			continue
		}
		text, err := io.ReadAll(io.LimitReader(f, 64))
		s.unread(err)
		f.Close()
		fd, ok := parse(strings.TrimSuffix(string(text), "\n"))
		if err != nil || !ok || fd.Type != storage.TypeManifest || p.num >= 0 && fd.Num != p.num {
			continue
		}
		if m, err := s.fs.Open(s.path(fd)); err != nil {
			s.unread(err)
		} else if m.Close(); best.Zero() || fd.Num > best.Num {
			best = fd
		}
	}
	if best.Zero() {
		if len(all) > 0 {
			return best, &storage.ErrCorrupted{Err: errors.New("no file names the current manifest")}
		}
		return best, os.ErrNotExist
	}
	return best, nil
}

// List lists goleveldb's files of some types.
func (s *files) List(t storage.FileType) (out []storage.FileDesc, err error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return nil, s.unread(err)
	}
	for _, n := range names {
		if fd, ok := parse(n); ok && fd.Type&t != 0 {
			out = append(out, fd)
		}
	}
	return out, nil
}

// parse reads a file's name: NNNNNN.log, .ldb, .tmp or MANIFEST-NNNNNN.
func parse(name string) (fd storage.FileDesc, ok bool) {
	number, kind, _ := strings.Cut(name, ".")
	if n, is := strings.CutPrefix(name, "MANIFEST-"); is {
		number, kind = n, "manifest"
	}
	num, err := strconv.ParseInt(number, 10, 64)
	t := map[string]storage.FileType{"manifest": storage.TypeManifest, "log": storage.TypeJournal, "ldb": storage.TypeTable, "tmp": storage.TypeTemp}[kind]
	fd = storage.FileDesc{Type: t, Num: num}
	return fd, err == nil && t != 0 && fd.String() == name
}

// Open opens a file for reading.
func (s *files) Open(fd storage.FileDesc) (storage.Reader, error) {
	s.mu.Lock()
	ghost := s.ghosts[fd]
	s.mu.Unlock()
	if ghost != nil {
		return ghost.read()
	}
	f, err := s.fs.Open(s.path(fd))
	if err != nil {
		return nil, s.unread(err)
	}
	if fd.Type == storage.TypeTable {
		if err := checkFooter(f); err != nil {
			f.Close()
			s.unread(err)
			return nil, &storage.ErrCorrupted{Fd: fd, Err: err}
		}
	}
	return reader{f, s}, nil
}

type reader struct {
	file
	s *files
}

func (r reader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	return n, r.s.unread(err)
}

func (r reader) ReadAt(p []byte, at int64) (int, error) {
	n, err := r.file.ReadAt(p, at)
	return n, r.s.unread(err)
}

// The end of a table: handles of two blocks, each an offset and a length, and
// the magic number.
const (
	footerSize   = 48
	footerMagic  = 8
	blockTrailer = 5
)

// checkFooter finds handles that point out of the file. The footer has no
// checksum: goleveldb would ask for as much memory as a flipped length says.
func checkFooter(f file) error {
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if size < footerSize {
		return fmt.Errorf("the table is cut short: %w", io.EOF)
	}
	var b [footerSize]byte
	if _, err := f.ReadAt(b[:], size-footerSize); err != nil {
		return err
	}
	rest := b[:footerSize-footerMagic]
	for range 2 {
		offset, n := binary.Uvarint(rest)
		length, m := binary.Uvarint(rest[max(0, n):])
		if n <= 0 || m <= 0 || offset > uint64(size) || length > uint64(size) || offset+length+blockTrailer > uint64(size)-footerSize {
			return fmt.Errorf("a block of %d bytes at %d in a table of %d: %w", length, offset, size, io.EOF)
		}
		rest = rest[n+m:]
	}
	_, err = f.Seek(0, io.SeekStart)
	return err
}

// Create makes a file, empty where it was there.
func (s *files) Create(fd storage.FileDesc) (storage.Writer, error) {
	w := &writer{s: s, fd: fd}
	if s.fenced() != nil {
		return w, nil
	}
	f, err := s.fs.Create(s.path(fd))
	if err != nil {
		s.failed(err)
		return w, nil
	}
	w.f = f
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pointed {
		s.made = append(s.made, fd)
	}
	return w, nil
}

// Remove removes a file.
func (s *files) Remove(fd storage.FileDesc) error {
	if s.fenced() != nil {
		return nil
	}
	return s.fs.Remove(s.path(fd))
}

// Rename is what goleveldb does only to recover, which is not done here.
func (s *files) Rename(_, _ storage.FileDesc) error { return errors.ErrUnsupported }

type writer struct {
	f     file // nil where it could not be made
	s     *files
	fd    storage.FileDesc
	named bool // its name lasts
	good  int  // bytes written to the file
	// And those of a table that came after the fence, as compaction reads the tables
	// that it has written. They are few: the next Save ends it all.
	tail []byte
}

func (w *writer) Write(p []byte) (int, error) {
	if w.s.fenced() == nil {
		_, err := w.f.Write(p)
		if w.s.failed(err) == nil {
			w.good += len(p)
			return len(p), nil
		}
	}
	if w.fd.Type == storage.TypeTable {
		w.s.mu.Lock()
		defer w.s.mu.Unlock()
		w.tail = append(w.tail, p...)
		if w.s.ghosts == nil {
			w.s.ghosts = map[storage.FileDesc]*writer{}
		}
		w.s.ghosts[w.fd] = w
	}
	return len(p), nil
}

// read reads a table that is on disk in part, or not at all.
func (w *writer) read() (storage.Reader, error) {
	g := ghost{w: w}
	if w.good > 0 {
		f, err := w.s.fs.Open(w.s.path(w.fd))
		if err != nil {
			return nil, err
		}
		g.f = f
	}
	return struct {
		*io.SectionReader
		io.Closer
	}{io.NewSectionReader(g, 0, int64(w.good+len(w.tail))), g}, nil
}

type ghost struct {
	w *writer
	f file // the part on disk, nil for none
}

func (g ghost) ReadAt(p []byte, at int64) (n int, err error) {
	if on := int64(g.w.good) - at; on > 0 {
		if n, err = g.f.ReadAt(p[:min(on, int64(len(p)))], at); err != nil {
			return n, err
		}
	}
	if n < len(p) {
		n += copy(p[n:], g.w.tail[at+int64(n)-int64(g.w.good):])
	}
	if n < len(p) {
		err = io.EOF
	}
	return n, err
}

func (g ghost) Close() error {
	if g.f != nil {
		return g.f.Close()
	}
	return nil
}

// Sync makes what was written last, and the name of the file.
func (w *writer) Sync() error {
	if w.s.fenced() != nil {
		return nil
	}
	err := w.f.Sync()
	if err == nil && !w.named {
		err = w.s.fs.SyncDir(w.s.dir)
		w.named = err == nil
	}
	w.s.failed(err)
	return nil
}

func (w *writer) Close() error {
	if w.f != nil {
		w.f.Close()
	}
	return nil
}

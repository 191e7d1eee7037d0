package storage

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// dbFiles gives goleveldb the files of a store. It implements goleveldb's
// storage.Storage. goleveldb's own implementation loses acknowledged writes with the
// power, so this one differs from it:
//
//   - The first sync of a file syncs its folder too. Without that, a new write-ahead log
//     is a file of synced bytes that may have no name.
//   - A manifest and its name are synced before it becomes the current one, see
//     manifest.go.
//   - After the first write, sync or new file that failed, nothing is changed on the disk
//     any more. goleveldb would try again on the same file, and a second fsync says
//     nothing of pages that the first one gave up. goleveldb gets no error, so that its
//     compaction neither retries for seconds nor fails while a writer waits for it. The
//     store asks writeError after each write, acknowledges nothing, opens the database
//     anew, and reads what is there.
//
// Removals are not synced: what is removed is no longer named by the manifest, which is on
// disk by then, and a file that comes back is ignored.
type dbFiles struct {
	fs  fileSystem
	dir string

	mu          sync.Mutex         // guards all that follows
	failedWrite error              // the first failure to write; nothing is written after it
	failedRead  error              // the first failure to read that is no damage
	manifestSet bool               // goleveldb has made a manifest the current one
	created     []storage.FileDesc // files that no manifest names yet
	shut        bool               // shutDown was called
	// partial has the tables that are not on disk in whole, since the first failed write.
	partial map[storage.FileDesc]*dbWriter
}

var _ storage.Storage = (*dbFiles)(nil)

func (f *dbFiles) path(fd storage.FileDesc) string { return filepath.Join(f.dir, fd.String()) }

// noteWriteError keeps the first failure to write.
func (f *dbFiles) noteWriteError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedWrite == nil {
		f.failedWrite = err
	}
}

// noteReadError keeps the first failure to read that says nothing about what is on disk.
func (f *dbFiles) noteReadError(err error) {
	if err == nil || isDamage(err) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedRead == nil {
		f.failedRead = err
	}
}

// diskError is the failure of the disk that is behind a failure of the database; nil if
// there is none, which leaves damage as the cause.
func (f *dbFiles) diskError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedWrite != nil {
		return f.failedWrite
	}
	return f.failedRead
}

// writeError is the reason why nothing is written any more, nil while writes go on.
func (f *dbFiles) writeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shut {
		return errClosed
	}
	return f.failedWrite
}

// shutDown ends all writes, and removes the files that no manifest names, so that attempts
// on a full disk don't fill it further.
func (f *dbFiles) shutDown() {
	f.mu.Lock()
	f.shut = true
	created, manifestSet := f.created, f.manifestSet
	f.mu.Unlock()
	if manifestSet {
		return
	}
	for _, fd := range created {
		_ = f.fs.Remove(f.path(fd)) // one that stays is named by no manifest, and ignored
	}
}

// noteCreated remembers a new file until a manifest names it.
func (f *dbFiles) noteCreated(fd storage.FileDesc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.manifestSet {
		f.created = append(f.created, fd)
	}
}

// Lock implements storage.Storage. The store itself holds the lock.
func (f *dbFiles) Lock() (storage.Locker, error) { return noLocker{}, nil }

// Log implements storage.Storage. goleveldb's own log is dropped.
func (f *dbFiles) Log(string) {}

// Close implements storage.Storage. The store calls shutDown.
func (f *dbFiles) Close() error { return nil }

// noLocker is a lock that locks nothing.
type noLocker struct{}

// Unlock implements storage.Locker.
func (noLocker) Unlock() {}

// List implements storage.Storage: it lists the files of some types.
func (f *dbFiles) List(types storage.FileType) (files []storage.FileDesc, err error) {
	names, err := f.fs.Names(f.dir)
	if err != nil {
		f.noteReadError(err)
		return nil, err
	}
	for _, name := range names {
		if fd, ok := parseFileName(name); ok && fd.Type&types != 0 {
			files = append(files, fd)
		}
	}
	return files, nil
}

const manifestPrefix = "MANIFEST-"

// fileTypes has the types of the files that are named NNNNNN.extension.
var fileTypes = map[string]storage.FileType{
	"log": storage.TypeJournal,
	"ldb": storage.TypeTable,
	"tmp": storage.TypeTemp,
}

// parseFileName reads the name of a file of goleveldb: NNNNNN.log, NNNNNN.ldb, NNNNNN.tmp
// or MANIFEST-NNNNNN.
func parseFileName(name string) (fd storage.FileDesc, ok bool) {
	number, extension, _ := strings.Cut(name, ".")
	fd.Type = fileTypes[extension]
	if rest, ok := strings.CutPrefix(name, manifestPrefix); ok {
		number, fd.Type = rest, storage.TypeManifest
	}
	var err error
	if fd.Num, err = strconv.ParseInt(number, 10, 64); err != nil || fd.Type == 0 {
		return storage.FileDesc{}, false
	}
	return fd, fd.String() == name
}

// Create implements storage.Storage: it makes a file, or empties it. It never fails, see
// dbFiles.
func (f *dbFiles) Create(fd storage.FileDesc) (storage.Writer, error) {
	w := &dbWriter{files: f, fd: fd}
	if f.writeError() != nil {
		return w, nil
	}
	created, err := f.fs.Create(f.path(fd))
	if err != nil {
		f.noteWriteError(err)
		return w, nil
	}
	w.file = created
	f.noteCreated(fd)
	return w, nil
}

// Remove implements storage.Storage.
func (f *dbFiles) Remove(fd storage.FileDesc) error {
	if f.writeError() != nil {
		return nil
	}
	return f.fs.Remove(f.path(fd))
}

// Rename implements storage.Storage. goleveldb renames only in its own recovery, which is
// not used here.
func (f *dbFiles) Rename(_, _ storage.FileDesc) error { return errors.ErrUnsupported }

// Open implements storage.Storage: it opens a file for reading.
func (f *dbFiles) Open(fd storage.FileDesc) (storage.Reader, error) {
	f.mu.Lock()
	partial := f.partial[fd]
	f.mu.Unlock()
	if partial != nil {
		return partial.reader()
	}
	opened, err := f.fs.Open(f.path(fd))
	if err != nil {
		f.noteReadError(err)
		return nil, err
	}
	if fd.Type == storage.TypeTable {
		if err := checkTableFooter(opened); err != nil {
			closeUnwritten(opened)
			f.noteReadError(err)
			return nil, &storage.ErrCorrupted{Fd: fd, Err: err}
		}
	}
	return dbReader{opened, f}, nil
}

// dbReader is a file that is open for reading. It implements storage.Reader.
type dbReader struct {
	file
	files *dbFiles
}

// Read implements io.Reader.
func (r dbReader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	r.files.noteReadError(err)
	return n, err
}

// ReadAt implements io.ReaderAt.
func (r dbReader) ReadAt(p []byte, offset int64) (int, error) {
	n, err := r.file.ReadAt(p, offset)
	r.files.noteReadError(err)
	return n, err
}

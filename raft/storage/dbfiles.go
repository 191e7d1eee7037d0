package storage

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// dbFiles gives goleveldb access to the files of a store. It implements goleveldb's
// storage.Storage. goleveldb's own implementation loses acknowledged writes on a power
// loss, so this one differs from it:
//
//   - The first sync of a file also syncs its directory. Otherwise the bytes of a new
//     write-ahead log could be durable while its directory entry is not.
//   - A manifest and its directory entry are synced before it becomes current, see
//     manifest.go.
//   - After the first failure to write, sync or create a file, nothing is written to the
//     disk any more. goleveldb would retry on the same file, but an fsync that succeeds
//     after a failed one doesn't cover the pages that the failed one dropped. Create, Write
//     and Sync hide the error from goleveldb, whose compaction would otherwise retry for
//     seconds or fail while a writer waits for it. The store checks writeError after each
//     write; on an error it doesn't acknowledge the write, and reopens the database to read
//     back what is on disk.
//
// Removals are not synced: a removed file is no longer listed in the manifest, which is
// durable by then, so a file that reappears after a power loss is ignored.
type dbFiles struct {
	fs  fileSystem
	dir string

	mu            sync.Mutex         // guards the fields below
	firstWriteErr error              // first write error; nothing is written after it
	firstReadErr  error              // first read error other than damage, see isDamage
	manifestSet   bool               // goleveldb has set a current manifest
	created       []storage.FileDesc // files created while manifestSet was false
	closed        bool               // shutDown was called
	// partialTables holds the tables that are only partly on disk, or not at all, because
	// of the first write error.
	partialTables map[storage.FileDesc]*dbWriter
}

var _ storage.Storage = (*dbFiles)(nil)

func (f *dbFiles) path(fd storage.FileDesc) string { return filepath.Join(f.dir, fd.String()) }

// recordWriteError stores the first write error.
func (f *dbFiles) recordWriteError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstWriteErr == nil {
		f.firstWriteErr = err
	}
}

// recordReadError stores the first read error that is not damage, see isDamage.
func (f *dbFiles) recordReadError(err error) {
	if err == nil || isDamage(err) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstReadErr == nil {
		f.firstReadErr = err
	}
}

// diskError returns the I/O error behind an error of the database, or nil if there was
// none, which means that the stored data is damaged.
func (f *dbFiles) diskError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstWriteErr != nil {
		return f.firstWriteErr
	}
	return f.firstReadErr
}

// writeError returns the reason why writes are disabled, or nil if they are not.
func (f *dbFiles) writeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errClosed
	}
	return f.firstWriteErr
}

// shutDown disables writes. If no manifest was set, it removes the files that were
// created, so that repeated attempts to open the database don't use up a full disk.
func (f *dbFiles) shutDown() {
	f.mu.Lock()
	f.closed = true
	created, manifestSet := f.created, f.manifestSet
	f.mu.Unlock()
	if manifestSet {
		return
	}
	for _, fd := range created {
		_ = f.fs.Remove(f.path(fd)) // a remaining file is ignored, as no manifest lists it
	}
}

// trackCreated records a new file until goleveldb sets a current manifest.
func (f *dbFiles) trackCreated(fd storage.FileDesc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.manifestSet {
		f.created = append(f.created, fd)
	}
}

// Lock implements storage.Storage. It does nothing: the store holds the lock.
func (f *dbFiles) Lock() (storage.Locker, error) { return noLocker{}, nil }

// Log implements storage.Storage. It discards goleveldb's log messages.
func (f *dbFiles) Log(string) {}

// Close implements storage.Storage. It does nothing: the store calls shutDown.
func (f *dbFiles) Close() error { return nil }

// noLocker is a storage.Locker that does nothing.
type noLocker struct{}

// Unlock implements storage.Locker.
func (noLocker) Unlock() {}

// List implements storage.Storage: it lists the files of the given types.
func (f *dbFiles) List(types storage.FileType) (files []storage.FileDesc, err error) {
	names, err := f.fs.Names(f.dir)
	if err != nil {
		f.recordReadError(err)
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

// fileTypes maps the extension of a file named NNNNNN.extension to its type.
var fileTypes = map[string]storage.FileType{
	"log": storage.TypeJournal,
	"ldb": storage.TypeTable,
	"tmp": storage.TypeTemp,
}

// parseFileName parses the name of a goleveldb file: NNNNNN.log, NNNNNN.ldb, NNNNNN.tmp or
// MANIFEST-NNNNNN.
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

// Create implements storage.Storage: it creates or truncates a file. It never returns an
// error, see dbFiles.
func (f *dbFiles) Create(fd storage.FileDesc) (storage.Writer, error) {
	w := &dbWriter{files: f, fd: fd}
	if f.writeError() != nil {
		return w, nil
	}
	created, err := f.fs.Create(f.path(fd))
	if err != nil {
		f.recordWriteError(err)
		return w, nil
	}
	w.file = created
	f.trackCreated(fd)
	return w, nil
}

// Remove implements storage.Storage.
func (f *dbFiles) Remove(fd storage.FileDesc) error {
	if f.writeError() != nil {
		return nil
	}
	return f.fs.Remove(f.path(fd))
}

// Rename implements storage.Storage. It is not supported: goleveldb renames files only in
// its own recovery, which is not used here.
func (f *dbFiles) Rename(_, _ storage.FileDesc) error { return errors.ErrUnsupported }

// Open implements storage.Storage: it opens a file for reading.
func (f *dbFiles) Open(fd storage.FileDesc) (storage.Reader, error) {
	f.mu.Lock()
	partial := f.partialTables[fd]
	f.mu.Unlock()
	if partial != nil {
		return partial.reader()
	}
	opened, err := f.fs.Open(f.path(fd))
	if err != nil {
		f.recordReadError(err)
		return nil, err
	}
	if fd.Type == storage.TypeTable {
		if err := checkTableFooter(opened); err != nil {
			closeQuietly(opened)
			f.recordReadError(err)
			return nil, &storage.ErrCorrupted{Fd: fd, Err: err}
		}
	}
	return dbReader{opened, f}, nil
}

// dbReader is a file opened for reading. It implements storage.Reader.
type dbReader struct {
	file
	files *dbFiles
}

// Read implements io.Reader.
func (r dbReader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	r.files.recordReadError(err)
	return n, err
}

// ReadAt implements io.ReaderAt.
func (r dbReader) ReadAt(p []byte, offset int64) (int, error) {
	n, err := r.file.ReadAt(p, offset)
	r.files.recordReadError(err)
	return n, err
}

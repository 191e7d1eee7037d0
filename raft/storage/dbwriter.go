package storage

import (
	"io"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// dbWriter is a file that is open for writing. It implements storage.Writer. It is used by
// one goroutine at a time, except for written and tail, which a reader of the same table
// looks at once all was written.
type dbWriter struct {
	files      *dbFiles
	fd         storage.FileDesc
	file       file // nil if it could not be made
	nameSynced bool // the name of the file is durable

	written int // bytes that are in the file
	// tail is the rest of a table, written after the first failed write of the store:
	// compaction reads the tables that it has written. They are few, as the next Save opens
	// the store again. Guarded by dbFiles.mu.
	tail []byte
}

// Write implements io.Writer. It never fails, see dbFiles.
func (w *dbWriter) Write(p []byte) (int, error) {
	if w.files.writeError() == nil {
		_, err := w.file.Write(p)
		if err == nil {
			w.written += len(p)
			return len(p), nil
		}
		w.files.noteWriteError(err)
	}
	if w.fd.Type == storage.TypeTable {
		w.keep(p)
	}
	return len(p), nil
}

// keep holds in memory what is not written to disk.
func (w *dbWriter) keep(p []byte) {
	w.files.mu.Lock()
	defer w.files.mu.Unlock()
	w.tail = append(w.tail, p...)
	if w.files.partial == nil {
		w.files.partial = map[storage.FileDesc]*dbWriter{}
	}
	w.files.partial[w.fd] = w
}

// Sync implements storage.Syncer: it makes what was written durable and, the first time,
// the name of the file. It never fails, see dbFiles.
func (w *dbWriter) Sync() error {
	if w.files.writeError() != nil {
		return nil
	}
	err := w.file.Sync()
	if err == nil && !w.nameSynced {
		err = w.files.fs.SyncDir(w.files.dir)
		w.nameSynced = err == nil
	}
	w.files.noteWriteError(err)
	return nil
}

// Close implements io.Closer. What has to be durable was synced.
func (w *dbWriter) Close() error {
	if w.file != nil {
		closeUnwritten(w.file)
	}
	return nil
}

// reader reads a table that is on disk in part, or not at all.
func (w *dbWriter) reader() (storage.Reader, error) {
	table := partialTable{writer: w}
	if w.written > 0 {
		onDisk, err := w.files.fs.Open(w.files.path(w.fd))
		if err != nil {
			return nil, err
		}
		table.onDisk = onDisk
	}
	return struct {
		*io.SectionReader
		io.Closer
	}{io.NewSectionReader(table, 0, int64(w.written+len(w.tail))), table}, nil
}

// partialTable is a table whose beginning is on disk and whose end is in memory.
type partialTable struct {
	writer *dbWriter
	onDisk file // nil for nothing
}

// ReadAt implements io.ReaderAt.
func (t partialTable) ReadAt(p []byte, offset int64) (n int, err error) {
	if left := int64(t.writer.written) - offset; left > 0 {
		n, err = t.onDisk.ReadAt(p[:min(left, int64(len(p)))], offset)
		if err != nil {
			return n, err
		}
	}
	if n < len(p) {
		n += copy(p[n:], t.writer.tail[offset+int64(n)-int64(t.writer.written):])
	}
	if n < len(p) {
		err = io.EOF
	}
	return n, err
}

// Close implements io.Closer.
func (t partialTable) Close() error {
	if t.onDisk != nil {
		return t.onDisk.Close()
	}
	return nil
}

package storage

import (
	"io"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// dbWriter is a file opened for writing. It implements storage.Writer. It is used by one
// goroutine at a time, except that a reader of the same table accesses written and tail
// after the last write.
type dbWriter struct {
	files      *dbFiles
	fd         storage.FileDesc
	file       file // nil if it could not be created
	nameSynced bool // the directory entry of the file is durable

	written int // bytes written to the file
	// tail holds the bytes of a table that were written after the first write error of the
	// store, because compaction reads back the tables that it has written. It stays small, as
	// the next write to the store reopens it. It is appended to under dbFiles.mu.
	tail []byte
}

// Write implements io.Writer. It never returns an error, see dbFiles.
func (w *dbWriter) Write(p []byte) (int, error) {
	if w.files.writeError() == nil {
		_, err := w.file.Write(p)
		if err == nil {
			w.written += len(p)
			return len(p), nil
		}
		w.files.recordWriteError(err)
	}
	if w.fd.Type == storage.TypeTable {
		w.bufferTail(p)
	}
	return len(p), nil
}

// bufferTail keeps in memory the bytes of a table that can't be written to disk.
func (w *dbWriter) bufferTail(p []byte) {
	w.files.mu.Lock()
	defer w.files.mu.Unlock()
	w.tail = append(w.tail, p...)
	if w.files.partialTables == nil {
		w.files.partialTables = map[storage.FileDesc]*dbWriter{}
	}
	w.files.partialTables[w.fd] = w
}

// Sync implements storage.Syncer: it syncs the file and, the first time, its directory. It
// never returns an error, see dbFiles.
func (w *dbWriter) Sync() error {
	if w.files.writeError() != nil {
		return nil
	}
	err := w.file.Sync()
	if err == nil && !w.nameSynced {
		err = w.files.fs.SyncDir(w.files.dir)
		w.nameSynced = err == nil
	}
	w.files.recordWriteError(err)
	return nil
}

// Close implements io.Closer. It does not sync: goleveldb calls Sync where needed.
func (w *dbWriter) Close() error {
	if w.file != nil {
		closeQuietly(w.file)
	}
	return nil
}

// reader opens a table that is only partly on disk, or not at all.
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

// partialTable reads a table whose beginning is on disk and whose end is in memory.
type partialTable struct {
	writer *dbWriter
	onDisk file // nil if nothing is on disk
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

package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

// formatVersion is the format of a store and the oldest reader that may use it. It covers
// everything that a member stores: the files of this package, and what other packages
// (raft and controlplane) encode into entries and snapshots.
//
// It is stored in a separate file, FORMAT.n, where n is Format. The layout of the file never
// changes, and the file is durable before any data of that format is written. A valid format
// file is never renamed or overwritten with different bytes; the one with the highest number
// applies. A torn file is ignored, as no data of its format was written yet.
//
// To change the format, increment Format, and raise MinReader too if older versions can't
// read the new data. Release a version that reads a format before the one that writes it,
// so that a cluster can be rolled back by one version.
type formatVersion struct {
	Format    int // the newest format that may be on disk
	MinReader int // programs whose currentFormat.Format is at least this may use the store
}

// currentFormat is the format that this version writes.
var currentFormat = formatVersion{Format: 1, MinReader: 1}

const (
	formatPrefix      = "FORMAT."
	formatContent     = "elmspan member, format %d, reader %d, sum %016x\n"
	maxFormatFileSize = 256 // bytes; the rest of a larger file is not read
)

// content returns the contents of the format file.
func (v formatVersion) content() string {
	sum := xxhash.Sum64String(fmt.Sprint(v.Format, v.MinReader))
	return fmt.Sprintf(formatContent, v.Format, v.MinReader, sum)
}

// parseFormat parses the contents of a format file.
func parseFormat(content string) (v formatVersion, ok bool) {
	var sum uint64
	if _, err := fmt.Sscanf(content, formatContent, &v.Format, &v.MinReader, &sum); err != nil {
		return formatVersion{}, false
	}
	return v, v.content() == content
}

// readFormat returns the format version of the store in dir, and the names of all format
// files. The version is zero if there is no valid format file: the store is then checked
// by its contents alone, like stores that predate the format file.
func readFormat(fs fileSystem, dir string) (v formatVersion, files []string, err error) {
	names, err := fs.Names(dir)
	if err != nil {
		return v, nil, err
	}
	for _, name := range names {
		number, err := strconv.Atoi(strings.TrimPrefix(name, formatPrefix))
		if err != nil || !strings.HasPrefix(name, formatPrefix) {
			continue
		}
		files = append(files, name)
		content, err := readFormatFile(fs, filepath.Join(dir, name))
		if err != nil {
			return v, nil, err
		}
		if found, ok := parseFormat(content); ok && found.Format == number && number > v.Format {
			v = found
		}
	}
	return v, files, nil
}

// readFormatFile reads a format file. It returns an empty string if the file is missing or
// the device can't read it.
func readFormatFile(fs fileSystem, path string) (string, error) {
	f, err := fs.Open(path)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.EIO) {
			err = nil
		}
		return "", err
	}
	defer closeQuietly(f)
	content, err := io.ReadAll(io.LimitReader(f, maxFormatFileSize))
	if errors.Is(err, syscall.EIO) {
		return "", nil
	}
	return string(content), err
}

// checkFormat fails with [ErrNewerFormat] if this version can't read the store.
func (s *Store) checkFormat() error {
	v, _, err := readFormat(s.fs, s.dir)
	if err != nil {
		return err
	}
	if v.MinReader > currentFormat.Format {
		return fmt.Errorf("%w: format %d requires a reader of format %d, this version reads up to format %d",
			ErrNewerFormat, v.Format, v.MinReader, currentFormat.Format)
	}
	return nil
}

// writeFormat makes the current format version durable, before any data of that format is
// written. If the store has a newer format that this version may use, the format file is
// left as it is. Otherwise the file is written and synced each time the store is opened, as
// an earlier process may have ended before the file was durable. Overwriting it with the
// same bytes can't damage it.
func (s *Store) writeFormat() error {
	v, files, err := readFormat(s.fs, s.dir)
	if err != nil || v.Format > currentFormat.Format {
		return err
	}
	name := formatPrefix + strconv.Itoa(currentFormat.Format)
	open := s.fs.Create
	if v == currentFormat {
		open = s.fs.OpenInPlace
	}
	f, err := open(s.path(name))
	if err != nil {
		return err
	}
	_, err = f.WriteAt([]byte(currentFormat.content()), 0)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return err
	}
	for _, old := range files {
		if old != name {
			_ = s.fs.Remove(s.path(old)) // a remaining file has a lower number or is invalid
		}
	}
	return nil
}

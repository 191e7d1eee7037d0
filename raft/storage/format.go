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

// formatVersion is the format of a store and the programs that may use it. It covers all
// that a member stores: the files of this package, and what other packages (raft and
// controlplane) encode into entries and snapshots.
//
// It is kept in a file of its own, FORMAT.n, whose form never changes, and which is
// durable before anything of that format is written. A file is never renamed, nor written
// over with other bytes: the one with the highest number that can be read is in force. A
// torn one is ignored, as nothing in its format was written yet.
//
// To change the format, raise Format, and raise MinReader as well if earlier programs
// can't read what is written. Release a version that reads a format before the one that
// writes it, so that a cluster can be rolled back by one version.
type formatVersion struct {
	Format    int // the newest format that may be on the disk
	MinReader int // the lowest format that a program must know to use the store
}

// currentFormat is what this program writes.
var currentFormat = formatVersion{Format: 1, MinReader: 1}

const (
	formatPrefix  = "FORMAT."
	formatContent = "elmspan member, format %d, reader %d, sum %016x\n"
	// maxFormatFileSize bounds what is read of a format file, in bytes.
	maxFormatFileSize = 256
)

// content is what the file of a version holds.
func (v formatVersion) content() string {
	sum := xxhash.Sum64String(fmt.Sprint(v.Format, v.MinReader))
	return fmt.Sprintf(formatContent, v.Format, v.MinReader, sum)
}

// parseFormat reads the content of a format file.
func parseFormat(content string) (v formatVersion, ok bool) {
	var sum uint64
	if _, err := fmt.Sscanf(content, formatContent, &v.Format, &v.MinReader, &sum); err != nil {
		return formatVersion{}, false
	}
	return v, v.content() == content
}

// readFormat returns the version in force in a folder, and the names of all format files.
// The version is zero if no file can be read: the store is then judged by its contents
// alone, as stores from before the format file are.
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

// readFormatFile reads a format file. One that is gone, or that the medium can't read, is
// empty.
func readFormatFile(fs fileSystem, path string) (string, error) {
	f, err := fs.Open(path)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.EIO) {
			err = nil
		}
		return "", err
	}
	defer closeUnwritten(f)
	content, err := io.ReadAll(io.LimitReader(f, maxFormatFileSize))
	if errors.Is(err, syscall.EIO) {
		return "", nil
	}
	return string(content), err
}

// checkFormat fails with [ErrNewerFormat] if this program can't use the store.
func (s *Store) checkFormat() error {
	v, _, err := readFormat(s.fs, s.dir)
	if err != nil {
		return err
	}
	if v.MinReader > currentFormat.Format {
		return fmt.Errorf("%w: its format is %d and needs a program that reads %d, this one reads up to %d",
			ErrNewerFormat, v.Format, v.MinReader, currentFormat.Format)
	}
	return nil
}

// writeFormat makes our version durable before anything is written in it. The version of a
// newer program, whose store this one may use, stays. Ours is written and synced at each
// opening: an earlier process may have ended before it was durable. To write the same
// bytes over it can't spoil it.
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
			_ = s.fs.Remove(s.path(old)) // one that stays has a lower number, or can't be read
		}
	}
	return nil
}

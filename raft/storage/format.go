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

// ErrNewerFormat tells that the store was written by a newer program, in a format that
// this one can't read. Nothing was changed on the disk. It isn't damage: the
// member must not begin anew, as all of them would where a whole core is rolled
// back, and everything confirmed would be gone.
var ErrNewerFormat = errors.New("storage: a newer program wrote the data on disk, in a format that this one can't read")

// version says in which format a store is, and which programs may use it. It
// speaks of all that a member stores: the files here, and what others encode into
// entries and snapshots (packages agreement and controlplane). It stands in a file
// of its own, FORMAT.n, whose form never changes, and lasts before anything of
// that format is written. Like CURRENT.n, a file is never written over or renamed:
// the highest number that can be read counts, and a torn one is passed over, as
// nothing in its format was written yet.
//
// Who changes the format raises Format; and Reader as well where programs of
// before can't read what is written. Let one version that reads a format go ahead
// of the one that writes it, so that a core can be rolled back by one version.
type version struct {
	Format int // of what may be on the disk
	Reader int // the least format that a program must know
}

// ours is what this program writes.
var ours = version{Format: 1, Reader: 1}

const (
	formatName = "FORMAT."
	formatText = "elmspan member, format %d, reader %d, sum %016x\n"
)

func (v version) text() string {
	return fmt.Sprintf(formatText, v.Format, v.Reader, xxhash.Sum64String(fmt.Sprint(v.Format, v.Reader)))
}

// readVersion returns the highest version that a folder's files tell, and their
// names. Where none can be read it is that of the programs before: what is there
// is then judged by its contents alone.
func readVersion(fs fileSystem, dir string) (v version, all []string, err error) {
	names, err := fs.Names(dir)
	if err != nil {
		return v, nil, err
	}
	for _, name := range names {
		n, err := strconv.Atoi(strings.TrimPrefix(name, formatName))
		if err != nil || !strings.HasPrefix(name, formatName) {
			continue
		}
		all = append(all, name)
		text, err := readText(fs, filepath.Join(dir, name))
		if err != nil {
			return v, nil, err
		}
		var got version
		var sum uint64
		if _, err := fmt.Sscanf(text, formatText, &got.Format, &got.Reader, &sum); err == nil && got.text() == text && got.Format == n && n > v.Format {
			v = got
		}
	}
	return v, all, nil
}

// readText reads a short file. What the medium can't read is damage, and empty.
func readText(fs fileSystem, path string) (string, error) {
	f, err := fs.Open(path)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.EIO) {
			err = nil
		}
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, 256))
	if errors.Is(err, syscall.EIO) {
		return "", nil
	}
	return string(text), err
}

// admit is ErrNewer where this program can't use the store.
func (s *Store) admit() error {
	v, _, err := readVersion(s.fs, s.dir)
	if err == nil && v.Reader > ours.Format {
		err = fmt.Errorf("%w: its format is %d and needs a program that reads %d, this one reads up to %d", ErrNewerFormat, v.Format, v.Reader, ours.Format)
	}
	return err
}

// stamp makes our version last before anything is written in it. That of a newer
// program, which this one may use, stays. Ours is written and synced at each
// opening: an earlier one may have ended before it lasted. To write the same bytes
// over it can't spoil it.
func (s *Store) stamp() error {
	v, all, err := readVersion(s.fs, s.dir)
	if err != nil || v.Format > ours.Format {
		return err
	}
	name := formatName + strconv.Itoa(ours.Format)
	open := s.fs.Create
	if v == ours {
		open = s.fs.Update
	}
	f, err := open(s.path(name))
	if err != nil {
		return err
	}
	_, err = f.WriteAt([]byte(ours.text()), 0)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return err
	}
	for _, old := range all {
		if old != name {
			s.fs.Remove(s.path(old)) // one that stays is lower, or can't be read
		}
	}
	return nil
}

package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// lostSuffix is the suffix of the marker file next to the directory of a store. The marker
// means that the store was found corrupt, that it is being or was removed, and that no new
// member has been initialized in its place.
const lostSuffix = ".lost"

// checkLostMarker fails with [ErrCorrupt] if the marker of a lost store exists.
func checkLostMarker(fs fileSystem, dir string) error {
	f, err := fs.Open(dir + lostSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	closeQuietly(f)
	return fmt.Errorf("%w: marked as corrupt by %s, and no new member has been initialized since",
		ErrCorrupt, dir+lostSuffix)
}

// removeLostMarker durably removes the marker.
func removeLostMarker(fs fileSystem, dir string) error {
	return errors.Join(fs.Remove(dir+lostSuffix), fs.SyncDir(filepath.Dir(dir)))
}

// resetStore is [Reset] on a given file system.
func resetStore(fs fileSystem, dir string) (*Store, error) {
	if err := discardStore(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: removing %s: %w", dir, err)
	}
	return lockAndRecover(fs, dir, true)
}

// discardStore removes everything in the directory. It makes the marker of a lost store
// durable first, so that the store counts as corrupt if a crash interrupts the removal.
func discardStore(fs fileSystem, dir string) error {
	parent := filepath.Dir(dir)
	if err := makeDirAll(fs, parent); err != nil {
		return err
	}
	marker, err := fs.Create(dir + lostSuffix)
	if err != nil {
		return err
	}
	if err := errors.Join(marker.Sync(), marker.Close(), fs.SyncDir(parent)); err != nil {
		return err
	}
	names, err := fs.Names(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := fs.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return fs.SyncDir(dir)
}

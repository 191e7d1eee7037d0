package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// lostSuffix names the marker file beside the folder of a store: the store was found
// corrupt and is being removed, and no new member has been initialized in its place.
const lostSuffix = ".lost"

// checkLostMarker fails with [ErrCorrupt] if the marker of a lost store is there.
func checkLostMarker(fs fileSystem, dir string) error {
	f, err := fs.Open(dir + lostSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	closeUnwritten(f)
	return fmt.Errorf("%w: %s reports that it was found so before, and no new member was initialized since",
		ErrCorrupt, dir+lostSuffix)
}

// removeLostMarker removes the marker, durably.
func removeLostMarker(fs fileSystem, dir string) error {
	return errors.Join(fs.Remove(dir+lostSuffix), fs.SyncDir(filepath.Dir(dir)))
}

// resetStore is [Reset] on any disk.
func resetStore(fs fileSystem, dir string) (*Store, error) {
	if err := discardStore(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: removing %s: %w", dir, err)
	}
	return enterStore(fs, dir, true)
}

// discardStore removes everything in a folder. The marker of a lost store is made durable
// first: whatever a crash leaves of the folder then counts as corrupt.
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

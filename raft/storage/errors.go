package storage

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// ErrCorrupt reports that acknowledged data is damaged or missing on disk. The member must
// not vote based on the remaining data. The caller replaces the member with a new one,
// under a new identity, by calling [Reset], and must not bootstrap a cluster. The error is
// permanent: reopening the store returns it again.
var ErrCorrupt = errors.New("storage: the data on disk is corrupt")

// ErrNewerFormat reports that the store was written by a newer version of the program, in a
// format that this version can't read. Nothing was changed on disk. The caller must leave
// the files as they are and must not join the cluster. It must not call [Reset] either: if
// a whole cluster were rolled back at once, every member would do so, and all committed
// data would be lost.
var ErrNewerFormat = errors.New("storage: the data on disk was written by a newer program, in an unknown format")

var (
	errClosed          = errors.New("storage: the store is closed")
	errNoValidSealSlot = errors.New("the seal file has no valid slot")
)

// isDamage reports whether a read error means that stored data is lost: the file is
// missing or truncated, or the device can't read a block. Other errors (no permission, too
// many open files, a missing device) say nothing about the data.
func isDamage(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, io.EOF) || errors.Is(err, syscall.EIO)
}

// closeQuietly closes a file and ignores the error. It is for files that were only read,
// that were synced, or whose contents are no longer needed.
func closeQuietly(c io.Closer) { _ = c.Close() }

package storage

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// ErrCorrupt reports that the data on disk is not everything that was acknowledged from
// it. The member must not vote with it. The caller begins a new member, under a new
// identity, with [Reset]; it never bootstraps a cluster in that case. The error is
// permanent: opening the store again gives it again.
var ErrCorrupt = errors.New("storage: the data on disk is corrupt")

// ErrNewerFormat reports that the store was written by a newer program, in a format that
// this one can't read. Nothing was changed on the disk. The caller leaves the files as
// they are and does not take part in the cluster. It must not begin a new member: where
// a whole cluster is rolled back at once, every member would do so, and all committed
// data would be lost.
var ErrNewerFormat = errors.New("storage: a newer program wrote the data on disk, in a format that this one can't read")

var (
	// errClosed is the reason why a closed store does nothing.
	errClosed = errors.New("storage: the store is closed")
	// errNoSeal reports that neither slot of the seal file can be read.
	errNoSeal = errors.New("no slot of the seal can be read")
)

// isDamage reports whether a failed read says that the data itself is gone: the file is
// missing, it ends too soon, or the medium can't read a block. Any other failure (no
// permission, too many open files, a device that is gone) says nothing about the data.
func isDamage(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, io.EOF) || errors.Is(err, syscall.EIO)
}

// closeUnwritten closes a file that was only read, or whose contents no longer matter:
// a failure to close it loses nothing.
func closeUnwritten(c io.Closer) { _ = c.Close() }

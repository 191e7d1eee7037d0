package atomicfile

import (
	"os"
	"syscall"
)

// SyncData makes the contents and the length of a file durable, but not its timestamps.
// When a file is overwritten in place, this saves a file system transaction.
func SyncData(f *os.File) error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err == nil {
			return nil
		}
		if err != syscall.EINTR {
			return &os.PathError{Op: "fdatasync", Path: f.Name(), Err: err}
		}
	}
}

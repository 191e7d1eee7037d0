package atomicfile

import (
	"os"
	"syscall"
)

// SyncData makes the bytes and the length of a file durable, but not its times: where a
// file is written in place, that saves a transaction of the file system.
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

package atomicfile

import (
	"os"
	"syscall"
)

// SyncData makes a file's bytes and length last, but not its times: in place,
// that spares the file system a transaction of its own.
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

//go:build !linux

package atomicfile

import "os"

// SyncData makes the contents and the length of a file durable.
func SyncData(f *os.File) error { return f.Sync() }

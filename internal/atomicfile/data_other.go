//go:build !linux

package atomicfile

import "os"

// SyncData makes a file's bytes and length last.
func SyncData(f *os.File) error { return f.Sync() }

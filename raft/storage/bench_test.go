package storage

import (
	"fmt"
	"sync/atomic"
	"testing"

	"example.org/elmspan/raft"
)

// syncCountingFS counts file and directory syncs on the local file system.
type syncCountingFS struct {
	osFileSystem
	files, dirs *atomic.Int64
}

type countedFile struct {
	file
	n *atomic.Int64
}

func (f countedFile) Sync() error {
	f.n.Add(1)
	return f.file.Sync()
}

func (c syncCountingFS) count(f file, err error) (file, error) {
	if err != nil {
		return nil, err
	}
	return countedFile{f, c.files}, nil
}

func (c syncCountingFS) Create(path string) (file, error) {
	return c.count(c.osFileSystem.Create(path))
}
func (c syncCountingFS) OpenInPlace(path string) (file, error) {
	return c.count(c.osFileSystem.OpenInPlace(path))
}
func (c syncCountingFS) SyncDir(dir string) error {
	c.dirs.Add(1)
	return c.osFileSystem.SyncDir(dir)
}

// Measures Save on the local disk, and reports the file and directory syncs per Save,
// including those of goleveldb's compactions.
func BenchmarkSave(b *testing.B) {
	for _, size := range []int{200, 41 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			fs := syncCountingFS{files: &atomic.Int64{}, dirs: &atomic.Int64{}}
			s, err := openStore(fs, b.TempDir()+"/log")
			if err != nil {
				b.Fatal(err)
			}
			defer closeStore(s)
			if err := s.Initialize(7, raft.Snapshot{}); err != nil {
				b.Fatal(err)
			}
			data := make([]byte, size)
			fs.files.Store(0)
			fs.dirs.Store(0)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				if err := s.Save(raft.Ready{Entries: []raft.Entry{{Index: i, Term: 1, Data: data}}}); err != nil {
					b.Fatal(err)
				}
				if i%64 == 0 { // the default snapshot interval of raft.Config
					if err := s.Compact(raft.Snapshot{Index: i, Term: 1, Data: data}); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(fs.files.Load())/float64(i), "filesyncs/op")
			b.ReportMetric(float64(fs.dirs.Load())/float64(i), "dirsyncs/op")
		})
	}
}

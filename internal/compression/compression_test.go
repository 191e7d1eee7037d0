package compression

import (
	"bytes"
	"testing"
)

// Compressed data is decompressed to the original, unless it exceeds the allowed size.
// Decompressing arbitrary bytes does not panic.
func FuzzCompressedDataComesBack(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("short"))
	f.Add(bytes.Repeat([]byte("long and the same "), 200))
	f.Fuzz(func(t *testing.T, data []byte) {
		packed, err := Compress(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decompress(packed, int64(len(data)))
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%q, %v", got, err)
		}
		if len(data) > 0 {
			if _, err := Decompress(packed, int64(len(data)-1)); err == nil {
				t.Fatal("data longer than allowed was returned")
			}
		}
		_, _ = Decompress(data, 1<<16) // must not panic
	})
}

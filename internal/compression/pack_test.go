package compression

import (
	"bytes"
	"testing"
)

// What was packed comes back, whatever it was; what is longer than allowed, or
// not whole, does not.
func FuzzPack(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("short"))
	f.Add(bytes.Repeat([]byte("long and the same "), 200))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Compress(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decompress(p, int64(len(data)))
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%q, %v", got, err)
		}
		if len(data) > 0 {
			if _, err := Decompress(p, int64(len(data)-1)); err == nil {
				t.Fatal("longer than allowed")
			}
		}
		Decompress(data, 1<<16) // whatever comes, it ends
	})
}

package compression

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files in testdata/golden were packed by the code at commit f96d826. They must not be
// regenerated: snapshots stored and messages sent by earlier releases contain such bytes.
var goldenFiles = map[string][]byte{
	"empty.packed":          {},
	"short.packed":          []byte("a short text stays as it is"),
	"repeated.packed":       []byte(strings.Repeat("a configuration of many equal rows\n", 100)),
	"incompressible.packed": incompressible(600),
}

// incompressible returns n bytes that deflate cannot compress.
func incompressible(n int) []byte {
	data := make([]byte, n)
	x := uint32(1)
	for i := range data {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		data[i] = byte(x)
	}
	return data
}

func TestGoldenBytesUnpackAndPackToTheSame(t *testing.T) {
	for name, data := range goldenFiles {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decompress(want, int64(len(data)))
			if err != nil || !bytes.Equal(got, data) {
				t.Errorf("unpacked to %q, %v", got, err)
			}
			packed, err := Compress(data)
			if err != nil || !bytes.Equal(packed, want) {
				t.Errorf("packed to % x, %v, want % x", packed, err, want)
			}
		})
	}
}

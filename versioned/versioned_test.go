package versioned

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// holder is who takes in differences.
type holder struct {
	version uint64
	rows    map[string][]byte
}

// take applies a difference, as a limiter does: nothing of it holds unless all fits.
func (h *holder) take(data []byte) error {
	r, err := OpenDelta(data)
	if err != nil {
		return err
	}
	rows, err := r.ApplyTo(h.version, h.rows)
	if err != nil {
		return err
	}
	h.version, h.rows = r.To, rows
	return nil
}

// However many differences are lost, come late or twice, who takes in what it
// can ends with the whole: a holder that misses some asks with the version it has.
func TestDifferencesEqualTheWhole(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var table Table
		holders := make([]holder, 3)
		var sent [][]byte
		version := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rng.IntN(3) {
			case 0:
				rows := maps.Clone(table.Rows())
				if rows == nil {
					rows = map[string][]byte{}
				}
				for range rng.IntN(6) {
					k := fmt.Sprint("k", rng.IntN(20))
					if rng.IntN(3) == 0 {
						delete(rows, k)
						continue
					}
					v, err := cbor.Marshal(rng.IntN(4))
					if err != nil {
						t.Fatal(err)
					}
					rows[k] = v
				}
				version += 1 + rng.Uint64N(3)
				table.Replace(version, rows)
			case 1:
				if version == 0 {
					continue
				}
				h := &holders[rng.IntN(len(holders))]
				b, err := table.DeltaSince(h.version)
				if err != nil {
					t.Fatal(err)
				}
				sent = append(sent, b.Data)
				if rng.IntN(3) > 0 && b.To != h.version { // else lost, or no news
					if err := h.take(b.Data); err != nil {
						t.Fatal(err)
					}
				}
			case 2: // late or again: taken whole or not at all
				if len(sent) > 0 {
					h := &holders[rng.IntN(len(holders))]
					before := h.version
					data := sent[rng.IntN(len(sent))]
					if h.take(data) != nil && h.version != before || h.version < before {
						t.Fatal("half of a difference was taken, or an older one")
					}
				}
			}
		}
		for i := range holders {
			if version == 0 {
				return
			}
			b, err := table.DeltaSince(holders[i].version)
			if err != nil {
				t.Fatal(err)
			}
			if err := holders[i].take(b.Data); err != nil && b.To != holders[i].version {
				t.Fatal(err)
			}
			if !maps.EqualFunc(holders[i].rows, table.Rows(), bytes.Equal) {
				t.Fatalf("%v is held of %v", holders[i].rows, table.Rows())
			}
		}
	})
}

func value(t testing.TB, v any) []byte {
	t.Helper()
	out, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// One row's change is told in a few bytes, whatever the table's size, and
// encoded once for all that have the same version.
func TestAChangeCostsWhatChanged(t *testing.T) {
	t.Parallel()
	for _, n := range []int{100, 10_000} {
		rows := map[string][]byte{}
		for i := range n {
			rows[fmt.Sprint("row", i)] = value(t, fmt.Sprint("value of ", i))
		}
		var table Table
		table.Replace(1, rows)
		rows = maps.Clone(rows)
		rows["row7"] = value(t, "another")
		table.Replace(2, rows)
		a, err := table.DeltaSince(1)
		if err != nil {
			t.Fatal(err)
		}
		if len(a.Data) > 100 {
			t.Errorf("%d bytes for one of %d rows", len(a.Data), n)
		}
		if b, _ := table.DeltaSince(1); &a.Data[0] != &b.Data[0] {
			t.Error("encoded twice")
		}
		if b, err := table.DeltaSince(77); err != nil || b.From != 0 {
			t.Errorf("who holds what is not known is told %+v, %v", b.From, err)
		}
	}
}

// Versions without end leave a bounded memory, and who is still fetching the
// one before gets it.
func TestTablesAreBounded(t *testing.T) {
	t.Parallel()
	var table Table
	var byKeys, bySteps bool
	for v := range uint64(150) {
		n := 300 // so that keys are what bounds it, and later, with few, versions are
		if v >= 50 {
			n = 20
		}
		rows := map[string][]byte{}
		for i := range n {
			rows[fmt.Sprint(i)] = value(t, fmt.Sprint(v, i))
		}
		table.Replace(v+1, rows)
		for from := range uint64(20) {
			if _, err := table.DeltaSince(v - from); err != nil {
				t.Fatal(err)
			}
		}
		byKeys, bySteps = byKeys || table.changed > mostChanged-n, bySteps || len(table.steps) == mostSteps
		if len(table.steps) > mostSteps || table.changed > mostChanged || len(table.blobs) > mostBlobs || len(table.retired) > keptBlobs ||
			table.CachedBytes() > 2*MaxCachedBytes {
			t.Fatalf("%d steps, %d changed, %d and %d blobs, %d bytes", len(table.steps), table.changed, len(table.blobs), len(table.retired), table.CachedBytes())
		}
	}
	if !byKeys || !bySteps {
		t.Errorf("no bound was met: by keys %v, by versions %v", byKeys, bySteps)
	}
	b, err := table.DeltaSince(149)
	if err != nil {
		t.Fatal(err)
	}
	table.Replace(2000, map[string][]byte{"a": value(t, 1)})
	if got, ok := table.CachedDelta(149, 150); !ok || !bytes.Equal(got.Data, b.Data) {
		t.Error("what is being fetched is gone")
	}
}

// Whatever comes, reading it ends.
func FuzzOpen(f *testing.F) {
	var table Table
	table.Replace(1, map[string][]byte{"a": value(f, 1)})
	table.Replace(2, map[string][]byte{"b": value(f, make([]int, 1000))})
	for _, from := range []uint64{0, 1} {
		b, err := table.DeltaSince(from)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b.Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := OpenDelta(data)
		if err != nil {
			return
		}
		for range 1000 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}

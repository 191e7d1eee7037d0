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

// replica is a receiver of deltas.
type replica struct {
	version uint64
	rows    map[string][]byte
}

// apply applies a delta as a limiter does: completely or not at all.
func (r *replica) apply(data []byte) error {
	d, err := OpenDelta(data)
	if err != nil {
		return err
	}
	rows, err := d.ApplyTo(r.version, r.rows)
	if err != nil {
		return err
	}
	r.version, r.rows = d.To, rows
	return nil
}

// distribution is a table and its replicas, with deltas on the way that may be lost, late or
// repeated.
type distribution struct {
	t        *rapid.T
	rng      *rand.Rand
	table    Table
	version  uint64
	replicas []replica
	sent     [][]byte
}

// update makes a new version in which a few rows were added, changed or removed.
func (s *distribution) update() {
	rows := maps.Clone(s.table.Rows())
	if rows == nil {
		rows = map[string][]byte{}
	}
	for range s.rng.IntN(6) {
		k := fmt.Sprint("k", s.rng.IntN(20))
		if s.rng.IntN(3) == 0 {
			delete(rows, k)
			continue
		}
		v, err := cbor.Marshal(s.rng.IntN(4))
		if err != nil {
			s.t.Fatal(err)
		}
		rows[k] = v
	}
	s.version += 1 + s.rng.Uint64N(3)
	s.table.Replace(s.version, rows)
}

// send sends a replica the delta from its version; some are lost.
func (s *distribution) send() {
	if s.version == 0 {
		return
	}
	r := s.someReplica()
	d, err := s.table.DeltaSince(r.version)
	if err != nil {
		s.t.Fatal(err)
	}
	s.sent = append(s.sent, d.Data)
	if s.rng.IntN(3) > 0 && d.To != r.version { // else lost, or nothing new
		if err := r.apply(d.Data); err != nil {
			s.t.Fatal(err)
		}
	}
}

// repeat sends some replica an earlier delta: it is applied completely or not at all.
func (s *distribution) repeat() {
	if len(s.sent) == 0 {
		return
	}
	r := s.someReplica()
	before := r.version
	data := s.sent[s.rng.IntN(len(s.sent))]
	if r.apply(data) != nil && r.version != before || r.version < before {
		s.t.Fatal("half of a delta was applied, or an older one")
	}
}

func (s *distribution) someReplica() *replica { return &s.replicas[s.rng.IntN(len(s.replicas))] }

// catchUp sends each replica what it lacks, and compares it with the table.
func (s *distribution) catchUp() {
	if s.version == 0 {
		return
	}
	for i := range s.replicas {
		r := &s.replicas[i]
		d, err := s.table.DeltaSince(r.version)
		if err != nil {
			s.t.Fatal(err)
		}
		if err := r.apply(d.Data); err != nil && d.To != r.version {
			s.t.Fatal(err)
		}
		if !maps.EqualFunc(r.rows, s.table.Rows(), bytes.Equal) {
			s.t.Fatalf("the replica has %v, the table %v", r.rows, s.table.Rows())
		}
	}
}

// However many deltas are lost, late or repeated, a replica that applies those that it can
// ends with the complete table: one that misses some asks with the version that it has.
func TestDeltasEqualTheCompleteTable(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := &distribution{t: t, rng: rng, replicas: make([]replica, 3)}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rng.IntN(3) {
			case 0:
				s.update()
			case 1:
				s.send()
			case 2:
				s.repeat()
			}
		}
		s.catchUp()
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

// A change of one row takes a few bytes, whatever the table's size, and is encoded once for
// all receivers that have the same version.
func TestDeltaSizeDependsOnChanges(t *testing.T) {
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
			t.Errorf("a receiver of an unknown version gets a delta from %+v, %v", b.From, err)
		}
	}
}

// checkBounds fails where a table keeps more than it may.
func checkBounds(t *testing.T, table *Table) {
	t.Helper()
	for _, bound := range []struct {
		name      string
		have, max int
	}{
		{"versions in the history", len(table.history), maxHistory},
		{"keys in the history", table.historyKeys, maxHistoryKeys},
		{"deltas to the newest version", len(table.current), maxCurrentDeltas},
		{"deltas to earlier versions", len(table.retired), maxRetiredDeltas},
		{"bytes of deltas", table.CachedBytes(), 2 * MaxCachedBytes},
	} {
		if bound.have > bound.max {
			t.Fatalf("%d %s, more than %d", bound.have, bound.name, bound.max)
		}
	}
}

// The memory of any number of versions is bounded, and a receiver that is still fetching the
// delta to the version before gets it.
func TestTableMemoryIsBounded(t *testing.T) {
	t.Parallel()
	var table Table
	var byKeys, byVersions bool
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
		byKeys = byKeys || table.historyKeys > maxHistoryKeys-n
		byVersions = byVersions || len(table.history) == maxHistory
		checkBounds(t, &table)
	}
	if !byKeys || !byVersions {
		t.Errorf("a bound was not reached: keys %v, versions %v", byKeys, byVersions)
	}
	b, err := table.DeltaSince(149)
	if err != nil {
		t.Fatal(err)
	}
	table.Replace(2000, map[string][]byte{"a": value(t, 1)})
	if got, ok := table.CachedDelta(149, 150); !ok || !bytes.Equal(got.Data, b.Data) {
		t.Error("the delta that is being fetched is gone")
	}
}

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

// apply applies a delta atomically: completely or not at all.
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

// distribution is a table and its replicas. Deltas in transit may be lost, delayed or
// duplicated.
type distribution struct {
	t        *rapid.T
	rng      *rand.Rand
	table    Table
	version  uint64
	replicas []replica
	sent     [][]byte
}

// update replaces the table by a new version with a few rows added, changed or removed.
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

// send sends a random replica the delta from its version; some deltas are lost.
func (s *distribution) send() {
	if s.version == 0 {
		return
	}
	r := s.randomReplica()
	d, err := s.table.DeltaSince(r.version)
	if err != nil {
		s.t.Fatal(err)
	}
	s.sent = append(s.sent, d.Data)
	if s.rng.IntN(3) > 0 && d.To != r.version { // otherwise the delta is lost, or has nothing new
		if err := r.apply(d.Data); err != nil {
			s.t.Fatal(err)
		}
	}
}

// repeat delivers an earlier delta, of any replica, to a random one. It must be applied
// completely or not at all.
func (s *distribution) repeat() {
	if len(s.sent) == 0 {
		return
	}
	r := s.randomReplica()
	before := r.version
	data := s.sent[s.rng.IntN(len(s.sent))]
	if r.apply(data) != nil && r.version != before || r.version < before {
		s.t.Fatal("a delta was applied partially, or the replica went back to an older version")
	}
}

func (s *distribution) randomReplica() *replica { return &s.replicas[s.rng.IntN(len(s.replicas))] }

// catchUp sends each replica the delta from its version and compares the result with the table.
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
			s.t.Fatalf("replica has rows %v, table has %v", r.rows, s.table.Rows())
		}
	}
}

// A replica that applies every applicable delta converges to the table even if deltas are lost,
// delayed or duplicated, since each delta is requested from the version that the replica has.
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

// The delta for one changed row takes a few bytes regardless of the size of the table, and is
// encoded once for all receivers that have the same version.
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
			t.Errorf("delta of %d bytes for one changed row of %d", len(a.Data), n)
		}
		if b, _ := table.DeltaSince(1); &a.Data[0] != &b.Data[0] {
			t.Error("delta encoded twice for the same version")
		}
		if b, err := table.DeltaSince(77); err != nil || b.From != 0 {
			t.Errorf("delta for an unknown version starts at version %+v (%v), want a complete table", b.From, err)
		}
	}
}

// checkBounds fails the test if a table exceeds one of its limits.
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
			t.Fatalf("%d %s, limit %d", bound.have, bound.name, bound.max)
		}
	}
}

// The memory of a table stays bounded over any number of versions, and a receiver that is still
// fetching a delta to the previous version can complete the transfer.
func TestTableMemoryIsBounded(t *testing.T) {
	t.Parallel()
	var table Table
	var byKeys, byVersions bool
	for v := range uint64(150) {
		n := 300 // reaches the limit on keys; the smaller n below reaches the one on versions
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
		t.Errorf("a limit was not reached: keys %v, versions %v", byKeys, byVersions)
	}
	b, err := table.DeltaSince(149)
	if err != nil {
		t.Fatal(err)
	}
	table.Replace(2000, map[string][]byte{"a": value(t, 1)})
	if got, ok := table.CachedDelta(149, 150); !ok || !bytes.Equal(got.Data, b.Data) {
		t.Error("a delta to the previous version was evicted")
	}
}

package quota

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// A column says what a map by tenant would: of figures that grow, come late or twice,
// and pass 32 bits.
func TestColumnIsAMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var c column
	is := map[int32]uint64{}
	for range 50_000 {
		row := rng.Int32N(300)
		if rng.IntN(50) == 0 {
			c.forget(row)
			delete(is, row)
		}
		before, known := is[row]
		units := uint64(1<<32-5000) + rng.Uint64N(10_000)
		if known && rng.IntN(2) == 0 {
			units = before + rng.Uint64N(100)
		}
		want := units
		if known {
			want = max(units, before) - before
		}
		more, had := c.raise(row, units)
		if more != want || had != known {
			t.Fatalf("row %d from %d (%v) to %d: %d more, known %v", row, before, known, units, more, had)
		}
		if is[row] = max(before, units); c.len() != len(is) {
			t.Fatalf("%d known, %d wanted", c.len(), len(is))
		}
	}
}

// A tenant that takes the row of one that is gone has none of its figures, and pays for
// all that is spent of it.
func TestRowOfTheGone(t *testing.T) {
	s := New(0, Member{ID: 1})
	s.SetMembers(0, []Member{{ID: 2}})
	s.SetPlans(0, map[uint64]Plan{5: {Rate: 0.001, Burst: 100}})
	hear := func(now float64, tenant, units uint64) {
		s.ReceiveUsage(now, 2, 7, now, mark(1)^mark(2), []Usage{{Tenant: tenant, Units: units}})
	}
	hear(1, 5, 0)
	hear(2, 5, 40)
	s.ChangePlans(3, map[uint64]Plan{6: {Rate: 0.001, Burst: 100}}, []uint64{5})
	before := s.Balance(4, 6)
	hear(4, 6, 30)
	if paid := before - s.Balance(4, 6); paid < 29.9 || paid > 30.1 {
		t.Errorf("%v units are paid for, 30 wanted", paid)
	}
	if s.rows.next != 1 || len(s.rows.free) != 0 {
		t.Errorf("%d rows for one tenant at a time, %d free", s.rows.next, len(s.rows.free))
	}
}

// What 68 limiters have told of 14,000 tenants takes less than 6 MB. Fails with a map for
// each of them: 30 MB.
func TestColumnsAreSmall(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	columns := make([]column, 68)
	for i := range columns {
		for row := range int32(14_000) {
			columns[i].raise(row, uint64(row))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > 6<<20 {
		t.Errorf("%d bytes", held)
	}
	runtime.KeepAlive(columns)
}

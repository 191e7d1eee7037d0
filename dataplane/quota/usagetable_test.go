package quota

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// A usage table returns what a map by tenant would, for counters that grow, come late or
// twice, and pass 32 bits.
func TestUsageTableBehavesLikeMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var table usageTable
	wantUnits := map[int32]uint64{}
	for range 50_000 {
		row := rng.Int32N(300)
		if rng.IntN(50) == 0 {
			table.forget(row)
			delete(wantUnits, row)
		}
		before, wasKnown := wantUnits[row]
		units := uint64(1<<32-5000) + rng.Uint64N(10_000)
		if wasKnown && rng.IntN(2) == 0 {
			units = before + rng.Uint64N(100)
		}
		want := units
		if wasKnown {
			want = max(units, before) - before
		}
		grown, known := table.update(row, units)
		if grown != want || known != wasKnown {
			t.Fatalf("row %d from %d (known %v) to %d: grown by %d, known %v",
				row, before, wasKnown, units, grown, known)
		}
		if wantUnits[row] = max(before, units); table.len() != len(wantUnits) {
			t.Fatalf("%d known, %d wanted", table.len(), len(wantUnits))
		}
	}
}

// A tenant that takes the row of a removed one has none of its counters, and all units
// reported of it are drawn.
func TestReusedRowKeepsNoUsage(t *testing.T) {
	s := New(0, Member{ID: 1})
	s.SetMembers(0, []Member{{ID: 2}})
	s.SetPlans(0, map[uint64]Plan{5: {Rate: 0.001, Burst: 100}})
	receive := func(now float64, tenant, units uint64) {
		s.ReceiveUsage(now, 2, 7, now, fingerprint(1)^fingerprint(2), []Usage{{Tenant: tenant, Units: units}})
	}
	receive(1, 5, 0)
	receive(2, 5, 40)
	s.ChangePlans(3, map[uint64]Plan{6: {Rate: 0.001, Burst: 100}}, []uint64{5})
	before := s.Balance(4, 6)
	receive(4, 6, 30)
	if drawn := before - s.Balance(4, 6); drawn < 29.9 || drawn > 30.1 {
		t.Errorf("%v units were drawn, 30 wanted", drawn)
	}
	if s.rows.next != 1 || len(s.rows.free) != 0 {
		t.Errorf("%d rows for one tenant at a time, %d free", s.rows.next, len(s.rows.free))
	}
}

// What 68 peers have reported of 14,000 tenants takes less than 6 MB. Fails with a map for
// each of them: 30 MB.
func TestUsageTablesFitInSixMegabytes(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tables := make([]usageTable, 68)
	for i := range tables {
		for row := range int32(14_000) {
			tables[i].update(row, uint64(row))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > 6<<20 {
		t.Errorf("%d bytes", held)
	}
	runtime.KeepAlive(tables)
}

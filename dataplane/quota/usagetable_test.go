package quota

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// A usage table behaves like a map by tenant, for counters that increase, arrive late or twice, and
// exceed 32 bits.
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
		increase, known := table.update(row, units)
		if increase != want || known != wasKnown {
			t.Fatalf("row %d from %d (known %v) to %d: increase %d, known %v",
				row, before, wasKnown, units, increase, known)
		}
		if wantUnits[row] = max(before, units); table.len() != len(wantUnits) {
			t.Fatalf("%d rows known, want %d", table.len(), len(wantUnits))
		}
	}
}

// A tenant that reuses the row of a removed tenant inherits none of its counters, and all its
// reported units are drawn.
func TestReusedRowKeepsNoUsage(t *testing.T) {
	s := New(0, Member{ID: 1})
	s.SetMembers(0, []Member{{ID: 2}})
	s.SetPlans(0, map[uint64]Plan{5: {Rate: 0.001, Burst: 100}})
	receive := func(now float64, tenant, units uint64) {
		s.ReceiveUsage(now, 2, 7, now, fingerprint(1)^fingerprint(2), []Usage{{Tenant: tenant, Units: units}})
	}
	receive(1, 5, 0)
	receive(2, 5, 40)
	s.ChangePlans(3, nil, []uint64{5})
	forgotten := 3 + forgetAfterWindows*s.windowMs
	s.ChangePlans(forgotten, map[uint64]Plan{6: {Rate: 0.001, Burst: 100}}, nil)
	receive(forgotten+1, 6, 0)
	before := s.Balance(forgotten+1, 6)
	receive(forgotten+1, 6, 30)
	if drawn := before - s.Balance(forgotten+1, 6); drawn < 29.9 || drawn > 30.1 {
		t.Errorf("%v units drawn, want 30", drawn)
	}
	if s.rows.next != 1 || len(s.rows.free) != 0 {
		t.Errorf("%d rows allocated for one tenant at a time, %d free", s.rows.next, len(s.rows.free))
	}
}

// The usage counters of 14,000 tenants at 68 peers take less than 6 MB. Fails with a map for each
// peer, which takes 30 MB.
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
		t.Errorf("usage tables take %d bytes", held)
	}
	runtime.KeepAlive(tables)
}

package quota

import "testing"

// A tenant of whom all is told, twice against loss, is not looked at any more: a look at
// what is due costs those who ask, not all tenants there are. (Found by hollow limiters
// with 14,000 tenants: two looks at all of them each 20 ms took 5 % of a core.)
func TestOnlyWhoAskedIsLookedAt(t *testing.T) {
	s := New(0, Member{ID: 1, Zone: "a"})
	plans := map[uint64]Plan{}
	for id := range uint64(14_000) {
		plans[id] = Plan{Rate: 1000, Burst: 1000}
	}
	s.SetPlans(0, plans)
	asked := map[uint64]bool{3: true, 7: true}
	for id := range asked {
		s.Admit(1, id)
	}
	told := map[uint64]int{}
	for now := 10.0; now < 3000; now += 10 {
		for _, e := range s.ReportUsage(now, nil) {
			told[e.Tenant]++
		}
		for _, e := range s.ReportDigest(now, nil).Consumed {
			told[e.Tenant]++
		}
	}
	for id := range told {
		if !asked[id] || told[id] != 4 {
			t.Errorf("tenant %d told %d times, 2 by the limiter and 2 by its group wanted", id, told[id])
		}
	}
	if len(told) != len(asked) || len(s.news)+len(s.groupNews) != 0 {
		t.Errorf("%d told, %d and %d still looked at", len(told), len(s.news), len(s.groupNews))
	}
	s.Admit(4000, 3)
	s.ChangePlans(4000, nil, []uint64{3})
	if got := s.ReportUsage(5000, nil); len(got) != 0 {
		t.Errorf("a tenant that went is told of: %v", got)
	}
}

// A tenant without a limit is not told of; once it has one, what it spent meanwhile is.
func TestLimitThatComesLaterIsTold(t *testing.T) {
	s := New(0, Member{ID: 1, Zone: "a"})
	s.SetPlans(0, map[uint64]Plan{5: {Rate: 10, Burst: 10}})
	s.Admit(0, 5)
	s.ChangePlans(0, map[uint64]Plan{5: {}}, nil)
	if got := s.ReportUsage(1000, nil); len(got) != 0 {
		t.Errorf("told without a limit: %v", got)
	}
	s.ChangePlans(1000, map[uint64]Plan{5: {Rate: 10, Burst: 10}}, nil)
	if got := s.ReportUsage(2000, nil); len(got) != 1 || got[0].Units != 1 {
		t.Errorf("%v, one unit wanted", got)
	}
}

func BenchmarkReport14000(b *testing.B) {
	s := New(0, Member{ID: 1, Zone: "a"})
	plans := map[uint64]Plan{}
	for id := range uint64(14_000) {
		plans[id] = Plan{Rate: 1000, Burst: 1000}
	}
	s.SetPlans(0, plans)
	b.ResetTimer()
	for i := range b.N {
		s.ReportUsage(float64(i)*20, nil)
	}
}

package gossip

import (
	"slices"
	"testing"

	"example.org/elmspan/dataplane/quota"
)

// The number of recipients of each limiter stays bounded as the fleet grows.
func TestRecipientsStayFew(t *testing.T) {
	t.Parallel()
	for n, maxRecipients := range map[int]int{11: 10, 24: 23, 100: 60, 300: 90, 1000: 160} {
		all := limitersInThreeZones(n)
		for i := range all {
			if got := disseminatorOf(all, i).Recipients(); got > maxRecipients {
				t.Errorf("fleet of %d: a limiter has %d recipients", n, got)
			}
		}
	}
}

// Each limiter is sent the usage of each other group by two reporters of that group.
func TestTwoReportEachGroup(t *testing.T) {
	t.Parallel()
	for _, n := range []int{11, 24, 100, 300, 1000} {
		all := limitersInThreeZones(n)
		level := quota.GroupingLevelFor(n, 3)
		if level == 0 {
			continue
		}
		reporters := countReporters(all, level)
		for _, p := range all {
			for _, o := range all {
				if g := level.Group(o); g != level.Group(p) && reporters[p.ID][g] != reportersPerGroup {
					t.Fatalf("fleet of %d: limiter %x has %d reporters of group %v", n, p.ID, reporters[p.ID][g], g)
				}
			}
		}
	}
}

// countReporters returns the number of limiters that send usage, by recipient and sender's group.
func countReporters(all []quota.Member, level quota.GroupingLevel) map[uint64]map[quota.Group]int {
	out := map[uint64]map[quota.Group]int{}
	for i, p := range all {
		for _, r := range disseminatorOf(all, i).recipients {
			if out[r.ID] == nil {
				out[r.ID] = map[quota.Group]int{}
			}
			if r.groupMember || r.receivesDigest {
				out[r.ID][level.Group(p)]++
			}
		}
	}
	return out
}

func limitersInThreeZones(n int) (all []quota.Member) {
	for i := range n {
		all = append(all, quota.Member{ID: uint64(i)*0x9e3779b97f4a7c15 + 1, Zone: []string{"a", "b", "c"}[i%3]})
	}
	return all
}

// disseminatorOf returns the disseminator of limiter i, with all others as peers.
func disseminatorOf(all []quota.Member, i int) *Disseminator {
	d := NewDisseminator(0, all[i], 1, Budget{})
	d.SetPeers(slices.Delete(slices.Clone(all), i, i+1), quota.GroupingLevelFor(len(all), 3))
	return d
}

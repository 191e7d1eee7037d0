package gossip

import (
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// In a very large fleet, the usage of an urgent tenant is sent within its due time even if
// there are constant updates about servers, which are sent less often.
func TestUrgentUsageDoesNotWaitForLoads(t *testing.T) {
	const tenant, rate, urgentMs = 7, 1000.0, 50.0
	l := newTestLimiter(1<<40, peersInZones(quota.VeryLargeFleetPeers+20), Budget{})
	l.quotas.SetPlans(0, map[uint64]quota.Plan{tenant: {Rate: rate, Burst: rate}})
	l.addServers(60)
	last, longest, messages := map[uint64]float64{}, map[uint64]float64{}, 0
	for now := 0.0; now < 4000; now += l.TickMs() {
		for range int(4 * rate * l.TickMs() / 1000) {
			l.quotas.Admit(now, tenant)
		}
		l.respond(now, balance.Success, 100*float64(1+int(now)%7)) // slow enough to cause hints
		l.tick(now, func(to uint64, m *Message) {
			if len(m.Consumed) == 0 {
				return
			}
			if now > 2000 { // the burst is used up
				longest[to] = max(longest[to], now-last[to])
				messages++
			}
			last[to] = now
		})
	}
	if messages < 40*10 {
		t.Fatalf("only %d messages with usage", messages)
	}
	groupMembers := 0
	for _, r := range l.recipients {
		if !r.groupMember {
			continue
		}
		groupMembers++
		if gap := longest[r.ID]; gap == 0 || gap > urgentMs+2*l.TickMs() {
			t.Errorf("longest time between messages with usage to %x: %.0f ms", r.ID, gap)
		}
	}
	if groupMembers == 0 {
		t.Error("no recipient is a group member")
	}
}

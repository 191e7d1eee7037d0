package gossip

import (
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// Usage of a tenant that has little left goes out at once in a very large fleet too,
// whatever else there is to send of servers.
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
		l.respond(now, balance.Success, 100*float64(1+int(now)%7)) // slow responses, which are hints
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
		t.Fatalf("only %d messages had usage", messages)
	}
	groupMembers := 0
	for _, r := range l.recipients {
		if !r.groupMember {
			continue
		}
		groupMembers++
		if gap := longest[r.ID]; gap == 0 || gap > urgentMs+2*l.TickMs() {
			t.Errorf("%x was sent usage %.0f ms apart", r.ID, gap)
		}
	}
	if groupMembers == 0 {
		t.Error("there are no group members")
	}
}

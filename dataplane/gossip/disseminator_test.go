package gossip

import (
	"testing"

	"example.org/elmspan/dataplane/quota"
)

// The usage of more tenants than fit into one message is sent in the following messages. Fails
// if usage that did not fit is treated as sent.
func TestAllTenantsAreSent(t *testing.T) {
	t.Parallel()
	d := NewDisseminator(0, quota.Member{ID: 1, Zone: "z"}, 1, Budget{})
	r := &recipient{groupMember: true}
	const n = 100
	for id := range uint64(n) {
		r.addUsage([]quota.Usage{{Tenant: id * 7919 % n, Units: id*7919%n + 1}})
	}
	sent := map[uint64]uint64{}
	for messages := 0; len(r.usage) > 0; messages++ {
		if messages > n/maxTenants {
			t.Fatalf("%d tenants still pending after %d messages", len(r.usage), messages)
		}
		for _, e := range mustDecode(t, d.fill(0, r, quota.Digest{})).Consumed {
			sent[e.Tenant] = e.Units
		}
	}
	for id := range uint64(n) {
		if sent[id] != id+1 {
			t.Errorf("tenant %d: sent %d units", id, sent[id])
		}
	}
}

// If more tenants have constant updates than fit into one message, all of them are sent in
// turn. In a simulation (dala-cdr-grown quiet-1), the tenants with the highest ids starved; when
// their usage was finally sent, peers charged all of it at once: 417 rejections under low load.
func TestNoTenantWaitsBehindOthers(t *testing.T) {
	r, sent := &recipient{}, map[uint64]int{}
	d := NewDisseminator(0, quota.Member{ID: 1, Zone: "z"}, 1, Budget{})
	const tenants, rounds = 4 * maxTenants, 40
	for round := range uint64(rounds) {
		var usage []quota.Usage
		for id := range uint64(tenants) {
			usage = append(usage, quota.Usage{Tenant: id, Units: round + 1})
		}
		r.addUsage(usage)
		for _, e := range d.fill(float64(round), r, quota.Digest{}).Consumed {
			sent[e.Tenant]++
		}
	}
	for id := range uint64(tenants) {
		if n := sent[id]; n < rounds/4-1 {
			t.Errorf("tenant %d: sent %d times in %d messages", id, n, rounds)
		}
	}
}

// A stale connection is reported to all peers immediately, for staleReportMs, and not after that.
func TestStaleConnectionIsSent(t *testing.T) {
	peers := []quota.Member{{ID: 2, Zone: "a"}, {ID: 3, Zone: "b"}}
	l := newTestLimiter(1, peers, Budget{})
	countReports := func(now float64) (n int) {
		l.tick(now, func(_ uint64, m *Message) {
			if mustDecode(t, m).StaleIdleGroup == 4 {
				n++
			}
		})
		return n
	}
	countReports(0)
	if n := countReports(6); n != 0 {
		t.Errorf("%d messages report a stale connection before there is one", n)
	}
	l.ReportStaleConnection(7, 5)
	l.ReportStaleConnection(8, 4)
	if n := countReports(12); n != len(peers) {
		t.Errorf("immediate reports sent to %d of %d peers", n, len(peers))
	}
	if n := countReports(12 + heartbeatMs); n != len(peers) {
		t.Errorf("reports after a heartbeat sent to %d of %d peers", n, len(peers))
	}
	if n := countReports(8 + staleReportMs + 2*heartbeatMs); n != 0 {
		t.Errorf("%d messages report the stale connection after its expiry", n)
	}
}

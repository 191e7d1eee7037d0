package gossip

import (
	"slices"
	"testing"

	"example.org/elmspan/dataplane/quota"
)

// countAnnouncements simulates the first second of a limiter in a fleet of 90, which starts at the given time and
// immediately receives a message from a peer of the given age. It returns the number of announcements sent to each
// limiter.
func countAnnouncements(start, peerAgeMs float64) (d *Disseminator, count map[uint64]int) {
	peers := peersInZones(89)
	self := quota.Member{ID: 1 << 40, Zone: "a"}
	l := &testLimiter{Disseminator: NewDisseminator(start, self, 1, Budget{}), quotas: quota.New(start, self)}
	l.quotas.SetMembers(start, peers)
	l.SetPeers(peers, l.quotas.Level())
	l.RecordPeerStart(start, peers[0].ID, peerAgeMs)
	count = map[uint64]int{}
	for now := start; now < start+1000; now += l.TickMs() {
		l.sendAnnouncements(now, func(to uint64, m *Message) {
			if m.From == self.ID && m.AgeMs == now-start && len(m.Consumed) == 0 {
				count[to]++
			}
		})
	}
	return l.Disseminator, count
}

// A limiter that joins a running fleet sends its announcements to exactly those limiters that regard it as a recipient
// of their digests.
func TestStartedLimiterAnnouncesItselfToReporters(t *testing.T) {
	d, count := countAnnouncements(50_000, 50_000)
	peers := peersInZones(89)
	level := quota.GroupingLevelFor(90, 3)
	var reporters []uint64
	for _, p := range peers {
		others := []quota.Member{d.self}
		for _, o := range peers {
			if o.ID != p.ID {
				others = append(others, o)
			}
		}
		peer := NewDisseminator(0, p, 1, Budget{})
		if peer.digestRecipients(others, level)[d.self.ID] > 0 {
			reporters = append(reporters, p.ID)
		}
	}
	if len(reporters) < 2*reportersPerGroup {
		t.Fatalf("only %d limiters report to the new one", len(reporters))
	}
	for _, id := range reporters {
		if count[id] != announcementCount {
			t.Errorf("%d announcements sent to reporter %x", count[id], id)
		}
	}
	for id := range count {
		if !slices.Contains(reporters, id) {
			t.Errorf("announcement sent to %x, which is not a reporter", id)
		}
	}
}

// If the whole fleet starts at once, there is no usage to report and no announcement is sent.
func TestFleetThatStartsTogetherSendsNoAnnouncements(t *testing.T) {
	if _, count := countAnnouncements(0, 300); len(count) != 0 {
		t.Errorf("announcements sent to %d limiters", len(count))
	}
}

// A limiter whose peer has restarted sends it the usage of all active tenants with the next message, including usage
// that it had already reported.
func TestStartedPeerReceivesAllUsage(t *testing.T) {
	const tenant = 7
	l := newTestLimiter(1<<40, peersInZones(89), Budget{})
	l.quotas.SetPlans(0, map[uint64]quota.Plan{tenant: {Rate: 1000, Burst: 1000}})
	l.addServers(1)
	units := uint64(0)
	for now := 20.0; now < 4000; now += l.TickMs() {
		if now < 1000 {
			if _, ok := l.quotas.Admit(now, tenant); ok {
				units++
			}
		}
		l.tick(now, func(uint64, *Message) {})
	}
	member := slices.IndexFunc(l.recipients, func(r *recipient) bool { return r.groupMember })
	id := l.recipients[member].ID
	l.scheduleFullUsage(id)
	received := false
	for now := 4000.0; now < 4100; now += l.TickMs() {
		l.tick(now, func(to uint64, m *Message) {
			for _, u := range m.Consumed {
				if to != id {
					t.Errorf("usage sent to %x, which did not restart", to)
				}
				received = received || u.Tenant == tenant && u.Units == units
			}
		})
	}
	if units == 0 || !received {
		t.Error("usage not sent to the restarted peer within 0.1 s")
	}
}

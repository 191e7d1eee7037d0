package gossip

import (
	"slices"
	"testing"

	"example.org/elmspan/dataplane/quota"
)

// greeted returns how often each limiter was sent a message without a digest in the first second, by one of 90 that
// starts at a time and receives at once a message of a peer of an age.
func greeted(start, peerAgeMs float64) (d *Disseminator, count map[uint64]int) {
	peers := peersInZones(89)
	self := quota.Member{ID: 1 << 40, Zone: "a"}
	l := &testLimiter{Disseminator: NewDisseminator(start, self, 1, Budget{}), quotas: quota.New(start, self)}
	l.quotas.SetMembers(start, peers)
	l.SetPeers(peers, l.quotas.Level())
	l.RecordPeerStart(start, peers[0].ID, peerAgeMs)
	count = map[uint64]int{}
	for now := start; now < start+1000; now += l.TickMs() {
		l.greet(now, func(to uint64, m *Message) {
			if m.From == self.ID && m.AgeMs == now-start && len(m.Consumed) == 0 {
				count[to]++
			}
		})
	}
	return l.Disseminator, count
}

// A limiter that starts beside a fleet that runs greets those that report to it, twice: the same that take it for one
// that they report to.
func TestStartedLimiterGreetsItsReporters(t *testing.T) {
	self, count := greeted(50_000, 50_000)
	peers := peersInZones(89)
	level := quota.GroupingLevelFor(90, 3)
	var reporters []uint64
	for _, p := range peers {
		others := []quota.Member{self.self}
		for _, o := range peers {
			if o.ID != p.ID {
				others = append(others, o)
			}
		}
		d := NewDisseminator(0, p, 1, Budget{})
		if d.reports(others, level)[self.self.ID] > 0 {
			reporters = append(reporters, p.ID)
		}
	}
	if len(reporters) < 2*reportersPerGroup {
		t.Fatalf("only %d report to it", len(reporters))
	}
	for _, id := range reporters {
		if count[id] != greetings {
			t.Errorf("%x, which reports to it, was greeted %d times", id, count[id])
		}
	}
	for id := range count {
		if !slices.Contains(reporters, id) {
			t.Errorf("%x, which doesn't report to it, was greeted", id)
		}
	}
}

// A fleet that starts as a whole has nothing to report: nobody is greeted.
func TestFleetThatStartsTogetherGreetsNobody(t *testing.T) {
	if _, count := greeted(0, 300); len(count) != 0 {
		t.Errorf("%d were greeted", len(count))
	}
}

// A limiter whose peer has started again sends it, with the next message, the usage of all tenants in use, also
// what it had reported before.
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
	l.introduce(id)
	informed := false
	for now := 4000.0; now < 4100; now += l.TickMs() {
		l.tick(now, func(to uint64, m *Message) {
			for _, u := range m.Consumed {
				if to != id {
					t.Errorf("%x was sent usage", to)
				}
				informed = informed || u.Tenant == tenant && u.Units == units
			}
		})
	}
	if units == 0 || !informed {
		t.Error("the peer that started again was not sent the usage within 0.1 s")
	}
}

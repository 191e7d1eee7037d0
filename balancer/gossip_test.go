package balancer

import (
	"fmt"
	"testing"
)

func TestPeerReportsDrawFromTheBalance(t *testing.T) {
	both := Submit{LimiterCount: 2}
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	d.now += 5000 // the bucket is full by now
	d.admit(1, both)
	d.do(peerReport(5000, 1, 30))
	if got := d.admit(30, both); got != 0 {
		t.Errorf("a balance of 20-1-30 admitted %d", got)
	}
	d.do(peerReport(5000, 1, 30)) // repeated
	d.do(peerReport(5000, 3, 31)) // the report before it was lost
	d.do(peerReport(5000, 2, 29)) // late
	d.now += 1700                 // 17 units of refill: 12 pay off the deficit, 5 are left
	if got := d.admit(30, both); got != 5 {
		t.Errorf("%d admitted after the deficit was refilled, want 5", got)
	}
	before := d.l.customers[0].balance
	for _, bad := range [][]byte{nil, {1, 2}, []byte("foreign message, quite long"),
		{peerMagic, 9, 0, 1, 1, 1, 1, 1, 1}} {
		d.do(PeerMessage{From: 1, Data: bad})
	}
	d.do(PeerMessage{From: 9, Data: peerReport(0, 9, 50).Data})
	if d.l.customers[0].balance != before {
		t.Error("an invalid message changed the balance")
	}
}

func TestStartingLimiterRequestsLevels(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	var requested bool
	for _, a := range d.do(TimerFired{Name: "tick"}) {
		if message, ok := a.(SendPeer); ok {
			m, ok := decodePeerMessage(message.Data)
			requested = ok && m.flags&flagLevelsRequest != 0
		}
	}
	if !requested {
		t.Error("a starting limiter did not request levels from its peer")
	}
	d.admit(4, Submit{LimiterCount: 2})
	request := peerMessage{flags: flagLevelsRequest, incarnation: 5, seq: 1}
	data, _ := request.encode()
	var levels []peerEntry
	for _, a := range d.do(PeerMessage{From: 1, Data: data}) {
		if message, ok := a.(SendPeer); ok {
			if m, ok := decodePeerMessage(message.Data); ok && m.flags&flagLevelsResponse != 0 {
				levels = m.entries
			}
		}
	}
	if len(levels) != 1 || levels[0].level != 16*unitScale {
		t.Errorf("the response has %v, want one level of 16", levels)
	}
}

// A single datagram can neither lock a customer out for long nor raise its balance above its
// plan. A customer evicted here is not charged for all that a peer has ever admitted.
func TestPeerLevelsAndReportsAreBounded(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	d.admit(1, Submit{Customer: 5, LimiterCount: 2})
	send := func(e peerEntry, seq uint64, flags byte) {
		m := peerMessage{incarnation: 7, seq: seq, flags: flags, entries: []peerEntry{e}}
		data, _ := m.encode()
		d.do(PeerMessage{From: 1, Data: data})
	}
	send(peerEntry{customer: 5, limiterCount: 2, spent: 1 << 40, newlySpent: 1 << 40}, 1, 0)
	d.now += 6500 // the refill of three bursts of 20 at 10 units/s, and a little more
	if got := d.admit(1, Submit{Customer: 5, LimiterCount: 2}); got != 1 {
		t.Error("locked out for longer than the refill of the limiters' bursts takes")
	}
	send(peerEntry{customer: 5, level: 1 << 40, margin: 1 << 40}, 2, flagLevelUpdate)
	if c := d.l.customers[5]; c.balance > 20 || c.margin > 20 {
		t.Errorf("balance %g, margin %g with a burst of 20", c.balance, c.margin)
	}
	send(peerEntry{customer: 5, level: -1 << 40}, 3, flagLevelUpdate)
	if c := d.l.customers[5]; c.balance < -41 { // two bursts and the last request
		t.Errorf("balance %g", c.balance)
	}
	for range 5 {
		d.now += idleCustomerMs
		d.do(TimerFired{Name: "tick"})
	}
	if len(d.l.customers) != 0 {
		t.Error("the customer has not been evicted")
	}
	send(peerEntry{customer: 5, limiterCount: 2, spent: 1000 * unitScale, newlySpent: 2 * unitScale}, 4, 0)
	if c := d.l.customers[5]; c == nil || c.balance != 18 {
		t.Errorf("a report after the eviction: got %+v, want a balance of 18", c)
	}
}

func FuzzDecodePeer(f *testing.F) {
	m := peerMessage{flags: knownFlags, incarnation: 9, seq: 300, ageMs: 70000,
		entries: []peerEntry{{customer: 1 << 32, plan: 2, limiterCount: 3, spent: 77, newlySpent: 4, level: -5,
			inFlight: 3}, {customer: 4, limiterCount: 1, level: 9}}}
	data, _ := m.encode()
	f.Add(data)
	f.Add([]byte{peerMagic, peerVersion, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, ok := decodePeerMessage(b)
		if !ok {
			return
		}
		encoded, n := m.encode()
		if n != len(m.entries) {
			return // a non-minimal encoding: more entries than fit into the minimal one
		}
		m2, ok := decodePeerMessage(encoded)
		if !ok || fmt.Sprint(m) != fmt.Sprint(m2) {
			t.Errorf("%v was decoded as %v", m, m2)
		}
		l, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(1, PeerMessage{From: 1, Data: b})
	})
}

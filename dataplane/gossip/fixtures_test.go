package gossip

import (
	"fmt"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// testLimiter is a disseminator with the quotas and servers that its updates come from.
type testLimiter struct {
	*Disseminator
	quotas  *quota.Enforcer
	servers *balance.Set
}

// newTestLimiter returns a limiter in zone a with the given peers.
func newTestLimiter(id uint64, peers []quota.Member, b Budget) *testLimiter {
	self := quota.Member{ID: id, Zone: "a"}
	l := &testLimiter{
		Disseminator: NewDisseminator(0, self, 1, b),
		quotas:       quota.New(0, self),
		servers:      balance.New(self.Zone, id, 1),
	}
	l.quotas.SetMembers(0, peers)
	l.SetPeers(peers, l.quotas.Level())
	return l
}

// addServers adds n servers of one service in the limiter's zone.
func (l *testLimiter) addServers(n int) {
	var list []api.Server
	for i := range n {
		list = append(list, api.Server{
			ID: fmt.Sprint("i-", i), Upstream: "s", Addr: "x", Zone: "a", Capacity: 2, State: api.InService,
		})
	}
	l.servers.SetServers(0, list)
}

// respond records one finished request at each server.
func (l *testLimiter) respond(now float64, result balance.Result, latencyMs float64) {
	for _, server := range l.servers.Members() {
		l.servers.StartAttempt(server)
		l.servers.FinishAttempt(now, server, result, latencyMs)
	}
}

// tick calls send for each message that is due.
func (l *testLimiter) tick(now float64, send func(to uint64, m *Message)) {
	l.Tick(now, l.quotas, l.servers, send)
}

// peersInZones returns n limiters, distributed over the zones a to e.
func peersInZones(n int) (peers []quota.Member) {
	for i := range uint64(n) {
		peers = append(peers, quota.Member{ID: (i + 2) << 40, Zone: string(rune('a' + i%5))})
	}
	return peers
}

// mustDecode returns a message after an encoding round trip.
func mustDecode(t *testing.T, m *Message) Message {
	t.Helper()
	var decoded Message
	if err := decoded.Decode(m.Append(nil)); err != nil {
		t.Fatal(err)
	}
	return decoded
}

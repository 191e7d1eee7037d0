package gossip

import (
	"testing"

	"example.org/elmspan/dataplane/balance"
)

// On a small machine, a limiter of a large fleet keeps to its budget even if it has more
// updates than the budget allows, and still sends to all recipients at the heartbeat rate.
func TestMessagesKeepToTheBudget(t *testing.T) {
	budget := Budget{BytesPerS: 7500, MessagesPerS: 320}
	l := newTestLimiter(1<<40, peersInZones(89), budget)
	l.addServers(60)
	bytes, messages := 0, map[uint64]int{}
	const seconds = 10
	for now := 0.0; now < 1000*seconds; now += l.TickMs() {
		// Each response changes a load, and the results alternate between success and failure.
		l.respond(now, []balance.Result{balance.Success, balance.Failure}[int(now)%2], 100)
		l.tick(now, func(to uint64, m *Message) {
			bytes += len(m.Append(nil)) + DatagramOverhead
			messages[to]++
		})
	}
	if perS := float64(bytes) / seconds; perS > 1.6*budget.BytesPerS {
		t.Errorf("sent %.0f bytes/s, budget %.0f", perS, budget.BytesPerS)
	}
	for id, n := range messages {
		if float64(n) < seconds*1000/largeHeartbeatMs-2 {
			t.Errorf("%x was sent %d messages in %d s", id, n, seconds)
		}
	}
	if len(messages) != l.Recipients() || len(messages) > 40 {
		t.Errorf("sent messages to %d limiters, want all %d recipients and at most 40", len(messages), l.Recipients())
	}
}

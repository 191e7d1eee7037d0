package simulation

import (
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// The bytes of each section of a message are counted once, and all together are the message.
func TestBytesOfMessagesAddUp(t *testing.T) {
	usage := []quota.Usage{{Tenant: 1, Units: 300, FillLevel: 9}, {Tenant: 2, Units: 5}}
	list := []gossip.Message{
		{From: 1, Incarnation: 2, AgeMs: 1000, Consumed: usage, Hints: []balance.Hint{{Server: 1}}, LiveSet: 7},
		{From: 1, Incarnation: 2, Demand: []balance.Demand{{Service: 3, Level: 4}},
			GroupDigest: quota.Digest{Level: 2, LiveCount: 3,
				Classes: []quota.SharingClass{{LiveSet: 1, Count: 300}}, Consumed: usage}},
		{},
	}
	var sum Traffic
	bytes := 0
	for i := range list {
		n := len(list[i].Append(nil))
		sum.countMessage(&list[i])
		bytes += n + gossip.DatagramOverhead
	}
	if sum.MessageBytes() != float64(bytes) {
		t.Errorf("%v bytes in sections, %d in all", sum.MessageBytes(), bytes)
	}
	if sum.Messages != 3 || sum.UsageEntries != 4 ||
		sum.Units != 15 || sum.GroupUnits != 15 || sum.Hints != 6 || sum.Demand != 3 {
		t.Errorf("%+v", sum)
	}
}

package simulation

import (
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// Of a word each part's bytes are counted once, and all of them together are the word.
func TestBytesOfWordsAddUp(t *testing.T) {
	spent := []quota.Usage{{Tenant: 1, Units: 300, FillLevel: 9}, {Tenant: 2, Units: 5}}
	list := []gossip.Message{
		{From: 1, Incarnation: 2, AgeMs: 1000, Consumed: spent, Hints: []balance.Hint{{Server: 1}}, LiveSet: 7},
		{From: 1, Incarnation: 2, Demand: []balance.Demand{{Service: 3, Level: 4}},
			GroupDigest: quota.Digest{Level: 2, LiveCount: 3, Classes: []quota.SharingClass{{LiveSet: 1, Count: 300}}, Consumed: spent}},
		{},
	}
	var sum Traffic
	bytes := 0
	for i := range list {
		n := len(list[i].Append(nil))
		sum.word(&list[i], n)
		bytes += n + gossip.DatagramOverhead
	}
	if sum.WordBytes() != float64(bytes) {
		t.Errorf("%v bytes in parts, %d in all", sum.WordBytes(), bytes)
	}
	if sum.Words != 3 || sum.Told != 4 || sum.Units != 15 || sum.Sums != 15 || sum.Hints != 6 || sum.Demand != 3 {
		t.Errorf("%+v", sum)
	}
}

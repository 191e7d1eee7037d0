package raft

import "testing"

// Entries that are on their way are not sent again with each heartbeat, only
// after some time without an answer; and no message carries more than its share
// of bytes. (Found on pshpta-gw-grown: heartbeats that carried a configuration of
// 328 KB to five members each filled the memory of a leader. docs/incidents/0006)
func TestEntriesOnTheirWayAreNotSentAgain(t *testing.T) {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	n := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}, PersistentState{Snapshot: Snapshot{Members: members}})
	sent := map[ID]int{} // bytes of entries
	largest := 0
	carry := func(answer bool) {
		for r := n.Ready(); !r.Empty(); r = n.Ready() {
			n.Advance(r)
			for _, m := range r.Messages {
				bytes := 0
				for _, e := range m.Entries {
					bytes += len(e.Data)
				}
				sent[m.To] += bytes
				largest = max(largest, bytes)
				switch {
				case m.Kind == PreVoteRequest || m.Kind == VoteRequest:
					n.Step(Message{Kind: m.Kind + 1, From: m.To, To: 1, Term: m.Term})
				case answer && m.To == 2 && m.Kind == AppendEntries:
					n.Step(Message{Kind: AppendEntriesReply, From: 2, To: 1, Term: m.Term, Round: m.Round, Index: m.Index + uint64(len(m.Entries))})
				}
			}
		}
	}
	for range 40 {
		n.Tick()
		carry(true)
	}
	if n.Role() != Leader {
		t.Fatal("no leader")
	}
	const size = maxEntriesBytes * 25 / 32
	for range 4 {
		if _, _, err := n.Propose(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
	}
	clear(sent)
	for range 8 { // a slow link: no answer yet, and a heartbeat for each of those who wait
		n.BroadcastHeartbeat()
		carry(false)
	}
	if sent[2] > maxEntriesBytes {
		t.Errorf("%d bytes were sent to one that has not answered yet", sent[2])
	}
	for range 3 * retransmitAfter(size) {
		n.Tick()
		carry(false)
	}
	if sent[2] <= size || sent[2] > 5*maxEntriesBytes {
		t.Errorf("%d bytes in %d ticks without an answer", sent[2], 3*retransmitAfter(size))
	}
	for range 30 {
		n.Tick()
		carry(true)
	}
	if n.CommitIndex() != n.LastIndex() || largest > maxEntriesBytes {
		t.Errorf("agreed up to %d of %d, the largest message has %d bytes", n.CommitIndex(), n.LastIndex(), largest)
	}
}

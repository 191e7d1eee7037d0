package raft

import "testing"

// scriptedFollowers simulates the two followers of a leader: both grant votes, and member 2
// acknowledges entries if acknowledges is set. It counts the bytes that the leader sends.
type scriptedFollowers struct {
	leader       *Node
	acknowledges bool
	bytesSent    map[ID]int // bytes of entry data, by receiver
	largest      int        // bytes of entries in the largest message
}

// deliver processes all pending work of the leader.
func (f *scriptedFollowers) deliver() {
	for r := f.leader.Ready(); !r.Empty(); r = f.leader.Ready() {
		f.leader.Advance(r)
		for _, m := range r.Messages {
			bytes := 0
			for _, e := range m.Entries {
				bytes += len(e.Data)
			}
			f.bytesSent[m.To] += bytes
			f.largest = max(f.largest, bytes)
			grantVote(f.leader, m)
			if f.acknowledges && m.To == 2 && m.Kind == AppendEntries {
				acknowledgeEntries(f.leader, m)
			}
		}
	}
}

// tick advances the leader by a number of ticks.
func (f *scriptedFollowers) tick(ticks int) {
	for range ticks {
		f.leader.Tick()
		f.deliver()
	}
}

// Entries in flight are not resent with each heartbeat, only after the retransmission timeout, and no
// message exceeds its maximum size. Otherwise heartbeats that each carry a configuration of 328 KB to
// five members fill the memory of a leader, as on pshpta-gw-grown (docs/incidents/0006).
func TestEntriesInFlightAreNotSentWithEachHeartbeat(t *testing.T) {
	t.Parallel()
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	cfg := Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}
	n := New(cfg, PersistentState{Snapshot: Snapshot{Members: members}})
	f := &scriptedFollowers{leader: n, acknowledges: true, bytesSent: map[ID]int{}}
	f.tick(40)
	if n.Role() != Leader {
		t.Fatal("no leader")
	}
	const size = maxEntriesBytes * 25 / 32
	for range 4 {
		mustPropose(t, n, make([]byte, size))
	}
	clear(f.bytesSent)
	f.acknowledges = false
	for range 8 { // a slow link: no reply yet, and a heartbeat for each pending read
		n.BroadcastHeartbeat()
		f.deliver()
	}
	if f.bytesSent[2] > maxEntriesBytes {
		t.Errorf("%d bytes were sent to a follower before its first reply", f.bytesSent[2])
	}
	f.tick(3 * retransmitAfter(size))
	if f.bytesSent[2] <= size || f.bytesSent[2] > 5*maxEntriesBytes {
		t.Errorf("%d bytes were sent in %d ticks without a reply", f.bytesSent[2], 3*retransmitAfter(size))
	}
	f.acknowledges = true
	f.tick(30)
	if n.CommitIndex() != n.LastIndex() || f.largest > maxEntriesBytes {
		t.Errorf("commit index %d of %d, the largest message has %d bytes", n.CommitIndex(), n.LastIndex(), f.largest)
	}
}

// slowBulkLink connects a leader and member 2. Bulk messages stay in flight until the test delivers
// them; all others arrive immediately.
type slowBulkLink struct {
	leader, follower *Node
	inFlight         []Message // bulk messages
	urgent           int       // number of other messages delivered
}

// deliverUrgent delivers all messages except bulk messages.
func (l *slowBulkLink) deliverUrgent() {
	for sent, _ := runHost(l.leader); len(sent) > 0; sent, _ = runHost(l.leader) {
		for _, m := range sent {
			switch {
			case m.To != 2:
			case m.IsBulk():
				l.inFlight = append(l.inFlight, m)
			default:
				l.urgent++
				l.deliver(m)
			}
		}
	}
}

// deliver delivers one message and the replies to it.
func (l *slowBulkLink) deliver(m Message) {
	l.follower.Step(m)
	replies, _ := runHost(l.follower)
	for _, r := range replies {
		l.leader.Step(r)
	}
}

// Heartbeats are sent separately from large entries and may overtake them. No heartbeat is rejected
// because of an entry that is still in flight, so none causes the entry to be resent.
func TestHeartbeatsOvertakeLargeEntries(t *testing.T) {
	t.Parallel()
	leader, follower := newSingleLeader(t), newSingleNode(2, nil)
	link := &slowBulkLink{leader: leader, follower: follower}
	for range 6 {
		leader.Tick()
		link.deliverUrgent()
	}
	p := leader.progress[2]
	if p.matchIndex != leader.LastIndex() {
		t.Fatal("the follower has not caught up")
	}
	mustPropose(t, leader, make([]byte, 10<<10))
	mustPropose(t, leader, make([]byte, 10<<10))
	link.deliverUrgent()
	link.urgent = 0
	for range 5 {
		leader.BroadcastHeartbeat()
		link.deliverUrgent()
	}
	if len(link.inFlight) != 1 || link.urgent != 5 || p.acknowledgedRound != leader.heartbeatRound {
		t.Fatalf("%d messages with entries, %d heartbeats, round %d of %d acknowledged",
			len(link.inFlight), link.urgent, p.acknowledgedRound, leader.heartbeatRound)
	}
	leader.ReportSendFailure(2)
	leader.BroadcastHeartbeat()
	link.deliverUrgent()
	if len(link.inFlight) != 2 || link.urgent != 6 {
		t.Fatalf("after a send failure: %d messages with entries, %d heartbeats", len(link.inFlight), link.urgent)
	}
	for len(link.inFlight) > 0 {
		m := link.inFlight[0]
		link.inFlight = link.inFlight[1:]
		link.deliver(m)
		link.deliverUrgent()
	}
	if follower.LastIndex() != leader.LastIndex() || leader.CommitIndex() != leader.LastIndex() {
		t.Errorf("the follower has last index %d of %d, the commit index is %d",
			follower.LastIndex(), leader.LastIndex(), leader.CommitIndex())
	}
}

// If a heartbeat and the entries sent along with it are both rejected, the missing entries are sent
// only once.
func TestRepeatedRejectionIsAnsweredOnce(t *testing.T) {
	t.Parallel()
	leader := newSingleLeader(t)
	for range 9 {
		mustPropose(t, leader, make([]byte, 2<<10))
		acknowledgeAll(leader, 3)
	}
	p := leader.progress[2]
	p.nextIndex = leader.LastIndex() + 1
	for range 2 {
		leader.Step(Message{
			Kind:          AppendEntriesReply,
			From:          2,
			To:            1,
			Term:          leader.Term(),
			Index:         4,
			Reject:        true,
			RejectedIndex: leader.LastIndex(),
		})
	}
	sent, _ := runHost(leader)
	if p.nextIndex != 5 || len(sent) != 1 || sent[0].Index != 4 {
		t.Errorf("%d messages, next index %d", len(sent), p.nextIndex)
	}
}

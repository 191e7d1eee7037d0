package controlplane

import (
	"context"
	"errors"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// slowDiskMember is a member whose disk writes block until the test releases them. Its outgoing
// messages stay in its send queues.
type slowDiskMember struct {
	*Core
	Store
	t       *testing.T
	writing chan struct{} // receives an element when a write begins
	result  chan error    // result of the write
	done    chan struct{} // closed when the test ends
}

// Save blocks until the test releases the write.
func (d *slowDiskMember) Save(r raft.Ready) error {
	select {
	case d.writing <- struct{}{}:
	case <-d.done:
		return errors.New("the test has ended")
	}
	select {
	case err := <-d.result:
		if err != nil {
			return err
		}
	case <-d.done:
	}
	return d.Store.Save(r)
}

func newSlowDiskMember(t *testing.T) *slowDiskMember {
	t.Helper()
	core, store := mustOpenMember(t)
	d := &slowDiskMember{
		Core:    core,
		Store:   store,
		t:       t,
		writing: make(chan struct{}),
		result:  make(chan error),
		done:    make(chan struct{}),
	}
	core.cfg.Store = d
	core.lifecycle.ctx = t.Context()
	for _, to := range []raft.ID{2, 3} {
		for _, bulk := range []bool{false, true} {
			core.transport.queues[queueKey{to, bulk}] = newSendQueue(bulk)
		}
	}
	t.Cleanup(func() {
		close(d.done)
		core.lifecycle.tasks.Wait()
	})
	return d
}

// newSlowFollower returns a follower of member 2 whose term is on disk.
func newSlowFollower(t *testing.T) *slowDiskMember {
	t.Helper()
	d := newSlowDiskMember(t)
	d.receive(heartbeat(3))
	d.write()
	d.takeSent()
	return d
}

func heartbeat(round uint64) raft.Message {
	return raft.Message{Kind: raft.AppendEntries, Index: 5, LogTerm: 1, Round: round}
}

// receive delivers messages from member 2.
func (d *slowDiskMember) receive(messages ...raft.Message) {
	d.t.Helper()
	deliverFrom(d.t, d.Core, 2, messages...)
}

// takeSent removes the messages to member 2 from the send queues and returns them.
func (d *slowDiskMember) takeSent() []raft.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sent []raft.Message
	for _, bulk := range []bool{false, true} {
		queue := d.transport.queues[queueKey{2, bulk}]
		sent = append(sent, queue.take()...)
		queue.done()
	}
	return sent
}

// requireNothingSent requires that no message to member 2 is queued.
func (d *slowDiskMember) requireNothingSent(when string) {
	d.t.Helper()
	if sent := d.takeSent(); len(sent) != 0 {
		d.t.Errorf("sent %s: %+v", when, sent)
	}
}

// awaitWrite blocks until a write begins.
func (d *slowDiskMember) awaitWrite() { <-d.writing }

// endWrite completes a write in progress and waits for all tasks of the member to end.
func (d *slowDiskMember) endWrite(result error) {
	d.result <- result
	d.lifecycle.tasks.Wait()
}

// write waits for one write and completes it.
func (d *slowDiskMember) write() {
	d.awaitWrite()
	d.endWrite(nil)
}

// tick runs n ticks as Run does.
func (d *slowDiskMember) tick(n int) {
	for range n {
		d.mu.Lock()
		d.host.tick()
		d.host.handleReady()
		d.mu.Unlock()
	}
}

// While a follower waits for its disk, it answers heartbeats and status calls. It acknowledges entries
// only once they are on disk.
func TestHeartbeatsDoNotWaitForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowFollower(t)
	d.receive(appendMessage(0, raft.Entry{Index: 6, Term: peerTerm}))
	d.awaitWrite()
	d.receive(heartbeat(4))
	sent := d.takeSent()
	if len(sent) != 1 || sent[0].Kind != raft.AppendEntriesReply || sent[0].Round != 4 || sent[0].Index != 5 {
		t.Errorf("sent during the write: %+v", sent)
	}
	if s := d.Status(); s.Revision != 3 || s.DiskFails {
		t.Errorf("status during the write: %+v", s)
	}
	d.endWrite(nil)
	if sent = d.takeSent(); len(sent) != 1 || sent[0].Index != 6 {
		t.Errorf("sent after the write: %+v", sent)
	}
}

// A vote must be durable before it is sent.
func TestVoteWaitsForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowFollower(t)
	d.receive(appendMessage(0, raft.Entry{Index: 6, Term: peerTerm}))
	d.write()
	d.tick(2 * electionTicks) // past the election timeout, so that no leader is active
	d.takeSent()
	d.receive(raft.Message{
		Kind:               raft.VoteRequest,
		Term:               9,
		Index:              6,
		LogTerm:            peerTerm,
		LeadershipTransfer: true,
	})
	d.awaitWrite()
	d.requireNothingSent("before the vote is on disk")
	d.endWrite(errors.New("full"))
	d.requireNothingSent("after the failed write")
	if !d.Status().DiskFails {
		t.Error("the status doesn't report the disk failure")
	}
	d.tick(1)
	d.write()
	sent := d.takeSent()
	if len(sent) == 0 || sent[0].Kind != raft.VoteReply || sent[0].Reject {
		t.Errorf("sent once the vote is on disk: %+v", sent)
	}
	if d.Status().DiskFails {
		t.Error("the status still reports a disk failure")
	}
}

// awaitCandidate runs ticks until the member is a candidate.
func (d *slowDiskMember) awaitCandidate() {
	for d.host.node.Role() != raft.Candidate {
		d.tick(1)
	}
}

// becomeLeader makes the member a leader and returns its term.
func (d *slowDiskMember) becomeLeader() uint64 {
	d.t.Helper()
	d.awaitCandidate()
	term := d.host.node.Term() + 1
	d.receive(raft.Message{Kind: raft.PreVoteReply, Term: term})
	d.write()
	d.receive(raft.Message{Kind: raft.VoteReply, Term: term})
	if d.host.node.Role() != raft.Leader {
		d.t.Fatal("the member is not the leader")
	}
	return term
}

// A leader that waits for its disk keeps sending heartbeats, and answers nothing based on entries that
// the others have committed until it has applied them itself. If its disk stalls for too long, it
// steps down, and it participates again once the disk responds.
func TestLeaderStepsDownWhenItsDiskStalls(t *testing.T) {
	t.Parallel()
	d := newSlowDiskMember(t)
	term := d.becomeLeader()
	d.awaitWrite() // of the leader's first entry, 6
	if sent := d.heartbeatsIn(3 * heartbeatTicks); sent < 2 {
		t.Errorf("%d heartbeats during the write", sent)
	}
	// The other two members have stored the entry, so it is committed.
	reply := raft.Message{Kind: raft.AppendEntriesReply, Term: term, Index: 6, Round: 1 << 20}
	d.receive(reply)
	if d.host.node.AppliedIndex() >= 6 {
		t.Fatal("entry 6 was applied before it was on disk")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if r, err := d.Watch(canceled, &api.WatchRequest{}); err != nil || r.Lease || r.ConfigDelta != nil {
		t.Errorf("answered before entry 6 was applied: %+v, %v", r, err)
	}
	d.tick(stallTicks)
	if d.Leads() || d.host.node.Role() == raft.Leader || !d.Status().DiskFails {
		t.Error("the member still leads, or reports no disk failure, while its disk stalls")
	}
	d.takeSent()
	d.receive(reply)
	d.requireNothingSent("while the disk stalls")
	d.endWrite(nil)
	if s := d.Status(); s.DiskFails {
		t.Errorf("status once the disk responds: %+v", s)
	}
}

// heartbeatsIn counts the heartbeats to member 2 during a number of ticks.
func (d *slowDiskMember) heartbeatsIn(ticks int) int {
	heartbeats := 0
	for range ticks / heartbeatTicks {
		d.tick(heartbeatTicks)
		for _, m := range d.takeSent() {
			if m.Kind == raft.AppendEntries && len(m.Entries) == 0 {
				heartbeats++
			}
		}
	}
	return heartbeats
}

// A candidate with a slow disk requests votes only once its own vote is stored. It starts no further
// election meanwhile.
func TestCandidateWaitsForItsVoteToBeStored(t *testing.T) {
	t.Parallel()
	d := newSlowDiskMember(t)
	d.awaitCandidate()
	d.takeSent()
	term := d.host.node.Term() + 1
	d.receive(raft.Message{Kind: raft.PreVoteReply, Term: term})
	d.awaitWrite()
	d.tick(stallTicks - 1)
	d.endWrite(nil)
	sent := d.takeSent()
	if len(sent) != 1 || sent[0].Kind != raft.VoteRequest || sent[0].Term != term {
		t.Errorf("sent in term %d: %+v", term, sent)
	}
	if got := d.host.node.Term(); got != term {
		t.Errorf("term %d, want %d", got, term)
	}
}

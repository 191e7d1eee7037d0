package controlplane

import (
	"context"
	"errors"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// slowDisk is a member whose writes wait until the test lets them go on. What it sends stays in
// its send queues.
type slowDisk struct {
	*Core
	Store
	t       *testing.T
	writing chan struct{} // an element is taken when a write begins
	result  chan error    // of the write
	done    chan struct{} // closed when the test ends
}

// Save waits for the test.
func (d *slowDisk) Save(r raft.Ready) error {
	select {
	case d.writing <- struct{}{}:
	case <-d.done:
		return errors.New("the test is over")
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

func newSlowDisk(t *testing.T) *slowDisk {
	t.Helper()
	core, store := mustOpenMember(t)
	d := &slowDisk{
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

// newSlowFollower follows member 2, and has written its term.
func newSlowFollower(t *testing.T) *slowDisk {
	t.Helper()
	d := newSlowDisk(t)
	d.receive(heartbeat(3))
	d.write()
	d.sent()
	return d
}

func heartbeat(round uint64) raft.Message {
	return raft.Message{Kind: raft.AppendEntries, Index: 5, LogTerm: 1, Round: round}
}

// receive has messages of member 2 come.
func (d *slowDisk) receive(messages ...raft.Message) {
	d.t.Helper()
	deliverFrom(d.t, d.Core, 2, messages...)
}

// sent takes what waits to be sent to member 2.
func (d *slowDisk) sent() []raft.Message {
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

// requireNothingSent requires that nothing waits to be sent to member 2.
func (d *slowDisk) requireNothingSent(when string) {
	d.t.Helper()
	if sent := d.sent(); len(sent) != 0 {
		d.t.Errorf("%s it sends %+v", when, sent)
	}
}

// awaitWrite waits until a write begins.
func (d *slowDisk) awaitWrite() { <-d.writing }

// endWrite ends a write that has begun, and waits until nothing is handled any more.
func (d *slowDisk) endWrite(result error) {
	d.result <- result
	d.lifecycle.tasks.Wait()
}

// write lets one write go on.
func (d *slowDisk) write() {
	d.awaitWrite()
	d.endWrite(nil)
}

// tick has ticks pass as Run does.
func (d *slowDisk) tick(n int) {
	for range n {
		d.mu.Lock()
		d.host.tick()
		d.host.handleReady()
		d.mu.Unlock()
	}
}

// While a follower waits for its disk it answers heartbeats and callers. What it is sent
// meanwhile it acknowledges only once that is on disk.
func TestHeartbeatsDoNotWaitForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowFollower(t)
	d.receive(appendMessage(0, raft.Entry{Index: 6, Term: peerTerm}))
	d.awaitWrite()
	d.receive(heartbeat(4))
	sent := d.sent()
	if len(sent) != 1 || sent[0].Kind != raft.AppendEntriesReply || sent[0].Round != 4 || sent[0].Index != 5 {
		t.Errorf("while the disk writes it sends %+v", sent)
	}
	if s := d.Status(); s.Revision != 3 || s.DiskFails {
		t.Errorf("while the disk writes its status is %+v", s)
	}
	d.endWrite(nil)
	if sent = d.sent(); len(sent) != 1 || sent[0].Index != 6 {
		t.Errorf("when it has written it sends %+v", sent)
	}
}

// A vote must be durable as well: it is sent once it is on disk.
func TestVoteWaitsForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowFollower(t)
	d.receive(appendMessage(0, raft.Entry{Index: 6, Term: peerTerm}))
	d.write()
	d.tick(2 * electionTicks) // else it stays with its leader
	d.sent()
	d.receive(raft.Message{
		Kind:               raft.VoteRequest,
		Term:               9,
		Index:              6,
		LogTerm:            peerTerm,
		LeadershipTransfer: true,
	})
	d.awaitWrite()
	d.requireNothingSent("before its vote is on disk")
	d.endWrite(errors.New("full"))
	d.requireNothingSent("when the disk has refused")
	if !d.Status().DiskFails {
		t.Error("the status says nothing of the disk")
	}
	d.tick(1)
	d.write()
	sent := d.sent()
	if len(sent) == 0 || sent[0].Kind != raft.VoteReply || sent[0].Reject {
		t.Errorf("when its vote is on disk it sends %+v", sent)
	}
	if d.Status().DiskFails {
		t.Error("the status says that the disk still fails")
	}
}

// awaitCandidate has ticks pass until the member is a candidate.
func (d *slowDisk) awaitCandidate() {
	for d.host.node.Role() != raft.Candidate {
		d.tick(1)
	}
}

// becomeLeader makes the member the leader of a term, which it returns.
func (d *slowDisk) becomeLeader() uint64 {
	d.t.Helper()
	d.awaitCandidate()
	term := d.host.node.Term() + 1
	d.receive(raft.Message{Kind: raft.PreVoteReply, Term: term})
	d.write()
	d.receive(raft.Message{Kind: raft.VoteReply, Term: term})
	if d.host.node.Role() != raft.Leader {
		d.t.Fatal("it does not lead")
	}
	return term
}

// A leader that waits for its disk goes on with its heartbeats, and answers nothing from what
// the others have committed meanwhile before it has applied that itself. One whose disk keeps
// it waiting too long steps down, and takes part again when the disk answers.
func TestLeaderStepsDownWhenItsDiskStalls(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	term := d.becomeLeader()
	d.awaitWrite() // of its first entry, 6
	if sent := d.heartbeatsIn(3 * heartbeatTicks); sent < 2 {
		t.Errorf("%d heartbeats while the disk writes", sent)
	}
	// The two others have it: it is committed.
	reply := raft.Message{Kind: raft.AppendEntriesReply, Term: term, Index: 6, Round: 1 << 20}
	d.receive(reply)
	if d.host.node.AppliedIndex() >= 6 {
		t.Fatal("applied before it is on disk")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if r, err := d.Watch(canceled, &api.WatchRequest{}); err != nil || r.Lease || r.ConfigDelta != nil {
		t.Errorf("answered before it is applied: %+v, %v", r, err)
	}
	d.tick(stallTicks)
	if d.Leads() || d.host.node.Role() == raft.Leader || !d.Status().DiskFails {
		t.Error("it leads though its disk doesn't answer")
	}
	d.sent()
	d.receive(reply)
	d.requireNothingSent("without a disk")
	d.endWrite(nil)
	if s := d.Status(); s.DiskFails {
		t.Errorf("once the disk answers its status is %+v", s)
	}
}

// heartbeatsIn counts the heartbeats that member 2 is sent in so many ticks.
func (d *slowDisk) heartbeatsIn(ticks int) int {
	heartbeats := 0
	for range ticks / heartbeatTicks {
		d.tick(heartbeatTicks)
		for _, m := range d.sent() {
			if m.Kind == raft.AppendEntries && len(m.Entries) == 0 {
				heartbeats++
			}
		}
	}
	return heartbeats
}

// A candidate whose disk is slow waits for its vote to be stored, and asks for others' then: it
// begins no further election meanwhile.
func TestCandidateWaitsForItsVoteToBeStored(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	d.awaitCandidate()
	d.sent()
	term := d.host.node.Term() + 1
	d.receive(raft.Message{Kind: raft.PreVoteReply, Term: term})
	d.awaitWrite()
	d.tick(stallTicks - 1)
	d.endWrite(nil)
	sent := d.sent()
	if len(sent) != 1 || sent[0].Kind != raft.VoteRequest || sent[0].Term != term {
		t.Errorf("in term %d it sends %+v", term, sent)
	}
	if got := d.host.node.Term(); got != term {
		t.Errorf("term %d, not %d", got, term)
	}
}

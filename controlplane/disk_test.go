package controlplane

import (
	"cmp"
	"context"
	"errors"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// slowDisk is a member whose writes wait until the test lets them go on; what it sends is
// kept in its send queues.
type slowDisk struct {
	*Core
	Store
	t       *testing.T
	entered chan struct{}
	result  chan error
	over    chan struct{}
}

// Save waits for the test.
func (d *slowDisk) Save(r raft.Ready) error {
	select {
	case d.entered <- struct{}{}:
	case <-d.over:
		return errors.New("the test is over")
	}
	select {
	case err := <-d.result:
		if err != nil {
			return err
		}
	case <-d.over:
	}
	return d.Store.Save(r)
}

func newSlowDisk(t *testing.T) *slowDisk {
	c, store := mustOpenMember(t)
	d := &slowDisk{c, store, t, make(chan struct{}), make(chan error), make(chan struct{})}
	c.cfg.Store = d
	c.lifecycle.ctx = t.Context()
	for _, to := range []raft.ID{2, 3} {
		for _, bulk := range []bool{false, true} {
			c.transport.queues[queueKey{to, bulk}] = newSendQueue(bulk)
		}
	}
	t.Cleanup(func() {
		close(d.over)
		c.lifecycle.tasks.Wait()
	})
	return d
}

// get has messages of member 2 come.
func (d *slowDisk) get(ms ...raft.Message) {
	d.t.Helper()
	for i := range ms {
		ms[i].From, ms[i].To, ms[i].Term = 2, 1, cmp.Or(ms[i].Term, 4)
	}
	if _, err := d.Deliver(d.t.Context(), &api.DeliverRequest{From: 2, Addr: "b", Messages: ms}); err != nil {
		d.t.Fatal(err)
	}
}

// sent takes what waits to be sent to member 2.
func (d *slowDisk) sent() (out []raft.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, bulk := range []bool{false, true} {
		l := d.transport.queues[queueKey{2, bulk}]
		out = append(out, l.take()...)
		l.done()
	}
	return out
}

// write lets one write go on.
func (d *slowDisk) write() {
	<-d.entered
	d.result <- nil
}

// rest waits until nothing is handled any more.
func (d *slowDisk) rest() { d.lifecycle.tasks.Wait() }

// tick has ticks pass as Run does.
func (d *slowDisk) tick(n int) {
	for range n {
		d.mu.Lock()
		d.host.tick()
		d.host.handleReady()
		d.mu.Unlock()
	}
}

func entry(index, term uint64, data []byte) raft.Message {
	return raft.Message{
		Kind:    raft.AppendEntries,
		Index:   index - 1,
		LogTerm: 1,
		Entries: []raft.Entry{{Index: index, Term: term, Data: data}},
	}
}

// While a follower waits for its disk it answers heartbeats and callers; what it has been
// sent meanwhile it acknowledges only once that is on disk.
func TestHeartbeatsDoNotWaitForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	heartbeat := raft.Message{Kind: raft.AppendEntries, Index: 5, LogTerm: 1, Round: 3}
	d.get(heartbeat)
	d.write() // its new term
	d.rest()
	d.sent()
	d.get(entry(6, 4, nil))
	<-d.entered
	heartbeat.Round = 4
	d.get(heartbeat)
	out := d.sent()
	if len(out) != 1 || out[0].Kind != raft.AppendEntriesReply || out[0].Round != 4 || out[0].Index != 5 {
		t.Errorf("while the disk writes: %+v", out)
	}
	if s := d.Status(); s.Revision != 3 || s.DiskFails {
		t.Errorf("%+v", s)
	}
	d.result <- nil
	d.rest()
	if out = d.sent(); len(out) != 1 || out[0].Index != 6 {
		t.Errorf("when it has written: %+v", out)
	}
}

// A vote is sent only once it is on disk, also where the disk fails at first.
func TestVoteWaitsForTheDisk(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	d.get(raft.Message{Kind: raft.AppendEntries, Index: 5, LogTerm: 1, Round: 3})
	d.write() // its new term
	d.rest()
	d.get(entry(6, 4, nil))
	d.write()
	d.rest()
	d.tick(2 * electionTicks) // else it stays with its leader
	d.sent()
	d.get(raft.Message{Kind: raft.VoteRequest, Term: 9, Index: 6, LogTerm: 4, LeadershipTransfer: true})
	<-d.entered
	out := d.sent()
	if len(out) != 0 {
		t.Errorf("before its vote is on disk: %+v", out)
	}
	d.result <- errors.New("full")
	d.rest()
	if out = d.sent(); len(out) != 0 || !d.Status().DiskFails {
		t.Errorf("when the disk has refused: %+v", out)
	}
	d.tick(1)
	d.write()
	d.rest()
	if out = d.sent(); len(out) == 0 || out[0].Kind != raft.VoteReply || out[0].Reject || d.Status().DiskFails {
		t.Errorf("when it has taken it: %+v", out)
	}
}

// lead makes the member the leader of a term.
func (d *slowDisk) lead() uint64 {
	d.t.Helper()
	for d.host.node.Role() != raft.Candidate {
		d.tick(1)
	}
	term := d.host.node.Term() + 1
	d.get(raft.Message{Kind: raft.PreVoteReply, Term: term})
	d.write()
	d.rest()
	d.get(raft.Message{Kind: raft.VoteReply, Term: term})
	if d.host.node.Role() != raft.Leader {
		d.t.Fatal("it does not lead")
	}
	return term
}

// A leader that waits for its disk goes on sending heartbeats, and says nothing of what the others
// have agreed on meanwhile before it has applied it itself. One whose disk keeps it
// waiting too long gives up its lead, and takes part again when the disk answers.
func TestLeaderStepsDownWhenItsDiskStalls(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	term := d.lead()
	<-d.entered // its first entry, 6
	heartbeats := 0
	for range 3 {
		d.tick(heartbeatTicks)
		for _, m := range d.sent() {
			if m.Kind == raft.AppendEntries && len(m.Entries) == 0 {
				heartbeats++
			}
		}
	}
	if heartbeats < 2 {
		t.Errorf("%d heartbeats while the disk writes", heartbeats)
	}
	// Agreed on by the two others with it: the other's disk and, later, this one's.
	reply := raft.Message{Kind: raft.AppendEntriesReply, Term: term, Index: 6, Round: 1 << 20}
	d.get(reply)
	if d.host.node.AppliedIndex() >= 6 {
		t.Fatal("applied before it is on disk")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if n, err := d.Watch(ctx, &api.WatchRequest{}); err != nil || n.Lease || n.ConfigDelta != nil {
		t.Errorf("answered before it is applied: %+v, %v", n, err)
	}
	d.tick(stallTicks)
	if d.Leads() || d.host.node.Role() == raft.Leader || !d.Status().DiskFails {
		t.Error("it leads though its disk doesn't answer")
	}
	d.sent()
	d.get(reply)
	if out := d.sent(); len(out) != 0 {
		t.Errorf("without a disk it says %+v", out)
	}
	d.result <- nil
	d.rest()
	if s := d.Status(); s.DiskFails {
		t.Errorf("%+v", s)
	}
}

// A candidate whose disk is slow waits for its vote to be stored, and asks for others'
// then: it begins no further election meanwhile.
func TestCandidateWaitsForItsVoteToBeStored(t *testing.T) {
	t.Parallel()
	d := newSlowDisk(t)
	for d.host.node.Role() != raft.Candidate {
		d.tick(1)
	}
	d.sent()
	term := d.host.node.Term() + 1
	d.get(raft.Message{Kind: raft.PreVoteReply, Term: term})
	<-d.entered
	d.tick(stallTicks - 1)
	d.result <- nil
	d.rest()
	out := d.sent()
	if len(out) != 1 || out[0].Kind != raft.VoteRequest || out[0].Term != term || d.host.node.Term() != term {
		t.Errorf("term %d, not %d: %+v", d.host.node.Term(), term, out)
	}
}

package controlplane

import (
	"errors"
	"fmt"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// forgetful is a store that is found corrupt by a Save or a Compact.
type forgetful struct {
	Store
	save, compact error
}

func (s *forgetful) Save(r raft.Ready) error {
	if s.save != nil {
		return s.save
	}
	return s.Store.Save(r)
}

func (s *forgetful) Compact(snap raft.Snapshot) error {
	if s.compact != nil {
		return s.compact
	}
	return s.Store.Compact(snap)
}

// A member whose store is found corrupt while it runs promises and answers nothing from
// then on, and Run ends with it, so that another can begin in its place. Another failure
// of the disk ends nothing. (Before, Run went on, and the member was silent.)
func TestStoreLostEndsTheMember(t *testing.T) {
	t.Parallel()
	lost := fmt.Errorf("opening it again: %w", storage.ErrCorrupt)
	for name, c := range map[string]struct {
		disk forgetful
		ends bool
	}{
		"save":             {forgetful{save: lost}, true},
		"compact":          {forgetful{compact: lost}, true},
		"the disk is full": {forgetful{save: errors.New("no space")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			m, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
			if err != nil {
				t.Fatal(err)
			}
			disk := c.disk
			disk.Store = m.cfg.Store
			m.cfg.Store = &disk
			var es []raft.Entry
			for i := range uint64(200) { // a snapshot is due
				es = append(es, raft.Entry{Index: 6 + i, Term: 4})
			}
			if _, err := m.Deliver(t.Context(), &api.DeliverRequest{From: 2, Addr: "b", Messages: []raft.Message{
				{Kind: raft.AppendEntries, From: 2, To: 1, Term: 4, Index: 5, LogTerm: 1, Commit: 205, Entries: es}}}); err != nil {
				t.Fatal(err)
			}
			if m.host.suspended != (c.disk.save != nil || c.ends) {
				t.Errorf("it goes on answering: %v", !m.host.suspended)
			}
			if !c.ends {
				if m.host.lostDurability != nil || m.host.stopReason != "" {
					t.Errorf("ended by %v, %q", m.host.lostDurability, m.host.stopReason)
				}
				return
			}
			if s := m.Status(); s.Halted == "" || s.DiskFails || m.host.node.Role() == raft.Leader {
				t.Errorf("%+v", s)
			}
			if err := m.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) {
				t.Errorf("Run ends with %v", err)
			}
			if k, err := m.ReadIndex(t.Context(), &api.Empty{}); err != nil || k.OK {
				t.Errorf("a member is answered: %+v, %v", k, err)
			}
		})
	}
}

// A member that the leader tells that it has less than it acknowledged ends likewise: its
// disk is one of earlier. Nobody but its leader is believed.
func TestOlderDiskEndsTheMember(t *testing.T) {
	t.Parallel()
	m, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	deliver := func(msg raft.Message) {
		t.Helper()
		msg.To, msg.Term = 1, 4
		if _, err := m.Deliver(t.Context(), &api.DeliverRequest{From: msg.From, Addr: "b", Messages: []raft.Message{msg}}); err != nil {
			t.Fatal(err)
		}
	}
	deliver(raft.Message{Kind: raft.AppendEntries, From: 2, Index: 9, LogTerm: 4, Round: 3})
	if deliver(raft.Message{Kind: raft.DurabilityLost, From: 3}); m.host.lostDurability != nil {
		t.Error("it believes another than its leader")
	}
	deliver(raft.Message{Kind: raft.DurabilityLost, From: 2})
	if err := m.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) || m.host.stopReason == "" {
		t.Errorf("Run ends with %v, %q", err, m.host.stopReason)
	}
}

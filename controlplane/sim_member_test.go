package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

func (w *world) restore(m *member, data []byte) {
	m.state = State{}
	if len(data) == 0 {
		return
	}
	if err := cbor.Unmarshal(data, &m.state); err != nil {
		panic(err)
	}
}

// save is what the disk has after a Save of the log's store: all of it or nothing.
func (w *world) save(id raft.ID, r raft.Ready) {
	d := w.disks[id]
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		d.Snapshot, d.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(slices.Clone(d.Entries[:keep]), r.Entries...)
	}
}

// carry has a member store, send and apply what is ready.
func (w *world) carry(id raft.ID) {
	m := w.members[id]
	for {
		r := m.node.Ready()
		if r.Empty() {
			break
		}
		if r.MustSync() {
			if w.losses && w.chance(400) { // power is lost before the sync: nothing of it is kept
				w.die(id)
				return
			}
			if w.fault == "promises before the disk has it" {
				m.unsynced = append(m.unsynced, r)
			} else {
				w.save(id, r)
			}
			if w.losses && w.chance(800) { // and after it
				w.die(id)
				return
			}
		}
		w.net = append(w.net, r.Messages...)
		if r.Snapshot != nil {
			w.restore(m, r.Snapshot.Data)
		}
		news := false
		for _, e := range r.CommittedEntries {
			news = w.apply(m, e) || news
		}
		m.node.Advance(r)
		if news && m.node.Role() == raft.Leader && w.chance(30) {
			w.answer(id) // what was acknowledged was acknowledged; then power is lost
			if w.members[id] == m {
				w.closing(id)
			}
			return
		}
	}
	if len(m.unsynced) > 0 && w.rng.IntN(4) == 0 {
		for _, r := range m.unsynced {
			w.save(id, r)
		}
		m.unsynced = nil
	}
	if a := m.node.AppliedIndex(); w.losses && a%snapAt == 0 && a > m.node.SnapshotIndex() && len(m.unsynced) == 0 {
		data, err := cbor.Marshal(m.state)
		if err != nil {
			panic(err)
		}
		if s := m.node.Compact(a, data); s != nil {
			d := w.disks[id]
			d.Entries, d.Snapshot = slices.Clone(d.Entries[s.Index-d.Snapshot.Index:]), *s
		}
	}
}

// apply is the register's, or that of one with a fault in it. It notes what was taken.
func (w *world) apply(m *member, e raft.Entry) bool {
	before := m.state.Revision
	if w.fault == "judged before it is proposed, and not again" && len(e.Data) > 0 {
		var p replaceCommand
		if err := cbor.Unmarshal(e.Data, &p); err != nil {
			panic(err)
		}
		m.state.Revision, m.state.Compressed = p.Revision, p.Compressed
		m.state.Applied = append(m.state.Applied, appliedRevision{p.Revision, p.fingerprint()})
		if c := m.calls[e.Index]; c != nil && c.term == e.Term {
			delete(m.calls, e.Index)
			c.answer = &api.ControlResponse{Status: http.StatusOK}
		}
	} else {
		if c := m.calls[e.Index]; c != nil && w.fault == "answered by another's entry" {
			c.term = e.Term
		}
		if !m.apply(e) {
			return false
		}
	}
	if m.state.Revision == before {
		return false
	}
	t := m.state.Applied[len(m.state.Applied)-1]
	w.note(version{before, t.Revision, t.fingerprint, w.tick()})
	switch {
	case w.fault == "four versions remembered":
		m.state.Applied = slices.Clone(m.state.Applied[max(0, len(m.state.Applied)-4):])
	default:
		m.state.trimApplied(w.remembered)
	}
	return true
}

// note has what a member takes follow on what was taken before, or be it.
func (w *world) note(v version) {
	i, known := w.version(v.revision)
	switch {
	case known && (w.chain[i].print != v.print || w.chain[i].base != v.base):
		w.torn = fmt.Errorf("a member takes %d on top of %d, another one took another on top of %d", v.revision, v.base, w.chain[i].base)
	case known:
	case i < len(w.chain):
		w.torn = fmt.Errorf("a member takes %d, and %d was taken before", v.revision, w.chain[len(w.chain)-1].revision)
	default:
		if n := len(w.chain); n > 0 && w.chain[n-1].revision != v.base {
			w.torn = fmt.Errorf("%d is taken on top of %d, while %d was current", v.revision, v.base, w.chain[n-1].revision)
		}
		w.chain = append(w.chain, v)
	}
}

func (w *world) version(revision uint64) (int, bool) {
	return slices.BinarySearchFunc(w.chain, revision, func(v version, r uint64) int { return cmp.Compare(v.revision, r) })
}

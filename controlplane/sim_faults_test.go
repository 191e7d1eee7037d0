package controlplane

import (
	"slices"

	"example.org/elmspan/raft"
)

func (w *world) die(id raft.ID) {
	delete(w.members, id)
	delete(w.frozen, id)
}

// closing is a fault right after an acknowledgement at a leader.
func (w *world) closing(id raft.ID) {
	if !w.losses {
		w.die(id)
		return
	}
	whole := w.whole(w.members[id])
	switch w.rng.IntN(4) {
	case 0:
		w.die(id)
	case 1: // all lose power
		clear(w.members)
	case 2: // one disk is lost while all others lose power
		clear(w.members)
		fallthrough
	case 3: // one disk is lost
		w.die(id)
		if whole {
			w.wipe(slices.Index(w.slots, id))
		}
	}
}

// wipe takes a machine's disk away: what starts there is another member.
func (w *world) wipe(slot int) {
	old := w.slots[slot]
	w.die(old)
	if w.fault == "a wiped member under its old id" {
		*w.disks[old] = raft.PersistentState{Snapshot: raft.Snapshot{Members: w.disks[w.slots[(slot+1)%coreSize]].Snapshot.Members}}
		w.start(old)
		return
	}
	delete(w.disks, old)
	w.next++
	w.slots[slot] = w.next
	w.disks[w.next] = &raft.PersistentState{}
	w.start(w.next)
}

// isolate cuts a member off: what it says, what it hears, or both.
func (w *world) isolate(id raft.ID, says, hears bool) {
	for _, o := range w.slots {
		if o != id {
			w.deaf[[2]raft.ID{id, o}] = says
			w.deaf[[2]raft.ID{o, id}] = hears
		}
	}
}

// strike has something happen.
func (w *world) strike() {
	slot := w.rng.IntN(len(w.slots))
	one, other := w.slots[slot], w.slots[w.rng.IntN(len(w.slots))]
	switch w.rng.IntN(60) {
	case 0:
		w.die(one)
	case 1, 2, 3:
		w.deaf[[2]raft.ID{one, other}] = true
	case 4: // a leader is cut off
		for _, id := range w.ids() {
			if w.members[id].node.Role() == raft.Leader {
				w.isolate(id, w.rng.IntN(2) == 0, true)
			}
		}
	case 5, 6:
		clear(w.deaf)
		clear(w.slow)
	case 7:
		w.frozen[one] = 20 + w.rng.IntN(60)
	case 8, 9, 10, 11:
		if w.members[one] == nil {
			w.start(one)
		}
	case 12:
		clear(w.members) // all lose power
		clear(w.frozen)
		for _, id := range w.slots {
			w.start(id)
		}
	case 13:
		if w.losses {
			w.slow[[2]raft.ID{one, other}] = true
		}
	case 14: // for 20 s, the leader rather than another
		if l := w.leader(); l != 0 && w.rng.IntN(2) == 0 {
			one = l
		}
		if w.losses && len(w.cut) == 0 {
			w.cut[one] = w.now + longCut
		}
	case 15, 16, 17, 18:
		if l := w.leader(); w.losses && l != 0 && len(w.cut) == 0 && w.whole(w.members[l]) {
			w.wipe(slot)
		}
	}
}

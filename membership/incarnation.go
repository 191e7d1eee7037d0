package membership

import (
	"slices"
	"time"

	"example.org/elmspan/api"
)

// overrides reports whether statement a about a process holds over statement b.
func overrides(a, b api.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	// Two starts of a process that chose the same incarnation: all agree on one of them, and
	// that start, if it has ended, is overridden when the other refutes it.
	return a.StartID > b.StartID
}

// Merge takes in the statements of another process. It reports whether any of them changed the
// view.
func (v *View) Merge(now time.Duration, peers []api.Peer) bool {
	changed := false
	for _, p := range peers {
		if p.Name == "" || p.Addr == "" || p.State > Dead {
			continue
		}
		if p.Name == v.self.Name {
			changed = v.refute(p) || changed
		} else {
			changed = v.mergePeer(now, p) || changed
		}
	}
	return changed
}

// refute overrides a statement about this process that is wrong: one about an earlier start,
// or one that declares it leaving or dead.
func (v *View) refute(p api.Peer) bool {
	if p.Incarnation < v.self.Incarnation {
		return false
	}
	if p.StartID == v.self.StartID && p.State <= v.self.State {
		return false
	}
	v.updateSelf(func(self *api.Peer) { self.Incarnation = p.Incarnation + 1 })
	return true
}

func (v *View) mergePeer(now time.Duration, p api.Peer) bool {
	r := v.peers[p.Name]
	switch {
	case r == nil:
		// A dead process that is not known here is not learned of: otherwise those who have
		// forgotten it would learn of it again and again.
		if p.State == Dead || len(v.peers) >= maxPeers {
			return false
		}
	case !overrides(p, r.Peer):
		return false
	}
	v.store(now, p)
	return true
}

// Leave states that this process is leaving.
func (v *View) Leave() {
	v.updateSelf(func(self *api.Peer) {
		self.State = Leaving
		self.Incarnation++
	})
}

// updateSelf changes what this process states about itself.
func (v *View) updateSelf(update func(*api.Peer)) {
	old := v.self
	update(&v.self)
	v.replaceStatement(&old, &v.self)
}

// store replaces what is known of another process.
func (v *View) store(now time.Duration, p api.Peer) {
	r := v.peers[p.Name]
	var old *api.Peer
	if r == nil {
		r = &peerRecord{heartbeatAt: now, deadAt: now}
		v.peers[p.Name] = r
	} else {
		previous := r.Peer
		old = &previous
		v.noteTransition(now, r, p)
	}
	r.Peer = p
	if p.State == Dead {
		v.dead++
	}
	v.replaceStatement(old, &r.Peer)
	v.recent = append(v.recent, change{p.Name, now})
	if excess := len(v.recent) - maxRecentChanges; excess > 0 {
		v.recent = slices.Delete(v.recent, 0, excess)
	}
}

// noteTransition sets a record's times for a new statement.
func (v *View) noteTransition(now time.Duration, r *peerRecord, p api.Peer) {
	if p.State == Dead && r.State != Dead {
		r.deadAt = now
	}
	if p.State != Dead && (r.State == Dead || r.StartID != p.StartID) {
		r.heartbeatAt = now // it gets the full time-out from now on
	}
	if r.State == Dead {
		v.dead--
	}
}

// replaceStatement updates what is derived from statements: the changes, the digests and the
// ring. nil stands for no statement.
func (v *View) replaceStatement(old, next *api.Peer) {
	v.ChangeCount++
	for _, p := range []*api.Peer{old, next} {
		if p == nil {
			continue
		}
		v.changedNames[p.Name] = true
		if p.State != Dead { // the dead are forgotten at different times, so digests leave them out
			v.bucketDigests[bucketOf(p.Name)] ^= peerDigest(*p)
		}
	}
	wasOnRing, isOnRing := old != nil && old.State != Dead, next != nil && next.State != Dead
	switch {
	case wasOnRing && !isOnRing:
		v.removeFromRing(old.Name)
	case isOnRing && !wasOnRing:
		v.addToRing(next.Name)
	}
}

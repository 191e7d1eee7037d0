package membership

import (
	"slices"
	"time"

	"example.org/elmspan/api"
)

// overrides reports whether statement a takes precedence over statement b about the same process.
func overrides(a, b api.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	// Two starts of a process may use the same incarnation. The tie-break makes all views agree
	// on one of them. If that start has ended, the running one refutes its statement.
	return a.StartID > b.StartID
}

// Merge applies statements received from another process. It reports whether any of them
// changed the view.
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

// refute raises the incarnation of this process if p is a false statement about it that its own
// statement does not override already. A statement is false if it is about another start of the
// process or has a higher state than its own. It reports whether it raised the incarnation.
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

// mergePeer applies a statement about another process. It reports whether the view changed.
func (v *View) mergePeer(now time.Duration, p api.Peer) bool {
	r := v.peers[p.Name]
	switch {
	case r == nil:
		// Dead processes without an entry are ignored. Otherwise views that have already
		// removed the entry would get it back from views that have not.
		if p.State == Dead || len(v.peers) >= maxPeers {
			return false
		}
	case !overrides(p, r.Peer):
		return false
	}
	v.store(now, p)
	return true
}

// Leave sets the state of this process to [Leaving].
func (v *View) Leave() {
	v.updateSelf(func(self *api.Peer) {
		self.State = Leaving
		self.Incarnation++
	})
}

// updateSelf changes the statement of this process about itself.
func (v *View) updateSelf(update func(*api.Peer)) {
	old := v.self
	update(&v.self)
	v.replaceStatement(&old, &v.self)
}

// store creates or replaces the entry of another process.
func (v *View) store(now time.Duration, p api.Peer) {
	r := v.peers[p.Name]
	var old *api.Peer
	if r == nil {
		r = &peerRecord{heartbeatAt: now, deadAt: now}
		v.peers[p.Name] = r
	} else {
		previous := r.Peer
		old = &previous
		v.updateTimes(now, r, p)
	}
	r.Peer = p
	if p.State == Dead {
		v.deadCount++
	}
	v.replaceStatement(old, &r.Peer)
	v.recent = append(v.recent, change{p.Name, now})
	if excess := len(v.recent) - maxRecentChanges; excess > 0 {
		v.recent = slices.Delete(v.recent, 0, excess)
	}
}

// updateTimes updates the times of a record, and the count of dead processes, before a new
// statement replaces its current one.
func (v *View) updateTimes(now time.Duration, r *peerRecord, p api.Peer) {
	if p.State == Dead && r.State != Dead {
		r.deadAt = now
	}
	if p.State != Dead && (r.State == Dead || r.StartID != p.StartID) {
		r.heartbeatAt = now // restart the failure timeout
	}
	if r.State == Dead {
		v.deadCount--
	}
}

// replaceStatement updates the state derived from statements (change tracking, digests and
// ring) when next replaces old. Either may be nil: no statement.
func (v *View) replaceStatement(old, next *api.Peer) {
	v.ChangeCount++
	for _, p := range []*api.Peer{old, next} {
		if p == nil {
			continue
		}
		v.changedNames[p.Name] = true
		if p.State != Dead { // digests exclude the dead, whose entries are removed at different times
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

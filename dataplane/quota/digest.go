package quota

import "slices"

// Digest summarizes the usage and the live sets of a group. The group's reporters send it to
// limiters of other groups.
type Digest struct {
	Level     GroupingLevel  // grouping level of the sender; 0: no digest
	Primary   bool           // the sender is the receiver's primary reporter, preferred to the backup
	LiveCount int            // limiters of the group that the sender receives from, including itself
	LiveSet   uint32         // XOR of the fingerprints of these limiters
	Classes   []SharingClass // of the group, largest first, at most maxReportedClasses
	Consumed  []Usage        // by the whole group since the sender's start
}

// ReportDigest returns the digest of this limiter's group. Consumed is out with the reports that
// are due appended, as in [Enforcer.ReportUsage]. Classes is valid until the next call of the
// enforcer. The sender sets Primary for each receiver.
func (e *Enforcer) ReportDigest(now float64, out []Usage) Digest {
	e.currentShare(now)
	s := &e.sharing
	d := Digest{Level: e.level, LiveCount: s.liveCount, LiveSet: s.groupLiveSet, Classes: s.classes, Consumed: out}
	for id, t := range e.groupUnreported {
		if !t.groupAdmitted.due() && !e.repeatsLow(now, t, &t.groupAdmitted) {
			delete(e.groupUnreported, id)
			continue
		}
		d.Consumed = e.appendDue(now, d.Consumed, id, t, &t.groupAdmitted, groupRelaxedIntervalMs)
	}
	return d
}

// ReceiveDigest processes a digest from a reporter of another group. Digests from a limiter with
// another grouping level are ignored: until all limiters have the same member list, quotas are used
// less than fully, but are not exceeded.
func (e *Enforcer) ReceiveDigest(now float64, from, incarnation uint64, ageMs float64, d Digest) {
	g := e.groupOf(from, d.Level)
	if g == nil {
		return
	}
	r := g.reporterFor(now, from, incarnation, ageMs)
	if now-r.lastReceived > e.livenessTimeout() {
		// Forget the reporter's totals: the units that it counted while nothing was received from
		// it were drawn from the digests of the other reporter, or were admitted out of the shares
		// of its own group.
		r.usage.clear()
		clear(r.undrawn)
	}
	r.lastReceived = now
	e.recordDigest(now, r, ageMs, d.Consumed)
	live := e.groupLive(now, g)
	r.updateCoverage(now, g, from, d)
	if live && g.activeReporter != from && !g.shouldSwitch(now, r, d) {
		return
	}
	e.useDigest(now, g, from, live, d)
	e.drawDigest(now, g, r)
}

// groupOf returns the other group that a sender of digests at the given level reports for, or nil
// if the sender may not report to this limiter.
func (e *Enforcer) groupOf(from uint64, level GroupingLevel) *group {
	p := e.peers[from]
	if e.level == 0 || level != e.level || p == nil || e.sameGroup(p.Member) {
		return nil
	}
	return e.groups[e.level.Group(p.Member)]
}

// reporterFor returns the state of a reporter. A new incarnation starts with a new state.
func (g *group) reporterFor(now float64, from, incarnation uint64, ageMs float64) *reporter {
	r := g.reporters[from]
	if r != nil && r.incarnation == incarnation {
		return r
	}
	g.reporters[from] = &reporter{
		incarnation:  incarnation,
		lastReceived: now,
		undrawn:      map[uint64]uint64{},
		// If the active reporter has just restarted, all its units are new.
		firstTotalIsNew: r != nil && g.activeReporter == from && ageMs <= newPeerMs,
	}
	return g.reporters[from]
}

// recordDigest adds the new units of a digest to the undrawn units of its reporter. The first total
// of a tenant is only a baseline, unless firstTotalIsNew is set.
func (e *Enforcer) recordDigest(now float64, r *reporter, ageMs float64, consumed []Usage) {
	for _, u := range consumed {
		t := e.tenants[u.Tenant]
		if t == nil {
			continue
		}
		e.inherit(now, t, ageMs, u.FillLevel)
		if units, known := r.usage.update(t.row, u.Units); (known || r.firstTotalIsNew) && units > 0 {
			r.undrawn[u.Tenant] += units
		}
	}
}

// updateCoverage records since when a reporter receives from more limiters of its group than the
// active reporter does.
func (r *reporter) updateCoverage(now float64, g *group, from uint64, d Digest) {
	switch {
	case g.activeReporter == from || d.LiveCount <= g.liveCount:
		r.widerCoverageSince = 0
	case r.widerCoverageSince == 0:
		r.widerCoverageSince = now
	}
}

// shouldSwitch reports whether the sender of a digest replaces the active reporter of a live group.
// It must receive from at least as many limiters of the group. In addition, it must be the primary
// reporter while the active one is the backup, or must have received from more limiters for
// liveSetGraceMs. Without the switch, the units of a limiter that only the other reporter receives
// from would not be drawn.
func (g *group) shouldSwitch(now float64, r *reporter, d Digest) bool {
	if d.LiveCount < g.liveCount {
		return false
	}
	replacesBackup := d.Primary && !g.primary
	widerCoverage := r.widerCoverageSince != 0 && now-r.widerCoverageSince >= liveSetGraceMs
	return replacesBackup || widerCoverage
}

// useDigest makes a digest the current one of its group and its sender the active reporter, and
// updates the share.
func (e *Enforcer) useDigest(now float64, g *group, from uint64, wasLive bool, d Digest) {
	if !wasLive || g.liveSet != d.LiveSet || !slices.Equal(g.classes, d.Classes) {
		e.sharing.invalidate()
	}
	if !wasLive { // all its limiters count as sharing for liveSetGraceMs
		g.sharers, g.sharersAt = d.LiveCount, now
	}
	g.activeReporter, g.primary, g.receivedAt, g.liveCount, g.liveSet = from, d.Primary, now, d.LiveCount, d.LiveSet
	g.classes = append(g.classes[:0], d.Classes...)
	e.currentShare(now)
}

// drawDigest draws the undrawn units of the active reporter. All reporters count the same units, so
// the undrawn units of the others are discarded.
func (e *Enforcer) drawDigest(now float64, g *group, r *reporter) {
	if g.sharers == 0 {
		clear(r.undrawn) // no limiter of the group shares with this one
	}
	for id, units := range r.undrawn {
		if t := e.tenants[id]; t != nil {
			e.draw(now, t, units)
		}
	}
	for _, other := range g.reporters {
		clear(other.undrawn)
	}
}

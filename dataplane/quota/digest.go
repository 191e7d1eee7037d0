package quota

import "slices"

// Digest is what a reporter sends of its group to limiters of other groups.
type Digest struct {
	Level     GroupingLevel  // at which the sender forms groups; 0: no digest
	Primary     bool           // the sender is the reporter that the receiver goes by while it is live
	LiveCount int            // limiters of the group that the sender receives from, itself among them
	LiveSet   uint32         // the sum over them
	Classes   []SharingClass // of the group, the largest first, maxReportedClasses at most
	Consumed  []Usage        // by the whole group since the sender's start
}

// ReportDigest returns the digest of this limiter's group, with the tenants whose reports
// are due, appended to out as in [Enforcer.ReportUsage]. Its Classes are valid until the
// next call of the enforcer. First is the sender's to set, for each receiver.
func (e *Enforcer) ReportDigest(now float64, out []Usage) Digest {
	e.currentShare(now)
	s := &e.sharing
	d := Digest{Level: e.level, LiveCount: s.liveCount, LiveSet: s.groupLiveSet, Classes: s.classes, Consumed: out}
	for id, t := range e.groupUnreported {
		if !t.group.due() && !e.repeatsLow(now, t, &t.group) {
			delete(e.groupUnreported, id)
			continue
		}
		d.Consumed = e.appendDue(now, d.Consumed, id, t, &t.group, groupRelaxedMs)
	}
	return d
}

// ReceiveDigest takes in the digest of a reporter of another group. One from a limiter that
// forms groups by another level is ignored: until all have the same list of members, less
// of the quotas is used, not more.
func (e *Enforcer) ReceiveDigest(now float64, from, incarnation uint64, ageMs float64, d Digest) {
	g := e.groupOf(from, d.Level)
	if g == nil {
		return
	}
	r := g.reporterFor(now, from, incarnation, ageMs)
	if now-r.lastReceived > e.livenessTimeout() {
		// What a reporter sent to others while it didn't report here was paid for by the other
		// reporter's digests, or came out of its group's own shares.
		r.usage.clear()
		clear(r.undrawn)
	}
	r.lastReceived = now
	e.recordDigest(now, r, ageMs, d.Consumed)
	live := e.groupLive(now, g)
	r.compareReach(now, g, from, d)
	if live && g.reporter != from && !g.prefers(now, r, d) {
		return
	}
	e.goBy(now, g, from, live, d)
	e.drawDigest(now, g, r)
}

// groupOf returns the other group whose digest a limiter may send at a level; nil: none.
func (e *Enforcer) groupOf(from uint64, level GroupingLevel) *group {
	p := e.peers[from]
	if e.level == 0 || level != e.level || p == nil || e.sameGroup(p.Member) {
		return nil
	}
	return e.groups[e.level.Group(p.Member)]
}

// reporterFor returns the state of a reporter, new for a new incarnation.
func (g *group) reporterFor(now float64, from, incarnation uint64, ageMs float64) *reporter {
	r := g.reporters[from]
	if r != nil && r.incarnation == incarnation {
		return r
	}
	g.reporters[from] = &reporter{
		incarnation:  incarnation,
		lastReceived: now,
		undrawn:      map[uint64]uint64{},
		// Of one that this limiter went by and that has started again, all units are new.
		countsFromStart: r != nil && g.reporter == from && ageMs <= newPeerMs,
	}
	return g.reporters[from]
}

// recordDigest adds a digest's new units to the undrawn ones of its reporter. Sums count
// from the first one that is received here.
func (e *Enforcer) recordDigest(now float64, r *reporter, ageMs float64, consumed []Usage) {
	for _, u := range consumed {
		t := e.tenants[u.Tenant]
		if t == nil {
			continue
		}
		e.inherit(now, t, ageMs, u.FillLevel)
		if units, known := r.usage.update(t.row, u.Units); (known || r.countsFromStart) && units > 0 {
			r.undrawn[u.Tenant] += units
		}
	}
}

// compareReach notes since when a reporter receives from more of its group than the one
// that this limiter goes by.
func (r *reporter) compareReach(now float64, g *group, from uint64, d Digest) {
	switch {
	case g.reporter == from || d.LiveCount <= g.liveCount:
		r.reachesMoreSince = 0
	case r.reachesMoreSince == 0:
		r.reachesMoreSince = now
	}
}

// prefers reports whether this limiter goes by a digest of the other reporter of a live group
// from now on. It does if that receives from no fewer of its group, and is the first one
// where this limiter goes by the second, or has received from more for a while. Units of a
// limiter that only the other reporter receives from would be drawn by nobody who goes by
// this one.
func (g *group) prefers(now float64, r *reporter, d Digest) bool {
	if d.LiveCount < g.liveCount {
		return false
	}
	takesOver := d.Primary && !g.first
	reachesMore := r.reachesMoreSince != 0 && now-r.reachesMoreSince >= liveSetGraceMs
	return takesOver || reachesMore
}

// goBy makes a digest the one that counts for its group, and computes the share by it.
func (e *Enforcer) goBy(now float64, g *group, from uint64, wasLive bool, d Digest) {
	if !wasLive || g.liveSet != d.LiveSet || !slices.Equal(g.classes, d.Classes) {
		e.sharing.invalidate()
	}
	if !wasLive {
		g.sharers, g.sharersAt = d.LiveCount, now
	}
	g.reporter, g.first, g.receivedAt, g.liveCount, g.liveSet = from, d.Primary, now, d.LiveCount, d.LiveSet
	g.classes = append(g.classes[:0], d.Classes...)
	e.currentShare(now)
}

// drawDigest draws the undrawn units of the reporter that counts. Both reporters count the
// same units: what the other one reports from here on is not drawn yet.
func (e *Enforcer) drawDigest(now float64, g *group, r *reporter) {
	if g.sharers == 0 {
		clear(r.undrawn) // none of the group shares with this limiter
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

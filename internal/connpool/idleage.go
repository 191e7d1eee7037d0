package connpool

import (
	"math"
	"math/bits"
	"time"
)

// Connections are counted in groups by how long they were idle before an exchange. Group 0
// was idle for less than minIdleAge, and each further group reaches twice as far; the last
// one has no end. New connections have a group of their own.
const (
	minIdleAge = 25 * time.Millisecond
	idleGroups = 8
	newGroup   = idleGroups // the group of new connections
	allGroups  = idleGroups + 1
)

// How the counts are judged.
const (
	// decayTime is the time in which the weight of what was counted falls to 1/e. With a
	// shorter one a group is tried again sooner, and its failures are forgotten sooner.
	decayTime = 20 * time.Second
	// priorExchanges are exchanges without a failure that each group starts with, so that
	// a few failures among few exchanges don't count as a high rate.
	priorExchanges = 8.0
	// maxExcessFailures is by how much the failure rate of a group may exceed that of new
	// connections.
	maxExcessFailures = 0.1
	// minFailures is the least count of failures, with decay, that shows anything.
	minFailures = 1.5
)

// unlimited is the idle time where nothing speaks against a connection.
const unlimited = time.Duration(math.MaxInt64)

// idleGroup is the group of a connection that was idle for so long.
func idleGroup(idle time.Duration) int {
	return min(idleGroups-1, bits.Len64(uint64(max(0, idle)/minIdleAge)))
}

// minIdle is the least idle time of the connections in a group from 1 on.
func minIdle(group int) time.Duration { return minIdleAge << (group - 1) }

// hasRested reports whether the connections of a group were idle for some time, so that one
// that failed at once may have been dropped by the server meanwhile.
func hasRested(group int) bool { return group >= 1 && group < idleGroups }

// idleAges counts, by how long connections were idle, how many of them failed at the next
// request. It protects against servers, or proxies between, that end kept-alive connections
// long before the settings say, and where only the next request notices, which may then
// have run. Guarded by Pool.mu.
type idleAges struct {
	exchanges, failures [allGroups]float64 // with decay
	updatedAt           time.Time          // of the last decay
	limit               time.Duration      // connections that are idle for longer fail too often
}

// add counts an exchange on a connection of a group.
func (a *idleAges) add(now time.Time, group int, failed bool) {
	a.decay(now)
	a.exchanges[group]++
	if failed {
		a.failures[group]++
	}
	a.updateLimit()
}

// decay lowers the weight of what was counted with time, so that a group that was given up
// is tried again.
func (a *idleAges) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(decayTime))
	for group := range a.exchanges {
		a.exchanges[group] *= factor
		a.failures[group] *= factor
	}
	a.updatedAt = now
}

// failureRate is the part of the exchanges of a group that failed.
func (a *idleAges) failureRate(group int) float64 {
	return a.failures[group] / (a.exchanges[group] + priorExchanges)
}

// updateLimit sets the limit to the first group that fails too often. Group 0 counts as
// good as new.
func (a *idleAges) updateLimit() {
	a.limit = unlimited
	acceptable := a.failureRate(newGroup) + maxExcessFailures
	for group := 1; group < idleGroups; group++ {
		if a.failures[group] >= minFailures && a.failureRate(group) > acceptable {
			a.limit = minIdle(group)
			return
		}
	}
}

// IdleGroup returns the group of a connection by how long it has been idle, for
// [Conn.RecordExchange], [Conn.WasStale] and [Pool.RecordStale]. It is asked for before
// [Conn.BeginExchange].
func (c *Conn[K]) IdleGroup() int {
	if !c.Used {
		return newGroup
	}
	return idleGroup(time.Since(c.IdleSince))
}

// RecordExchange counts an exchange by the [Conn.IdleGroup] that its connection had.
func (c *Conn[K]) RecordExchange(group int, failed bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ages.add(time.Now(), group, failed)
}

package connpool

import (
	"math"
	"math/bits"
	"time"
)

// Exchanges are counted in groups, by how long the connection was idle beforehand. Group 0
// covers idle times below minIdleTime; the upper bound doubles with each further group, and
// the last group is unbounded. New connections have a group of their own.
const (
	minIdleTime = 25 * time.Millisecond
	idleGroups  = 8
	newGroup    = idleGroups // the group of new connections
	allGroups   = idleGroups + 1
)

// Parameters for evaluating the counts.
const (
	// decayTime is the time constant of the exponential decay of the counts: their weight
	// falls to 1/e in this time. With a shorter one a group is tried again sooner, and its
	// failures are forgotten sooner.
	decayTime = 20 * time.Second
	// priorExchanges is the number of successful exchanges that each group is assumed to
	// have had, so that a few failures among few exchanges don't yield a high failure rate.
	priorExchanges = 8.0
	// maxExcessFailures is the amount by which the failure rate of a group may exceed that
	// of new connections.
	maxExcessFailures = 0.1
	// minFailures is the smallest decayed count of failures that is significant.
	minFailures = 1.5
)

// unlimited is the idle limit while no failures justify a shorter one.
const unlimited = time.Duration(math.MaxInt64)

// idleGroup returns the group of a connection with the given idle time.
func idleGroup(idle time.Duration) int {
	return min(idleGroups-1, bits.Len64(uint64(max(0, idle)/minIdleTime)))
}

// minIdle returns the lower bound of the idle times in a group. The group must be at least 1.
func minIdle(group int) time.Duration { return minIdleTime << (group - 1) }

// wasIdle reports whether the connections of a group were idle long enough that the server
// may have dropped them, which would explain an immediate failure.
func wasIdle(group int) bool { return group >= 1 && group < idleGroups }

// idleTimeStats counts, by idle time, how many connections failed at the next request. It
// protects against servers and intermediate proxies that drop kept-alive connections long
// before the configured timeout. Only the next request detects this, and it may already
// have been executed. Guarded by Pool.mu.
type idleTimeStats struct {
	exchanges, failures [allGroups]float64 // decayed counts
	updatedAt           time.Time          // time of the last decay
	limit               time.Duration      // longest idle time with an acceptable failure rate
}

// add records the outcome of an exchange on a connection of the given group.
func (a *idleTimeStats) add(now time.Time, group int, failed bool) {
	a.decay(now)
	a.exchanges[group]++
	if failed {
		a.failures[group]++
	}
	a.updateLimit()
}

// decay reduces the weight of older counts, so that a group that the limit excludes is
// eventually tried again.
func (a *idleTimeStats) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(decayTime))
	for group := range a.exchanges {
		a.exchanges[group] *= factor
		a.failures[group] *= factor
	}
	a.updatedAt = now
}

// failureRate returns the fraction of the exchanges of a group that failed.
func (a *idleTimeStats) failureRate(group int) float64 {
	return a.failures[group] / (a.exchanges[group] + priorExchanges)
}

// updateLimit sets the limit to the lower bound of the first group whose failure rate is
// too high. Group 0 is treated like new connections and is never excluded.
func (a *idleTimeStats) updateLimit() {
	a.limit = unlimited
	acceptable := a.failureRate(newGroup) + maxExcessFailures
	for group := 1; group < idleGroups; group++ {
		if a.failures[group] >= minFailures && a.failureRate(group) > acceptable {
			a.limit = minIdle(group)
			return
		}
	}
}

// IdleGroup returns the group of a connection by its current idle time, as an argument for
// [Conn.RecordExchange], [Conn.WasStale] and [Pool.RecordStale]. It must be called before
// [Conn.BeginExchange].
func (c *Conn[K]) IdleGroup() int {
	if !c.Used {
		return newGroup
	}
	return idleGroup(time.Since(c.IdleSince))
}

// RecordExchange records the outcome of an exchange. The group is that of [Conn.IdleGroup]
// before the exchange.
func (c *Conn[K]) RecordExchange(group int, failed bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idleStats.add(time.Now(), group, failed)
}

package connpool

import (
	"errors"
	"math"
	"math/bits"
	"syscall"
	"time"
)

const (
	youngest   = 25 * time.Millisecond // connections that were idle no longer form one group
	ageGroups  = 8                     // each further group reaches twice as far
	ageMemory  = 20 * time.Second      // what was seen counts ever less over this time
	agePrior   = 8.0                   // and at the start like so many exchanges without a break
	ageWorse   = 0.1                   // of a group so many more break than of new connections
	ageLeast   = 1.5                   // breaks that prove anything
	newConns   = ageGroups             // the group of new connections
	ageForever = time.Duration(math.MaxInt64)
)

// ages counts by how long connections were idle how many of them broke at the next
// request. Guards against servers, or what stands between, that end kept connections
// long before the settings say and tell it only to the next request, which then may
// have run. The pool's mutex is over it.
type ages struct {
	uses, breaks [ageGroups + 1]float64
	at           time.Time
	limit        time.Duration // connections idle for longer break too often
}

// ageGroup is the group of a connection that was idle so long.
func ageGroup(idle time.Duration) int {
	return min(ageGroups-1, bits.Len64(uint64(max(0, idle)/youngest)))
}

// add notes an exchange on a connection of a group.
func (a *ages) add(now time.Time, group int, broke bool) {
	a.fade(now)
	a.uses[group]++
	if broke {
		a.breaks[group]++
	}
	a.judge()
}

// fade lets what was seen count less with time, so that a group that was given up is
// tried again.
func (a *ages) fade(now time.Time) {
	f := math.Exp(-float64(now.Sub(a.at)) / float64(ageMemory))
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
	a.at = now
}

// share is how many of a group break.
func (a *ages) share(group int) float64 { return a.breaks[group] / (a.uses[group] + agePrior) }

func (a *ages) judge() {
	a.limit = ageForever
	for g := 1; g < ageGroups; g++ { // the youngest are as good as new
		if a.breaks[g] >= ageLeast && a.share(g) > a.share(newConns)+ageWorse {
			a.limit = youngest << (g - 1)
			return
		}
	}
}

// Where servers, or what stands between, forget connections that rested, the next
// request on one meets a reset, and whoever sent it can't tell whether it ran. For a
// request that must not run twice that is the end of it. So two such connections
// soon after each other, seen here or told of by other limiters, are enough for such
// requests to be sent for some time only on connections that rested for less, or on
// new ones. Others go on as [ages] has it: they can be sent again. One is not enough:
// now and then a server resets a connection for another reason, and among many
// limiters there is always one that has just met it.
const (
	carefulFor = 10 * time.Second
	soonAfter  = 2 * time.Second
)

// careful is how long a connection may have rested for a request that must not run twice.
type careful struct {
	limit time.Duration
	until time.Time
	last  struct {
		by    uint64
		at    time.Time
		limit time.Duration
	}
}

// note takes in that a connection of a group was forgotten, as somebody has seen:
// 0 is this limiter, each time anew; another limiter says so more than once.
func (c *careful) note(now time.Time, group int, by uint64) {
	if !rested(group) {
		return // new, or hardly at rest: it broke for another reason
	}
	limit, last := youngest<<(group-1), c.last
	if by != 0 && by == last.by && now.Sub(last.at) < soonAfter {
		return
	}
	c.last.by, c.last.at, c.last.limit = by, now, limit
	if now.Sub(last.at) > soonAfter {
		return
	}
	limit = min(limit, last.limit)
	if now.After(c.until) || limit < c.limit {
		c.limit = limit
	}
	c.until = now.Add(carefulFor)
}

// most is how long a connection may have rested to be used.
func (c *careful) most(now time.Time) time.Duration {
	if now.After(c.until) {
		return ageForever
	}
	return c.limit
}

// RecordStale takes in that a connection of a group ([Conn.IdleGroup]) was forgotten while it
// rested: as seen here, by 0, or as another limiter tells.
func (p *Pool[K]) RecordStale(group int, by uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.careful.note(time.Now(), group, by)
}

// WasStale tells whether a connection ended as one does that the other side has
// forgotten: by a reset. One that is closed in order is told of before.
func (c *Conn[K]) WasStale(group int) bool {
	return rested(group) && errors.Is(c.ReadErr(), syscall.ECONNRESET)
}

// rested tells whether a group is of connections that were idle for some time, so
// that one that broke at once may have been forgotten.
func rested(group int) bool { return group >= 1 && group < ageGroups }

// GetForNonIdempotent is [Pool.Get] for a request that must not run twice. Each connection that
// it comes to is looked at, as the one that rested least may turn out to be closed.
func (p *Pool[K]) GetForNonIdempotent(h *Host[K]) *Conn[K] {
	p.mu.Lock()
	limit := p.careful.most(time.Now())
	p.mu.Unlock()
	return p.get(h, limit)
}

package connpool

import (
	"errors"
	"syscall"
	"time"
)

// Where servers, or proxies between, drop idle connections without a word, the next request
// on one gets a reset, and its sender can't know whether it ran. A request that must not
// run twice has then failed. So two such connections soon after each other, seen here or
// reported by other limiters, are enough: for some time such requests get only connections
// that were idle for less, or new ones. Other requests go on as idleAges has it, as they
// can be sent again.
//
// One is not enough: now and then a server resets a connection for another reason, and
// among many limiters there is always one that has just seen that.
const (
	// guardTime is for how long the limit holds after the last stale connection.
	guardTime = 10 * time.Second
	// pairWindow is how soon the second stale connection must follow the first.
	pairWindow = 2 * time.Second
)

// Self is the reporter of what this process has seen itself. Other reporters are limiters.
const Self uint64 = 0

// staleGuard limits how long a connection may have been idle for a request that must not
// run twice. Guarded by Pool.mu.
type staleGuard struct {
	limit time.Duration
	until time.Time // the limit holds until then
	last  staleReport
}

// staleReport is a stale connection, as reported.
type staleReport struct {
	reporter uint64
	at       time.Time
	minIdle  time.Duration // the least time for which the connection was idle
}

// record takes in that a connection of a group was stale. This process reports each stale
// connection once; another limiter may report one more than once.
func (g *staleGuard) record(now time.Time, group int, reporter uint64) {
	if !hasRested(group) {
		return // new, or hardly idle: it failed for another reason
	}
	last := g.last
	if reporter != Self && reporter == last.reporter && now.Sub(last.at) < pairWindow {
		return
	}
	g.last = staleReport{reporter: reporter, at: now, minIdle: minIdle(group)}
	if now.Sub(last.at) > pairWindow {
		return
	}
	limit := min(minIdle(group), last.minIdle)
	if now.After(g.until) || limit < g.limit {
		g.limit = limit
	}
	g.until = now.Add(guardTime)
}

// maxIdle is how long a connection may have been idle to be used.
func (g *staleGuard) maxIdle(now time.Time) time.Duration {
	if now.After(g.until) {
		return unlimited
	}
	return g.limit
}

// RecordStale takes in that a connection of a group ([Conn.IdleGroup]) was stale: as seen
// by this process ([Self]), or as another limiter reports.
func (p *Pool[K]) RecordStale(group int, reporter uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale.record(time.Now(), group, reporter)
}

// WasStale reports whether a connection of a group, after it failed at a request, ended as
// one does that the server has dropped: by a reset. One that the server closes in order is
// noticed before the request, see [Conn.Reusable].
func (c *Conn[K]) WasStale(group int) bool {
	return hasRested(group) && errors.Is(c.ReadErr(), syscall.ECONNRESET)
}

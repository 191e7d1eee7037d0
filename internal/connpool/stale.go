package connpool

import (
	"errors"
	"syscall"
	"time"
)

// When a server or an intermediate proxy silently drops an idle connection, the next request
// on it gets a reset, and the sender can't know whether the request was executed. A
// non-idempotent request has then failed. Therefore, after two such connections in short
// succession, observed locally or reported by other limiters (gateway processes like this
// one), non-idempotent requests get only new connections or ones with a shorter idle time for
// a while. Other requests can be retried, and only idleTimeStats applies to them.
//
// A single stale connection is not enough: occasionally a server resets a connection for
// another reason, and among many limiters there is always one that has just observed that.
const (
	// guardDuration is how long the limit applies after the last stale connection.
	guardDuration = 10 * time.Second
	// pairWindow is the maximum time between the two stale connections.
	pairWindow = 2 * time.Second
)

// Self is the reporter ID for observations of this process. Other reporter IDs are those of
// other limiters.
const Self uint64 = 0

// staleGuard limits the idle time of connections for non-idempotent requests. Guarded by
// Pool.mu.
type staleGuard struct {
	limit time.Duration
	until time.Time // end of the limit's validity
	last  staleReport
}

// staleReport is a report of a stale connection.
type staleReport struct {
	reporter uint64
	at       time.Time
	minIdle  time.Duration // lower bound of the connection's idle time
}

// record registers a report of a stale connection in the given group. This process reports
// each stale connection once; other limiters may report the same one repeatedly.
func (g *staleGuard) record(now time.Time, group int, reporter uint64) {
	if !wasIdle(group) {
		return // new or only briefly idle: the failure has another cause
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
	g.until = now.Add(guardDuration)
}

// maxIdle returns the limit of the idle time: a connection that has been idle for that long
// or longer must not be used.
func (g *staleGuard) maxIdle(now time.Time) time.Duration {
	if now.After(g.until) {
		return unlimited
	}
	return g.limit
}

// RecordStale registers that a connection of the given group ([Conn.IdleGroup]) was stale,
// as observed by this process ([Self]) or reported by another limiter.
func (p *Pool[K]) RecordStale(group int, reporter uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale.record(time.Now(), group, reporter)
}

// WasStale reports whether a connection of the given group that failed during a request was
// stale, that is, ended by a reset. An orderly close by the server is detected before the
// request, see [Conn.Reusable].
func (c *Conn[K]) WasStale(group int) bool {
	return wasIdle(group) && errors.Is(c.ReadErr(), syscall.ECONNRESET)
}

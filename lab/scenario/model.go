package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// What follows is how clients and servers behave, on loopback and simulated.

// MaxAttempts is how often a client sends a request at the most.
const MaxAttempts = 4

// retryStep is by how much longer a client waits after each attempt.
const retryStep = 10 * time.Millisecond

// DrawTenant picks whose request comes next, and by how many times requests come faster
// while one tenant (hot; empty: none) sends factor times its usual.
func (d *Day) DrawTenant(rng *rand.Rand, hot string, factor float64) (t *Tenant, faster float64) {
	x := rng.Float64() * d.Shares()
	t = &d.Tenants[0]
	for i := range d.Tenants {
		if x -= d.Tenants[i].Share; x < 0 {
			t = &d.Tenants[i]
			break
		}
	}
	if hot == "" {
		return t, 1
	}
	extra := (factor - 1) * d.Tenant(hot).Share / d.Shares()
	if faster = 1 + extra; rng.Float64() < extra/faster {
		t = d.Tenant(hot)
	}
	return t, faster
}

// Shorten ends the day earlier; faults past its end don't strike.
func (d *Day) Shorten(seconds float64) {
	d.LengthS = seconds
	var within []Fault
	for _, f := range d.Faults {
		if f.AtS <= seconds {
			within = append(within, f)
		}
	}
	d.Faults = within
}

// ShouldRetry reports whether a client sends a request again after a status (0: no
// answer): one that may run twice, or that certainly has not run, or that
// the limiter can't have read (unread). What is wrong with it stays so.
func (c *Class) ShouldRetry(status int, unread bool) bool {
	switch {
	case status/100 == 2, status == 400, status == 401, status == 404, status == 413:
		return false
	case status == 429, status == 503, status == 408, status == 421:
		return true
	}
	return c.Idempotent() || unread
}

// RetryDelay is how long a client waits after so many attempts, asked to come back after
// a time (0: not asked).
func RetryDelay(attempts int, retryAfter time.Duration) time.Duration {
	return max(retryAfter, time.Duration(attempts)*retryStep)
}

// DrawWork draws how long a server works on a request, in milliseconds: so many
// times as long as usual, and twice that while it is warming up.
func (c *Class) DrawWork(rng *rand.Rand, slowdown float64, warming bool) float64 {
	ms := c.WorkMs * slowdown * math.Exp(0.5*rng.NormFloat64()-0.125)
	if warming {
		ms *= 2
	}
	return ms
}

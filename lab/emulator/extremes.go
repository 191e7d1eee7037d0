package emulator

import (
	"context"
	"math"
	"strings"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

// High numbers of a valid configuration: the highest of their type, and others that overflow where
// they are multiplied.
var (
	highInts  = []int64{math.MaxInt64, 1 << 45, math.MaxInt64 - 1, 1 << 31}
	highTimes = []float64{1e13, math.MaxFloat64, math.Inf(1), 9.3e15} // ms
)

// makeExtreme sets the numbers of the routes that are added during the day, and the request limits,
// to high ones; another choice each time. All requests on these routes are to be served.
func makeExtreme(c *api.Config, choice int) {
	integer, duration := highInts[choice%len(highInts)], highTimes[choice%len(highTimes)]
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/"+addedRoutePrefix) {
			continue
		}
		r.MaxAttempts, r.TimeoutMs = int(integer), duration
		half := api.WeightedUpstream{Upstream: r.Upstream, Weight: duration}
		r.TrafficSplit = []api.WeightedUpstream{half, half}
	}
	c.Limits = api.RequestLimits{
		MaxHeaderBytes: integer, MaxBodyBytes: integer, HeaderTimeoutMs: duration, IdleTimeoutMs: duration,
	}
}

// bringExtremes brings a valid configuration with high numbers.
func (o *operator) bringExtremes(ctx context.Context) bool {
	o.mu.Lock()
	o.extremes++
	o.addsRoutes = true
	o.mu.Unlock()
	return o.bring(ctx)
}

// hasExtremes reports whether added routes may have a high retry_count.
func (o *operator) hasExtremes() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.extremes > 0
}

// emptyTenants takes all tenants away, and brings them back after a time.
func (o *operator) emptyTenants(ctx context.Context, length time.Duration) {
	log := o.fleet.log
	log.KeysSuspending()
	o.setNoTenants(true)
	if o.bring(ctx) {
		log.KeysSuspended()
	}
	backoff.Sleep(ctx, length)
	log.KeysRestoring()
	o.setNoTenants(false)
	if o.bring(ctx) {
		log.KeysRestored()
	}
}

func (o *operator) setNoTenants(none bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noTenants = none
}

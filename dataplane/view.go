// Package dataplane carries the traffic: it takes requests of clients, finds
// route and tenant, holds the quotas, chooses a server and brings its answer
// back. What it is told of configuration and servers it holds as one view that
// is swapped whole.
package dataplane

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/silverscale/api"
	"example.org/silverscale/dataplane/quota"
)

const (
	defaultHeader  = 16 << 10
	defaultBody    = 64 << 20
	defaultHeadFor = 3 * time.Second
	defaultIdleFor = 15 * time.Second
)

// view is one version of the configuration, ready for look-ups. It does not change.
type view struct {
	revision uint64
	hosts    map[string][]*route           // longest prefix first
	keys     map[[sha256.Size]byte]*tenant // by the keys' hashes; nil where no keys are asked for
	plans    map[uint64]quota.Plan
	maxHead  int
	maxBody  int64
	headFor  time.Duration
	idleFor  time.Duration
}

type route struct {
	api.Route
	timeout time.Duration
	aim     time.Duration
	sum     float64
}

type tenant struct {
	name string
	id   uint64
}

func newView(c *api.Config) *view {
	v := &view{revision: c.Revision, hosts: map[string][]*route{}, plans: map[uint64]quota.Plan{},
		maxHead: cmp.Or(int(c.Limits.MaxHeaderBytes), defaultHeader), maxBody: cmp.Or(c.Limits.MaxBodyBytes, defaultBody),
		headFor: cmp.Or(millis(c.Limits.HeaderTimeoutMs), defaultHeadFor), idleFor: cmp.Or(millis(c.Limits.IdleTimeoutMs), defaultIdleFor)}
	for _, r := range c.Routes {
		x := &route{Route: r, timeout: millis(r.TimeoutMs), aim: millis(r.TargetMs)}
		for _, s := range r.Split {
			x.sum += s.Weight
		}
		host := strings.ToLower(r.Host)
		v.hosts[host] = append(v.hosts[host], x)
	}
	for _, rs := range v.hosts {
		slices.SortFunc(rs, func(a, b *route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, t := range c.Tenants {
		if v.keys == nil {
			v.keys = map[[sha256.Size]byte]*tenant{}
		}
		x := &tenant{t.Name, xxhash.Sum64String(t.Name)}
		v.plans[x.id] = quota.Plan{Rate: t.Rate, Burst: t.Burst}
		for _, k := range t.Keys {
			v.keys[sha256.Sum256([]byte(k))] = x
		}
	}
	return v
}

// route returns the route of a host and path, nil where none fits.
func (v *view) route(host, path string) *route {
	host = strings.ToLower(host)
	rs, ok := v.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			rs = v.hosts[host[:i]]
		}
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// service picks one of a route's services, by a number below 1.
func (r *route) service(x float64) string {
	if len(r.Split) == 0 {
		return r.Upstream
	}
	x *= r.sum
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Upstream
		if x -= s.Weight; x < 0 {
			break
		}
	}
	return last
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

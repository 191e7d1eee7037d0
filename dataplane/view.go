// Package dataplane carries the traffic: it takes requests of clients, finds
// route and tenant, holds the quotas, chooses a server and brings its answer
// back. What it is told of configuration and servers it holds as one view that
// is swapped whole.
package dataplane

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/internal/persistentmap"
	"example.org/elmspan/versioned"
)

const (
	defaultHeader  = 16 << 10
	defaultBody    = 64 << 20
	defaultHeadFor = 3 * time.Second
	defaultIdleFor = 15 * time.Second
)

// keySum is what is kept of a tenant's key.
type keySum = [sha256.Size]byte

// view is one version of the configuration, ready for look-ups. It does not
// change: the next one shares with it all that stays as it is, so that a change
// costs what changed, not what there is.
type view struct {
	revision uint64
	sum      uint64 // over all rows; see versioned.Mark
	marks    persistentmap.Map[string, uint64]
	hosts    persistentmap.Map[string, *host] // by name, in lower case
	keys     persistentmap.Map[keySum, *tenant]
	tenants  persistentmap.Map[string, *tenant]
	maxHead  int
	maxBody  int64
	headFor  time.Duration
	idleFor  time.Duration
}

// host holds the routes of one host.
type host struct {
	routes  map[string]*route // by prefix
	lengths []int             // of the prefixes, the longest first, each once
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
	keys []keySum
}

func sum256(key string) keySum { return sha256.Sum256([]byte(key)) }

// plans is what a new version says of the tenants' quotas, by their ids.
type plans struct {
	put  map[uint64]quota.Plan
	drop []uint64
}

func newRoute(r *api.Route) *route {
	x := &route{Route: *r, timeout: millis(r.TimeoutMs), aim: millis(r.TargetMs)}
	for _, s := range r.TrafficSplit {
		x.sum += s.Weight
	}
	return x
}

// with returns the view that a difference makes of this one (nil: of none), and
// what it says of quotas.
func (v *view) with(r *versioned.DeltaReader) (*view, plans, error) {
	p := plans{put: map[uint64]quota.Plan{}}
	switch {
	case v != nil && r.To <= v.revision:
		return nil, p, fmt.Errorf("version %d is not above %d", r.To, v.revision)
	case r.From != 0 && (v == nil || r.From != v.revision):
		return nil, p, fmt.Errorf("a difference on version %d", r.From)
	}
	if v != nil && r.From == 0 { // the whole: what it does not name went
		for _, t := range v.tenants.All {
			p.drop = append(p.drop, t.id)
		}
	}
	if v == nil || r.From == 0 {
		v = &view{}
		v.limits(&api.RequestLimits{})
	}
	next := *v
	e := edit{view: &next, marks: v.marks.Builder(), hosts: v.hosts.Builder(), keys: v.keys.Builder(), tenants: v.tenants.Builder(), plans: &p, fresh: map[string]bool{}}
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			err = e.row(row)
		}
		if err != nil {
			return nil, p, err
		}
	}
	if next.sum != r.Checksum {
		return nil, p, versioned.ErrChecksum
	}
	p.drop = slices.DeleteFunc(p.drop, func(id uint64) bool { _, is := p.put[id]; return is })
	next.revision = r.To
	next.marks, next.hosts, next.keys, next.tenants = e.marks.Map(), e.hosts.Map(), e.keys.Map(), e.tenants.Map()
	return &next, p, nil
}

// edit is a view in the making.
type edit struct {
	*view
	marks   *persistentmap.Builder[string, uint64]
	hosts   *persistentmap.Builder[string, *host]
	keys    *persistentmap.Builder[keySum, *tenant]
	tenants *persistentmap.Builder[string, *tenant]
	plans   *plans
	fresh   map[string]bool // hosts that are this edit's own
}

func (e *edit) row(row versioned.Row) error {
	x, err := api.ParseConfigRow(row.Key, row.Value)
	if err != nil {
		return err
	}
	if mark, had := e.marks.Get(row.Key); had {
		e.sum ^= mark
		e.marks.Delete(row.Key)
	}
	if !x.Removed {
		mark := versioned.RowChecksum(row.Key, row.Value)
		e.sum ^= mark
		e.marks.Put(row.Key, mark)
	}
	switch {
	case x.Route != nil:
		e.route(x.Route, x.Removed)
	case x.Tenant != nil:
		e.tenant(x.Tenant, x.Removed)
	case x.Limits != nil:
		e.limits(x.Limits)
	}
	return nil
}

func (v *view) limits(l *api.RequestLimits) {
	v.maxHead, v.maxBody = cmp.Or(int(l.MaxHeaderBytes), defaultHeader), cmp.Or(l.MaxBodyBytes, defaultBody)
	v.headFor, v.idleFor = cmp.Or(millis(l.HeaderTimeoutMs), defaultHeadFor), cmp.Or(millis(l.IdleTimeoutMs), defaultIdleFor)
}

func (e *edit) route(r *api.Route, gone bool) {
	name := strings.ToLower(r.Host)
	h, had := e.hosts.Get(name)
	if !e.fresh[name] { // the versions before keep theirs
		old := h
		if h = (&host{routes: map[string]*route{}}); had {
			for k, v := range old.routes {
				h.routes[k] = v
			}
			h.lengths = slices.Clone(old.lengths)
		}
		e.fresh[name] = true
		e.hosts.Put(name, h)
	}
	if gone {
		delete(h.routes, r.Prefix)
	} else {
		h.routes[r.Prefix] = newRoute(r)
	}
	if len(h.routes) == 0 {
		e.hosts.Delete(name)
		delete(e.fresh, name)
		return
	}
	at, is := slices.BinarySearchFunc(h.lengths, len(r.Prefix), func(a, b int) int { return b - a })
	switch {
	case !gone && !is:
		h.lengths = slices.Insert(h.lengths, at, len(r.Prefix))
	case gone && is:
		for p := range h.routes {
			if len(p) == len(r.Prefix) {
				return
			}
		}
		h.lengths = slices.Delete(h.lengths, at, at+1)
	}
}

func (e *edit) tenant(t *api.Tenant, gone bool) {
	id := quota.TenantID(t.Name)
	if old, had := e.tenants.Get(t.Name); had {
		for _, k := range old.keys {
			if x, is := e.keys.Get(k); is && x.id == id { // it may have gone to another tenant
				e.keys.Delete(k)
			}
		}
		e.tenants.Delete(t.Name)
	}
	if gone {
		e.plans.drop = append(e.plans.drop, id)
		return
	}
	x := &tenant{name: t.Name, id: id}
	for _, k := range t.Keys {
		sum := sum256(k)
		x.keys = append(x.keys, sum)
		e.keys.Put(sum, x)
	}
	e.tenants.Put(t.Name, x)
	e.plans.put[id] = quota.Plan{Rate: t.Rate, Burst: t.Burst}
}

// keyed tells whether keys are asked for.
func (v *view) keyed() bool { return v.tenants.Len() > 0 }

// route returns the route of a host and path, nil where none fits: the one whose
// prefix is the longest. It costs a look-up for each length of the host's
// prefixes, however many routes there are, and makes no garbage.
func (v *view) route(name, path string) *route {
	h, ok := v.hosts.Get(strings.ToLower(name))
	if !ok {
		i := strings.LastIndexByte(name, ':')
		if i < 0 {
			return nil
		}
		if h, ok = v.hosts.Get(strings.ToLower(name[:i])); !ok {
			return nil
		}
	}
	for _, n := range h.lengths {
		if n <= len(path) && path[n-1] == '/' {
			if r := h.routes[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// service picks one of a route's services, by a number below 1.
func (r *route) service(x float64) string {
	if len(r.TrafficSplit) == 0 {
		return r.Upstream
	}
	x *= r.sum
	last := ""
	for _, s := range r.TrafficSplit {
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

package dataplane

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/internal/persistentmap"
	"example.org/elmspan/versioned"
)

// planChanges are the changes to tenants' quotas made by a delta of the configuration, by tenant ID.
type planChanges struct {
	put  map[uint64]quota.Plan
	drop []uint64
}

// with returns a new snapshot with a delta applied, and the changes to quotas. s is not modified; it is nil before the
// first configuration.
func (s *snapshot) with(r *versioned.DeltaReader) (*snapshot, *planChanges, error) {
	plans := &planChanges{put: map[uint64]quota.Plan{}}
	switch {
	case s != nil && r.To <= s.revision:
		return nil, nil, fmt.Errorf("configuration revision %d is not newer than current revision %d", r.To, s.revision)
	case r.From != 0 && (s == nil || r.From != s.revision):
		return nil, nil, fmt.Errorf("configuration delta is based on revision %d, not the current revision", r.From)
	}
	if s != nil && r.From == 0 { // a full configuration: tenants missing from it are removed
		for _, t := range s.tenants.All {
			plans.drop = append(plans.drop, t.id)
		}
	}
	if s == nil || r.From == 0 {
		s = &snapshot{}
		s.setLimits(&api.RequestLimits{})
	}
	e := newSnapshotEdit(s, plans)
	if err := e.applyAll(r); err != nil {
		return nil, nil, err
	}
	if e.checksum != r.Checksum {
		return nil, nil, versioned.ErrChecksum
	}
	plans.drop = slices.DeleteFunc(plans.drop, func(id uint64) bool { _, ok := plans.put[id]; return ok })
	return e.build(r.To), plans, nil
}

// snapshotEdit builds a snapshot. Until build, its map builders shadow the maps of the embedded snapshot.
type snapshotEdit struct {
	*snapshot
	checksums   *persistentmap.Builder[string, uint64]
	hosts       *persistentmap.Builder[string, *host]
	keys        *persistentmap.Builder[keyHash, *tenant]
	tenants     *persistentmap.Builder[string, *tenant]
	plans       *planChanges
	copiedHosts map[string]bool // hosts that were copied for this edit and may be modified
}

func newSnapshotEdit(s *snapshot, plans *planChanges) *snapshotEdit {
	next := *s
	return &snapshotEdit{
		snapshot:    &next,
		checksums:   s.checksums.Builder(),
		hosts:       s.hosts.Builder(),
		keys:        s.keys.Builder(),
		tenants:     s.tenants.Builder(),
		plans:       plans,
		copiedHosts: map[string]bool{},
	}
}

// build returns the snapshot, which is immutable from then on.
func (e *snapshotEdit) build(revision uint64) *snapshot {
	next := e.snapshot
	next.revision = revision
	next.checksums, next.hosts = e.checksums.Map(), e.hosts.Map()
	next.keys, next.tenants = e.keys.Map(), e.tenants.Map()
	return next
}

// applyAll applies the rows of a delta.
func (e *snapshotEdit) applyAll(r *versioned.DeltaReader) error {
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = e.apply(row)
		}
		if err != nil {
			return err
		}
	}
}

// apply applies one row.
func (e *snapshotEdit) apply(row versioned.Row) error {
	x, err := api.ParseConfigRow(row.Key, row.Value)
	if err != nil {
		return err
	}
	if previous, found := e.checksums.Get(row.Key); found {
		e.checksum ^= previous
		e.checksums.Delete(row.Key)
	}
	if !x.Removed {
		sum := versioned.RowChecksum(row.Key, row.Value)
		e.checksum ^= sum
		e.checksums.Put(row.Key, sum)
	}
	switch {
	case x.Route != nil && x.Removed:
		e.removeRoute(x.Route)
	case x.Route != nil:
		e.putRoute(x.Route)
	case x.Tenant != nil:
		e.applyTenant(x.Tenant, x.Removed)
	case x.Limits != nil:
		e.setLimits(x.Limits)
	}
	return nil
}

// mutableHost returns a host that this edit may modify, by its name in lower case. It copies a host that earlier
// snapshots share.
func (e *snapshotEdit) mutableHost(name string) *host {
	previous, found := e.hosts.Get(name)
	if e.copiedHosts[name] {
		return previous
	}
	h := &host{routes: map[string]*route{}}
	if found {
		for prefix, r := range previous.routes {
			h.routes[prefix] = r
		}
		h.lengths = slices.Clone(previous.lengths)
	}
	e.copiedHosts[name] = true
	e.hosts.Put(name, h)
	return h
}

// putRoute adds or replaces a route.
func (e *snapshotEdit) putRoute(r *api.Route) {
	h := e.mutableHost(strings.ToLower(r.Host))
	h.routes[r.Prefix] = newRoute(r)
	if at, found := h.findLength(len(r.Prefix)); !found {
		h.lengths = slices.Insert(h.lengths, at, len(r.Prefix))
	}
}

// removeRoute removes a route, and its host if no route is left.
func (e *snapshotEdit) removeRoute(r *api.Route) {
	name := strings.ToLower(r.Host)
	h := e.mutableHost(name)
	delete(h.routes, r.Prefix)
	if len(h.routes) == 0 {
		e.hosts.Delete(name)
		delete(e.copiedHosts, name)
		return
	}
	for prefix := range h.routes {
		if len(prefix) == len(r.Prefix) {
			return
		}
	}
	if at, found := h.findLength(len(r.Prefix)); found {
		h.lengths = slices.Delete(h.lengths, at, at+1)
	}
}

// findLength returns the index of a length among the prefix lengths, or the index at which to insert it.
func (h *host) findLength(length int) (at int, found bool) {
	return slices.BinarySearchFunc(h.lengths, length, func(a, b int) int { return b - a })
}

// applyTenant adds, replaces or removes a tenant with its API keys and quota plan.
func (e *snapshotEdit) applyTenant(t *api.Tenant, removed bool) {
	id := quota.TenantID(t.Name)
	if previous, found := e.tenants.Get(t.Name); found {
		for _, k := range previous.keys {
			if owner, ok := e.keys.Get(k); ok && owner.id == id { // the key may have moved to another tenant
				e.keys.Delete(k)
			}
		}
		e.tenants.Delete(t.Name)
	}
	if removed {
		e.plans.drop = append(e.plans.drop, id)
		return
	}
	x := &tenant{name: t.Name, id: id, priority: t.Priority}
	for _, k := range t.Keys {
		if !api.IsFieldValue(t.Name) { // accepted by an earlier version; the name can't be sent to servers
			break
		}
		hash := hashKey(k)
		x.keys = append(x.keys, hash)
		e.keys.Put(hash, x)
	}
	e.tenants.Put(t.Name, x)
	e.plans.put[id] = quota.NewPlan(t.Rate, t.Burst)
}

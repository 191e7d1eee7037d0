package dataplane

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/internal/connpool"
	"example.org/elmspan/versioned"
)

// endpointList holds the state needed to apply the next delta of the server list; the limiter holds the servers
// themselves. Both change atomically, so the limiter's mutex guards the list too.
type endpointList struct {
	log     *slog.Logger
	guarded *guardedLimiter
	pool    *connpool.Pool[string]

	version   uint64                  // guarded by guardedLimiter.mu; 0: there is no list yet
	checksum  uint64                  // guarded by guardedLimiter.mu; of all rows
	checksums map[string]uint64       // guarded by guardedLimiter.mu; of each row, by server ID
	oneWay    discovery.OneWayStates  // guarded by guardedLimiter.mu; draining and removed servers stay so
	merged    *discovery.EndpointList // guarded by guardedLimiter.mu; from this gateway's own queries; nil: none
}

// currentVersion returns the version of the current list, 0 if there is none.
func (e *endpointList) currentVersion() uint64 {
	e.guarded.mu.Lock()
	defer e.guarded.mu.Unlock()
	return e.version
}

// endpointDelta is a decoded and verified delta of the list.
type endpointDelta struct {
	put       []api.Server
	removed   []string
	checksums map[string]uint64 // of each row in the delta; 0: the row is removed
	checksum  uint64            // of all rows of the resulting list
}

// apply applies a delta to the list. clockMs is the present time on the clock to which the times in the list refer. If
// the delta does not fit the current version, apply changes nothing and returns an error.
func (e *endpointList) apply(r *versioned.DeltaReader, clockMs float64) error {
	e.guarded.mu.Lock()
	defer e.guarded.mu.Unlock()
	switch {
	case r.To <= e.version:
		return fmt.Errorf("server list version %d is not newer than current version %d", r.To, e.version)
	case r.From != 0 && r.From != e.version:
		return fmt.Errorf("server list delta is based on version %d, not the current version", r.From)
	}
	delta, err := e.read(r, clockMs)
	if err != nil {
		return err
	}
	missing := e.commit(r, delta)
	for _, id := range delta.removed {
		e.oneWay.MarkRemoved(id)
	}
	// A full list may come from a new leader with incomplete knowledge: servers missing from it are removed for now,
	// but may be added again unless they were draining.
	e.update(delta.put, append(delta.removed, missing...))
	e.log.Debug("servers applied", "version", r.To, "from", r.From, "changed", len(delta.put),
		"removed", len(delta.removed), "total", len(e.checksums))
	return nil
}

// read decodes the rows of a delta and verifies the checksum of the resulting list. It changes no state. Called under
// guardedLimiter.mu.
func (e *endpointList) read(r *versioned.DeltaReader, clockMs float64) (*endpointDelta, error) {
	d := &endpointDelta{checksums: map[string]uint64{}}
	if r.From != 0 { // otherwise the delta is a full list
		d.checksum = e.checksum
	}
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if r.From != 0 {
			d.checksum ^= e.checksums[row.Key]
		}
		if err = d.add(row, clockMs); err != nil {
			return nil, err
		}
	}
	if d.checksum != r.Checksum {
		return nil, versioned.ErrChecksum
	}
	return d, nil
}

// add decodes one row and adds it to the delta.
func (d *endpointDelta) add(row versioned.Row, clockMs float64) error {
	if row.Value == nil {
		d.removed, d.checksums[row.Key] = append(d.removed, row.Key), 0
		return nil
	}
	server, err := api.ParseServerRow(row.Key, row.Value, clockMs)
	if err != nil {
		return err
	}
	sum := versioned.RowChecksum(row.Key, row.Value)
	d.put, d.checksums[row.Key] = append(d.put, server), sum
	d.checksum ^= sum
	return nil
}

// commit applies a verified delta to the version and the checksums. It returns the servers of the previous list that a
// full list no longer contains. Called under guardedLimiter.mu.
func (e *endpointList) commit(r *versioned.DeltaReader, d *endpointDelta) (missing []string) {
	if r.From == 0 {
		for id := range e.checksums {
			if _, ok := d.checksums[id]; !ok {
				missing = append(missing, id)
			}
		}
		e.checksums = nil
	}
	if e.checksums == nil {
		e.checksums = make(map[string]uint64, len(d.checksums))
	}
	for id, sum := range d.checksums {
		if sum == 0 {
			delete(e.checksums, id)
		} else {
			e.checksums[id] = sum
		}
	}
	e.version, e.checksum, e.merged = r.To, d.checksum, nil
	return missing
}

// mergeDiscovered merges the response of the platform to a query of this gateway.
func (e *endpointList) mergeDiscovered(answer []api.Server) {
	e.guarded.mu.Lock()
	defer e.guarded.mu.Unlock()
	if e.merged == nil {
		e.merged = &discovery.EndpointList{}
		for _, m := range e.guarded.limiter.Members() {
			e.merged.Add(m.Server, 0)
		}
	}
	before := map[string]bool{}
	for server := range e.merged.All {
		before[server.ID] = true
	}
	e.merged.Merge(e.guarded.clock.nowMs(), answer)
	var put []api.Server
	for server := range e.merged.All {
		put = append(put, server)
		delete(before, server.ID)
	}
	var removed []string
	for id := range before {
		removed = append(removed, id)
	}
	e.version = max(e.version, 1) // there is a list now, even if no delta was ever applied
	e.update(put, removed)
}

// update passes changed and removed servers to the limiter and the connection pool. Called under guardedLimiter.mu.
func (e *endpointList) update(put []api.Server, removed []string) {
	kept := put[:0]
	for _, server := range put {
		if e.oneWay.Apply(&server) {
			kept = append(kept, server)
		} else {
			removed = append(removed, server.ID)
		}
	}
	e.guarded.limiter.ChangeServers(e.guarded.clock.nowMs(), kept, removed)
	for _, server := range kept {
		e.pool.Update(server.ID, server.Addr, 0, server.State != api.Draining)
	}
	for _, id := range removed {
		e.pool.Remove(id)
	}
}

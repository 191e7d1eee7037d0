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

// endpointList is the list of servers as it is held here. The limiter decides by the servers themselves; this is what
// is needed to apply the next delta. It changes in one step with the limiter, so the limiter's mutex guards it.
type endpointList struct {
	log     *slog.Logger
	guarded *guardedLimiter
	pool    *connpool.Pool[string]

	version   uint64                  // guarded by guardedLimiter.mu; 0: none is held
	checksum  uint64                  // guarded by guardedLimiter.mu; over all rows
	checksums map[string]uint64       // guarded by guardedLimiter.mu; of each row
	oneWay    discovery.OneWayStates  // guarded by guardedLimiter.mu; draining and removed servers stay so
	merged    *discovery.EndpointList // guarded by guardedLimiter.mu; of this gateway's own queries; nil: none
}

// currentVersion returns the version of the list that is held, 0 if none.
func (e *endpointList) currentVersion() uint64 {
	e.guarded.mu.Lock()
	defer e.guarded.mu.Unlock()
	return e.version
}

// endpointDelta is a delta of the list, read and verified.
type endpointDelta struct {
	put       []api.Server
	removed   []string
	checksums map[string]uint64 // of the rows in it; 0: the row was removed
	checksum  uint64            // over all rows of the list that it makes
}

// apply takes over a delta of the list, at a time on the list's clock. Nothing of it holds where it doesn't fit the
// version that is held.
func (e *endpointList) apply(r *versioned.DeltaReader, clockMs float64) error {
	e.guarded.mu.Lock()
	defer e.guarded.mu.Unlock()
	switch {
	case r.To <= e.version:
		return fmt.Errorf("version %d is not above %d", r.To, e.version)
	case r.From != 0 && r.From != e.version:
		return fmt.Errorf("a delta on version %d", r.From)
	}
	delta, err := e.read(r, clockMs)
	if err != nil {
		return err
	}
	missing := e.commit(r, delta)
	for _, id := range delta.removed {
		e.oneWay.MarkRemoved(id)
	}
	// A whole list may be one of a new leader that knows less: what it does not have is not used now, but may come back
	// unless it was draining.
	e.update(delta.put, append(delta.removed, missing...))
	e.log.Debug("servers applied", "version", r.To, "from", r.From, "changed", len(delta.put),
		"removed", len(delta.removed), "total", len(e.checksums))
	return nil
}

// read reads the rows of a delta and verifies the checksum of the list that it makes. It changes nothing. Called under
// guardedLimiter.mu.
func (e *endpointList) read(r *versioned.DeltaReader, clockMs float64) (*endpointDelta, error) {
	d := &endpointDelta{checksums: map[string]uint64{}}
	if r.From != 0 { // else the delta is the whole list
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

// add takes in one row.
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

// commit makes the list the one that a delta leads to. It returns the servers that a whole list does not have any
// more. Called under guardedLimiter.mu.
func (e *endpointList) commit(r *versioned.DeltaReader, d *endpointDelta) (missing []string) {
	if r.From == 0 {
		for id := range e.checksums {
			if _, is := d.checksums[id]; !is {
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

// mergeDiscovered takes in an answer of the platform that this gateway asked for itself.
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
	e.version = max(e.version, 1)
	e.update(put, removed)
}

// update has the limiter and the connection pool know what changed. Called under guardedLimiter.mu.
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

package dataplane

import (
	"errors"
	"fmt"
	"io"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/versioned"
)

// servers is the list of servers as it is held here. The limiter in it decides
// by it; this is what is needed to take in the next difference.
type servers struct {
	version uint64
	sum     uint64            // over the rows
	marks   map[string]uint64 // of each row
	latch   discovery.OneWayStates
	roster  *discovery.EndpointList // of answers that this limiter had itself
}

// ApplyConfig takes over what changed in the configuration. Nothing of it holds
// where it does not fit the version that is held.
func (g *Gateway) ApplyConfig(r *versioned.DeltaReader) error {
	begun := time.Now()
	v, plans, err := g.view.Load().with(r)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.limiter.ChangePlans(inMs(g.now()), plans.put, plans.drop)
	g.mu.Unlock()
	g.view.Store(v)
	g.log.Info("configuration", "revision", v.revision, "from", r.From, "rows", r.RowCount, "of", v.marks.Len(), "tenants", v.tenants.Len(),
		"took_ms", time.Since(begun).Milliseconds())
	return nil
}

// Revision is the version in force, 0 if none.
func (g *Gateway) Revision() uint64 {
	if v := g.view.Load(); v != nil {
		return v.revision
	}
	return 0
}

// ExtendLease extends the lease of a limiter that asked at a time since the start.
func (g *Gateway) ExtendLease(asked time.Duration) {
	g.leaseTo.Store(max(g.leaseTo.Load(), int64(asked+g.lease)))
}

// Uptime returns the time since the start, for Grant.
func (g *Gateway) Uptime() time.Duration { return g.now() }

// EndpointsVersion is the version of the list that is held, 0 if none.
func (g *Gateway) EndpointsVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers.version
}

// ApplyEndpoints takes over what changed in the list of servers, at a time on the
// list's clock. What was seen draining or gone here stays so.
func (g *Gateway) ApplyEndpoints(r *versioned.DeltaReader, clockMs float64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.servers
	switch {
	case r.To <= s.version:
		return fmt.Errorf("version %d is not above %d", r.To, s.version)
	case r.From != 0 && r.From != s.version:
		return fmt.Errorf("a difference on version %d", r.From)
	}
	var put []api.Server
	var gone []string
	sum, marks := s.sum, map[string]uint64{} // 0: the row went
	if r.From == 0 {
		sum = 0
	}
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if r.From != 0 {
			sum ^= s.marks[row.Key]
		}
		if row.Value == nil {
			gone, marks[row.Key] = append(gone, row.Key), 0
			continue
		}
		m, err := api.ParseServerRow(row.Key, row.Value, clockMs)
		if err != nil {
			return err
		}
		put, marks[row.Key] = append(put, m), versioned.RowChecksum(row.Key, row.Value)
		sum ^= marks[row.Key]
	}
	if sum != r.Checksum {
		return versioned.ErrChecksum
	}
	var missing []string
	if r.From == 0 {
		for id := range s.marks {
			if _, is := marks[id]; !is {
				missing = append(missing, id)
			}
		}
		s.marks = nil
	}
	if s.marks == nil {
		s.marks = make(map[string]uint64, len(marks))
	}
	for id, mark := range marks {
		if mark == 0 {
			delete(s.marks, id)
		} else {
			s.marks[id] = mark
		}
	}
	s.version, s.sum, s.roster = r.To, sum, nil
	for _, id := range gone {
		s.latch.MarkRemoved(id)
	}
	// A whole list may be one of a new leader that was told less: what it does not
	// have is not used now, but may come back unless it was draining.
	g.changeServers(put, append(gone, missing...))
	g.log.Debug("servers", "version", r.To, "from", r.From, "changed", len(put), "gone", len(gone), "of", len(s.marks))
	return nil
}

// MergeDiscovered takes in an answer of the platform that this limiter asked for
// itself, as the core is silent.
func (g *Gateway) MergeDiscovered(answer []api.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.servers
	if s.roster == nil {
		s.roster = &discovery.EndpointList{}
		for _, m := range g.limiter.Members() {
			s.roster.Add(m.Server, 0)
		}
	}
	before := map[string]bool{}
	for m := range s.roster.All {
		before[m.ID] = true
	}
	s.roster.Merge(inMs(g.now()), answer)
	var put []api.Server
	for m := range s.roster.All {
		put = append(put, m)
		delete(before, m.ID)
	}
	var gone []string
	for id := range before {
		gone = append(gone, id)
	}
	s.version = max(s.version, 1)
	g.changeServers(put, gone)
}

// changeServers has the limiter and the pool know what changed. Called under the mutex.
func (g *Gateway) changeServers(put []api.Server, gone []string) {
	kept := put[:0]
	for _, m := range put {
		if g.servers.latch.Apply(&m) {
			kept = append(kept, m)
		} else {
			gone = append(gone, m.ID)
		}
	}
	g.limiter.ChangeServers(inMs(g.now()), kept, gone)
	for _, m := range kept {
		g.pool.Update(m.ID, m.Addr, 0, m.State != api.Draining)
	}
	for _, id := range gone {
		g.pool.Remove(id)
	}
}

package controlplane

import (
	"fmt"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// simulatedDisk is the part of a store that survives a power failure.
type simulatedDisk struct {
	id     raft.ID
	stored raft.PersistentState
}

// holds reports whether the entry of an index and term is stored, or covered by the snapshot.
func (d *simulatedDisk) holds(index, term uint64) bool {
	if index <= d.stored.Snapshot.Index {
		return true
	}
	i := index - d.stored.Snapshot.Index - 1
	return i < uint64(len(d.stored.Entries)) && d.stored.Entries[i].Term == term
}

// lastIndex returns the index of the last stored entry.
func (d *simulatedDisk) lastIndex() uint64 {
	return d.stored.Snapshot.Index + uint64(len(d.stored.Entries))
}

// Identity returns the id of the member. With the methods below, memberProcess implements the Store of its core.
func (p *memberProcess) Identity() (raft.ID, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.disk.id, nil
}

// Load returns the stored state.
func (p *memberProcess) Load() (raft.PersistentState, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	stored := p.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	return stored, nil
}

// Initialize stores the identity and the first snapshot of a new member.
func (p *memberProcess) Initialize(id raft.ID, first raft.Snapshot) error {
	return p.write(func(d *simulatedDisk) {
		*d = simulatedDisk{id: id, stored: raft.PersistentState{Snapshot: first}}
	})
}

// Save stores the hard state, snapshot and entries of a batch.
func (p *memberProcess) Save(r raft.Ready) error {
	return p.write(func(d *simulatedDisk) {
		s := &d.stored
		if r.HardState != nil {
			s.HardState = *r.HardState
		}
		if r.Snapshot != nil {
			s.Snapshot, s.Entries = *r.Snapshot, nil
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - s.Snapshot.Index - 1
			s.Entries = append(slices.Clone(s.Entries[:keep]), r.Entries...)
		}
	})
}

// Compact replaces the entries up to the index of a snapshot by that snapshot.
func (p *memberProcess) Compact(snapshot raft.Snapshot) error {
	return p.write(func(d *simulatedDisk) {
		s := &d.stored
		if snapshot.Index > s.Snapshot.Index {
			s.Entries = slices.Clone(s.Entries[snapshot.Index-s.Snapshot.Index:])
			s.Snapshot = snapshot
		}
	})
}

// writePlan is the outcome that was drawn for a write.
type writePlan struct {
	duration        time.Duration
	fails           bool
	keptOnFailure   bool // the write is durable although it reports a failure
	findsCorruption bool // the write detects that the disk is corrupt
}

// planWrite draws the outcome of a write. The caller holds the mutex.
func (p *memberProcess) planWrite() writePlan {
	m, faultsEnded, now := p.machine, p.cluster.faultsEnded, time.Now()
	plan := writePlan{duration: time.Duration(1+m.rng.IntN(20)) * time.Millisecond}
	if !faultsEnded && (now.Before(m.writesSlowUntil) || m.rng.IntN(50) == 0) {
		plan.duration = time.Duration(1+m.rng.IntN(2000)) * time.Millisecond
	}
	plan.fails = now.Before(m.writesFailUntil) && !faultsEnded
	plan.keptOnFailure = m.rng.IntN(4) == 0
	plan.findsCorruption = m.corrupt
	return plan
}

// write applies a change to the disk after a delay. The change is durable once write returns
// without an error; a change that failed may be durable too.
func (p *memberProcess) write(change func(*simulatedDisk)) error {
	c := p.cluster
	c.mu.Lock()
	if p.ctx.Err() != nil {
		c.mu.Unlock()
		return errPowerLost
	}
	next := *p.disk
	change(&next)
	p.unsynced = &next.stored
	plan := p.planWrite()
	c.mu.Unlock()
	select {
	case <-time.After(plan.duration):
	case <-p.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.unsynced = nil
	switch {
	case p.ctx.Err() != nil: // powerOff has decided whether the write is kept
		return errPowerLost
	case plan.findsCorruption && p.machine.corrupt:
		return fmt.Errorf("%w: acknowledged entries are missing", storage.ErrCorrupt)
	case plan.fails && !plan.keptOnFailure:
		return errNoSpace
	}
	*p.disk = next
	if plan.fails {
		return errNoSpace
	}
	return nil
}

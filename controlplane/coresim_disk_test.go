package controlplane

import (
	"fmt"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// simulatedDisk is what a store keeps over a loss of power.
type simulatedDisk struct {
	id     raft.ID
	stored raft.PersistentState
}

// holds reports whether an entry is stored.
func (d *simulatedDisk) holds(index, term uint64) bool {
	if index <= d.stored.Snapshot.Index {
		return true
	}
	i := index - d.stored.Snapshot.Index - 1
	return i < uint64(len(d.stored.Entries)) && d.stored.Entries[i].Term == term
}

// lastIndex is the index of the last entry that is stored.
func (d *simulatedDisk) lastIndex() uint64 {
	return d.stored.Snapshot.Index + uint64(len(d.stored.Entries))
}

// Identity and the methods after it make a memberProcess the Store of its core.
func (p *memberProcess) Identity() (raft.ID, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.disk.id, nil
}

// Load returns what is stored.
func (p *memberProcess) Load() (raft.PersistentState, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	stored := p.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	return stored, nil
}

// Initialize begins a store.
func (p *memberProcess) Initialize(id raft.ID, first raft.Snapshot) error {
	return p.write(func(d *simulatedDisk) {
		*d = simulatedDisk{id: id, stored: raft.PersistentState{Snapshot: first}}
	})
}

// Save stores a batch.
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

// Compact replaces entries by a snapshot.
func (p *memberProcess) Compact(snapshot raft.Snapshot) error {
	return p.write(func(d *simulatedDisk) {
		s := &d.stored
		if snapshot.Index > s.Snapshot.Index {
			s.Entries = slices.Clone(s.Entries[snapshot.Index-s.Snapshot.Index:])
			s.Snapshot = snapshot
		}
	})
}

// writePlan is how a write goes.
type writePlan struct {
	takes   time.Duration
	fails   bool
	kept    bool // although it fails
	corrupt bool // it finds out that the disk is
}

// planWrite draws how a write goes. Called under the mutex.
func (p *memberProcess) planWrite() writePlan {
	m, calm, now := p.machine, p.cluster.calm, time.Now()
	plan := writePlan{takes: time.Duration(1+m.rng.IntN(20)) * time.Millisecond}
	if !calm && (now.Before(m.slowUntil) || m.rng.IntN(50) == 0) {
		plan.takes = time.Duration(1+m.rng.IntN(2000)) * time.Millisecond
	}
	plan.fails = now.Before(m.failsUntil) && !calm
	plan.kept = m.rng.IntN(4) == 0
	plan.corrupt = m.corrupt
	return plan
}

// write changes the disk. It takes a while, and is durable when it returns. One that fails may
// have been kept.
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
	case <-time.After(plan.takes):
	case <-p.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.unsynced = nil
	switch {
	case p.ctx.Err() != nil: // powerOff has decided what is kept
		return errPowerLost
	case plan.corrupt && p.machine.corrupt:
		return fmt.Errorf("%w: something acknowledged is gone", storage.ErrCorrupt)
	case plan.fails && !plan.kept:
		return errNoSpace
	}
	*p.disk = next
	if plan.fails {
		return errNoSpace
	}
	return nil
}

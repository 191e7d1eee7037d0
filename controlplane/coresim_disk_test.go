package controlplane

import (
	"fmt"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// platter is what a store keeps over a loss of power.
type platter struct {
	id     raft.ID
	stored raft.PersistentState
}

// holds tells whether an entry is stored.
func (p *platter) holds(index, term uint64) bool {
	if index <= p.stored.Snapshot.Index {
		return true
	}
	i := index - p.stored.Snapshot.Index - 1
	return i < uint64(len(p.stored.Entries)) && p.stored.Entries[i].Term == term
}

func (l *life) Identity() (raft.ID, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.p.id, nil
}

func (l *life) Load() (raft.PersistentState, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	st := l.p.stored
	st.Entries = slices.Clone(st.Entries)
	return st, nil
}

func (l *life) Initialize(id raft.ID, first raft.Snapshot) error {
	return l.write(func(p *platter) { *p = platter{id: id, stored: raft.PersistentState{Snapshot: first}} })
}

func (l *life) Save(r raft.Ready) error {
	return l.write(func(p *platter) {
		s := &p.stored
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

func (l *life) Compact(snap raft.Snapshot) error {
	return l.write(func(p *platter) {
		if s := &p.stored; snap.Index > s.Snapshot.Index {
			s.Entries, s.Snapshot = slices.Clone(s.Entries[snap.Index-s.Snapshot.Index:]), snap
		}
	})
}

// write takes its time, and lasts when it returns. One that fails may have been kept.
func (l *life) write(change func(*platter)) error {
	w, m := l.w, l.m
	w.mu.Lock()
	if l.ctx.Err() != nil {
		w.mu.Unlock()
		return errPower
	}
	next := *l.p
	change(&next)
	l.pending = &next.stored
	now := time.Now()
	takes := time.Duration(1+m.rng.IntN(20)) * time.Millisecond
	if !w.calm && (now.Before(m.slow) || m.rng.IntN(50) == 0) {
		takes = time.Duration(1+m.rng.IntN(2000)) * time.Millisecond
	}
	fails, kept, corrupt := now.Before(m.fails) && !w.calm, m.rng.IntN(4) == 0, m.corrupt
	w.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-l.ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.pending = nil
	switch {
	case l.ctx.Err() != nil: // powerOff has decided what is kept
		return errPower
	case corrupt && m.corrupt:
		return fmt.Errorf("%w: something promised is gone", storage.ErrCorrupt)
	case fails && !kept:
		return errDisk
	}
	*l.p = next
	if fails {
		return errDisk
	}
	return nil
}

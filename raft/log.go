package raft

import "slices"

// entryLog is the in-memory log of a member: the latest snapshot and the entries after base. Some
// entries before the snapshot are kept for followers that lag slightly.
//
// base <= snapshot.Index <= committed <= lastIndex, and applied <= committed. The term of a
// committed index never changes.
type entryLog struct {
	snapshot  Snapshot
	base      uint64  // index just before the first entry in entries
	baseTerm  uint64  // term of the entry at base
	entries   []Entry // starting at base+1
	committed uint64  // highest index known to be committed
	applied   uint64  // highest index that the host has applied
	persisted uint64  // highest index that the host has stored
}

// newEntryLog returns the log of a member that starts from its stored state.
func newEntryLog(s PersistentState) entryLog {
	l := entryLog{
		snapshot:  s.Snapshot,
		base:      s.Snapshot.Index,
		baseTerm:  s.Snapshot.Term,
		entries:   s.Entries,
		committed: s.Snapshot.Index,
		applied:   s.Snapshot.Index,
	}
	l.persisted = l.lastIndex()
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at an index, 0 if the log does not hold that index.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index > l.base && index <= l.lastIndex():
		return l.entries[index-l.base-1].Term
	}
	return 0
}

// entriesAfter returns up to maxEntries entries after an index.
func (l *entryLog) entriesAfter(index uint64, maxEntries int) []Entry {
	if index >= l.lastIndex() || index < l.base {
		return nil
	}
	entries := l.entries[index-l.base:]
	return slices.Clip(entries[:min(maxEntries, len(entries))])
}

// replaceAfter replaces all entries after an index.
func (l *entryLog) replaceAfter(index uint64, entries []Entry) {
	kept := l.entries[:index-l.base]
	l.entries = append(slices.Clip(kept), entries...)
	l.persisted = min(l.persisted, index)
}

// covers reports whether the log already has all entries that a snapshot contains.
func (l *entryLog) covers(s *Snapshot) bool {
	return s.Index <= l.committed || s.Index <= l.lastIndex() && l.term(s.Index) == s.Term
}

// restore replaces the log with a snapshot. It leaves applied as it is: the host has yet to apply
// the snapshot.
func (l *entryLog) restore(s *Snapshot) {
	l.snapshot, l.entries = *s, nil
	l.base, l.baseTerm = s.Index, s.Term
	l.committed, l.persisted = s.Index, s.Index
}

// isUpToDate reports whether a log whose last entry has this index and term is at least as up to
// date as this one. A candidate with such a log has every entry that this member may have helped
// to commit (3.6.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}

// entryOverheadBytes is the estimated size of an entry without its data, and of each member in it.
const entryOverheadBytes = 64

// entrySize returns the estimated size of an entry, which counts toward the limits on memory and
// messages.
func entrySize(e *Entry) int { return len(e.Data) + entryOverheadBytes*(1+len(e.Members)) }

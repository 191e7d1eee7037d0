package raft

import "slices"

// entryLog is the log of one member, as it is in memory: the latest snapshot, and the entries
// behind base. Some entries before the snapshot stay, for followers that are a little behind.
//
// base <= snapshot.Index <= committed <= lastIndex, and applied <= committed. The term at an
// index up to committed never changes.
type entryLog struct {
	snapshot  Snapshot
	base      uint64  // index of the entry before the first that is held
	baseTerm  uint64  // term of the entry at base
	entries   []Entry // from base+1 on
	committed uint64  // highest index that is known to be committed
	applied   uint64  // highest index that the host has applied
	persisted uint64  // highest index that the host has stored
}

// newEntryLog returns the log of a member that starts with what its disk holds.
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

// lastIndex is the index of the last entry.
func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

// lastTerm is the term of the last entry.
func (l *entryLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term is the term of the entry at an index; 0 where it is not known.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index > l.base && index <= l.lastIndex():
		return l.entries[index-l.base-1].Term
	}
	return 0
}

// entriesAfter returns up to maxEntries entries behind an index.
func (l *entryLog) entriesAfter(index uint64, maxEntries int) []Entry {
	if index >= l.lastIndex() || index < l.base {
		return nil
	}
	entries := l.entries[index-l.base:]
	return slices.Clip(entries[:min(maxEntries, len(entries))])
}

// replaceAfter puts entries behind an index, in place of those that are there.
func (l *entryLog) replaceAfter(index uint64, entries []Entry) {
	kept := l.entries[:index-l.base]
	l.entries = append(slices.Clip(kept), entries...)
	l.persisted = min(l.persisted, index)
}

// covers reports whether all entries that a snapshot stands for are here.
func (l *entryLog) covers(s *Snapshot) bool {
	return s.Index <= l.committed || s.Index <= l.lastIndex() && l.term(s.Index) == s.Term
}

// restore replaces the log by a snapshot. The host has not applied it yet.
func (l *entryLog) restore(s *Snapshot) {
	l.snapshot, l.entries = *s, nil
	l.base, l.baseTerm = s.Index, s.Term
	l.committed, l.persisted = s.Index, s.Index
}

// isUpToDate reports whether a candidate whose last entry has this index and term holds every
// entry that this member may have helped to commit (3.6.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}

// entryOverheadBytes is what an entry, and each member in it, counts beside its data.
const entryOverheadBytes = 64

// entrySize is what an entry counts toward the bounds on memory and messages, in bytes.
func entrySize(e *Entry) int { return len(e.Data) + entryOverheadBytes*(1+len(e.Members)) }

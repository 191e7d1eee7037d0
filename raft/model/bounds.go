package model

import "fmt"

// Bounds limit how often each action happens, and describe the state at the start. A zero means
// never, unless the field says something else.
type Bounds struct {
	Members    int // voters at the start
	Elections  int // elections begun
	Candidates int // only the first so many members begin elections; 0: all
	Values     int // values proposed
	Heartbeats int // heartbeat rounds that begin by time alone
	Crashes    int // members that stop and start again with their disks
	StepDowns  int // leaders that step down by themselves
	Duplicates int // messages that are delivered twice
	Changes    int // membership changes by one voter
	Swaps      int // membership changes of one voter for another, by joint consensus
	// LeaderAtStart has member 1 elected at the start, and all members know it.
	LeaderAtStart bool
	SwappedOut    int // the only member that a swap takes the vote from; 0: any
	Snapshots     int // logs that are compacted
	Chunks        int // messages that a snapshot takes; 0: one
	Trailing      int // entries that stay in the log behind a snapshot
	Damaged       int // snapshot chunks that are delivered with other bytes
	// InFlight is how many messages may be on their way from one member to another. The oldest
	// is lost for each one more.
	InFlight   int
	MaxEntries int // entries of one message; 0: the default of raft.Config
}

// String lists the bounds for the report of an exploration.
func (b Bounds) String() string {
	candidates := b.Candidates
	if candidates == 0 {
		candidates = b.Members
	}
	return fmt.Sprintf("%d members, %d elections by %d, %d values, %d heartbeats, %d crashes, %d step-downs, "+
		"%d duplicates, %d changes, %d swaps, %d snapshots in %d chunks, %d trailing entries, %d damaged, %d in flight",
		b.Members, b.Elections, candidates, b.Values, b.Heartbeats, b.Crashes, b.StepDowns,
		b.Duplicates, b.Changes, b.Swaps, b.Snapshots, max(1, b.Chunks), b.Trailing, b.Damaged, b.InFlight)
}

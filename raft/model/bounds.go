package model

import "fmt"

// Bounds limits how often each action happens, and describes the initial state. Zero means never,
// unless the comment on the field says otherwise.
type Bounds struct {
	Members    int // voters in the initial state
	Elections  int // elections started
	Candidates int // number of members, from the first, that may start elections; 0: all
	Values     int // values proposed
	Heartbeats int // heartbeat rounds started by the heartbeat timer
	Crashes    int // members that crash and restart from their disks
	StepDowns  int // leaders whose host makes them step down
	Duplicates int // messages that are delivered twice
	Changes    int // membership changes that add or remove one voter
	Swaps      int // membership changes that replace one voter with another, by joint consensus
	// LeaderAtStart makes member 1 the elected leader in the initial state, known to all members.
	LeaderAtStart   bool
	SwappedOut      int // the only voter that a swap may remove; 0: any
	Snapshots       int // log compactions
	Chunks          int // messages that a snapshot takes; 0: one
	TrailingEntries int // entries before a snapshot that are kept in the log
	CorruptedChunks int // snapshot chunks that are corrupted in transit
	// InFlight is the maximum number of messages in flight from one member to another. A further
	// message displaces the oldest, which is lost.
	InFlight   int
	MaxEntries int // maximum number of entries in a message; 0: the default of raft.Config
}

// String returns the bounds as one line for the report of an exploration.
func (b Bounds) String() string {
	candidates := b.Candidates
	if candidates == 0 {
		candidates = b.Members
	}
	return fmt.Sprintf("%d members, %d elections by %d, %d values, %d heartbeats, %d crashes, %d step-downs, "+
		"%d duplicates, %d changes, %d swaps, %d snapshots in %d chunks, %d trailing entries, "+
		"%d corrupted chunks, %d in flight",
		b.Members, b.Elections, candidates, b.Values, b.Heartbeats, b.Crashes, b.StepDowns,
		b.Duplicates, b.Changes, b.Swaps, b.Snapshots, max(1, b.Chunks), b.TrailingEntries,
		b.CorruptedChunks, b.InFlight)
}

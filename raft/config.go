package raft

import "cmp"

// Config are the settings of a member. Times are in ticks of the host.
type Config struct {
	ID ID
	// ElectionTicks is the minimum time without a leader before an election; the time
	// itself is drawn from there up to twice as long.
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats of a leader.
	HeartbeatTicks int
	// Seed seeds the random source, together with ID.
	Seed uint64
	// MaxEntriesPerMessage bounds the entries of one message. 0: 32.
	MaxEntriesPerMessage int

	// SnapshotEntries and SnapshotBytes are how far the applied log grows beyond the last
	// snapshot before the next one is due ([Node.SnapshotDue]). 0: 64 entries, 512 KB.
	SnapshotEntries, SnapshotBytes int
	// TrailingEntries stay in the log behind a snapshot, for followers that are a little
	// behind. 0: 64; negative: none.
	TrailingEntries int
	// ChunkBytes is the size of one chunk of a snapshot, and MaxInflightChunks how many are
	// sent before one is acknowledged. 0: 16 KB, 2 chunks.
	ChunkBytes, MaxInflightChunks int
	// ValidateSnapshot, where set, returns an error if the host can't restore a snapshot;
	// it is then refused. It must depend on the snapshot alone.
	ValidateSnapshot func(*Snapshot) error
}

const (
	defaultMaxEntries      = 32
	defaultSnapshotEntries = 64
	defaultSnapshotBytes   = 512 << 10
	defaultTrailingEntries = 64
	// A link of 1 Mbit/s carries a chunk in 130 ms, a quarter of an election time.
	defaultChunkBytes     = 16 << 10
	defaultInflightChunks = 2
)

// withDefaults returns the settings with the defaults in place of those that are 0.
func (c Config) withDefaults() Config {
	c.MaxEntriesPerMessage = cmp.Or(c.MaxEntriesPerMessage, defaultMaxEntries)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, defaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, defaultSnapshotBytes)
	c.TrailingEntries = cmp.Or(c.TrailingEntries, defaultTrailingEntries)
	c.ChunkBytes = cmp.Or(c.ChunkBytes, defaultChunkBytes)
	c.MaxInflightChunks = cmp.Or(c.MaxInflightChunks, defaultInflightChunks)
	return c
}

package raft

import "cmp"

// Config holds the settings of a member. Durations are in ticks of the host.
type Config struct {
	ID ID
	// ElectionTicks is the minimum election timeout. The actual timeout is drawn at random
	// between this and twice this.
	ElectionTicks int
	// HeartbeatTicks is the interval between the heartbeats of a leader.
	HeartbeatTicks int
	// Seed seeds the random source, together with ID.
	Seed uint64
	// MaxEntriesPerMessage is the maximum number of entries in one message. 0: 32.
	MaxEntriesPerMessage int

	// SnapshotEntries and SnapshotBytes are how far the applied log may grow beyond the last
	// snapshot before the next one is due ([Node.SnapshotDue]). 0: 64 entries, 512 KB.
	SnapshotEntries, SnapshotBytes int
	// TrailingEntries is the maximum number of entries before a snapshot that are kept in the
	// log for followers that lag slightly. 0: 64; negative: none.
	TrailingEntries int
	// ChunkBytes is the size of a snapshot chunk, and MaxInflightChunks the maximum number of
	// chunks that are sent but not acknowledged. 0: 16 KB, 2 chunks.
	ChunkBytes, MaxInflightChunks int
	// ValidateSnapshot, if set, returns an error if the host can't restore a snapshot, which
	// is then rejected. The result must depend on the snapshot alone.
	ValidateSnapshot func(*Snapshot) error
}

const (
	defaultMaxEntries      = 32
	defaultSnapshotEntries = 64
	defaultSnapshotBytes   = 512 << 10
	defaultTrailingEntries = 64
	// A link of 1 Mbit/s transmits a chunk in 130 ms, a quarter of an election timeout.
	defaultChunkBytes     = 16 << 10
	defaultInflightChunks = 2
)

// withDefaults returns the settings with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	c.MaxEntriesPerMessage = cmp.Or(c.MaxEntriesPerMessage, defaultMaxEntries)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, defaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, defaultSnapshotBytes)
	c.TrailingEntries = cmp.Or(c.TrailingEntries, defaultTrailingEntries)
	c.ChunkBytes = cmp.Or(c.ChunkBytes, defaultChunkBytes)
	c.MaxInflightChunks = cmp.Or(c.MaxInflightChunks, defaultInflightChunks)
	return c
}

package controlplane

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// Restore initializes an empty store as that of an initial voter, whose log starts with a snapshot
// of the given state. All seeds must be restored from the same state, and the control plane that
// the state comes from must never run again.
func Restore(store *storage.Store, addr string, seeds []string, s *State) error {
	id, err := store.Identity()
	if err != nil {
		return err
	}
	if id != 0 {
		return ErrStoreNotEmpty
	}
	if !slices.Contains(seeds, addr) {
		return fmt.Errorf("controlplane: %s is not one of the seeds %v; other members join with an empty directory",
			addr, seeds)
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("controlplane: encoding the state: %w", err)
	}
	first := raft.Snapshot{Index: 1, Term: 1, Data: data}
	for _, seed := range seeds {
		first.Members = append(first.Members, raft.Member{ID: BootstrapID(seed), Addr: seed, Voter: true})
	}
	return store.Initialize(BootstrapID(addr), first)
}

// Inspection is the content of a member's store.
type Inspection struct {
	ID     raft.ID
	Stored raft.PersistentState
	// State is the state after all log entries. It may contain changes that were never
	// acknowledged, because the log doesn't record which of its last entries are committed.
	State *State
}

// Inspect reads the store of a member that is not running. The error for a snapshot that can't be
// decoded is [storage.ErrCorrupt].
func Inspect(store *storage.Store) (*Inspection, error) {
	id, err := store.Identity()
	if err != nil {
		return nil, err
	}
	stored, err := store.Load()
	if err != nil {
		return nil, err
	}
	state := &State{}
	if len(stored.Snapshot.Data) > 0 {
		if err := cbor.Unmarshal(stored.Snapshot.Data, state); err != nil {
			return nil, fmt.Errorf("%w: decoding the snapshot: %w", storage.ErrCorrupt, err)
		}
	}
	for _, e := range stored.Entries {
		if len(e.Data) > 0 { // entries without data have no command
			state.Apply(e.Data)
		}
	}
	return &Inspection{ID: id, Stored: stored, State: state}, nil
}

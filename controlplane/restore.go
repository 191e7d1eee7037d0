package controlplane

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// Restore writes a state into an empty store: that of a first voter, whose log starts with
// this state. All seeds must be restored from the same state, and the control plane that had
// it before must be gone for good.
func Restore(store *storage.Store, addr string, seeds []string, s *State) error {
	id, err := store.Identity()
	if err != nil {
		return err
	}
	if id != 0 {
		return ErrStoreNotEmpty
	}
	if !slices.Contains(seeds, addr) {
		return fmt.Errorf("controlplane: %s is none of the seeds %v: it joins with an empty folder by itself",
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

// Inspection is what the store of a member holds.
type Inspection struct {
	ID     raft.ID
	Stored raft.PersistentState
	// State is the state with the whole log applied to it. It may hold changes that were not
	// acknowledged, as the log doesn't say which of its last entries are committed.
	State *State
}

// Inspect reads the store of a member that does not run. A snapshot that can't be decoded is
// a [storage.ErrCorrupt].
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
		if len(e.Data) > 0 { // an entry without data has no command
			state.Apply(e.Data)
		}
	}
	return &Inspection{ID: id, Stored: stored, State: state}, nil
}

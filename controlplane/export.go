package controlplane

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// An export is what the core agrees on, in one file: a line that names the format
// and its version, a checksum of what follows, the state in CBOR.
const (
	exportMagic = "elmspan state 1\n"
	exportHead  = len(exportMagic) + 4
)

// ErrInvalidExport tells that a file is no export, or not a whole one.
var ErrInvalidExport = errors.New("controlplane: this is no whole export of a state")

// Export writes a state.
func Export(s *State) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("controlplane: %w", err)
	}
	out := append([]byte(exportMagic), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(out[len(exportMagic):], crc32.ChecksumIEEE(body))
	return append(out, body...), nil
}

// Import reads and checks an export, down to the configuration in it.
func Import(data []byte) (*State, error) {
	if len(data) < exportHead || !bytes.HasPrefix(data, []byte(exportMagic)) {
		return nil, ErrInvalidExport
	}
	body := data[exportHead:]
	if binary.BigEndian.Uint32(data[len(exportMagic):]) != crc32.ChecksumIEEE(body) {
		return nil, fmt.Errorf("%w: its checksum is off", ErrInvalidExport)
	}
	s := &State{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidExport, err)
	}
	if s.Revision == 0 {
		return s, nil
	}
	conf, err := s.Config()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidExport, err)
	}
	if c, err := api.ParseConfig(conf); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidExport, err)
	} else if c.Revision != s.Revision {
		return nil, fmt.Errorf("%w: it says revision %d and holds %d", ErrInvalidExport, s.Revision, c.Revision)
	}
	if err := s.checkTaken(conf); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidExport, err)
	}
	return s, nil
}

// checkTaken tells what is wrong with the versions that are remembered, if
// anything: a core that begins with them answers orders that are sent again by them.
func (s *State) checkTaken(newest []byte) error {
	if len(s.Applied) > maxAppliedRevisions {
		return fmt.Errorf("%d versions are remembered, %d is the most", len(s.Applied), maxAppliedRevisions)
	}
	below := s.oldestRemembered() - 1
	for _, t := range s.Applied {
		if t.Revision <= below {
			return fmt.Errorf("revision %d is remembered after %d", t.Revision, below)
		}
		below = t.Revision
	}
	if k := len(s.Applied); k > 0 && (below != s.Revision || !s.Applied[k-1].matches(fingerprintOf(newest))) {
		return fmt.Errorf("revision %d is not the one that is remembered as the newest", s.Revision)
	}
	return nil
}

// Restore begins the state of a member in an empty store: as one of the first
// voters, with a state that all of them begin with. The core that had it before
// must be gone for good.
func Restore(store *storage.Store, addr string, seeds []string, s *State) error {
	if id, err := store.Identity(); err != nil {
		return err
	} else if id != 0 {
		return errors.New("controlplane: there is a state already; a restore begins with an empty folder")
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("controlplane: %w", err)
	}
	first := raft.Snapshot{Index: 1, Term: 1, Data: data}
	is := false
	for _, a := range seeds {
		first.Members = append(first.Members, raft.Member{ID: BootstrapID(a), Addr: a, Voter: true})
		is = is || a == addr
	}
	if !is {
		return fmt.Errorf("controlplane: %s is none of the seeds %v: it joins with an empty folder by itself", addr, seeds)
	}
	return store.Initialize(BootstrapID(addr), first)
}

// Inspect reads what a member's store holds: its id, its members, and the state
// with all of the log applied, which may have changes that were not acknowledged.
func Inspect(store *storage.Store) (id raft.ID, st raft.Stored, s *State, err error) {
	if id, err = store.Identity(); err != nil {
		return id, st, nil, err
	}
	if st, err = store.Load(); err != nil {
		return id, st, nil, err
	}
	s = &State{}
	if len(st.Snapshot.Data) > 0 {
		if err := cbor.Unmarshal(st.Snapshot.Data, s); err != nil {
			return id, st, nil, fmt.Errorf("%w: snapshot: %v", storage.ErrCorrupt, err)
		}
	}
	for _, e := range st.Entries {
		if len(e.Data) > 0 {
			s.Apply(e.Data)
		}
	}
	return id, st, s, nil
}

package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/raft"
)

// storeDir is the directory of the store on a faultDisk.
const storeDir = "/data/log"

// memberState is the state that a store holds for a member.
type memberState struct {
	ID raft.ID
	raft.PersistentState
}

func readState(s *Store) (state memberState, err error) {
	if state.ID, err = s.Identity(); err != nil {
		return state, err
	}
	state.PersistentState, err = s.Load()
	return state, err
}

func (s memberState) equal(o memberState) bool {
	return s.ID == o.ID && s.HardState == o.HardState && equalSnapshots(s.Snapshot, o.Snapshot) &&
		slices.EqualFunc(s.Entries, o.Entries, equalEntries)
}

func equalSnapshots(a, b raft.Snapshot) bool {
	return a.Index == b.Index && a.Term == b.Term && slices.Equal(a.Data, b.Data)
}

func equalEntries(a, b raft.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && slices.Equal(a.Data, b.Data)
}

func (s memberState) String() string {
	return fmt.Sprintf("member %d, term %d, snapshot %d, %d entries",
		s.ID, s.HardState.Term, s.Snapshot.Index, len(s.Entries))
}

func (s memberState) lastIndex() uint64 { return s.Snapshot.Index + uint64(len(s.Entries)) }

// testMember uses a store like a Raft member: it makes one call at a time, and repeats each
// call until it succeeds.
type testMember struct {
	rand         *rand.Rand
	id           raft.ID
	acknowledged memberState // after the last successful call
	pending      memberState // after the call in progress
	largeEntries bool        // entries have the size of real configurations
}

// storeCall is a call that changes a store.
type storeCall func(*Store) error

// nextCall returns a random call, and sets pending to the state after it.
func (m *testMember) nextCall() storeCall {
	m.pending = m.acknowledged
	m.pending.Entries = slices.Clone(m.acknowledged.Entries)
	switch draw := m.rand.IntN(20); {
	case m.acknowledged.ID == 0:
		return m.initialize()
	case draw == 0:
		return m.installSnapshot()
	case draw <= 2 && len(m.acknowledged.Entries) > 0:
		return m.compact()
	}
	return m.save()
}

func (m *testMember) initialize() storeCall {
	m.pending.ID, m.pending.Snapshot = m.id, raft.Snapshot{Data: m.data()}
	return func(s *Store) error { return s.Initialize(m.pending.ID, m.pending.Snapshot) }
}

// installSnapshot returns the call for a snapshot received from the leader.
func (m *testMember) installSnapshot() storeCall {
	snapshot := raft.Snapshot{
		Index: m.acknowledged.lastIndex() + 3,
		Term:  m.acknowledged.HardState.Term,
		Data:  m.data(),
	}
	m.pending.Snapshot, m.pending.Entries = snapshot, nil
	return func(s *Store) error { return s.Save(raft.Ready{Snapshot: &snapshot}) }
}

func (m *testMember) compact() storeCall {
	n := 1 + m.rand.IntN(len(m.acknowledged.Entries))
	snapshot := raft.Snapshot{
		Index: m.acknowledged.Snapshot.Index + uint64(n),
		Term:  m.acknowledged.HardState.Term,
		Data:  m.data(),
	}
	m.pending.Snapshot, m.pending.Entries = snapshot, m.pending.Entries[n:]
	return func(s *Store) error { return s.Compact(snapshot) }
}

func (m *testMember) save() storeCall {
	var ready raft.Ready
	if m.rand.IntN(3) == 0 {
		m.pending.HardState = raft.HardState{Term: m.acknowledged.HardState.Term + 1, Vote: m.id}
		ready.HardState = &m.pending.HardState
	}
	if ready.HardState == nil || m.rand.IntN(2) == 0 {
		ready.Entries = m.appendEntries()
	}
	return func(s *Store) error { return s.Save(ready) }
}

func (m *testMember) appendEntries() []raft.Entry {
	if n := len(m.acknowledged.Entries); n > 0 && m.rand.IntN(4) == 0 { // a new leader overwrites some
		m.pending.Entries = m.pending.Entries[:m.rand.IntN(n)]
	}
	kept := len(m.pending.Entries)
	for range 1 + m.rand.IntN(3) {
		m.pending.Entries = append(m.pending.Entries, raft.Entry{
			Index: m.pending.lastIndex() + 1,
			Term:  m.pending.HardState.Term,
			Data:  m.data(),
		})
	}
	return slices.Clone(m.pending.Entries[kept:])
}

func (m *testMember) data() []byte {
	n := m.rand.IntN(200)
	if m.largeEntries {
		n = []int{20, 3000, 41 << 10, 41 << 10, 150 << 10}[m.rand.IntN(5)]
	}
	data := make([]byte, n)
	for i := 0; i < n; i += 8 {
		var random [8]byte
		binary.LittleEndian.PutUint64(random[:], m.rand.Uint64())
		copy(data[i:], random[:])
	}
	return data
}

// start opens the store on a disk, like a process at its start. The stored state must be
// the acknowledged one, with or without the call that was in progress.
func (m *testMember) start(d *faultDisk) (*Store, error) {
	s, err := openStore(d, storeDir)
	if err != nil {
		return nil, err
	}
	s.reopenInterval = 0
	found, err := readState(s)
	if err == nil && !found.equal(m.acknowledged) && !found.equal(m.pending) {
		err = fmt.Errorf("acknowledged state lost: got %v, want %v", found, m.acknowledged)
	}
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	m.acknowledged, m.pending = found, found
	return s, nil
}

// startAndStop calls start and closes the store.
func (m *testMember) startAndStop(d *faultDisk) error {
	s, err := m.start(d)
	if err != nil {
		return err
	}
	return s.Close()
}

// run makes the given number of calls, or fewer if power is lost. With faults, the disk is
// sometimes temporarily full or unable to sync.
func (m *testMember) run(d *faultDisk, s *Store, calls int, faults bool) error {
	for range calls {
		call := m.nextCall()
		faultyAttempts := 0
		if faults && m.rand.IntN(4) == 0 {
			faultyAttempts = m.injectFault(d)
		}
		succeeded, err := m.callUntilDone(d, s, call, faultyAttempts)
		if err != nil {
			return err
		}
		if !succeeded { // power is lost
			return nil
		}
		m.acknowledged = m.pending
	}
	return nil
}

// injectFault makes the disk full or unable to sync, and returns the number of attempts of a
// call after which the fault ends.
func (m *testMember) injectFault(d *faultDisk) (attempts int) {
	attempts = 1 + m.rand.IntN(4)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full = m.rand.IntN(2) == 0; !d.full {
		d.failSyncs = attempts
	}
	return attempts
}

// callUntilDone repeats a call until it succeeds or power is lost. The faults end after the
// given number of attempts, and the store must then work again.
func (m *testMember) callUntilDone(
	d *faultDisk, s *Store, call storeCall, faultyAttempts int,
) (succeeded bool, err error) {
	for attempt := 0; ; attempt++ {
		err := call(s)
		if attempt >= faultyAttempts {
			d.clearFaults()
		}
		switch {
		case err == nil:
			return true, nil
		case !d.hasPower():
			return false, nil
		case errors.Is(err, ErrCorrupt):
			return false, fmt.Errorf("acknowledged state lost: %w", err)
		case attempt > faultyAttempts+1:
			return false, fmt.Errorf("the store still fails after the disk faults ended: %w", err)
		}
	}
}

// closeStore closes a store and ignores the error: a store must also survive a process that
// ends without closing it.
func closeStore(s *Store) { _ = s.Close() }

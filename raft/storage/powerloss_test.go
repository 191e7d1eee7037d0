package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"example.org/elmspan/raft"
)

// runWithPowerLosses runs a member and loses power several times, each at a random step.
// With faults, the disk also has temporary faults, see testMember.run. simulateBug may set a
// simulated bug of the store on the disk.
func runWithPowerLosses(seed uint64, faults bool, simulateBug func(*faultDisk)) error {
	r := rand.New(rand.NewPCG(seed, 1))
	m := &testMember{rand: r, id: raft.ID(r.Uint64() | 1), largeEntries: r.IntN(3) > 0}
	d := newFaultDisk()
	simulateBug(d)
	for run := range 4 {
		d.powerLossAt = 1 + r.IntN([]int{30, 100, 400}[r.IntN(3)])
		after, err := runUntilPowerLoss(m, d, faults)
		if err != nil {
			return fmt.Errorf("run %d: %w", run, err)
		}
		d = after
	}
	if err := m.startAndStop(d); err != nil {
		return fmt.Errorf("at the end: %w", err)
	}
	return nil
}

// runUntilPowerLoss runs a process until power is lost, and returns the disk with what
// survived.
func runUntilPowerLoss(m *testMember, d *faultDisk, faults bool) (after *faultDisk, err error) {
	r := m.rand
	s, err := m.start(d)
	if err != nil {
		if d.powerLost && !errors.Is(err, ErrCorrupt) {
			err = nil
		}
		return d.losePower(r), err
	}
	err = m.run(d, s, 1+r.IntN(30), faults)
	if r.IntN(2) == 0 { // the process ends before the power loss, or at the same time
		closeStore(s)
	}
	d.losePower(r) // so that background work of goleveldb can't change the disk any more
	if r.IntN(2) == 1 {
		closeStore(s)
	}
	after = d.losePower(r)
	closeStore(s)
	return after, err
}

func noBug(*faultDisk) {}

// After a power loss at any step, which loses any part of the data and directory entries
// that were not synced, all acknowledged data must be present, and the store must not be
// reported as corrupt.
func TestAcknowledgedDataSurvivesPowerLoss(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error { return runWithPowerLosses(seed, false, noBug) })
}

// Like the test above, on a disk that is temporarily full or fails syncs and drops the data.
// The store must recover by itself, without losing acknowledged data.
func TestAcknowledgedDataSurvivesPowerLossOnAFaultyDisk(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error { return runWithPowerLosses(seed, true, noBug) })
}

// Checks that the tests above detect a missing sync: without any one kind of sync, some
// seeds must lose acknowledged data.
func TestPowerLossFindsMissingSyncs(t *testing.T) {
	for name, simulateBug := range map[string]func(*faultDisk){
		"directories not synced": func(d *faultDisk) { d.skipDirSync = true },
		"journals not synced":    func(d *faultDisk) { d.skipSyncKind = "journal" },
		"manifests not synced":   func(d *faultDisk) { d.skipSyncKind = "MANIFEST" },
		"tables not synced":      func(d *faultDisk) { d.skipSyncKind = "table" },
		"seal not synced":        func(d *faultDisk) { d.skipSyncKind = "seal" },
	} {
		failed := runSeeds(40, func(seed uint64) error { return runWithPowerLosses(seed, false, simulateBug) })
		if len(failed) == 0 {
			t.Errorf("%s: not detected", name)
		}
		t.Logf("%s: detected by %d of %d seeds", name, len(failed), 40/seedDivisor)
	}
}

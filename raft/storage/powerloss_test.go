package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"example.org/elmspan/raft"
)

// runWithPowerLosses runs a member whose power is lost a few times, at any step of
// anything. plant may plant a fault into the disk.
func runWithPowerLosses(seed uint64, faults bool, plant func(*faultDisk)) error {
	r := rand.New(rand.NewPCG(seed, 1))
	m := &testMember{rand: r, id: raft.ID(r.Uint64() | 1), largeEntries: r.IntN(3) > 0}
	d := newFaultDisk()
	plant(d)
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

// runUntilPowerLoss runs a process until the power of the disk is lost, and returns the
// disk as it comes back.
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
	if r.IntN(2) == 0 { // the process ends before the power is lost, or with it
		closeStore(s)
	}
	d.losePower(r) // whatever goleveldb still does meets a disk without power
	if r.IntN(2) == 1 {
		closeStore(s)
	}
	after = d.losePower(r)
	closeStore(s)
	return after, err
}

func noFault(*faultDisk) {}

// Whatever step the power is lost at, and whichever of the names that were not synced are
// lost with it: everything that was acknowledged is there when the power comes back, and
// the store is never taken for a corrupt one.
func TestAcknowledgedDataSurvivesPowerLoss(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error { return runWithPowerLosses(seed, false, noFault) })
}

// The same with a disk that is full for a while, or fails to sync what it then forgets:
// the member comes back by itself, and nothing acknowledged is lost.
func TestAcknowledgedDataSurvivesPowerLossOnAFaultyDisk(t *testing.T) {
	checkSeeds(t, *diskSeeds, func(seed uint64) error { return runWithPowerLosses(seed, true, noFault) })
}

// The tests above find what they are there for: where a sync is left out, acknowledged
// data is lost.
func TestPowerLossFindsMissingSyncs(t *testing.T) {
	for name, plant := range map[string]func(*faultDisk){
		"folders not synced":   func(d *faultDisk) { d.skipDirSync = true },
		"journals not synced":  func(d *faultDisk) { d.skipSyncKind = "journal" },
		"manifests not synced": func(d *faultDisk) { d.skipSyncKind = "MANIFEST" },
		"tables not synced":    func(d *faultDisk) { d.skipSyncKind = "table" },
		"the seal not synced":  func(d *faultDisk) { d.skipSyncKind = "seal" },
	} {
		failed := runSeeds(40, func(seed uint64) error { return runWithPowerLosses(seed, false, plant) })
		if len(failed) == 0 {
			t.Errorf("%s: not found", name)
		}
		t.Logf("%s: found by %d seeds of %d", name, len(failed), 40/slowdown)
	}
}

package raft

import (
	"flag"
	"testing"
)

const safetySeeds = 1200

var faultSeeds = flag.Uint64("fault-seeds", 400, "number of runs of TestSafetyUnderDiskClockAndPartitionFaults")

// Under lost, delayed and duplicated messages, partitions, crashes and lost disks, no two members apply
// different entries at an index, no term has two leaders, and once the faults end every live member has
// every entry that was ever committed.
func TestSafetyUnderCrashesAndLostMessages(t *testing.T) {
	t.Parallel()
	installed, swaps := 0, 0
	for seed := range uint64(safetySeeds) {
		s := newSimCluster(t, seed)
		for range 600 {
			s.injectFault()
			s.step()
		}
		clear(s.isolated)
		s.awaitConvergence()
		installed += s.installed
		swaps += s.swaps
	}
	t.Log(installed, "snapshots installed,", swaps, "joint changes")
	if installed < 1000 {
		t.Errorf("%d snapshots were installed: too few for a meaningful result", installed)
	}
	if swaps < 300 {
		t.Errorf("%d joint changes: too few for a meaningful result", swaps)
	}
}

// The safety properties of TestSafetyUnderCrashesAndLostMessages also hold with disks that fail writes
// or are lost, members that pause and resume, clocks that run at different speeds, one-way
// partitions, power failures of all members, and a leader that crashes or loses its disk right after
// an acknowledgement. No leader confirms a read without having all entries committed before the read.
func TestSafetyUnderDiskClockAndPartitionFaults(t *testing.T) {
	t.Parallel()
	confirmed, committed := 0, 0
	for seed := range *faultSeeds {
		s := newFaultySimCluster(t, seed+1_000_000)
		for range 500 {
			s.injectFault()
			s.step()
		}
		s.endFaults()
		s.awaitConvergence()
		confirmed, committed = confirmed+s.readsConfirmed, committed+len(s.committed)
	}
	t.Log(confirmed, "reads confirmed,", committed, "entries committed")
	if n := int(*faultSeeds); confirmed < n || committed < 10*n {
		t.Errorf("%d reads confirmed and %d entries committed in %d runs: too few for a meaningful result",
			confirmed, committed, n)
	}
}

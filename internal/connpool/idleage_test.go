package connpool

import (
	"testing"
	"time"
)

// When connections fail beyond some idle time, they are no longer used, connections with
// shorter idle times still are, and after a while the longer ones are tried again.
func TestFailuresLimitTheIdleAge(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleTimeStats{updatedAt: now}
	a.updateLimit()
	if a.limit != unlimited {
		t.Fatalf("limit %v before any exchange", a.limit)
	}
	for range 50 {
		a.add(now, idleGroup(10*time.Millisecond), false)
		a.add(now, idleGroup(80*time.Millisecond), false)
	}
	a.add(now, idleGroup(150*time.Millisecond), true)
	if a.limit != unlimited {
		t.Errorf("limit %v after one failure", a.limit)
	}
	a.add(now, idleGroup(150*time.Millisecond), true)
	a.add(now, idleGroup(150*time.Millisecond), true)
	if a.limit != 100*time.Millisecond {
		t.Errorf("limit %v, want 100ms", a.limit)
	}
	a.decay(now.Add(3 * decayTime))
	a.updateLimit()
	if a.limit != unlimited {
		t.Errorf("limit %v after the failures have decayed", a.limit)
	}
}

// When new connections fail as often as idle ones, idle time is not the cause and there is
// no limit.
func TestFailuresOfNewConnectionsAreNoReasonForALimit(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleTimeStats{updatedAt: now}
	for i := range 90 {
		failed := i%3 == 0
		a.add(now, newGroup, failed)
		a.add(now, idleGroup(150*time.Millisecond), failed)
	}
	if a.limit != unlimited {
		t.Errorf("limit %v", a.limit)
	}
}

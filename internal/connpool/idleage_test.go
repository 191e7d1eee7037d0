package connpool

import (
	"testing"
	"time"
)

// Where connections fail that were idle for longer than some time, such ones are not used
// any more, those that were idle for less are, and later the former are tried again.
func TestFailuresLimitTheIdleAge(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleAges{updatedAt: now}
	a.updateLimit()
	if a.limit != unlimited {
		t.Fatalf("limit %v before anything was seen", a.limit)
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
		t.Errorf("limit %v long after", a.limit)
	}
}

// Where new connections fail as often, nothing speaks against the idle ones.
func TestFailuresOfNewConnectionsAreNoReasonForALimit(t *testing.T) {
	t.Parallel()
	now := time.Now()
	a := &idleAges{updatedAt: now}
	for i := range 90 {
		failed := i%3 == 0
		a.add(now, newGroup, failed)
		a.add(now, idleGroup(150*time.Millisecond), failed)
	}
	if a.limit != unlimited {
		t.Errorf("limit %v", a.limit)
	}
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// All know all in a few heartbeats, whatever the size; a process sends as many messages in a
// fleet of 300 as in one of 16.
func TestJoinsSpreadInFewHeartbeats(t *testing.T) {
	for _, n := range []int{2, 11, 16, 300} {
		f, rounds, maxHeartbeats := newFleet(n), 0, 0
		for ; !f.converged(); rounds++ {
			if rounds > 12 {
				t.Fatalf("the views of %d processes differ after %d rounds", n, rounds)
			}
			maxHeartbeats = max(maxHeartbeats, f.round())
		}
		if maxHeartbeats > n*maxWatchers {
			t.Errorf("%d processes sent %d heartbeats in a round", n, maxHeartbeats)
		}
	}
}

// One change among many costs what changed: each exchange that carries it has statements
// about a few processes, not about all.
func TestChangeCostsFewStatements(t *testing.T) {
	f := newFleet(300)
	f.converge()
	f.now += recentPeriod + time.Second // the joins are not recent any more
	f.round()
	f.views["n7"].Leave()
	f.statements = 0
	f.converge()
	if per := float64(f.statements) / 300; per > 40 {
		t.Errorf("each process sent %.0f statements for one change", per)
	}
}

// All learn that a process is dead; one that is wrongly declared dead refutes it; one that
// starts again under its name replaces the earlier start.
func TestFailureAndRestart(t *testing.T) {
	f := newFleet(12)
	f.converge()
	delete(f.views, "n5")
	rounds := 0
	for ; !f.allKnowDead("n5"); rounds++ {
		if rounds > 10 {
			t.Fatal("the failure is not known after 5 s")
		}
		f.round()
	}
	if rounds < 5 {
		t.Errorf("declared dead after %d rounds", rounds)
	}
	restarted := testPeer(5)
	restarted.StartID = 77
	f.views["n5"] = NewView(restarted)
	for i := 0; !f.converged(); i++ {
		if i > 12 {
			t.Fatal("the restart is not known")
		}
		f.round()
	}
	if p, _ := f.views["n0"].Peer("n5"); p.State != Alive || p.StartID != 77 {
		t.Errorf("%+v", p)
	}
}

// All forget a process that has been dead for long, though not at the same moment.
func TestDeadPeersAreForgotten(t *testing.T) {
	f := newFleet(8)
	f.converge()
	delete(f.views, "n5")
	for end := f.now + deadRetention + 10*time.Second; f.now < end; {
		f.round()
	}
	for name, v := range f.views {
		if _, known := v.Peer("n5"); known || v.dead != 0 {
			t.Errorf("%s remembers it; it counts %d dead", name, v.dead)
		}
	}
}

// A failure changes the ring and gives some processes a new watcher, which has no heartbeat of
// theirs yet: it waits the full time-out. (Seen on a day with a replaced machine: nine living
// processes were declared dead.)
func TestNewWatcherWaitsForHeartbeats(t *testing.T) {
	f := newFleet(11)
	f.converge()
	for range 20 {
		f.round()
	}
	delete(f.views, "n3")
	for range 16 {
		f.round()
		for name, v := range f.views {
			for other := range f.views {
				if p, _ := v.Peer(other); p.State == Dead {
					t.Fatalf("%s has %s as dead", name, other)
				}
			}
		}
	}
}

// A process that was paused has not received what was sent meanwhile, and declares nobody dead.
func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	f := newFleet(6)
	f.converge()
	f.now += 10 * time.Second
	if lost := f.views["n0"].DetectFailures(f.now); len(lost) > 0 {
		t.Errorf("declared dead: %v", lost)
	}
}

// copyOfView is a copy of a view that is kept up to date by its changes.
type copyOfView map[string]api.Peer

// takeChanges applies the changes and returns how many they were.
func (c copyOfView) takeChanges(v *View) int {
	changes := v.TakeChanges()
	for _, p := range changes {
		if c[p.Name] = p; p.State == Dead {
			delete(c, p.Name)
		}
	}
	return len(changes)
}

// check fails where the copy differs from the view.
func (c copyOfView) check(t *testing.T, v *View) {
	t.Helper()
	for _, p := range v.Peers() {
		have, ok := c[p.Name]
		if ok != (p.State != Dead) || ok && have != p {
			t.Fatalf("the copy has %v, the view %v", have, p)
		}
	}
	if alive := len(v.ring); alive != len(c) {
		t.Fatalf("%d in the copy, %d in the view", len(c), alive)
	}
}

// A copy that is kept by the changes alone equals the view, whoever joined, changed, died and
// was forgotten meanwhile; and one change is one row, however many processes there are.
func TestChangesKeepACopyEqual(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	v, now := NewView(api.Peer{Name: "self", Addr: "s", StartID: 1}), time.Duration(1)
	c := copyOfView{}
	for i := range 300 {
		v.Merge(now, []api.Peer{{Name: fmt.Sprint("p", i), Addr: "a", StartID: 1, Incarnation: 1}})
	}
	if n := c.takeChanges(v); n != 301 {
		t.Errorf("%d rows of 301 processes", n)
	}
	v.Merge(now, []api.Peer{{Name: "p7", Addr: "b", StartID: 2, Incarnation: 2}})
	if n := c.takeChanges(v); n != 1 || c["p7"].Addr != "b" {
		t.Errorf("a process that restarted: %d rows, at %s", n, c["p7"].Addr)
	}
	if n := c.takeChanges(v); n != 0 {
		t.Errorf("%d rows without a change", n)
	}
	for i := range 2000 {
		now += time.Duration(rng.IntN(200)) * time.Millisecond
		v.Merge(now, []api.Peer{{
			Name:        fmt.Sprint("p", rng.IntN(400)),
			Addr:        fmt.Sprint("a", i),
			StartID:     rng.Uint64(),
			Incarnation: uint64(rng.IntN(50)),
			State:       uint8(rng.IntN(3)),
		}})
		v.DetectFailures(now)
		if rng.IntN(3) > 0 {
			continue
		}
		c.takeChanges(v)
		c.check(t, v)
	}
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// All processes know each other after a few heartbeats, whatever the size of the fleet. The
// number of heartbeats that a process sends per round does not grow with the fleet: it is at
// most maxWatchers for 16 processes and for 300.
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

// The cost of a change does not depend on the size of the fleet: the exchanges that spread it
// carry statements about a few processes, not about all.
func TestChangeCostsFewStatements(t *testing.T) {
	f := newFleet(300)
	f.converge()
	f.now += recentPeriod + time.Second // the joins are no longer recent
	f.round()
	f.views["n7"].Leave()
	f.statements = 0
	f.converge()
	if per := float64(f.statements) / 300; per > 40 {
		t.Errorf("each process sent %.0f statements for one change", per)
	}
}

// All processes learn that a process is dead. When it is started again under the same name, it
// refutes this, and the new start replaces the earlier one in all views.
func TestFailureAndRestart(t *testing.T) {
	f := newFleet(12)
	f.converge()
	delete(f.views, "n5")
	rounds := 0
	for ; !f.allKnowDead("n5"); rounds++ {
		if rounds > 10 {
			t.Fatal("some views do not have the process as dead after 5 s")
		}
		f.round()
	}
	if rounds < 5 {
		t.Errorf("declared dead after only %d rounds", rounds)
	}
	restarted := testPeer(5)
	restarted.StartID = 77
	f.views["n5"] = NewView(restarted)
	for i := 0; !f.converged(); i++ {
		if i > 12 {
			t.Fatal("the views differ after the restart")
		}
		f.round()
	}
	if p, _ := f.views["n0"].Peer("n5"); p.State != Alive || p.StartID != 77 {
		t.Errorf("%+v", p)
	}
}

// All views remove the entry of a dead process after the retention period, though not at the same
// time.
func TestDeadPeersAreForgotten(t *testing.T) {
	f := newFleet(8)
	f.converge()
	delete(f.views, "n5")
	for end := f.now + deadRetention + 10*time.Second; f.now < end; {
		f.round()
	}
	for name, v := range f.views {
		if _, known := v.Peer("n5"); known || v.deadCount != 0 {
			t.Errorf("%s still has the entry or counts dead peers (%d)", name, v.deadCount)
		}
	}
}

// A failure changes the ring and gives some processes a new watcher, which has not received
// their heartbeats yet and must wait the full failure timeout. Without that, the replacement of
// a machine led to nine live processes being declared dead.
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
					t.Fatalf("%s has live process %s as dead", name, other)
				}
			}
		}
	}
}

// A process that was paused has missed the heartbeats sent in the meantime, and must not declare
// any process dead.
func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	f := newFleet(6)
	f.converge()
	f.now += 10 * time.Second
	if failed := f.views["n0"].DetectFailures(f.now); len(failed) > 0 {
		t.Errorf("declared dead: %v", failed)
	}
}

// copyOfView is a copy of a view that is updated by the view's changes.
type copyOfView map[string]api.Peer

// takeChanges applies the changes to the copy and returns their number.
func (c copyOfView) takeChanges(v *View) int {
	changes := v.TakeChanges()
	for _, p := range changes {
		if c[p.Name] = p; p.State == Dead {
			delete(c, p.Name)
		}
	}
	return len(changes)
}

// check fails the test if the copy differs from the view.
func (c copyOfView) check(t *testing.T, v *View) {
	t.Helper()
	for _, p := range v.Peers() {
		have, ok := c[p.Name]
		if ok != (p.State != Dead) || ok && have != p {
			t.Fatalf("copy has %v, view has %v", have, p)
		}
	}
	if onRing := len(v.ring); onRing != len(c) {
		t.Fatalf("%d processes in the copy, %d on the ring of the view", len(c), onRing)
	}
}

// A copy that is updated only by TakeChanges equals the view while processes join, change, die
// and are removed. One change yields one entry, however many processes there are.
func TestChangesKeepACopyEqual(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	v, now := NewView(api.Peer{Name: "self", Addr: "s", StartID: 1}), time.Duration(1)
	c := copyOfView{}
	for i := range 300 {
		v.Merge(now, []api.Peer{{Name: fmt.Sprint("p", i), Addr: "a", StartID: 1, Incarnation: 1}})
	}
	if n := c.takeChanges(v); n != 301 {
		t.Errorf("%d changes after 301 processes joined", n)
	}
	v.Merge(now, []api.Peer{{Name: "p7", Addr: "b", StartID: 2, Incarnation: 2}})
	if n := c.takeChanges(v); n != 1 || c["p7"].Addr != "b" {
		t.Errorf("after a restart of one process: %d changes, address %s", n, c["p7"].Addr)
	}
	if n := c.takeChanges(v); n != 0 {
		t.Errorf("%d changes without a change to the view", n)
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

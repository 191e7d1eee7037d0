package controlplane

import (
	"fmt"
	"net/http"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// order is a call that replaces the configuration.
func order(t *testing.T, base, revision uint64, config string) *pendingCall {
	t.Helper()
	data, err := encodeReplaceCommand(base, revision, []byte(config))
	if err != nil {
		t.Fatal(err)
	}
	return &pendingCall{configChange: configChange{base: base, revision: revision, content: fingerprintOf([]byte(config)), entry: data}}
}

// calmWorld is a world without clients in which nothing happens by itself.
func calmWorld(seed uint64) *world {
	w := newWorld(seed, shape{machines: coreSize, remembered: maxAppliedRevisions}, "")
	w.calm = true
	return w
}

func (w *world) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range settleIn {
		if ok() {
			return
		}
		w.step()
	}
	t.Fatalf("not within %d steps: %s", settleIn, what)
}

// ends has a call end at a member, and returns its status.
func (w *world) ends(t *testing.T, at raft.ID, p *pendingCall) (r api.ControlResponse) {
	t.Helper()
	w.until(t, "the call's end", func() (done bool) {
		r, done = w.drive(at, p)
		return done
	})
	return r
}

// others is the leader of those who are not cut off.
func (w *world) others(t *testing.T, off raft.ID) (at raft.ID) {
	t.Helper()
	w.until(t, "another leader", func() bool {
		for _, id := range w.slots {
			if n := w.members[id].node; id != off && n.Role() == raft.Leader && n.HasCommittedInTerm() {
				at = id
			}
		}
		return at != 0
	})
	return at
}

// A leader that is cut off for 20 s, both ways or one way, answers nothing from
// what it knew: no read, no refusal, no confirmation, neither of what is new nor
// of what it had taken itself. Once it is back all have their answers, and what
// the others took meanwhile is in force. (Told by the users: it went on handing
// out an old configuration, or refused orders, or confirmed them.)
func TestCutOffLeaderSaysNothing(t *testing.T) {
	for seed := range uint64(20) {
		for _, way := range []struct {
			name        string
			says, hears bool
		}{{"both ways", true, true}, {"what it says", true, false}, {"what it hears", false, true}} {
			w := calmWorld(seed)
			w.until(t, "a leader", func() bool { return w.leader() != 0 })
			off := w.leader()
			first := order(t, 0, 5, "first")
			if r := w.ends(t, off, first); r.Status != http.StatusOK {
				t.Fatalf("the first: %+v", r)
			}
			w.isolate(off, way.says, way.hears)
			calls := []*pendingCall{{get: true}, order(t, 0, 5, "first"), order(t, 0, 7, "lost"), order(t, 5, 4, "invalid"), order(t, 5, 6, "mine")}
			var second *pendingCall
			for step := range longCut {
				w.step()
				for i, p := range calls {
					r, done := w.drive(off, p)
					if done && r.Status != 0 {
						t.Fatalf("seed %d, %s, step %d: call %d is answered %+v", seed, way.name, step, i, r)
					}
					if done && r.Status == 0 { // asked again
						calls[i] = &pendingCall{get: p.get, configChange: p.configChange}
					}
				}
				if second == nil && step > longCut/2 {
					l := w.others(t, off)
					base := w.members[l].state.Revision
					second = order(t, base, 9, "theirs")
					if r := w.ends(t, l, second); r.Status != http.StatusOK {
						t.Fatalf("seed %d, %s: the others answer %+v", seed, way.name, r)
					}
				}
			}
			clear(w.deaf)
			w.until(t, "all at one", func() bool { return w.leader() != 0 && w.level() })
			l := w.leader()
			for _, c := range []struct {
				p    *pendingCall
				want int
			}{{order(t, 0, 5, "first"), 200}, {order(t, 0, 7, "lost"), 412}, {order(t, second.base, 9, "theirs"), 200}, {&pendingCall{get: true}, 200}} {
				if r := w.ends(t, l, c.p); r.Status != c.want {
					t.Errorf("seed %d, %s: in the end %+v, want %d", seed, way.name, r, c.want)
				}
			}
			if got := w.members[l].state.Revision; got != 9 {
				t.Errorf("seed %d, %s: revision %d in the end", seed, way.name, got)
			}
			if w.torn != nil {
				t.Error(w.torn)
			}
		}
	}
}

// An order whose answer was lost is sent again to another member while its first
// entry is still on its way: it is in the log twice, with another change between,
// and is acknowledged.
func TestOrderTwiceInTheLog(t *testing.T) {
	w := calmWorld(1)
	w.until(t, "a leader", func() bool { return w.leader() != 0 })
	l := w.leader()
	a, again, b, late := order(t, 0, 2, "a"), order(t, 0, 2, "a"), order(t, 2, 4, "b"), order(t, 0, 3, "c")
	m := w.members[l]
	for _, p := range []*pendingCall{a, late, again} { // none is agreed on yet
		if m.advance(m.node, p).done || p.index == 0 {
			t.Fatalf("not proposed: %+v", p)
		}
	}
	m.drop(a) // its caller is gone
	for _, c := range []struct {
		p    *pendingCall
		want int
	}{{again, http.StatusOK}, {late, http.StatusPreconditionFailed}, {b, http.StatusOK}, {order(t, 0, 2, "a"), http.StatusOK}, {order(t, 2, 4, "other"), http.StatusPreconditionFailed}} {
		if r := w.ends(t, l, c.p); r.Status != c.want {
			t.Errorf("revision %d on %d: %+v, want %d", c.p.revision, c.p.base, r, c.want)
		}
	}
	if got := fmt.Sprint(m.state.Revisions()); got != "[2 4]" {
		t.Errorf("taken: %s", got)
	}
}

// The place of an entry that was given up is taken by another one's: who waited
// for the first is told at once that there is no telling, and when he goes nobody
// waits for the second in vain.
func TestPlaceTakenByAnother(t *testing.T) {
	w := calmWorld(1)
	w.until(t, "a leader", func() bool { return w.leader() != 0 })
	l := w.leader()
	m := w.members[l]
	first, second := order(t, 0, 2, "first"), order(t, 0, 3, "second")
	if m.advance(m.node, first).done || first.index == 0 {
		t.Fatal("not proposed")
	}
	m.calls[m.node.LastIndex()+1] = first // as after the log behind it was cut off
	if m.advance(m.node, second).done || second.index == 0 {
		t.Fatal("not proposed")
	}
	if progress := m.advance(m.node, first); !progress.done || progress.result.Status != 0 {
		t.Errorf("the first is told %+v, %t", progress.result, progress.done)
	}
	m.drop(first)
	if r := w.ends(t, l, second); r.Status != http.StatusPreconditionFailed { // the first's entry was agreed on before it
		t.Errorf("the second is told %+v", r)
	}
}

package controlplane

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// replaceCall is a call that replaces the configuration.
func replaceCall(base, revision uint64, config string) *pendingCall {
	return newPendingCall(&input{
		base:        base,
		revision:    revision,
		fingerprint: fingerprintOf([]byte(config)),
		config:      []byte(config),
	})
}

// quietSim is a simulation without clients in which no fault happens by itself. A test steps it.
type quietSim struct {
	*registerSim
	t *testing.T
}

func newQuietSim(t *testing.T, seed uint64) *quietSim {
	t.Helper()
	config := simConfig{machines: simVoters, remembered: maxAppliedRevisions}
	s := &quietSim{newRegisterSim(seed, config, ""), t}
	s.faultsEnded = true
	return s
}

// await steps until a condition holds.
func (s *quietSim) await(what string, condition func() bool) {
	s.t.Helper()
	if err := s.stepUntil(condition); err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
}

func (s *quietSim) awaitLeader() raft.ID {
	s.t.Helper()
	s.await("a leader", func() bool { return s.leader() != 0 })
	return s.leader()
}

// awaitOtherLeader is the leader of those who are not cut off.
func (s *quietSim) awaitOtherLeader(isolated raft.ID) raft.ID {
	s.t.Helper()
	leader := raft.ID(0)
	s.await("another leader", func() bool {
		i := slices.IndexFunc(s.slots, func(id raft.ID) bool { return id != isolated && s.members[id].leads() })
		if i >= 0 {
			leader = s.slots[i]
		}
		return i >= 0
	})
	return leader
}

// callUntilDone has a call end at a member, and returns its result.
func (s *quietSim) callUntilDone(at raft.ID, p *pendingCall) api.ControlResponse {
	s.t.Helper()
	var result api.ControlResponse
	s.await("the call's end", func() bool {
		var done bool
		result, done = s.drive(at, p)
		return done
	})
	return result
}

// requireStatus requires that a call ends with a status.
func (s *quietSim) requireStatus(at raft.ID, p *pendingCall, want int) {
	s.t.Helper()
	if r := s.callUntilDone(at, p); r.Status != want {
		s.t.Errorf("get %t, revision %d on %d: %+v, want %d", p.get, p.revision, p.base, r, want)
	}
}

// requireProposed requires that a member proposes a call, and has no result yet.
func (s *quietSim) requireProposed(m *simMember, p *pendingCall) {
	s.t.Helper()
	if m.advance(m.node, p).done || p.index == 0 {
		s.t.Fatalf("not proposed: %+v", p)
	}
}

// A leader that is cut off for 20 s, both ways or one way, answers nothing from what it knew:
// no read, no refusal, no confirmation, neither of what is new nor of what it had applied
// itself. Once it is back all have their results, and what the others applied meanwhile is in
// force. (Reported by the users: it went on answering with an old configuration, or refused
// commands, or confirmed them.)
func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to bool
	}{
		{"both ways", true, true},
		{"what it sends", true, false},
		{"what it is sent", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					requireNoResultsWhileIsolated(t, seed, c.from, c.to)
				})
			}
		})
	}
}

func requireNoResultsWhileIsolated(t *testing.T, seed uint64, from, to bool) {
	t.Helper()
	s := newQuietSim(t, seed)
	isolated := s.awaitLeader()
	s.requireStatus(isolated, replaceCall(0, 5, "first"), http.StatusOK)
	s.isolate(isolated, from, to)
	calls := []*pendingCall{
		{get: true},
		replaceCall(0, 5, "first"),
		replaceCall(0, 7, "lost"),
		replaceCall(5, 4, "invalid"),
		replaceCall(5, 6, "mine"),
	}
	var second *pendingCall
	for step := range partitionSteps {
		s.step()
		s.requireNoResults(isolated, calls)
		if second == nil && step > partitionSteps/2 {
			leader := s.awaitOtherLeader(isolated)
			second = replaceCall(s.members[leader].state.Revision, 9, "theirs")
			s.requireStatus(leader, second, http.StatusOK)
		}
	}
	clear(s.blocked)
	s.await("convergence", func() bool { return s.leader() != 0 && s.converged() })
	leader := s.leader()
	s.requireStatus(leader, replaceCall(0, 5, "first"), http.StatusOK)
	s.requireStatus(leader, replaceCall(0, 7, "lost"), http.StatusPreconditionFailed)
	s.requireStatus(leader, replaceCall(second.base, 9, "theirs"), http.StatusOK)
	s.requireStatus(leader, &pendingCall{get: true}, http.StatusOK)
	if got := s.members[leader].state.Revision; got != 9 {
		t.Errorf("revision %d in the end", got)
	}
	if s.divergence != nil {
		t.Error(s.divergence)
	}
}

// requireNoResults has a member go on with calls, none of which may have a result. A call that
// ends without one is made again.
func (s *quietSim) requireNoResults(at raft.ID, calls []*pendingCall) {
	s.t.Helper()
	for i, p := range calls {
		r, done := s.drive(at, p)
		if done && r.Status != 0 {
			s.t.Fatalf("step %d: call %d is answered %+v", s.now, i, r)
		}
		if done {
			calls[i] = &pendingCall{get: p.get, configChange: p.configChange}
		}
	}
}

// A command whose answer was lost is sent again while its first entry is still on its way: it
// is in the log twice, with another change between, and is acknowledged.
func TestCommandTwiceInTheLogIsAcknowledged(t *testing.T) {
	s := newQuietSim(t, 1)
	leader := s.awaitLeader()
	m := s.members[leader]
	first, retried, late := replaceCall(0, 2, "a"), replaceCall(0, 2, "a"), replaceCall(0, 3, "c")
	for _, p := range []*pendingCall{first, late, retried} { // none is committed yet
		s.requireProposed(m, p)
	}
	m.drop(first) // its caller is gone
	s.requireStatus(leader, retried, http.StatusOK)
	s.requireStatus(leader, late, http.StatusPreconditionFailed)
	s.requireStatus(leader, replaceCall(2, 4, "b"), http.StatusOK)
	s.requireStatus(leader, replaceCall(0, 2, "a"), http.StatusOK)
	s.requireStatus(leader, replaceCall(2, 4, "other"), http.StatusPreconditionFailed)
	if got := m.state.Revisions(); !slices.Equal(got, []uint64{2, 4}) {
		t.Errorf("revisions %v", got)
	}
}

// The index of an entry that was truncated is taken by that of another call: the first call
// ends at once without a result, and when its caller goes the second is still answered.
func TestIndexTakenByAnotherEntryEndsTheCall(t *testing.T) {
	s := newQuietSim(t, 1)
	leader := s.awaitLeader()
	m := s.members[leader]
	first, second := replaceCall(0, 2, "first"), replaceCall(0, 3, "second")
	s.requireProposed(m, first)
	m.calls[m.node.LastIndex()+1] = first // as after its entry was truncated
	s.requireProposed(m, second)
	if progress := m.advance(m.node, first); !progress.done || progress.result.Status != 0 {
		t.Errorf("the first: %+v", progress)
	}
	m.drop(first)
	// The first one's entry is committed before it all the same.
	s.requireStatus(leader, second, http.StatusPreconditionFailed)
}

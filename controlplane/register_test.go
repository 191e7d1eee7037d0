package controlplane

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// replaceCall returns a call that replaces the configuration.
func replaceCall(base, revision uint64, config string) *pendingCall {
	return newPendingCall(&input{
		base:        base,
		revision:    revision,
		fingerprint: fingerprintOf([]byte(config)),
		config:      []byte(config),
	})
}

// scriptedSim is a simulation without clients or random faults. The test drives each step.
type scriptedSim struct {
	*registerSim
	t *testing.T
}

func newScriptedSim(t *testing.T, seed uint64) *scriptedSim {
	t.Helper()
	config := simConfig{machines: simVoters, remembered: maxAppliedRevisions}
	s := &scriptedSim{newRegisterSim(seed, config, ""), t}
	s.faultsEnded = true
	return s
}

// await steps the simulation until a condition holds.
func (s *scriptedSim) await(what string, condition func() bool) {
	s.t.Helper()
	if err := s.stepUntil(condition); err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
}

func (s *scriptedSim) awaitLeader() raft.ID {
	s.t.Helper()
	s.await("a leader", func() bool { return s.leader() != 0 })
	return s.leader()
}

// awaitOtherLeader waits for a leader other than the isolated member.
func (s *scriptedSim) awaitOtherLeader(isolated raft.ID) raft.ID {
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

// callUntilDone steps the simulation until a call at a member is done, and returns its result.
func (s *scriptedSim) callUntilDone(at raft.ID, p *pendingCall) api.ControlResponse {
	s.t.Helper()
	var result api.ControlResponse
	s.await("the call is done", func() bool {
		var done bool
		result, done = s.drive(at, p)
		return done
	})
	return result
}

// requireStatus requires that a call completes with a status.
func (s *scriptedSim) requireStatus(at raft.ID, p *pendingCall, want int) {
	s.t.Helper()
	if r := s.callUntilDone(at, p); r.Status != want {
		s.t.Errorf("get %t, revision %d on base %d: %+v, want status %d", p.get, p.revision, p.base, r, want)
	}
}

// requireProposed requires that a member proposes a call and has no result for it yet.
func (s *scriptedSim) requireProposed(m *simMember, p *pendingCall) {
	s.t.Helper()
	if m.advance(m.node, p).done || p.index == 0 {
		s.t.Fatalf("not proposed: %+v", p)
	}
}

// A leader that is isolated for 20 s, in one or both directions, answers nothing from its own state:
// it returns no reads, and neither refuses nor confirms commands, be they new or already applied by
// it. After it reconnects, all calls get their results, and the changes that the other members
// applied in the meantime are in effect. Regression test for user reports: an isolated leader
// returned an outdated configuration, or refused or confirmed commands.
func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to bool
	}{
		{"both ways", true, true},
		{"outgoing messages lost", true, false},
		{"incoming messages lost", false, true},
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
	s := newScriptedSim(t, seed)
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
		t.Errorf("final revision %d", got)
	}
	if s.divergence != nil {
		t.Error(s.divergence)
	}
}

// requireNoResults advances calls at a member and requires that none gets a result. A call that
// completes without a result is replaced by a retry.
func (s *scriptedSim) requireNoResults(at raft.ID, calls []*pendingCall) {
	s.t.Helper()
	for i, p := range calls {
		r, done := s.drive(at, p)
		if done && r.Status != 0 {
			s.t.Fatalf("step %d: call %d got result %+v", s.now, i, r)
		}
		if done {
			calls[i] = &pendingCall{get: p.get, configChange: p.configChange}
		}
	}
}

// A command whose response was lost is retried before its first entry is committed. It is in the log
// twice, with another change in between, and is acknowledged.
func TestCommandTwiceInTheLogIsAcknowledged(t *testing.T) {
	s := newScriptedSim(t, 1)
	leader := s.awaitLeader()
	m := s.members[leader]
	first, retried, late := replaceCall(0, 2, "a"), replaceCall(0, 2, "a"), replaceCall(0, 3, "c")
	for _, p := range []*pendingCall{first, late, retried} { // none is committed yet
		s.requireProposed(m, p)
	}
	m.drop(first) // its caller has disconnected
	s.requireStatus(leader, retried, http.StatusOK)
	s.requireStatus(leader, late, http.StatusPreconditionFailed)
	s.requireStatus(leader, replaceCall(2, 4, "b"), http.StatusOK)
	s.requireStatus(leader, replaceCall(0, 2, "a"), http.StatusOK)
	s.requireStatus(leader, replaceCall(2, 4, "other"), http.StatusPreconditionFailed)
	if got := m.state.Revisions(); !slices.Equal(got, []uint64{2, 4}) {
		t.Errorf("revisions %v", got)
	}
}

// The entry of a call is truncated and its index reused by the entry of another call. The first call
// completes at once without a result. After the caller of the first call has disconnected, the second
// call is still answered.
func TestIndexTakenByAnotherEntryEndsTheCall(t *testing.T) {
	s := newScriptedSim(t, 1)
	leader := s.awaitLeader()
	m := s.members[leader]
	first, second := replaceCall(0, 2, "first"), replaceCall(0, 3, "second")
	s.requireProposed(m, first)
	m.calls[m.node.LastIndex()+1] = first // as if its entry had been truncated
	s.requireProposed(m, second)
	if progress := m.advance(m.node, first); !progress.done || progress.result.Status != 0 {
		t.Errorf("first call: %+v", progress)
	}
	m.drop(first)
	// The entry of the first call is in fact still in the log, and is committed before the second.
	s.requireStatus(leader, second, http.StatusPreconditionFailed)
}

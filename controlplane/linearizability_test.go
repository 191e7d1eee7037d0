package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"
)

// linearizable checks whether the history is linearizable for a compare-and-swap register.
func (s *registerSim) linearizable() porcupine.CheckResult {
	slices.SortFunc(s.history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	steps, bounded := 0, registerModel
	bounded.Step = func(state, in, out any) (bool, any) {
		if steps++; steps > maxModelSteps {
			return false, state // aborts the search
		}
		return registerModel.Step(state, in, out)
	}
	// Without a partition function, the search runs in one goroutine: steps needs no lock.
	result := porcupine.CheckOperationsTimeout(bounded, s.history, 0)
	if steps > maxModelSteps {
		return porcupine.Unknown
	}
	return result
}

// registerState is the state of registerModel.
type registerState struct {
	revision    uint64
	fingerprint fingerprint
}

// registerModel is the sequential specification of a register with read and compare-and-swap.
var registerModel = porcupine.Model{
	Init:  func() any { return registerState{} },
	Step:  stepRegister,
	Equal: func(a, b any) bool { return a.(registerState) == b.(registerState) },
}

// stepRegister reports whether a call may have an output in a state, and returns the next state.
func stepRegister(state, in, out any) (possible bool, next any) {
	current, call, result := state.(registerState), in.(input), out.(output)
	if call.get {
		if result.status == http.StatusNotFound {
			return current.revision == 0, current
		}
		return current == registerState{result.revision, result.fingerprint}, current
	}
	replaces := call.base == current.revision && call.revision > current.revision
	replaced := registerState{call.revision, call.fingerprint}
	switch result.status {
	case http.StatusOK:
		return replaces, replaced
	case http.StatusPreconditionFailed:
		return call.base != current.revision, current
	case http.StatusBadRequest:
		return call.base == current.revision && call.revision <= current.revision, current
	}
	if replaces { // no definite answer: the call takes effect here, or after all other calls
		return true, replaced
	}
	return true, current
}

// checkHistory checks the outcome of every command and read in one pass over the history, given
// when each version was applied. It is as strict as a linearizability check in which each version
// takes effect when some member first applies it. In addition it requires that no member has
// applied a refused command.
func (s *registerSim) checkHistory() error {
	applied := map[uint64]bool{} // applied revisions whose command is in the history
	for _, op := range s.history {
		c := checkedCall{sim: s, op: op, in: op.Input.(input), out: op.Output.(output)}
		if c.in.get {
			if err := c.checkRead(); err != nil {
				return err
			}
			continue
		}
		if c.wasApplied() {
			applied[c.in.revision] = true
		}
		if err := c.checkReplace(); err != nil {
			return err
		}
	}
	if err := s.checkRetries(); err != nil {
		return err
	}
	for _, v := range s.appliedVersions {
		if !applied[v.revision] {
			return fmt.Errorf("revision %d was applied, but no client sent it", v.revision)
		}
	}
	return nil
}

// checkRetries checks that a retry of every applied command would be acknowledged in the current
// state.
func (s *registerSim) checkRetries() error {
	leader := s.members[s.leader()]
	if leader == nil {
		return nil
	}
	mayForget := s.remembered != maxAppliedRevisions
	for _, v := range s.appliedVersions {
		d := leader.state.Evaluate(v.base, v.revision, v.fingerprint)
		forgotten := mayForget && d.Outcome == OutcomeUnknown
		if d.Outcome != OutcomeApplied && !forgotten {
			return fmt.Errorf("revision %d was applied, but a retry is answered %+v", v.revision, d)
		}
	}
	return nil
}

// currentFrom returns the time from which the version at an index of appliedVersions was current.
// Index -1 stands for the state before the first version.
func (s *registerSim) currentFrom(i int) int64 {
	if i < 0 {
		return 0
	}
	return s.appliedVersions[i].at
}

// currentTo returns the time until which the version at an index of appliedVersions was current.
func (s *registerSim) currentTo(i int) int64 {
	if i+1 < len(s.appliedVersions) {
		return s.appliedVersions[i+1].at
	}
	return unknownReturn
}

// checkedCall is a call whose output is checked against the applied versions.
type checkedCall struct {
	sim *registerSim
	op  porcupine.Operation
	in  input
	out output
}

func (c *checkedCall) fail(problem string) error {
	return fmt.Errorf("%s: base %d, revision %d, get %t, from %d to %d: status %d, revision %d; applied %v",
		problem, c.in.base, c.in.revision, c.in.get, c.op.Call, c.op.Return,
		c.out.status, c.out.revision, c.sim.appliedVersions)
}

// wasCurrent reports whether the version at an index of appliedVersions was current at some time
// during the call.
func (c *checkedCall) wasCurrent(i int) bool {
	return c.sim.currentFrom(i) <= c.op.Return && c.sim.currentTo(i) >= c.op.Call
}

func (c *checkedCall) checkRead() error {
	i, known := c.sim.findVersion(c.out.revision)
	switch {
	case c.out.status == http.StatusNotFound:
		if !c.wasCurrent(-1) {
			return c.fail("the read found no configuration after one was applied")
		}
	case !known || c.sim.appliedVersions[i].fingerprint != c.out.fingerprint:
		return c.fail("the read returned a version that was not applied")
	case !c.wasCurrent(i):
		return c.fail("the read returned a version that was not current")
	}
	return nil
}

// wasApplied reports whether some member has applied the command.
func (c *checkedCall) wasApplied() bool {
	i, known := c.sim.findVersion(c.in.revision)
	return known && c.sim.appliedVersions[i].fingerprint == c.in.fingerprint
}

func (c *checkedCall) checkReplace() error {
	if !c.wasApplied() {
		if c.out.status == http.StatusOK {
			return c.fail("the command was acknowledged, but not applied")
		}
		return c.checkRefusal()
	}
	i, _ := c.sim.findVersion(c.in.revision)
	v := c.sim.appliedVersions[i]
	switch {
	case v.base != c.in.base:
		return c.fail("the command was applied on top of another version")
	case v.at < c.op.Call || v.at > c.op.Return:
		return c.fail("the command was applied before it was sent or after it was acknowledged")
	case c.out.status != http.StatusOK && c.out.status != 0:
		return c.fail("the command was refused, but applied")
	}
	return nil
}

// checkRefusal checks that the reason given for a refusal held at some time during the call.
func (c *checkedCall) checkRefusal() error {
	base, known := c.sim.findVersion(c.in.base)
	if c.in.base == 0 {
		base, known = -1, true
	}
	switch c.out.status {
	case http.StatusPreconditionFailed:
		if known && c.sim.currentFrom(base) < c.op.Call && c.sim.currentTo(base) > c.op.Return {
			return c.fail("the command was refused although its base was current throughout the call")
		}
	case http.StatusBadRequest:
		if !known || !c.wasCurrent(base) || c.in.revision > c.in.base {
			return c.fail("the command was refused as invalid, but was valid or had a stale base")
		}
	}
	return nil
}

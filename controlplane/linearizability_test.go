package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"
)

// linearizable checks whether the history is that of a register with compare and swap.
func (s *registerSim) linearizable() porcupine.CheckResult {
	slices.SortFunc(s.history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	steps, bounded := 0, registerModel
	bounded.Step = func(state, in, out any) (bool, any) {
		if steps++; steps > maxModelSteps {
			return false, state // ends the search
		}
		return registerModel.Step(state, in, out)
	}
	// The search runs in one goroutine, as nothing is partitioned.
	result := porcupine.CheckOperationsTimeout(bounded, s.history, 0)
	if steps > maxModelSteps {
		return porcupine.Unknown
	}
	return result
}

// registerState is the state of registerModel.
type registerState struct {
	revision uint64
	print    fingerprint
}

// registerModel is a register that is read, and replaced by compare and swap.
var registerModel = porcupine.Model{
	Init:  func() any { return registerState{} },
	Step:  stepRegister,
	Equal: func(a, b any) bool { return a.(registerState) == b.(registerState) },
}

// stepRegister reports whether a call can have an output in a state, and the state after it.
func stepRegister(state, in, out any) (possible bool, next any) {
	current, call, result := state.(registerState), in.(input), out.(output)
	if call.get {
		if result.status == http.StatusNotFound {
			return current.revision == 0, current
		}
		return current == registerState{result.revision, result.print}, current
	}
	replaces := call.base == current.revision && call.revision > current.revision
	replaced := registerState{call.revision, call.print}
	switch result.status {
	case http.StatusOK:
		return replaces, replaced
	case http.StatusPreconditionFailed:
		return call.base != current.revision, current
	case http.StatusBadRequest:
		return call.base == current.revision && call.revision <= current.revision, current
	}
	if replaces { // no clear answer: it takes effect here, or after all others
		return true, replaced
	}
	return true, current
}

// check goes over a history in one pass, knowing which versions were applied when: what came
// of every command, and what was read when. It is as strict as the checker of linearizability
// with each version applied when some member first applied it, and requires besides that a
// command that was refused was applied by no member.
func (s *registerSim) check() error {
	applied := map[uint64]bool{} // revisions of commands that some client sent
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
	for _, v := range s.chain {
		if !applied[v.revision] {
			return fmt.Errorf("revision %d was applied and nobody sent it", v.revision)
		}
	}
	return nil
}

// checkRetries checks that every command that was applied is acknowledged when it is sent
// again now.
func (s *registerSim) checkRetries() error {
	leader := s.members[s.leader()]
	if leader == nil {
		return nil
	}
	mayForget := s.remembered != maxAppliedRevisions
	for _, v := range s.chain {
		d := leader.state.Evaluate(v.base, v.revision, v.print)
		forgotten := mayForget && d.Outcome == OutcomeUnknown
		if d.Outcome != OutcomeApplied && !forgotten {
			return fmt.Errorf("revision %d was applied and is answered %+v", v.revision, d)
		}
	}
	return nil
}

// currentFrom and currentTo are between which times the version at an index of the chain was
// the current one. At index -1 there was none.
func (s *registerSim) currentFrom(i int) int64 {
	if i < 0 {
		return 0
	}
	return s.chain[i].at
}

func (s *registerSim) currentTo(i int) int64 {
	if i+1 < len(s.chain) {
		return s.chain[i+1].at
	}
	return openEnd
}

// checkedCall is a call whose output is held against the versions that were applied.
type checkedCall struct {
	sim *registerSim
	op  porcupine.Operation
	in  input
	out output
}

func (c *checkedCall) fail(what string) error {
	return fmt.Errorf("%s: base %d, revision %d, get %t, from %d to %d: status %d, revision %d; applied %v",
		what, c.in.base, c.in.revision, c.in.get, c.op.Call, c.op.Return, c.out.status, c.out.revision, c.sim.chain)
}

// wasCurrent reports whether the version at an index of the chain was the current one at some
// time during the call.
func (c *checkedCall) wasCurrent(i int) bool {
	return c.sim.currentFrom(i) <= c.op.Return && c.sim.currentTo(i) >= c.op.Call
}

func (c *checkedCall) checkRead() error {
	i, known := c.sim.version(c.out.revision)
	switch {
	case c.out.status == http.StatusNotFound:
		if !c.wasCurrent(-1) {
			return c.fail("nothing is read back after something was applied")
		}
	case !known || c.sim.chain[i].print != c.out.print:
		return c.fail("what is read back was not applied")
	case !c.wasCurrent(i):
		return c.fail("what is read back was not the newest")
	}
	return nil
}

// wasApplied reports whether the command was applied by some member.
func (c *checkedCall) wasApplied() bool {
	i, known := c.sim.version(c.in.revision)
	return known && c.sim.chain[i].print == c.in.print
}

func (c *checkedCall) checkReplace() error {
	if !c.wasApplied() {
		if c.out.status == http.StatusOK {
			return c.fail("it is acknowledged and was not applied")
		}
		return c.checkRefusal()
	}
	i, _ := c.sim.version(c.in.revision)
	v := c.sim.chain[i]
	switch {
	case v.base != c.in.base:
		return c.fail("it was applied on top of another version")
	case v.at < c.op.Call || v.at > c.op.Return:
		return c.fail("it was applied before it was sent or after it was acknowledged")
	case c.out.status != http.StatusOK && c.out.status != 0:
		return c.fail("it was applied and is refused")
	}
	return nil
}

// checkRefusal checks the reason of a refusal.
func (c *checkedCall) checkRefusal() error {
	base, known := c.sim.version(c.in.base)
	if c.in.base == 0 {
		base, known = -1, true
	}
	switch c.out.status {
	case http.StatusPreconditionFailed:
		if known && c.sim.currentFrom(base) < c.op.Call && c.sim.currentTo(base) > c.op.Return {
			return c.fail("its base was the newest version all along")
		}
	case http.StatusBadRequest:
		if !known || !c.wasCurrent(base) || c.in.revision > c.in.base {
			return c.fail("it is not invalid")
		}
	}
	return nil
}

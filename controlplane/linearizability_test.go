package controlplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"
)

// linearizable has the history checked as that of a register with compare and swap.
func (w *world) linearizable() porcupine.CheckResult {
	slices.SortFunc(w.history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	tried, counted := 0, model
	counted.Step = func(state, in, out any) (bool, any) {
		if tried++; tried > mostChecks {
			return false, state // to its end
		}
		return model.Step(state, in, out)
	}
	got := porcupine.CheckOperationsTimeout(counted, w.history, 0) // in one goroutine, as nothing is partitioned
	if tried > mostChecks {
		return porcupine.Unknown
	}
	return got
}

// current is the model's state.
type current struct {
	revision uint64
	print    fingerprint
}

var model = porcupine.Model{
	Init: func() any { return current{} },
	Step: func(state, in, out any) (bool, any) {
		v, i, o := state.(current), in.(input), out.(output)
		takes, then := i.base == v.revision && i.revision > v.revision, current{i.revision, i.print}
		switch {
		case i.get && o.status == http.StatusNotFound:
			return v.revision == 0, v
		case i.get:
			return v == current{o.revision, o.print}, v
		case o.status == http.StatusOK:
			return takes, then
		case o.status == http.StatusPreconditionFailed:
			return i.base != v.revision, v
		case o.status == http.StatusBadRequest:
			return i.base == v.revision && i.revision <= v.revision, v
		case takes: // no clear answer: it takes effect here, or after all others
			return true, then
		}
		return true, v
	},
	Equal: func(a, b any) bool { return a.(current) == b.(current) },
}

// check goes over a history in one pass, knowing which versions were taken when:
// what every order came to, and what was read when. It is as strict as the
// checker of linearizability with each version taken when it was first applied,
// and says besides that an order that was refused is in no member's past.
func (w *world) check() error {
	made := map[uint64]bool{}
	// from and to are between which times a version was the current one.
	from := func(i int) int64 {
		if i < 0 {
			return 0
		}
		return w.chain[i].at
	}
	to := func(i int) int64 {
		if i+1 < len(w.chain) {
			return w.chain[i+1].at
		}
		return openEnd
	}
	for _, op := range w.history {
		in, out := op.Input.(input), op.Output.(output)
		fail := func(what string) error {
			return fmt.Errorf("%s: base %d, revision %d, get %t, from %d to %d: status %d, revision %d; taken %v", what,
				in.base, in.revision, in.get, op.Call, op.Return, out.status, out.revision, w.chain)
		}
		within := func(i int) bool { return from(i) <= op.Return && to(i) >= op.Call }
		if in.get {
			i, known := w.version(out.revision)
			switch {
			case out.status == http.StatusNotFound:
				if i = -1; !within(i) {
					return fail("nothing is read back after something was taken")
				}
			case !known || w.chain[i].print != out.print:
				return fail("what is read back was not taken")
			case !within(i):
				return fail("what is read back was not the newest")
			}
			continue
		}
		i, known := w.version(in.revision)
		taken := known && w.chain[i].print == in.print
		made[in.revision] = made[in.revision] || taken
		switch {
		case taken && w.chain[i].base != in.base:
			return fail("it was taken on top of another version")
		case taken && (w.chain[i].at < op.Call || w.chain[i].at > op.Return):
			return fail("it was taken before it was sent or after it was acknowledged")
		case taken && out.status != http.StatusOK && out.status != 0:
			return fail("it was taken and is refused")
		case !taken && out.status == http.StatusOK:
			return fail("it is acknowledged and was not taken")
		}
		base, is := w.version(in.base)
		if in.base == 0 {
			base, is = -1, true
		}
		switch out.status {
		case http.StatusPreconditionFailed:
			if is && from(base) < op.Call && to(base) > op.Return {
				return fail("the version that it builds on was the newest all along")
			}
		case http.StatusBadRequest:
			if !is || !within(base) || in.revision > in.base {
				return fail("it is not invalid")
			}
		}
	}
	if l := w.members[w.leader()]; l != nil {
		for _, v := range w.chain { // sent again now
			if r := l.state.Evaluate(v.base, v.revision, v.print).result(); r.Status != http.StatusOK && (w.remembered == maxAppliedRevisions || r.Status != http.StatusServiceUnavailable) {
				return fmt.Errorf("revision %d was taken and is answered %d", v.revision, r.Status)
			}
		}
	}
	for _, v := range w.chain {
		if !made[v.revision] {
			return fmt.Errorf("revision %d was taken and nobody sent it", v.revision)
		}
	}
	return nil
}

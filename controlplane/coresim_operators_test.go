package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// operate makes one call after the other, each until it is answered clearly.
func (w *coreWorld) operate(id int) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(500+id)))
	newest, learn := uint64(0), true
	for n := 0; ; n++ {
		time.Sleep(time.Duration(20+rng.IntN(400)) * time.Millisecond)
		in := input{get: learn || rng.IntN(4) == 0, base: newest, revision: newest + 1 + rng.Uint64N(3)}
		if rng.IntN(30) == 0 && newest > 0 {
			in.revision = newest // never valid
		}
		w.mu.Lock()
		over := w.calm || w.fault != nil
		w.mu.Unlock()
		if over {
			return
		}
		out, _ := w.bring(id, rng, in, fmt.Sprint("operator-", id, "-", n))
		if learn = out.status == http.StatusPreconditionFailed; out.status == http.StatusOK {
			newest = out.revision
		}
	}
}

// bring makes a call, with a configuration of its own, and notes what came of it.
func (w *coreWorld) bring(id int, rng *rand.Rand, in input, name string) (out output, answered bool) {
	var err error
	if in.config, err = cbor.Marshal(&api.Config{Revision: in.revision, Upstreams: []api.Upstream{{Name: name}}}); err != nil {
		w.fail("%v", err)
		return out, false
	}
	in.print = fingerprintOf(in.config)
	w.mu.Lock()
	if !in.get {
		w.orders[in.print] = in
	}
	w.clock++
	call, floor := w.clock, w.acked
	w.seen.calls++
	w.mu.Unlock()
	out, answered = w.ask(rng, in)
	w.end(id, call, floor, in, out, answered)
	return out, answered
}

// ask sends a call to one member after the other, unchanged, until one answers.
func (w *coreWorld) ask(rng *rand.Rand, in input) (out output, answered bool) {
	at := rng.IntN(len(w.machines))
	for range 400 {
		w.mu.Lock()
		l, over := w.machines[at].life, w.fault != nil
		w.mu.Unlock()
		if over {
			return out, false
		}
		r := &api.ControlResponse{}
		if l != nil {
			ctx, cancel := context.WithTimeout(l.ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond)
			var err error
			if in.get {
				r, err = l.core.Get(ctx, &api.GetRequest{})
			} else {
				r, err = l.core.Replace(ctx, &api.ReplaceRequest{Base: in.base, Config: in.config})
			}
			cancel()
			if err != nil {
				w.fail("a call: %v", err)
				return out, false
			}
			if l.ctx.Err() != nil {
				r = &api.ControlResponse{} // it died with the answer
			}
		}
		if r.Status != 0 && r.Status != http.StatusServiceUnavailable && rng.IntN(12) > 0 { // else: the answer is lost
			out = output{status: r.Status, revision: in.revision, print: in.print}
			if in.get && r.Status == http.StatusOK {
				c, err := api.ParseConfig(r.Config)
				if err != nil {
					w.fail("what is read back: %v", err)
					return out, false
				}
				out.revision, out.print = c.Revision, fingerprintOf(r.Config)
			}
			return out, true
		}
		at = rng.IntN(len(w.machines))
		for i, m := range w.machines {
			if r.Leader == m.addr && rng.IntN(4) > 0 {
				at = i
			}
		}
		time.Sleep(time.Duration(1+rng.IntN(60)) * time.Millisecond)
	}
	return out, false
}

// end notes what came of a call.
func (w *coreWorld) end(id int, call int64, floor uint64, in input, out output, answered bool) {
	w.mu.Lock()
	w.clock++
	op := porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: w.clock}
	var struck []*coreMachine
	switch {
	case !answered && in.get: // says nothing
		w.mu.Unlock()
		return
	case !answered:
		op.ClientId, op.Return = 1000+len(w.history), openEnd
	case in.get && (out.status != http.StatusOK && floor > 0 || out.status == http.StatusOK && out.revision < floor):
		w.failed("a read is answered %d, revision %d, after %d was acknowledged", out.status, out.revision, floor)
	case in.get:
	case out.status == http.StatusOK:
		w.acked = max(w.acked, in.revision)
		if w.trap {
			w.trap, struck = false, w.machines
		}
	default:
		w.refused[in.print] = true
	}
	w.history = append(w.history, op)
	w.mu.Unlock()
	w.powerOff(struck...)
}

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

// runOperator makes one call after the other, each until it is answered clearly.
func (c *faultyCluster) runOperator(id int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(500+id)))
	newest, mustRead := uint64(0), true
	for n := 0; ; n++ {
		time.Sleep(time.Duration(20+rng.IntN(400)) * time.Millisecond)
		call := input{
			get:      mustRead || rng.IntN(4) == 0,
			base:     newest,
			revision: newest + 1 + rng.Uint64N(3),
		}
		if rng.IntN(30) == 0 && newest > 0 {
			call.revision = newest // never valid
		}
		done := false
		c.locked(func() { done = c.calm || c.failure != nil })
		if done {
			return
		}
		result := c.submit(id, rng, call, fmt.Sprint("operator-", id, "-", n))
		mustRead = result.status == http.StatusPreconditionFailed
		if result.status == http.StatusOK {
			newest = result.revision
		}
	}
}

// submittedCall is a call and what was known when it was made.
type submittedCall struct {
	client       int
	in           input
	at           int64
	acknowledged uint64 // the highest revision
}

// submit makes a call, with a configuration of its own, and records its result; the status is 0
// where no member had one.
func (c *faultyCluster) submit(client int, rng *rand.Rand, in input, name string) output {
	config := &api.Config{
		Revision:  in.revision,
		Upstreams: []api.Upstream{{Name: name}},
	}
	var err error
	if in.config, err = cbor.Marshal(config); err != nil {
		c.fail("%v", err)
		return output{}
	}
	in.print = fingerprintOf(in.config)
	call := submittedCall{client: client, in: in}
	c.locked(func() {
		if !in.get {
			c.commands[in.print] = in
		}
		c.clock++
		call.at, call.acknowledged = c.clock, c.acknowledged
		c.counts.calls++
	})
	result, answered := c.callUntilAnswered(rng, in)
	c.record(call, result, answered)
	return result
}

// callUntilAnswered sends a call to one member after the other, unchanged, until one answers.
func (c *faultyCluster) callUntilAnswered(rng *rand.Rand, in input) (result output, answered bool) {
	at := rng.IntN(len(c.machines))
	for range 400 {
		var p *memberProcess
		failed := false
		c.locked(func() { p, failed = c.machines[at].process, c.failure != nil })
		if failed {
			return result, false
		}
		response, err := p.call(rng, in)
		if err != nil {
			c.fail("a call: %v", err)
			return result, false
		}
		unanswered := response.Status == 0 || response.Status == http.StatusServiceUnavailable
		if !unanswered && rng.IntN(12) > 0 { // else the answer is lost
			result, err = resultOf(in, response)
			if err != nil {
				c.fail("what is read back: %v", err)
			}
			return result, err == nil
		}
		at = c.nextMachine(rng, response.Leader)
		time.Sleep(time.Duration(1+rng.IntN(60)) * time.Millisecond)
	}
	return result, false
}

// call makes a call to a member. Without one, or one that loses power, the response is empty.
func (p *memberProcess) call(rng *rand.Rand, in input) (*api.ControlResponse, error) {
	if p == nil {
		return &api.ControlResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond)
	defer cancel()
	var response *api.ControlResponse
	var err error
	if in.get {
		response, err = p.core.Get(ctx, &api.GetRequest{})
	} else {
		response, err = p.core.Replace(ctx, &api.ReplaceRequest{Base: in.base, Config: in.config})
	}
	if err != nil {
		return nil, err
	}
	if p.ctx.Err() != nil { // it lost power with the answer
		return &api.ControlResponse{}, nil
	}
	return response, nil
}

// resultOf is the output of a call that was answered.
func resultOf(in input, response *api.ControlResponse) (output, error) {
	result := output{status: response.Status, revision: in.revision, print: in.print}
	if !in.get || response.Status != http.StatusOK {
		return result, nil
	}
	config, err := api.ParseConfig(response.Config)
	if err != nil {
		return output{}, err
	}
	result.revision, result.print = config.Revision, fingerprintOf(response.Config)
	return result, nil
}

// nextMachine is the machine to call next: mostly the one that is said to lead.
func (c *faultyCluster) nextMachine(rng *rand.Rand, leader string) int {
	at := rng.IntN(len(c.machines))
	for i, m := range c.machines {
		if leader == m.addr && rng.IntN(4) > 0 {
			at = i
		}
	}
	return at
}

// record adds a call to the history. At an acknowledgement all may lose power.
func (c *faultyCluster) record(call submittedCall, result output, answered bool) {
	in := call.in
	if !answered && in.get { // says nothing
		c.locked(func() { c.clock++ })
		return
	}
	var losePower []*faultyMachine
	c.locked(func() {
		c.clock++
		op := porcupine.Operation{
			ClientId: call.client,
			Input:    in,
			Call:     call.at,
			Output:   result,
			Return:   c.clock,
		}
		switch {
		case !answered:
			op.ClientId, op.Return = 1000+len(c.history), openEnd
		case in.get:
			c.checkRead(call, result)
		case result.status == http.StatusOK:
			c.acknowledged = max(c.acknowledged, in.revision)
			if c.failAllAtNext {
				c.failAllAtNext, losePower = false, c.machines
			}
		default:
			c.refused[in.print] = true
		}
		c.history = append(c.history, op)
	})
	c.powerOff(losePower...)
}

// checkRead checks that a read is not older than what was acknowledged before it. Called under
// the mutex.
func (c *faultyCluster) checkRead(call submittedCall, result output) {
	outdated := result.status == http.StatusOK && result.revision < call.acknowledged
	missing := result.status != http.StatusOK && call.acknowledged > 0
	if outdated || missing {
		c.failLocked("a read is answered %d, revision %d, after %d was acknowledged",
			result.status, result.revision, call.acknowledged)
	}
}

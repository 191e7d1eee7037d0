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

// runOperator makes calls in sequence, and retries each until it has a definite answer.
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
			call.revision = newest // invalid: not greater than the base
		}
		done := false
		c.locked(func() { done = c.faultsEnded || c.failure != nil })
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

// submittedCall is a call, and the state of the cluster at the time of the call.
type submittedCall struct {
	client               int
	in                   input
	calledAt             int64
	acknowledgedRevision uint64 // the highest acknowledged revision at that time
}

// submit makes a call with a configuration that no other call has, and records its result. The
// status is 0 if no member gave a definite answer.
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
	in.fingerprint = fingerprintOf(in.config)
	call := submittedCall{client: client, in: in}
	c.locked(func() {
		if !in.get {
			c.sentCommands[in.fingerprint] = in
		}
		c.clock++
		call.calledAt, call.acknowledgedRevision = c.clock, c.acknowledgedRevision
		c.counts.calls++
	})
	result, answered := c.callUntilAnswered(rng, in)
	c.record(call, result, answered)
	return result
}

// callUntilAnswered sends the same call to one member after another until one gives a definite
// answer, 400 times at most.
func (c *faultyCluster) callUntilAnswered(rng *rand.Rand, in input) (result output, answered bool) {
	target := rng.IntN(len(c.machines))
	for range 400 {
		var p *memberProcess
		failed := false
		c.locked(func() { p, failed = c.machines[target].process, c.failure != nil })
		if failed {
			return result, false
		}
		response, err := p.call(rng, in)
		if err != nil {
			c.fail("call failed: %v", err)
			return result, false
		}
		unanswered := response.Status == 0 || response.Status == http.StatusServiceUnavailable
		if !unanswered && rng.IntN(12) > 0 { // one in twelve definite answers is lost
			result, err = resultOf(in, response)
			if err != nil {
				c.fail("invalid configuration in a response: %v", err)
			}
			return result, err == nil
		}
		target = c.nextMachine(rng, response.Leader)
		time.Sleep(time.Duration(1+rng.IntN(60)) * time.Millisecond)
	}
	return result, false
}

// call makes a call to a member. The response is empty if p is nil, as for a machine that is off,
// or if the member loses power during the call.
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
	if p.ctx.Err() != nil { // the member lost power before its answer arrived
		return &api.ControlResponse{}, nil
	}
	return response, nil
}

// resultOf converts the response to a call to its output in the history.
func resultOf(in input, response *api.ControlResponse) (output, error) {
	result := output{status: response.Status, revision: in.revision, fingerprint: in.fingerprint}
	if !in.get || response.Status != http.StatusOK {
		return result, nil
	}
	config, err := api.ParseConfig(response.Config)
	if err != nil {
		return output{}, err
	}
	result.revision, result.fingerprint = config.Revision, fingerprintOf(response.Config)
	return result, nil
}

// nextMachine picks the machine to call next: in most cases the leader that the last response
// named.
func (c *faultyCluster) nextMachine(rng *rand.Rand, leader string) int {
	target := rng.IntN(len(c.machines))
	for i, m := range c.machines {
		if leader == m.addr && rng.IntN(4) > 0 {
			target = i
		}
	}
	return target
}

// record adds a call to the history. After an acknowledgement, all machines lose power if
// powerOffAllOnAck is set.
func (c *faultyCluster) record(call submittedCall, result output, answered bool) {
	in := call.in
	if !answered && in.get { // an unanswered read proves nothing
		c.locked(func() { c.clock++ })
		return
	}
	var losePower []*faultyMachine
	c.locked(func() {
		c.clock++
		op := porcupine.Operation{
			ClientId: call.client,
			Input:    in,
			Call:     call.calledAt,
			Output:   result,
			Return:   c.clock,
		}
		switch {
		case !answered:
			op.ClientId, op.Return = 1000+len(c.history), unknownReturn
		case in.get:
			c.checkRead(call, result)
		case result.status == http.StatusOK:
			c.acknowledgedRevision = max(c.acknowledgedRevision, in.revision)
			if c.powerOffAllOnAck {
				c.powerOffAllOnAck, losePower = false, c.machines
			}
		default:
			c.refusedCommands[in.fingerprint] = true
		}
		c.history = append(c.history, op)
	})
	c.powerOff(losePower...)
}

// checkRead checks that a read does not return a revision older than the one that was acknowledged
// before the read began. The caller holds the mutex.
func (c *faultyCluster) checkRead(call submittedCall, result output) {
	outdated := result.status == http.StatusOK && result.revision < call.acknowledgedRevision
	missing := result.status != http.StatusOK && call.acknowledgedRevision > 0
	if outdated || missing {
		c.failLocked("stale read: status %d, revision %d, after revision %d was acknowledged",
			result.status, result.revision, call.acknowledgedRevision)
	}
}

package controlplane

import (
	"net/http"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// casRegister is a linearizable register that holds one configuration, with read and
// compare-and-swap. It does no I/O, reads no clock and starts no goroutine; it is used by
// [configStore] and by the simulation that checks linearizability. In a Core it is guarded by
// Core.mu.
type casRegister struct {
	state State
	calls map[uint64]*pendingCall // proposed calls by the index of their entry
}

// pendingCall is an operator's call that has no result yet.
type pendingCall struct {
	get bool // a read; otherwise a call to make the embedded change
	configChange

	term      uint64 // in which the call was received, then that of its entry
	readRound uint64 // the read index round that confirms it; 0: not assigned yet
	index     uint64 // of its entry; 0: not proposed
	response  *api.ControlResponse
}

// callProgress is the result of one step of a call.
type callProgress struct {
	done       bool
	result     api.ControlResponse // if done; Status 0: this member doesn't know the result
	needsRound bool                // the call waits for a read index round
}

// advance advances a call as far as possible now: until it is done, proposed or waiting for a read
// index round.
func (g *casRegister) advance(node *raft.Node, p *pendingCall) callProgress {
	unknown := callProgress{done: true}
	switch {
	case p.response != nil:
		return callProgress{done: true, result: *p.response}
	case p.index != 0: // its entry may still be committed, even under another leader
		return callProgress{}
	case node.Role() != raft.Leader:
		return unknown
	case p.readRound == 0:
		p.term, p.readRound = node.Term(), node.NextReadIndexRound()
	case p.term != node.Term():
		// Round numbers increase across terms, so a round of a later term would confirm the call as
		// well: it began after the call was received. The caller repeats the call all the same, so
		// that the linearizability proof needs to consider one term only.
		return unknown
	}
	// A result from the local state requires that the state is the newest and that a majority
	// has confirmed the leadership: a partitioned leader must not return an old revision, nor
	// reject or acknowledge a change because of one.
	confirmed := node.HasCommittedInTerm() && node.ConfirmedReadIndexRound() >= p.readRound &&
		node.AppliedIndex() >= node.CommitIndex()
	if p.get {
		return g.read(confirmed)
	}
	if !node.HasCommittedInTerm() {
		return callProgress{needsRound: true}
	}
	if d := g.state.Evaluate(p.base, p.revision, p.content); d.Outcome != OutcomeAcceptable {
		if !confirmed {
			return callProgress{needsRound: true}
		}
		return callProgress{done: true, result: d.result()}
	}
	return g.propose(node, p)
}

// read returns the progress of a read.
func (g *casRegister) read(confirmed bool) callProgress {
	switch {
	case !confirmed:
		return callProgress{needsRound: true}
	case g.state.Revision == 0:
		none := api.ControlResponse{Status: http.StatusNotFound, Reason: "no configuration has been applied yet"}
		return callProgress{done: true, result: none}
	}
	return callProgress{done: true, result: api.ControlResponse{Status: http.StatusOK}}
}

// propose appends the entry of a change to the log.
func (g *casRegister) propose(node *raft.Node, p *pendingCall) callProgress {
	index, term, err := node.Propose(p.entry)
	if err != nil {
		return callProgress{done: true}
	}
	p.index, p.term = index, term
	if other := g.calls[index]; other != nil {
		// The other call's entry was truncated from this log; whether it was committed is unknown.
		other.response = &api.ControlResponse{}
	}
	g.calls[index] = p
	return callProgress{}
}

// apply applies a committed entry, and reports whether it replaced the configuration.
func (g *casRegister) apply(e raft.Entry) (replaced bool) {
	var r api.ControlResponse
	if len(e.Data) > 0 {
		before := g.state.Revision
		r = g.state.Apply(e.Data).result()
		replaced = g.state.Revision != before
	}
	if p := g.calls[e.Index]; p != nil {
		delete(g.calls, e.Index)
		if p.term != e.Term { // another entry was committed at this index
			r = api.ControlResponse{}
		}
		p.response = &r
	}
	return replaced
}

// endCallsUpTo ends the calls whose entries a snapshot covers: their results are unknown.
func (g *casRegister) endCallsUpTo(index uint64) {
	for at, p := range g.calls {
		if at <= index {
			delete(g.calls, at)
			p.response = &api.ControlResponse{}
		}
	}
}

// drop removes a call whose caller no longer waits. Its entry may still be committed.
func (g *casRegister) drop(p *pendingCall) {
	if g.calls[p.index] == p {
		delete(g.calls, p.index)
	}
}

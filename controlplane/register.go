package controlplane

import (
	"net/http"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// casRegister is a linearizable register: one configuration that is read, and replaced by
// compare and swap. It does no I/O, reads no clock and starts no goroutine; [configStore] hosts
// it, and so does a simulation of histories. In a Core it is guarded by Core.mu.
type casRegister struct {
	state State
	calls map[uint64]*pendingCall // proposed, by the index of their entry
}

// pendingCall is an operator's call that has no result yet.
type pendingCall struct {
	get bool // a read; otherwise the change that follows is to be made
	configChange

	term      uint64 // in which it came, then that of its entry
	readRound uint64 // the read index round that confirms it, 0: none was asked for
	index     uint64 // of its entry, 0: not proposed
	response  *api.ControlResponse
}

// callProgress is what came of one step of a call.
type callProgress struct {
	done       bool
	result     api.ControlResponse // where done; a Status of 0: this member doesn't know it
	needsRound bool                // the call waits for a read index round
}

// advance takes a call as far as it gets now: answered, proposed, or waiting for a round.
func (g *casRegister) advance(node *raft.Node, p *pendingCall) callProgress {
	unknown := callProgress{done: true}
	switch {
	case p.response != nil:
		return callProgress{done: true, result: *p.response}
	case p.index != 0: // its entry may still be committed, whoever leads
		return callProgress{}
	case node.Role() != raft.Leader:
		return unknown
	case p.readRound == 0:
		p.term, p.readRound = node.Term(), node.NextReadIndexRound()
	case p.term != node.Term():
		// Rounds are numbered through all terms, so that a later term's round would confirm the call as
		// well: it began after the call came in. The caller asks anew all the same, as the proof of
		// linearizability is then that of one term.
		return unknown
	}
	// What is answered from what is known here must be the newest, and known by one who
	// is in touch with a majority: a leader that has been cut off must neither read back
	// an old version, nor reject a change or confirm it because of one.
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

// read is the progress of a call that reads.
func (g *casRegister) read(confirmed bool) callProgress {
	switch {
	case !confirmed:
		return callProgress{needsRound: true}
	case g.state.Revision == 0:
		none := api.ControlResponse{Status: http.StatusNotFound, Reason: "no configuration was taken yet"}
		return callProgress{done: true, result: none}
	}
	return callProgress{done: true, result: api.ControlResponse{Status: http.StatusOK}}
}

// propose puts the entry of a change into the log.
func (g *casRegister) propose(node *raft.Node, p *pendingCall) callProgress {
	index, term, err := node.Propose(p.entry)
	if err != nil {
		return callProgress{done: true}
	}
	p.index, p.term = index, term
	if other := g.calls[index]; other != nil {
		// Its entry was cut off here; whether it was committed elsewhere is unknown.
		other.response = &api.ControlResponse{}
	}
	g.calls[index] = p
	return callProgress{}
}

// apply applies a committed entry, and reports whether it brought a configuration.
func (g *casRegister) apply(e raft.Entry) (replaced bool) {
	var r api.ControlResponse
	if len(e.Data) > 0 {
		before := g.state.Revision
		r = g.state.Apply(e.Data).result()
		replaced = g.state.Revision != before
	}
	if p := g.calls[e.Index]; p != nil {
		delete(g.calls, e.Index)
		if p.term != e.Term { // another entry took its place
			r = api.ControlResponse{}
		}
		p.response = &r
	}
	return replaced
}

// endCallsUpTo ends calls whose entries a snapshot stands for: what came of them is unknown.
func (g *casRegister) endCallsUpTo(index uint64) {
	for at, p := range g.calls {
		if at <= index {
			delete(g.calls, at)
			p.response = &api.ControlResponse{}
		}
	}
}

// drop forgets a call that nobody waits for any more. Its entry may be committed all the same.
func (g *casRegister) drop(p *pendingCall) {
	if g.calls[p.index] == p {
		delete(g.calls, p.index)
	}
}

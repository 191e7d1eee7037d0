package controlplane

import (
	"net/http"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// register is what a member makes of the operator's calls: one configuration
// that is read and replaced by compare and swap. It does no I/O, reads no clock
// and starts no goroutine; [Core] hosts it, and a simulation of histories does.
type register struct {
	node  *raft.Node
	state State
	calls map[uint64]*pending // proposed, by their place in the log
}

// pending is a call in hand.
type pending struct {
	get            bool
	base, revision uint64
	print          fingerprint // of the configuration as it was sent
	data           []byte      // its entry

	term, need uint64 // the term it came in, and the round that confirms it
	index      uint64 // of its entry, 0 before
	answer     *api.ControlResponse
}

// next carries a call on as far as it goes. done: r came of it; a Status of 0 is
// that this member can't say. beat: a round of heartbeats is waited for.
func (g *register) next(p *pending) (r api.ControlResponse, done, beat bool) {
	switch {
	case p.answer != nil:
		return *p.answer, true, false
	case p.index != 0: // its entry may still be agreed on, whoever leads
		return r, false, false
	case g.node.Role() != raft.Leader:
		return r, true, false
	case p.need == 0:
		p.term, p.need = g.node.Term(), g.node.NextRound()
	case p.term != g.node.Term():
		return r, true, false
	}
	// What is answered from what is known here must be the newest, and known by one who
	// is in touch with a majority: a leader that has been cut off must neither read back
	// an old version, nor turn a change down or confirm it because of one.
	sure := g.node.Serves() && g.node.Confirmed() >= p.need && g.node.Applied() >= g.node.Commit()
	if p.get {
		if !sure {
			return r, false, true
		}
		if g.state.Revision == 0 {
			return api.ControlResponse{Status: http.StatusNotFound, Reason: "no configuration was taken yet"}, true, false
		}
		return api.ControlResponse{Status: http.StatusOK}, true, false
	}
	if !g.node.Serves() {
		return r, false, true
	}
	if d := g.state.Evaluate(p.base, p.revision, p.print); d.Outcome != OutcomeAcceptable {
		if sure {
			return d.result(), true, false
		}
		return api.ControlResponse{}, false, true
	}
	index, term, err := g.node.Propose(p.data)
	if err != nil {
		return api.ControlResponse{}, true, false
	}
	p.index, p.term = index, term
	if o := g.calls[index]; o != nil { // its entry was cut off here; whether it was agreed on elsewhere is not known
		o.answer = &api.ControlResponse{}
	}
	g.calls[index] = p
	return api.ControlResponse{}, false, false
}

// apply carries out an entry that was agreed on, and tells whether it brought a
// configuration.
func (g *register) apply(e raft.Entry) (news bool) {
	var r api.ControlResponse
	if len(e.Data) > 0 {
		before := g.state.Revision
		r = g.state.Apply(e.Data).result()
		news = g.state.Revision != before
	}
	if p := g.calls[e.Index]; p != nil {
		delete(g.calls, e.Index)
		if p.term != e.Term { // another entry took its place
			r = api.ControlResponse{}
		}
		p.answer = &r
	}
	return news
}

// drop forgets a call that nobody waits for any more. Its entry may be agreed on
// all the same.
func (g *register) drop(p *pending) {
	if g.calls[p.index] == p {
		delete(g.calls, p.index)
	}
}

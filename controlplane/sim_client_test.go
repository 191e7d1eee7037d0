package controlplane

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// client makes one call after the other.
type client struct {
	id      int
	seen    uint64 // the newest version that it knows
	in      input
	begun   int64
	at      raft.ID
	p       *pendingCall
	patient int // steps until it asks another member
	tries   int
	busy    bool
}

// input and output are those of the register, for the checkers.
type input struct {
	get            bool
	base, revision uint64
	print          fingerprint
	config         []byte
}

type output struct {
	status   int // 0: no clear answer
	revision uint64
	print    fingerprint
}

func (c *client) pending() *pendingCall {
	p := &pendingCall{get: c.in.get, configChange: configChange{base: c.in.base, revision: c.in.revision, content: c.in.print}}
	if !p.get {
		var err error
		if p.entry, err = encodeReplaceCommand(p.base, p.revision, c.in.config); err != nil {
			panic(err)
		}
	}
	return p
}

// ask has a client go on with its call, or begin one.
func (w *world) ask(c *client) {
	if !c.busy {
		if w.calm || w.rng.IntN(6) > 0 {
			return
		}
		c.busy, c.begun, c.tries, c.p = true, w.tick(), 0, nil
		c.in = input{get: w.rng.IntN(3) == 0, base: c.seen, revision: c.seen + 1 + w.rng.Uint64N(3)} // others pick the same numbers
		if w.rng.IntN(30) == 0 {
			c.in.revision = c.seen // never valid
		}
		c.in.config = fmt.Append(nil, c.in.revision, c.id, w.now)
		c.in.print = fingerprintOf(c.in.config)
	}
	if c.p != nil {
		if c.patient--; c.patient > 0 && w.members[c.at] != nil {
			return
		}
		if m := w.members[c.at]; m != nil {
			m.drop(c.p)
		}
		c.p = nil // no clear answer here
	}
	if c.tries++; c.tries > mostTries {
		w.end(c, output{}, true)
		return
	}
	if w.rng.IntN(3) > 0 {
		return
	}
	c.at, c.patient = w.slots[w.rng.IntN(len(w.slots))], 10+w.rng.IntN(30)
	c.p = c.pending()
}

// answer has a member go on with the calls that are at it.
func (w *world) answer(id raft.ID) {
	m := w.members[id]
	if m == nil || w.frozen[id] > 0 {
		return
	}
	for _, c := range w.clients {
		if !c.busy || c.p == nil || c.at != id {
			continue
		}
		r, done := w.drive(id, c.p)
		if w.members[id] != m {
			return
		}
		if !done {
			continue
		}
		if r.Status == 0 || r.Status == http.StatusServiceUnavailable {
			c.p = nil
			continue
		}
		if w.rng.IntN(12) == 0 {
			c.p = nil // the answer is lost: the call is sent again unchanged
			if w.losses && w.rng.IntN(3) == 0 {
				c.tries = -w.rng.IntN(600) // ... for as long as it takes, and others go on meanwhile
			}
			continue
		}
		out := output{status: r.Status, revision: m.state.Revision}
		if k := len(m.state.Applied); k > 0 {
			out.print = m.state.Applied[k-1].fingerprint
		}
		w.end(c, out, false)
	}
}

// drive carries a call on at a member.
func (w *world) drive(id raft.ID, p *pendingCall) (r api.ControlResponse, done bool) {
	m := w.members[id]
	progress := w.advanceOf(m, p)
	if progress.needsRound {
		m.node.BroadcastHeartbeat()
	}
	if !progress.done {
		w.carry(id)
	}
	return progress.result, progress.done
}

// advanceOf is the register's advance, or that of one with a fault in it.
func (w *world) advanceOf(m *member, p *pendingCall) callProgress {
	if m.node.Role() == raft.Leader && p.index == 0 {
		switch {
		case w.fault == "reads without a confirmation" && p.get && m.state.Revision != 0:
			return callProgress{done: true, result: api.ControlResponse{Status: http.StatusOK}}
		case w.fault == "turned down without a confirmation" && !p.get:
			if d := m.state.Evaluate(p.base, p.revision, p.content); d.Outcome != OutcomeAcceptable {
				return callProgress{done: true, result: d.result()}
			}
		case w.fault == "told apart by number alone" && !p.get:
			if i := slices.IndexFunc(m.state.Applied, func(t appliedRevision) bool { return t.Revision == p.revision }); i >= 0 {
				p.content = m.state.Applied[i].fingerprint
			}
		case w.fault == "confirmed before it is agreed" && !p.get:
			progress := m.advance(m.node, p)
			if p.index != 0 {
				progress.result, progress.done = api.ControlResponse{Status: http.StatusOK}, true
			}
			return progress
		}
	}
	return m.advance(m.node, p)
}

func (w *world) end(c *client, out output, open bool) {
	c.busy, c.p = false, nil
	op := porcupine.Operation{ClientId: c.id, Input: c.in, Call: c.begun, Output: out, Return: w.tick()}
	if open {
		if c.in.get {
			return // says nothing
		}
		// The checker wants one call at a time of each client: this one goes on as
		// another's.
		op.ClientId, op.Return = 1000+len(w.history), openEnd
	}
	w.history = append(w.history, op)
	switch {
	case out.status == http.StatusOK && !c.in.get:
		c.seen = max(c.seen, c.in.revision)
	case out.status != 0:
		c.seen = max(c.seen, out.revision)
	}
}

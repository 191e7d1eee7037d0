package controlplane

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// simClient makes one call after the other.
type simClient struct {
	id        int
	newest    uint64 // the newest revision that it knows
	busy      bool
	in        input // the call it makes
	calledAt  int64
	member    raft.ID      // that is called
	call      *pendingCall // at that member; nil: it calls none now
	stepsLeft int          // steps until it calls another member
	attempts  int
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

// newPendingCall is a call as a member gets it.
func newPendingCall(in *input) *pendingCall {
	p := &pendingCall{get: in.get}
	p.base, p.revision, p.content = in.base, in.revision, in.print
	if !p.get {
		var err error
		if p.entry, err = encodeReplaceCommand(p.base, p.revision, in.config); err != nil {
			panic(err)
		}
	}
	return p
}

// stepClient has a client go on with its call, or begin one.
func (s *registerSim) stepClient(c *simClient) {
	if !c.busy {
		if s.calm || s.rng.IntN(6) > 0 {
			return
		}
		s.beginCall(c)
	}
	if c.call != nil {
		c.stepsLeft--
		if c.stepsLeft > 0 && s.members[c.member] != nil {
			return
		}
		if m := s.members[c.member]; m != nil {
			m.drop(c.call)
		}
		c.call = nil // no clear answer here
	}
	c.attempts++
	if c.attempts > maxCallAttempts {
		s.end(c, output{}, true)
		return
	}
	if s.rng.IntN(3) > 0 {
		return
	}
	c.member, c.stepsLeft = s.slots[s.rng.IntN(len(s.slots))], 10+s.rng.IntN(30)
	c.call = newPendingCall(&c.in)
}

// beginCall draws a client's next call. Other clients pick the same revisions.
func (s *registerSim) beginCall(c *simClient) {
	c.busy, c.calledAt, c.attempts, c.call = true, s.tick(), 0, nil
	c.in = input{
		get:      s.rng.IntN(3) == 0,
		base:     c.newest,
		revision: c.newest + 1 + s.rng.Uint64N(3),
	}
	if s.rng.IntN(30) == 0 {
		c.in.revision = c.newest // never valid
	}
	c.in.config = fmt.Append(nil, c.in.revision, c.id, s.now)
	c.in.print = fingerprintOf(c.in.config)
}

// answer has a member go on with the calls that are at it.
func (s *registerSim) answer(id raft.ID) {
	m := s.members[id]
	if m == nil || s.frozen[id] > 0 {
		return
	}
	for _, c := range s.clients {
		if !c.busy || c.call == nil || c.member != id {
			continue
		}
		r, done := s.drive(id, c.call)
		if s.members[id] != m { // it lost power
			return
		}
		if done {
			s.receive(c, &r, m)
		}
	}
}

// receive has a client get a member's answer. One in twelve is lost.
func (s *registerSim) receive(c *simClient, r *api.ControlResponse, m *simMember) {
	if r.Status == 0 || r.Status == http.StatusServiceUnavailable {
		c.call = nil
		return
	}
	if s.rng.IntN(12) == 0 {
		c.call = nil // the call is sent again unchanged
		if s.losses && s.rng.IntN(3) == 0 {
			c.attempts = -s.rng.IntN(600) // ... for as long as it takes, and others go on meanwhile
		}
		return
	}
	out := output{status: r.Status, revision: m.state.Revision}
	if n := len(m.state.Applied); n > 0 {
		out.print = m.state.Applied[n-1].fingerprint
	}
	s.end(c, out, false)
}

// drive has a member go on with a call.
func (s *registerSim) drive(id raft.ID, p *pendingCall) (r api.ControlResponse, done bool) {
	m := s.members[id]
	progress := s.advance(m, p)
	if progress.needsRound {
		m.node.BroadcastHeartbeat()
	}
	if !progress.done {
		s.handleReady(id)
	}
	return progress.result, progress.done
}

// advance advances a call as the register does, or as one with a planted fault.
func (s *registerSim) advance(m *simMember, p *pendingCall) callProgress {
	if m.node.Role() != raft.Leader || p.index != 0 {
		return m.advance(m.node, p)
	}
	succeeds := callProgress{done: true, result: api.ControlResponse{Status: http.StatusOK}}
	switch {
	case s.fault == faultReadsUnconfirmed && p.get && m.state.Revision != 0:
		return succeeds
	case s.fault == faultRefusesUnconfirmed && !p.get:
		if d := m.state.Evaluate(p.base, p.revision, p.content); d.Outcome != OutcomeAcceptable {
			return callProgress{done: true, result: d.result()}
		}
	case s.fault == faultIgnoresFingerprint && !p.get:
		i := slices.IndexFunc(m.state.Applied, func(a appliedRevision) bool { return a.Revision == p.revision })
		if i >= 0 {
			p.content = m.state.Applied[i].fingerprint
		}
	case s.fault == faultConfirmsProposed && !p.get:
		progress := m.advance(m.node, p)
		if p.index != 0 {
			return succeeds
		}
		return progress
	}
	return m.advance(m.node, p)
}

// end ends a client's call. open: it has no clear answer, and may still take effect.
func (s *registerSim) end(c *simClient, out output, open bool) {
	c.busy, c.call = false, nil
	op := porcupine.Operation{
		ClientId: c.id,
		Input:    c.in,
		Call:     c.calledAt,
		Output:   out,
		Return:   s.tick(),
	}
	if open {
		if c.in.get {
			return // says nothing
		}
		// The checker wants one call at a time of each client: this one goes on as
		// another's.
		op.ClientId, op.Return = 1000+len(s.history), openEnd
	}
	s.history = append(s.history, op)
	switch {
	case out.status == http.StatusOK && !c.in.get:
		c.newest = max(c.newest, c.in.revision)
	case out.status != 0:
		c.newest = max(c.newest, out.revision)
	}
}

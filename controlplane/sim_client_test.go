package controlplane

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// simClient is a client that makes calls in sequence.
type simClient struct {
	id        int
	newest    uint64 // the newest revision known to the client
	busy      bool
	in        input // the current call
	calledAt  int64
	member    raft.ID      // to which the call was sent
	call      *pendingCall // at that member, nil while no member handles it
	stepsLeft int          // until the call to the member times out
	attempts  int
}

// input is a call to the register, as the history checkers get it.
type input struct {
	get            bool
	base, revision uint64
	fingerprint    fingerprint
	config         []byte
}

// output is the answer to a call, as the history checkers get it.
type output struct {
	status      int // 0: no definite answer
	revision    uint64
	fingerprint fingerprint
}

// newPendingCall returns a call as a member receives it.
func newPendingCall(in *input) *pendingCall {
	p := &pendingCall{get: in.get}
	p.base, p.revision, p.content = in.base, in.revision, in.fingerprint
	if !p.get {
		var err error
		if p.entry, err = encodeReplaceCommand(p.base, p.revision, in.config); err != nil {
			panic(err)
		}
	}
	return p
}

// stepClient makes a client continue its call or begin a new one.
func (s *registerSim) stepClient(c *simClient) {
	if !c.busy {
		if s.faultsEnded || s.rng.IntN(6) > 0 {
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
		c.call = nil // this member gave no definite answer
	}
	c.attempts++
	if c.attempts > maxCallAttempts {
		s.endCall(c, output{}, true)
		return
	}
	if s.rng.IntN(3) > 0 {
		return
	}
	c.member, c.stepsLeft = s.slots[s.rng.IntN(len(s.slots))], 10+s.rng.IntN(30)
	c.call = newPendingCall(&c.in)
}

// beginCall draws the next call of a client. Revisions are drawn from a small range, so that clients
// compete for them.
func (s *registerSim) beginCall(c *simClient) {
	c.busy, c.calledAt, c.attempts, c.call = true, s.advanceClock(), 0, nil
	c.in = input{
		get:      s.rng.IntN(3) == 0,
		base:     c.newest,
		revision: c.newest + 1 + s.rng.Uint64N(3),
	}
	if s.rng.IntN(30) == 0 {
		c.in.revision = c.newest // invalid: not greater than the base
	}
	c.in.config = fmt.Append(nil, c.in.revision, c.id, s.now)
	c.in.fingerprint = fingerprintOf(c.in.config)
}

// advanceCalls makes a member advance the calls that were sent to it.
func (s *registerSim) advanceCalls(id raft.ID) {
	m := s.members[id]
	if m == nil || s.frozen[id] > 0 {
		return
	}
	for _, c := range s.clients {
		if !c.busy || c.call == nil || c.member != id {
			continue
		}
		r, done := s.drive(id, c.call)
		if s.members[id] != m { // the member lost power
			return
		}
		if done {
			s.receiveAnswer(c, &r, m)
		}
	}
}

// receiveAnswer delivers a member's answer to a client. One in twelve definite answers is lost.
func (s *registerSim) receiveAnswer(c *simClient, r *api.ControlResponse, m *simMember) {
	if r.Status == 0 || r.Status == http.StatusServiceUnavailable {
		c.call = nil
		return
	}
	if s.rng.IntN(12) == 0 {
		c.call = nil // the client will retry the call unchanged
		if s.losses && s.rng.IntN(3) == 0 {
			c.attempts = -s.rng.IntN(600) // retries for longer, while other clients make more calls
		}
		return
	}
	out := output{status: r.Status, revision: m.state.Revision}
	if n := len(m.state.Applied); n > 0 {
		out.fingerprint = m.state.Applied[n-1].fingerprint
	}
	s.endCall(c, out, false)
}

// drive makes a member advance a call, and returns the result once the call is done.
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

// advance advances a call as the register does, or as a register with the planted fault does.
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

// endCall ends a client's call and adds it to the history. An unresolved call has no definite answer
// and may still take effect.
func (s *registerSim) endCall(c *simClient, out output, unresolved bool) {
	c.busy, c.call = false, nil
	op := porcupine.Operation{
		ClientId: c.id,
		Input:    c.in,
		Call:     c.calledAt,
		Output:   out,
		Return:   s.advanceClock(),
	}
	if unresolved {
		if c.in.get {
			return // an unanswered read proves nothing
		}
		// The checker requires that each client makes one call at a time: this call
		// is attributed to a client of its own.
		op.ClientId, op.Return = 1000+len(s.history), unknownReturn
	}
	s.history = append(s.history, op)
	switch {
	case out.status == http.StatusOK && !c.in.get:
		c.newest = max(c.newest, c.in.revision)
	case out.status != 0:
		c.newest = max(c.newest, out.revision)
	}
}

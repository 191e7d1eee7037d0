package raft

import (
	"flag"
	"testing"
)

var lossSeeds = flag.Uint64("losses.seeds", 400, "runs of TestAllLossesMixed")

// losses are what strikes a core beside lost messages and crashes.
type losses struct {
	*sim
	refuses map[ID]int       // steps for which a disk refuses writes
	frozen  map[ID]int       // steps for which a member stands still
	held    map[ID][]Message // what waits for it meanwhile
	pace    map[ID]int       // of 8 steps a member's clock counts so many, up to 16
	deaf    map[[2]ID]bool   // one way
	reads   []read
}

// read waits for a leader to confirm that it led after the read was asked for.
type read struct {
	at         ID
	term, need uint64
	acked      uint64 // places acknowledged when it was asked for
}

func (s *losses) highest() (at uint64) {
	for i := range s.acked {
		at = max(at, i)
	}
	return at
}

// strike has something happen, within what the core must bear: at most one
// disk's contents lost until that is made good.
func (s *losses) strike() {
	l := s.leader()
	if l != nil && s.rng.IntN(3) == 0 {
		s.value++
		l.Propose([]byte{byte(s.value >> 8), byte(s.value), 1})
	}
	ids := s.ids()
	if len(ids) == 0 {
		s.restart()
		return
	}
	one := ids[s.rng.IntN(len(ids))]
	switch s.rng.IntN(90) {
	case 0:
		s.refuses[one] = 5 + s.rng.IntN(60)
	case 1:
		s.frozen[one] = 5 + s.rng.IntN(80)
	case 2:
		s.pace[one] = 3 + s.rng.IntN(14)
	case 3, 4:
		s.deaf[[2]ID{one, ids[s.rng.IntN(len(ids))]}] = true
	case 5, 6, 7:
		clear(s.deaf)
		clear(s.cut)
	case 8:
		s.cut[one] = true
	case 9: // all lose power at once
		clear(s.nodes)
		clear(s.held)
	case 10: // the leader dies right after something was acknowledged
		if l != nil {
			delete(s.nodes, l.cfg.ID)
		}
	case 11, 12, 13, 14, 15:
		s.restart()
	case 16, 17: // a disk is lost for good: any, or the leader's right after an acknowledgement
		if l == nil || len(s.nodes) < 3 || len(s.cut) > 0 || !s.whole(l) {
			return
		}
		if s.rng.IntN(2) == 0 {
			one = l.cfg.ID
		}
		delete(s.nodes, one)
		delete(s.disks, one)
		s.next++
		s.disks[s.next] = &PersistentState{}
		s.start(s.next)
	}
	s.tend()
}

// step is one step of time for all.
func (s *losses) step() {
	for _, id := range s.ids() {
		if s.frozen[id] > 0 {
			if s.frozen[id]--; s.frozen[id] == 0 {
				s.net = append(s.net, s.held[id]...) // all at once when it wakes
				delete(s.held, id)
			}
			continue
		}
		pace := s.pace[id]
		if pace == 0 {
			pace = 7
		}
		for range 2 {
			if s.rng.IntN(16) < pace && s.refuses[id] == 0 {
				s.nodes[id].Tick()
			}
		}
		s.carry(id)
	}
	msgs := s.net
	s.net = nil
	s.rng.Shuffle(len(msgs), func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	for _, m := range msgs {
		n := s.nodes[m.To]
		switch x := s.rng.IntN(100); {
		case n == nil, s.cut[m.From], s.cut[m.To], s.deaf[[2]ID{m.From, m.To}], s.refuses[m.To] > 0, x < 4:
			continue
		case s.frozen[m.To] > 0:
			if len(s.held[m.To]) < 50 {
				s.held[m.To] = append(s.held[m.To], m)
			}
			continue
		case x < 14:
			s.net = append(s.net, m) // late
			continue
		case x < 18:
			s.net = append(s.net, m) // doubled
		}
		n.Step(m)
		s.carry(m.To)
	}
	if len(s.net) > 200 {
		s.net = s.net[100:]
	}
	s.confirm()
}

// carry is the host of a member: with a disk that refuses writes nothing goes
// out, and leadership is given up, as controlplane.Core has it.
func (s *losses) carry(id ID) {
	n := s.nodes[id]
	if s.refuses[id] > 0 {
		s.refuses[id]--
		if r := n.Ready(); r.MustSync() {
			n.StepDown()
			return
		}
	}
	s.host(id)
}

// confirm asks leaders whether they lead, and checks what they then know: a
// read or a lease that a leader grants after a majority has answered it must
// know all that was acknowledged before it was asked for.
func (s *losses) confirm() {
	if ids := s.ids(); len(ids) > 0 && s.rng.IntN(4) == 0 && len(s.reads) < 20 {
		id := ids[s.rng.IntN(len(ids))]
		if n := s.nodes[id]; n.Role() == Leader && s.frozen[id] == 0 {
			s.reads = append(s.reads, read{id, n.Term(), n.NextReadIndexRound(), s.highest()})
			n.BroadcastHeartbeat()
			s.carry(id)
		}
	}
	var open []read
	for _, r := range s.reads {
		n := s.nodes[r.at]
		switch {
		case n == nil || n.Role() != Leader || n.Term() != r.term:
		case n.HasCommittedInTerm() && n.ConfirmedReadIndexRound() >= r.need:
			if n.AppliedIndex() < r.acked {
				s.fail("%d confirmed that it leads, knows %d places and %d were acknowledged before", r.at, n.AppliedIndex(), r.acked)
			}
			s.granted++
		default:
			open = append(open, r)
		}
	}
	s.reads = open
}

// All losses mixed: disks that refuse writes or are lost, members that stand
// still and wake, clocks that run at different paces, one-way cuts, loss of power
// of all, and a leader that dies or loses its disk right after it acknowledged.
// Nothing acknowledged is ever lost or changed, nobody confirms that it leads
// without knowing all of it, and once all is calm the core comes together again.
func TestAllLossesMixed(t *testing.T) {
	t.Parallel()
	granted, acked := 0, 0
	for seed := range *lossSeeds {
		s := &losses{sim: newSim(t, seed+1_000_000, 3), refuses: map[ID]int{}, frozen: map[ID]int{}, held: map[ID][]Message{},
			pace: map[ID]int{}, deaf: map[[2]ID]bool{}}
		for range 500 {
			s.strike()
			s.step()
		}
		clear(s.deaf)
		clear(s.cut)
		clear(s.refuses)
		clear(s.frozen)
		clear(s.pace)
		s.settle()
		granted, acked = granted+s.granted, acked+len(s.acked)
	}
	if n := int(*lossSeeds); granted < n || acked < 10*n {
		t.Errorf("%d reads confirmed and %d entries agreed in %d runs: too few to say anything", granted, acked, n)
	}
}

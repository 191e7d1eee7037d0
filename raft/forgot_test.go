package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// A member that comes back with its disk of earlier, behind what it has acknowledged, is
// told so by the leader that it acknowledged it to, however messages are lost, late and
// doubled. One that comes back with all of it is told nothing. (Without it the leader
// counted what the member no longer had.)
func TestOlderDiskIsTold(t *testing.T) {
	t.Parallel()
	played := 0
	for seed := range uint64(200) {
		s := newSim(t, seed, 3)
		for s.leader() == nil {
			s.step()
		}
		l := s.leader()
		id := ID(1)
		if l.cfg.ID == id {
			id = 2
		}
		grow := func(n int) bool { // until the member has acknowledged all
			for i := range n {
				if s.nodes[id] == nil || s.nodes[l.cfg.ID] != l {
					return false
				}
				if _, _, err := l.Propose(fmt.Appendf(nil, "%d at %d", i, l.LastIndex())); err != nil {
					return false
				}
				s.step()
			}
			for s.nodes[id] != nil && s.nodes[l.cfg.ID] == l && l.Role() == Leader && l.progress[id].matchIndex < l.LastIndex() {
				s.step()
			}
			return s.nodes[id] != nil && s.nodes[l.cfg.ID] == l && l.Role() == Leader
		}
		if !grow(1 + int(seed%5)) {
			continue // a crash of the simulation's own, which has other tests
		}
		older := *s.disks[id]
		older.Entries = slices.Clone(older.Entries)
		if !grow(1 + int(seed%7)) {
			continue
		}
		lost := seed%2 == 0
		if delete(s.nodes, id); lost {
			s.disks[id] = &older
		}
		s.start(id)
		n, r := s.nodes[id], rand.New(rand.NewPCG(seed, 8))
		leads := func() bool { return s.nodes[l.cfg.ID] == l && l.Role() == Leader }
		for i := 0; i < 400 && !n.LostDurability() && leads(); i++ {
			if i%9 == 0 && r.IntN(2) == 0 {
				l.Propose([]byte("more"))
			}
			// As step does, without its check and its crashes of the member.
			msgs := s.net
			s.net = nil
			l.Tick()
			s.host(l.cfg.ID)
			n.Tick()
			s.carry(n)
			for _, m := range msgs {
				switch x := r.IntN(100); {
				case x < 5:
				case x < 20:
					s.net = append(s.net, m)
				case m.To == id:
					n.Step(m)
					s.carry(n)
				default:
					if to := s.nodes[m.To]; to != nil {
						to.Step(m)
						s.host(m.To)
					}
				}
			}
		}
		if !leads() {
			continue
		}
		played++
		if n.LostDurability() != lost {
			t.Errorf("seed %d: lost %v, told %v: it has up to %d, acknowledged %d", seed, lost, n.LostDurability(), n.LastIndex(), l.progress[id].matchIndex)
		}
	}
	if played < 120 {
		t.Errorf("%d runs of 200 came to their end", played)
	}
}

// carry carries out what a member has ready on a disk that nobody looks at.
func (s *sim) carry(n *Node) {
	for r := n.Ready(); !r.Empty() && !n.LostDurability(); r = n.Ready() {
		s.net = append(s.net, r.Messages...)
		n.Advance(r)
	}
}

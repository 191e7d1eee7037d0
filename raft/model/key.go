package model

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// AppendKey implements [modelcheck.State].
func (s *state) AppendKey(b []byte) []byte {
	b = s.appendObservations(b)
	for _, m := range s.members {
		b = m.node.AppendKey(append(b, '|'))
	}
	// The order of messages in flight matters only among those with the same sender and receiver.
	keys := make([][]byte, 0, len(s.inFlight))
	for i := range s.inFlight {
		m := &s.inFlight[i]
		keys = append(keys, m.AppendKey([]byte{byte(m.From), byte(m.To)}))
	}
	slices.SortStableFunc(keys, func(x, y []byte) int { return bytes.Compare(x[:2], y[:2]) })
	for _, k := range keys {
		b = append(append(b, '/'), k...)
	}
	return b
}

// appendObservations appends the remaining bounds and the history that the invariants refer to.
func (s *state) appendObservations(b []byte) []byte {
	left := s.remaining
	for _, v := range []int{
		left.Elections, left.Values, left.Heartbeats, left.Crashes, left.StepDowns, left.Duplicates,
		left.Changes, left.Swaps, left.Snapshots, left.CorruptedChunks, len(s.committed), len(s.inFlight),
	} {
		b = append(b, byte(v))
	}
	for _, e := range s.committed {
		b = append(binary.AppendUvarint(b, e.Term), e.Data...)
		b = append(b, ';')
	}
	for _, id := range s.leaders {
		b = append(b, byte(id))
	}
	for _, r := range s.requests {
		b = append(b, byte(r.leader), byte(r.term), byte(r.round), byte(r.committed))
	}
	return b
}

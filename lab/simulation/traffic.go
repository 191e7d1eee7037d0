package simulation

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/gossip"
)

// callOverhead is an estimate of the bytes of a call in gRPC beside its message: the heads
// of IP and TCP, two frames of HTTP/2 and gRPC's own five bytes, with header fields that
// HPACK has in its table.
const callOverhead = 120

// Traffic is what a limiter sends for control, by kind: counts, and bytes with what
// is below them. Of a word each part's bytes are counted for themselves.
type Traffic struct {
	Words     float64
	Heads     float64 // of words: who speaks, IP and UDP, and what says nothing else
	Units     float64 // this limiter's, tenant by tenant, to its group
	Groups    float64 // who is heard by how many, to other groups
	Sums      float64 // the group's units, tenant by tenant, to other groups
	Hints     float64 // loads and answers of servers
	Demand    float64 // of services
	Told      float64 // tenants in words, each time that one is told of
	Beats     float64 // heartbeats
	BeatBytes float64 // ... and the answers to those of others
}

// WordBytes are the bytes of all words.
func (t *Traffic) WordBytes() float64 {
	return t.Heads + t.Units + t.Groups + t.Sums + t.Hints + t.Demand
}

// add adds some times another's.
func (t *Traffic) add(o *Traffic, x float64) {
	t.Words += x * o.Words
	t.Heads += x * o.Heads
	t.Units += x * o.Units
	t.Groups += x * o.Groups
	t.Sums += x * o.Sums
	t.Hints += x * o.Hints
	t.Demand += x * o.Demand
	t.Told += x * o.Told
	t.Beats += x * o.Beats
	t.BeatBytes += x * o.BeatBytes
}

// size is a word's length in bytes.
func size(w *gossip.Message) float64 { return float64(len(w.Append(nil))) }

// word counts a word of so many bytes, part by part: each is what the word would be
// shorter without it.
func (t *Traffic) word(w *gossip.Message, n int) {
	rest := *w
	part := func(of *float64, leaveOut func()) {
		before := size(&rest)
		leaveOut()
		*of += before - size(&rest)
	}
	t.Words++
	t.Told += float64(len(w.Consumed) + len(w.GroupDigest.Consumed))
	part(&t.Hints, func() { rest.Hints = nil })
	part(&t.Demand, func() { rest.Demand = nil })
	part(&t.Units, func() { rest.Consumed = nil })
	part(&t.Sums, func() { rest.GroupDigest.Consumed = nil })
	part(&t.Groups, func() { rest.GroupDigest.Classes = nil })
	t.Heads += size(&rest) + gossip.DatagramOverhead
}

// beat counts a heartbeat.
func (t *Traffic) beat(b *api.HeartbeatRequest) {
	t.Beats++
	t.BeatBytes += encoded(b) + callOverhead
}

// answer counts the answer to one.
func (t *Traffic) answer(r *api.HeartbeatResponse) { t.BeatBytes += encoded(r) + callOverhead }

func encoded(v any) float64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types are ours, without anything that can't be encoded
	}
	return float64(len(b))
}

// String says where the bytes of a second go.
func (t *Traffic) String() string {
	return fmt.Sprintf("bytes a second and limiter: words %.0f (heads %.0f, units %.0f, groups %.0f, sums %.0f, hints %.0f, demand %.0f; %.0f tenants told), heartbeats %.0f",
		t.WordBytes(), t.Heads, t.Units, t.Groups, t.Sums, t.Hints, t.Demand, t.Told, t.BeatBytes)
}

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

// Traffic is what a limiter sends for control, by kind: counts, and bytes with the headers
// of the protocols below. Of a gossip message the bytes of each section are counted apart.
type Traffic struct {
	Messages     float64 // gossip messages
	Headers      float64 // bytes of the sender, IP and UDP, and of empty sections
	Units        float64 // bytes of this limiter's usage by tenant, to its group
	Classes      float64 // bytes of the sharing classes, to other groups
	GroupUnits   float64 // bytes of the group's usage by tenant, to other groups
	Hints        float64 // bytes of the loads and answers of servers
	Demand       float64 // bytes of the demand for services
	UsageEntries float64 // tenants in messages, counted in each message anew

	Heartbeats     float64
	HeartbeatBytes float64 // of heartbeats sent, and of the responses to those of others
}

// MessageBytes are the bytes of all gossip messages.
func (t *Traffic) MessageBytes() float64 {
	return t.Headers + t.Units + t.Classes + t.GroupUnits + t.Hints + t.Demand
}

// add adds x times another's traffic.
func (t *Traffic) add(o *Traffic, x float64) {
	t.Messages += x * o.Messages
	t.Headers += x * o.Headers
	t.Units += x * o.Units
	t.Classes += x * o.Classes
	t.GroupUnits += x * o.GroupUnits
	t.Hints += x * o.Hints
	t.Demand += x * o.Demand
	t.UsageEntries += x * o.UsageEntries
	t.Heartbeats += x * o.Heartbeats
	t.HeartbeatBytes += x * o.HeartbeatBytes
}

// size is the length of an encoded message in bytes.
func size(m *gossip.Message) float64 { return float64(len(m.Append(nil))) }

// countMessage counts a message section by section: the bytes of a section are what the
// message is shorter without it.
func (t *Traffic) countMessage(m *gossip.Message) {
	rest := *m
	section := func(bytes *float64, remove func()) {
		before := size(&rest)
		remove()
		*bytes += before - size(&rest)
	}
	t.Messages++
	t.UsageEntries += float64(len(m.Consumed) + len(m.GroupDigest.Consumed))
	section(&t.Hints, func() { rest.Hints = nil })
	section(&t.Demand, func() { rest.Demand = nil })
	section(&t.Units, func() { rest.Consumed = nil })
	section(&t.GroupUnits, func() { rest.GroupDigest.Consumed = nil })
	section(&t.Classes, func() { rest.GroupDigest.Classes = nil })
	t.Headers += size(&rest) + gossip.DatagramOverhead
}

// countHeartbeat counts a heartbeat.
func (t *Traffic) countHeartbeat(b *api.HeartbeatRequest) {
	t.Heartbeats++
	t.HeartbeatBytes += encoded(b) + callOverhead
}

// countResponse counts the response to a heartbeat.
func (t *Traffic) countResponse(r *api.HeartbeatResponse) {
	t.HeartbeatBytes += encoded(r) + callOverhead
}

func encoded(v any) float64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types are ours, without anything that can't be encoded
	}
	return float64(len(b))
}

// String says where the bytes of a second go.
func (t *Traffic) String() string {
	return fmt.Sprintf("bytes a second and limiter: words %.0f (heads %.0f, units %.0f, groups %.0f, sums %.0f, "+
		"hints %.0f, demand %.0f; %.0f tenants told), heartbeats %.0f",
		t.MessageBytes(), t.Headers, t.Units, t.Classes, t.GroupUnits,
		t.Hints, t.Demand, t.UsageEntries, t.HeartbeatBytes)
}

// Package gossip is the exchange of load and quota usage between limiters by UDP
// datagrams: the message, its encoding, and who is sent a message and when.
//
// A [Disseminator] decides what goes out. Its host calls [Disseminator.Tick] every
// [Disseminator.TickMs] milliseconds and sends what it is handed with [Message.Append]; it
// decodes what it receives with [Message.Decode]. The package does no I/O, reads no clock
// and starts no goroutine. Nothing in it is safe for concurrent use. All times are in
// milliseconds of the host's steady clock.
//
// A datagram may be lost, repeated or late: usage counters are cumulative and loads are
// levels, so that the next message makes up for a lost one.
package gossip

import (
	"errors"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// MaxMessageSize is the size of the largest message in bytes. Larger datagrams are refused. With
// the overhead of IP and UDP and the seal it fits an Ethernet frame, so that none is
// fragmented.
const MaxMessageSize = 1200

// How many entries a sender puts into one message. What has no room waits for the next.
// The largest such message is smaller than [MaxMessageSize].
const (
	maxTenants = 48
	maxHints   = 64
)

// What a receiver accepts.
const (
	maxLevel    = 16      // of groups
	maxPeers    = 1 << 20 // larger numbers of limiters are read as this one
	maxClasses  = 8       // of a group digest
	maxStaleAge = 16
)

// ErrMalformed is the error of a datagram that is not one whole message.
var ErrMalformed = errors.New("gossip: a datagram can't be decoded")

// Message is what one limiter sends another at a time.
type Message struct {
	// From is the hash of the sender's name.
	From uint64
	// Incarnation differs between two starts of the sender.
	Incarnation uint64
	// AgeMs is the time since the sender's start. Whole milliseconds are sent.
	AgeMs float64
	// Consumed has the units that the sender has admitted since its start, by tenant. It is
	// sent to limiters of the sender's own replica group.
	Consumed []quota.Usage
	// Hints are loads and latencies of servers.
	Hints []balance.Hint
	// Demand has the requests to services, for the subsets of servers.
	Demand []balance.Demand
	// StaleIdleGroup is the lowest age of connections that servers had closed without a word, in
	// the unit of connpool.Pool.RecordStale; 0: there were none of late.
	StaleIdleGroup uint8
	// LiveSet is a hash over the limiters that the sender receives from
	// ([quota.Enforcer.LiveSet]). It is sent only without a group digest.
	LiveSet uint32
	// GroupDigest is the sum over the sender's replica group, for limiters of other groups.
	// Level 0: there is none.
	GroupDigest quota.Digest
}

// EstimatedSize is about how many bytes the message has when encoded, for the budget of a
// link. Varints count with a typical length, the classes of a group digest not at all.
func (m *Message) EstimatedSize() int {
	const head, perHint, perDemand, perTenant = 36, 6, 3, 9
	tenants := len(m.Consumed) + len(m.GroupDigest.Consumed)
	return head + perHint*len(m.Hints) + perDemand*len(m.Demand) + perTenant*tenants
}

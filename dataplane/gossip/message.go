// Package gossip implements the exchange of server loads and quota usage between limiters in
// UDP datagrams: the message, its encoding, and the choice of recipients and send times.
//
// A [Disseminator] decides what is sent. Its host calls [Disseminator.Tick] every
// [Disseminator.TickMs] milliseconds, encodes each message to send with [Message.Append], and
// decodes received datagrams with [Message.Decode]. The package does no I/O, reads no clock and
// starts no goroutines. Nothing in it is safe for concurrent use. All times are in milliseconds on
// the host's monotonic clock.
//
// Datagrams may be lost, duplicated or delayed. Usage counters are cumulative and loads are
// absolute values, so the next message makes up for a lost one.
package gossip

import (
	"errors"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// MaxMessageSize is the maximum size of an encoded message in bytes. Larger datagrams are
// rejected. With the overhead of IP, UDP and encryption a message still fits into an Ethernet
// frame and is not fragmented.
const MaxMessageSize = 1200

// Limits on the entries that a sender puts into one message. The rest is sent in the next one.
// A message with the maximum number of entries is smaller than [MaxMessageSize].
const (
	maxTenants = 48
	maxHints   = 64
)

// Limits on the values that a receiver accepts.
const (
	maxLevel          = 16      // grouping level
	maxCount          = 1 << 20 // larger counts are clamped to this one
	maxClasses        = 8       // sharing classes in a group digest
	maxStaleIdleGroup = 16
)

// ErrMalformed is returned for a datagram that is not exactly one message.
var ErrMalformed = errors.New("gossip: malformed datagram")

// Message is the content of one datagram from a limiter to a peer.
type Message struct {
	// From is the hash of the sender's name.
	From uint64
	// Incarnation identifies the sender's process run; it differs for each start.
	Incarnation uint64
	// AgeMs is the time since the sender's start, sent in whole milliseconds.
	AgeMs float64
	// Consumed holds the units that the sender has admitted since its start, by tenant. It is
	// sent to limiters of the sender's own group ([quota.Group]).
	Consumed []quota.Usage
	// Hints are the loads and latencies of servers.
	Hints []balance.Hint
	// Demand is the demand for each service, from which the subsets of servers are computed.
	Demand []balance.Demand
	// StaleIdleGroup is the lowest idle group (connpool.Conn.IdleGroup) of the connections that
	// servers were recently found to have closed without notice; 0: none.
	StaleIdleGroup uint8
	// LiveSet is a hash over the limiters that the sender receives from
	// ([quota.Enforcer.LiveSet]). It is sent only without a group digest.
	LiveSet uint32
	// GroupDigest is the aggregate of the sender's group, for limiters of other groups.
	// Level 0: none.
	GroupDigest quota.Digest
}

// EstimatedSize estimates the encoded size in bytes, for the send budget. It counts varints
// with a typical length and ignores the classes of a group digest.
func (m *Message) EstimatedSize() int {
	const header, perHint, perDemand, perTenant = 36, 6, 3, 9
	tenants := len(m.Consumed) + len(m.GroupDigest.Consumed)
	return header + perHint*len(m.Hints) + perDemand*len(m.Demand) + perTenant*tenants
}

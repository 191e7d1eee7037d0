package balancer

import "encoding/binary"

// The encoding of messages between limiters. A message is one datagram: a magic byte, the
// version, the flags, the header that the flags call for, and entries up to its end. Numbers
// are varints, except for the incarnation, which is four bytes in little-endian order.

// maxPeerBytes is the maximum length of a message in bytes.
const maxPeerBytes = 256

// peerMagic and peerVersion begin every message, so that messages of other protocols or
// versions are dropped.
const (
	peerMagic   = 0x5c
	peerVersion = 2
)

// Flags of a peer message.
const (
	flagLevelsRequest  = 1 << iota // a report from a limiter that has just started and requests levels
	flagLevelsResponse             // with flagLevelUpdate: the response to a request for levels
	flagInFlight                   // entries include the attempts in flight
	flagLevelUpdate                // entries are levels: customer, plan, level and margin only
	flagFailureHint                // with flagLevelUpdate: entries name servers and classes that fail there
	flagEscrowGrant                // with flagLevelUpdate: an aggregator grants the units in level

	knownFlags = flagLevelsRequest | flagLevelsResponse | flagInFlight |
		flagLevelUpdate | flagFailureHint | flagEscrowGrant
)

// unitScale is the number of steps per unit: units are encoded as whole steps.
const unitScale = 4

// peerMessage is one message between limiters.
type peerMessage struct {
	flags       byte
	incarnation uint32 // of the sender
	seq         uint64 // increases by one with each report to this recipient
	ageMs       uint64 // time since the sender started
	entries     []peerEntry
}

// peerEntry is the part of a message about one customer.
type peerEntry struct {
	customer     uint64
	plan         uint64
	limiterCount uint64 // number of limiters that receive the customer's requests ...
	firstLimiter uint64 // ... consecutive from this one on
	spent        uint64 // steps admitted since the sender started
	newlySpent   uint64 // part of spent that was not reported before
	margin       uint64 // with a level, in steps
	level        int64  // the sender's balance, in steps
	inFlight     uint64 // attempts in flight at the sender
}

// encode returns the message with as many of its entries as fit, and their number.
func (m *peerMessage) encode() (data []byte, entries int) {
	b := make([]byte, 0, maxPeerBytes)
	b = append(b, peerMagic, peerVersion, m.flags)
	if m.flags&flagLevelUpdate == 0 {
		b = binary.LittleEndian.AppendUint32(b, m.incarnation)
		b = binary.AppendUvarint(b, m.seq)
	}
	if m.flags&flagLevelUpdate == 0 || m.flags&flagLevelsResponse != 0 {
		b = binary.AppendUvarint(b, m.ageMs)
	}
	for _, e := range m.entries {
		start := len(b)
		b = binary.AppendUvarint(b, e.customer)
		b = binary.AppendUvarint(b, e.plan)
		b = binary.AppendVarint(b, e.level)
		if m.flags&flagLevelUpdate != 0 {
			b = binary.AppendUvarint(b, e.margin)
		} else {
			b = binary.AppendUvarint(b, e.limiterCount)
			b = binary.AppendUvarint(b, e.firstLimiter)
			b = binary.AppendUvarint(b, e.spent)
			b = binary.AppendUvarint(b, e.newlySpent)
		}
		if m.flags&flagInFlight != 0 {
			b = binary.AppendUvarint(b, e.inFlight)
		}
		if len(b) > maxPeerBytes {
			return b[:start], entries
		}
		entries++
	}
	return b, entries
}

// decodePeerMessage decodes a message; ok is false if any part of it is invalid.
func decodePeerMessage(b []byte) (m peerMessage, ok bool) {
	if len(b) < 3 || len(b) > maxPeerBytes || b[0] != peerMagic || b[1] != peerVersion || b[2]&^knownFlags != 0 {
		return m, false
	}
	m.flags = b[2]
	isReport := m.flags&flagLevelUpdate == 0
	b = b[3:]
	valid := true
	uvarint := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			valid, b = false, nil
			return 0
		}
		b = b[n:]
		return v
	}
	if isReport {
		if len(b) < 4 {
			return m, false
		}
		m.incarnation, b = binary.LittleEndian.Uint32(b), b[4:]
		m.seq = uvarint()
	}
	if isReport || m.flags&flagLevelsResponse != 0 {
		m.ageMs = uvarint()
	}
	for valid && len(b) > 0 {
		e := peerEntry{customer: uvarint(), plan: uvarint()}
		level := uvarint()
		e.level = int64(level>>1) ^ -int64(level&1) // the zigzag encoding of a signed varint
		if isReport {
			e.limiterCount, e.firstLimiter, e.spent, e.newlySpent = uvarint(), uvarint(), uvarint(), uvarint()
		} else {
			e.margin = uvarint()
		}
		if m.flags&flagInFlight != 0 {
			e.inFlight = uvarint()
		}
		m.entries = append(m.entries, e)
	}
	return m, valid
}

package balancer

import "encoding/binary"

// This file encodes messages between limiters. A message is one datagram: a magic byte, the
// version, the flags, the header that the flags call for, and entries until the end. Numbers
// are varints but for the incarnation, which has four bytes, little-endian.

// maxPeerBytes is the length of the longest message in bytes.
const maxPeerBytes = 256

// peerMagic and peerVersion begin every message, so that one of another protocol or version
// is dropped whole.
const (
	peerMagic   = 0x5c
	peerVersion = 2
)

// Flags of a peer message.
const (
	flagLevelsRequest  = 1 << iota // a report whose sender has just started and requests levels
	flagLevelsResponse             // with flagLevelUpdate: the response to a request for levels
	flagInFlight                   // entries carry the attempts in flight
	flagLevelUpdate                // entries are levels: customer, plan, level and margin alone
	flagFailureHint                // with flagLevelUpdate: entries are servers and classes that fail
	flagEscrowGrant                // with flagLevelUpdate: an aggregator grants units, as the level

	knownFlags = flagLevelsRequest | flagLevelsResponse | flagInFlight |
		flagLevelUpdate | flagFailureHint | flagEscrowGrant
)

// unitScale is the number of steps in a unit: units are encoded as whole steps.
const unitScale = 4

// peerMessage is one message between limiters.
type peerMessage struct {
	flags       byte
	incarnation uint32 // incarnation of the sender
	seq         uint64 // rises by one with each report to this recipient
	ageMs       uint64 // time since the sender started
	entries     []peerEntry
}

// peerEntry is what a message says about one customer.
type peerEntry struct {
	customer     uint64
	plan         uint64
	spread       uint64 // number of the customer's limiters ...
	firstLimiter uint64 // ... in a row from this one on
	spent        uint64 // steps admitted since the sender started
	newlySpent   uint64 // those of them that were not reported before
	margin       uint64 // with a level, in steps
	level        int64  // the sender's balance, in steps
	inFlight     uint64 // attempts in flight at the sender
}

// encode returns the message with as many of its entries as fit in, and their number.
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
			b = binary.AppendUvarint(b, e.spread)
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

// decodePeerMessage decodes a message; ok is false if any part of it is not valid.
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
			e.spread, e.firstLimiter, e.spent, e.newlySpent = uvarint(), uvarint(), uvarint(), uvarint()
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

package balancer

import "encoding/binary"

// maxPeerBytes is the longest message that the wire between gateways takes.
const maxPeerBytes = 256

// peerMagic and peerVersion open every message, so that a foreign one or one
// of another version is dropped whole.
const (
	peerMagic   = 0x5c
	peerVersion = 2
)

// Flags of a peer message.
const (
	flagLevelsRequest  = 1 << iota // the sender is new and asks for levels
	flagLevelsResponse             // the answer to a question for levels
	flagInFlight                   // entries carry the attempts out
	flagLevelUpdate                // a keeper tells levels: customer, plan and level alone
	flagFailureHint                // with flagNews: servers and classes that fail
	flagEscrowGrant                // with flagNews: a keeper grants a part of the ceiling, as the level
	knownFlags         = flagLevelsRequest | flagLevelsResponse | flagInFlight | flagLevelUpdate | flagFailureHint | flagEscrowGrant
)

// unitScale is the number of steps in which a unit is told.
const unitScale = 4

// peerMsg is one message between gateways.
type peerMessage struct {
	flags       byte
	incarnation uint32 // incarnation of the sender
	seq         uint64 // rises by one with each message to this recipient
	ageMs       uint64 // how long the sender has run
	entries     []peerEntry
}

// peerEntry tells of one customer.
type peerEntry struct {
	customer     uint64
	plan         uint64
	spread       uint64 // gateways of the customer ...
	firstLimiter uint64 // ... in a row from this one
	spent        uint64 // units passed since the sender started, in steps
	newlySpent   uint64 // those of them not told before
	margin       uint64 // told with news, in steps
	level        int64  // the sender's bucket level, in steps
	inFlight     uint64 // attempts out
}

// encode writes the message with as many of its entries as fit and returns
// the bytes and the number of entries written.
func (m *peerMessage) encode() ([]byte, int) {
	b := make([]byte, 0, maxPeerBytes)
	b = append(b, peerMagic, peerVersion, m.flags)
	if m.flags&flagLevelUpdate == 0 {
		b = binary.LittleEndian.AppendUint32(b, m.incarnation)
		b = binary.AppendUvarint(b, m.seq)
	}
	if m.flags&flagLevelUpdate == 0 || m.flags&flagLevelsResponse != 0 {
		b = binary.AppendUvarint(b, m.ageMs)
	}
	n := 0
	for _, e := range m.entries {
		mark := len(b)
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
			b = b[:mark]
			break
		}
		n++
	}
	return b, n
}

// decodePeer reads a message; ok is false if any part of it is not sound.
func decodePeerMessage(b []byte) (m peerMessage, ok bool) {
	if len(b) < 3 || len(b) > maxPeerBytes || b[0] != peerMagic || b[1] != peerVersion || b[2]&^knownFlags != 0 {
		return m, false
	}
	m.flags = b[2]
	news := m.flags&flagLevelUpdate != 0
	b = b[3:]
	sound := true
	uvarint := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			sound, b = false, nil
			return 0
		}
		b = b[n:]
		return v
	}
	if !news {
		if len(b) < 4 {
			return m, false
		}
		m.incarnation, b = binary.LittleEndian.Uint32(b), b[4:]
		m.seq = uvarint()
	}
	if !news || m.flags&flagLevelsResponse != 0 {
		m.ageMs = uvarint()
	}
	for sound && len(b) > 0 {
		e := peerEntry{customer: uvarint(), plan: uvarint()}
		level := uvarint()
		e.level = int64(level>>1) ^ -int64(level&1) // as Varint is laid out
		if news {
			e.margin = uvarint()
		} else {
			e.spread, e.firstLimiter, e.spent, e.newlySpent = uvarint(), uvarint(), uvarint(), uvarint()
		}
		if m.flags&flagInFlight != 0 {
			e.inFlight = uvarint()
		}
		m.entries = append(m.entries, e)
	}
	return m, sound
}

package keys

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// A sealed datagram is
//
//	"S1" | sender u64 | incarnation u64 | number u64 | message and tag, AES-256-GCM
//
// with integers in big-endian order. The first four fields are authenticated as additional
// data. The number is a sequence number that starts at 1 in each incarnation of a sender.
// Each incarnation has a key of its own, derived from the shared gossip key, so the number
// serves as a nonce that never repeats.
const (
	sealMagic         = "S1"
	sealHeaderBytes   = len(sealMagic) + 3*8
	senderOffset      = len(sealMagic)
	incarnationOffset = senderOffset + 8
	numberOffset      = incarnationOffset + 8
	tagBytes          = 16
	nonceBytes        = 12
	// keyContext separates the derived keys from any other use of the gossip key. It is
	// part of the wire format.
	keyContext = "elmspan words "
)

// SealOverhead is the number of bytes that sealing adds to a message.
const SealOverhead = sealHeaderBytes + tagBytes

const (
	// maxSenders limits the sender incarnations for which state is kept. When the limit is
	// reached, the state of all is discarded, including their highest numbers.
	maxSenders = 8192
	// replayWindow is how far a number may be behind the highest one received, since
	// datagrams may arrive out of order. Replays within the window are not detected.
	replayWindow = 64
)

// Sealer encrypts and authenticates gossip messages as sealed datagrams, and opens sealed
// datagrams. It is not safe for concurrent use: a process has one for sending and one for
// receiving.
type Sealer struct {
	ring    *Keyring
	self    senderID
	number  uint64                     // number of the last datagram sealed
	current *keySet                    // key set from which sealing and the senders' AEADs are derived
	sealing cipher.AEAD                // AEAD of self, derived from the active gossip key
	senders map[senderID]*senderStatus // senders of authentic datagrams
}

// senderID identifies one incarnation of a sender. The incarnation is chosen at random at
// each start of a process, so that no derived key is used twice with the same numbers.
type senderID struct{ id, incarnation uint64 }

// senderStatus is the state kept for one incarnation of a sender.
type senderStatus struct {
	aeads   []cipher.AEAD // one per gossip key, in the order of the key set; nil if not yet derived
	highest uint64        // highest number of an authentic datagram
}

// Sealer returns a sealer that sends as the given incarnation of the sender self.
func (r *Keyring) Sealer(self, incarnation uint64) *Sealer {
	return &Sealer{ring: r, self: senderID{self, incarnation}, senders: map[senderID]*senderStatus{}}
}

// Seal appends the sealed datagram of a message to a buffer.
func (s *Sealer) Seal(out, message []byte) ([]byte, error) {
	if err := s.refreshKeys(); err != nil {
		return nil, err
	}
	s.number++
	start := len(out)
	out = append(out, sealMagic...)
	for _, v := range []uint64{s.self.id, s.self.incarnation, s.number} {
		out = binary.BigEndian.AppendUint64(out, v)
	}
	header := out[start : start+sealHeaderBytes]
	return s.sealing.Seal(out, nonce(s.number), message, header), nil
}

// Open appends the message of a datagram to a buffer. It fails with [ErrNotSealed] if the
// datagram is not authentic, or if its number is more than replayWindow behind the highest
// one of its sender.
func (s *Sealer) Open(out, datagram []byte) ([]byte, error) {
	if len(datagram) < SealOverhead || string(datagram[:len(sealMagic)]) != sealMagic {
		return nil, ErrNotSealed
	}
	if err := s.refreshKeys(); err != nil {
		return nil, err
	}
	header, sealed := datagram[:sealHeaderBytes], datagram[sealHeaderBytes:]
	id := senderID{
		id:          binary.BigEndian.Uint64(header[senderOffset:]),
		incarnation: binary.BigEndian.Uint64(header[incarnationOffset:]),
	}
	number := binary.BigEndian.Uint64(header[numberOffset:])
	sender, known := s.senders[id]
	if !known {
		sender = &senderStatus{}
	}
	if known && number+replayWindow < sender.highest {
		return nil, ErrNotSealed
	}
	if err := sender.deriveAEADs(s.current.gossipKeys, id); err != nil {
		return nil, err
	}
	for _, aead := range sender.aeads {
		message, err := aead.Open(out, nonce(number), sealed, header)
		if err != nil {
			continue // it may be sealed with another trusted key
		}
		if !known {
			s.remember(id, sender)
		}
		sender.highest = max(sender.highest, number)
		return message, nil
	}
	return nil, ErrNotSealed
}

// refreshKeys replaces the sealing key and discards the keys derived for senders if the
// keyring has been reloaded.
func (s *Sealer) refreshKeys() error {
	current := s.ring.current.Load()
	if s.current == current {
		return nil
	}
	var err error
	if s.sealing, err = newAEAD(current.gossipKeys[0], s.self); err != nil {
		return err
	}
	s.current = current
	for _, sender := range s.senders {
		sender.aeads = nil
	}
	return nil
}

// remember stores the status of a sender. It must be called only after a datagram was
// authenticated, so that nobody without a key can fill the table.
func (s *Sealer) remember(id senderID, status *senderStatus) {
	if len(s.senders) >= maxSenders {
		clear(s.senders)
	}
	s.senders[id] = status
}

func (s *senderStatus) deriveAEADs(gossipKeys [][]byte, id senderID) error {
	if s.aeads != nil {
		return nil
	}
	for _, key := range gossipKeys {
		aead, err := newAEAD(key, id)
		if err != nil {
			return err
		}
		s.aeads = append(s.aeads, aead)
	}
	return nil
}

// newAEAD returns the AEAD of one incarnation of a sender, whose key it derives from the
// gossip key (HKDF, RFC 5869).
func newAEAD(gossipKey []byte, sender senderID) (cipher.AEAD, error) {
	info := binary.BigEndian.AppendUint64([]byte(keyContext), sender.id)
	info = binary.BigEndian.AppendUint64(info, sender.incarnation)
	key, err := hkdf.Key(sha256.New, gossipKey, nil, string(info), gossipKeyBytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return cipher.NewGCM(block)
}

// nonce returns the nonce of a datagram: four zero bytes followed by its number.
func nonce(number uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, nonceBytes-8, nonceBytes), number)
}

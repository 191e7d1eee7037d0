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
// with integers in big-endian order. The first four fields are authenticated too. Each
// incarnation of a sender has a key of its own, derived from the shared gossip key, so
// that the number, which counts its datagrams from 1, is a nonce that never repeats.
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

// SealOverhead is how many bytes longer than its message a sealed datagram is.
const SealOverhead = sealHeaderBytes + tagBytes

const (
	// maxSenders is how many incarnations of senders are remembered. Past it all are
	// forgotten, and with them which of their numbers have been seen.
	maxSenders = 8192
	// replayWindow is how far a number may be behind the highest one seen: datagrams
	// arrive out of order.
	replayWindow = 64
)

// Sealer seals gossip messages and opens sealed datagrams. It is not safe for concurrent
// use: a process has one for sending and one for receiving.
type Sealer struct {
	ring    *Keyring
	self    senderID
	number  uint64                     // of the last datagram sealed
	current *keySet                    // that sealing and the AEADs of senders are derived from
	sealing cipher.AEAD                // of self, by the gossip key in use
	senders map[senderID]*senderStatus // those of which a datagram was authentic
}

// senderID is one incarnation of a sender. An incarnation is drawn at random at each start
// of a process, so that no key is used again with the same numbers.
type senderID struct{ id, incarnation uint64 }

// senderStatus is what is known of one incarnation of a sender.
type senderStatus struct {
	aeads   []cipher.AEAD // by gossip key, in the order of the key set; nil: to be derived
	highest uint64        // number of an authentic datagram
}

// Sealer returns a sealer for one incarnation of a sender.
func (r *Keyring) Sealer(self, incarnation uint64) *Sealer {
	return &Sealer{ring: r, self: senderID{self, incarnation}, senders: map[senderID]*senderStatus{}}
}

// Seal appends the sealed datagram of a message to a buffer.
func (s *Sealer) Seal(out, message []byte) ([]byte, error) {
	if err := s.followKeyring(); err != nil {
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

// Open appends the message of a datagram to a buffer. The error is [ErrNotSealed] where
// the datagram is not authentic, or its number is more than the replay window behind the
// highest one of its sender.
func (s *Sealer) Open(out, datagram []byte) ([]byte, error) {
	if len(datagram) < SealOverhead || string(datagram[:len(sealMagic)]) != sealMagic {
		return nil, ErrNotSealed
	}
	if err := s.followKeyring(); err != nil {
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
			continue // another trusted key may be the one
		}
		if !known {
			s.remember(id, sender)
		}
		sender.highest = max(sender.highest, number)
		return message, nil
	}
	return nil, ErrNotSealed
}

// followKeyring drops what was derived from keys that have changed.
func (s *Sealer) followKeyring() error {
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

// remember keeps the status of a sender. It is called after a datagram was found authentic
// alone, so that nobody without a key can fill the table.
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

// newAEAD derives the key of one incarnation of a sender (HKDF, RFC 5869).
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

// nonce is four zero bytes and the number of a datagram.
func nonce(number uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, nonceBytes-8, nonceBytes), number)
}

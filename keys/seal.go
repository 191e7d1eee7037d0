package keys

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
)

// A sealed word: "S1" | id of the sender u64 | its life u64 | number u64 | AES-256-GCM.
// Each life of a sender has a key of its own, so that numbers can be counted.
const (
	sealMagic = "S1"
	sealHead  = len(sealMagic) + 24
	// SealOverhead is how many bytes sealing adds.
	SealOverhead = sealHead + 16
	mostLives    = 8192
	lateWindow   = 64 // numbers that may come so late
)

// ErrNotSealed tells that a datagram was not sealed with a key that is trusted.
var ErrNotSealed = errors.New("keys: a datagram is not sealed by the system")

// Sealer seals and opens words. It is not safe for concurrent use: a process
// has one for what it sends and one for what it hears.
type Sealer struct {
	ring       *Keyring
	held       *held // that the following are for
	self, life uint64
	own        cipher.AEAD
	number     uint64
	lives      map[[2]uint64]*sender
}

type sender struct {
	aeads   []cipher.AEAD // by key
	highest uint64
}

// Sealer returns a sealer for one life of a sender.
func (r *Keyring) Sealer(self, life uint64) *Sealer {
	return &Sealer{ring: r, self: self, life: life, lives: map[[2]uint64]*sender{}}
}

func aead(key []byte, id, life uint64) (cipher.AEAD, error) {
	info := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte("elmspan words "), id), life)
	k, err := hkdf.Key(sha256.New, key, nil, string(info), 32)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	b, err := aes.NewCipher(k)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return cipher.NewGCM(b)
}

// renew forgets what was derived from keys that have changed.
func (s *Sealer) renew() error {
	h := s.ring.now.Load()
	if s.held == h {
		return nil
	}
	var err error
	if s.own, err = aead(h.words[0], s.self, s.life); err != nil {
		return err
	}
	s.held = h
	for _, l := range s.lives {
		l.aeads = nil
	}
	return nil
}

func nonce(number uint64) []byte { return binary.BigEndian.AppendUint64(make([]byte, 4, 12), number) }

// Seal adds a word, sealed, to a buffer.
func (s *Sealer) Seal(out, word []byte) ([]byte, error) {
	if err := s.renew(); err != nil {
		return nil, err
	}
	s.number++ // never used twice with one key: a life is drawn anew at each start
	at := len(out)
	out = append(out, sealMagic...)
	for _, v := range []uint64{s.self, s.life, s.number} {
		out = binary.BigEndian.AppendUint64(out, v)
	}
	return s.own.Seal(out, nonce(s.number), word, out[at:at+sealHead]), nil
}

// Open returns the word in a datagram, in a buffer. Numbers that came before,
// or that are far behind, are refused: nobody can send an old word again for long.
func (s *Sealer) Open(out, datagram []byte) ([]byte, error) {
	if len(datagram) < SealOverhead || string(datagram[:len(sealMagic)]) != sealMagic {
		return nil, ErrNotSealed
	}
	if err := s.renew(); err != nil {
		return nil, err
	}
	head := datagram[:sealHead]
	id, life, number := binary.BigEndian.Uint64(head[2:]), binary.BigEndian.Uint64(head[10:]), binary.BigEndian.Uint64(head[18:])
	from := s.lives[[2]uint64{id, life}]
	known := from != nil
	if !known {
		from = &sender{}
	}
	if known && number+lateWindow < from.highest {
		return nil, ErrNotSealed
	}
	if from.aeads == nil {
		for _, k := range s.held.words {
			a, err := aead(k, id, life)
			if err != nil {
				return nil, err
			}
			from.aeads = append(from.aeads, a)
		}
	}
	for _, a := range from.aeads {
		word, err := a.Open(out, nonce(number), datagram[sealHead:], head)
		if err != nil {
			continue
		}
		if !known { // only who holds a key takes a place
			if len(s.lives) >= mostLives {
				clear(s.lives)
			}
			s.lives[[2]uint64{id, life}] = from
		}
		from.highest = max(from.highest, number)
		return word, nil
	}
	return nil, ErrNotSealed
}

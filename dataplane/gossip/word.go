// Package gossip is what limiters tell each other by datagrams, and who tells
// whom and when: units that were let through, what is out at servers and how
// long answers took. It does no I/O and reads no clock; times are in
// milliseconds on the host's steady clock.
package gossip

import (
	"encoding/binary"
	"errors"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// A word in bytes. A lost one heals with the next: units are cumulative, loads
// are levels.
//
//	"E5" | name hash u64 | life u64 | age in ms, uvarint
//	     | n uvarint, n x (tenant u40, units uvarint, level u8)
//	     | n uvarint, n x (server hash u32, out u8, took u8)
//	     | n uvarint, n x (service hash u16, demand u8)
//	     | age of connections that servers have forgotten u8, 0: none of late
//	     | 0 u8 | whom it hears u32, or a digest of its group:
//	     | level u8 at which groups are formed, with 0x80, and with 0x40 from the one to go by | heard uvarint | who they are u32 | n uvarint, n x (whom they hear u32, count uvarint)
//	     |         n uvarint, n x (tenant u40, units uvarint, level u8)
const (
	magic = "E5"
	// MaxSize is the size of the longest word, in bytes: it fits a datagram.
	MaxSize     = 1200
	mostTold    = 48 // tenants in one word
	mostHints   = 64 // servers in one word
	mostLevel   = 16
	mostCount   = 1 << 20
	digestBit   = 0x80 // beside the level
	firstBit    = 0x40
	mostClasses = 8
	mostAge     = 16
)

// Message is what one limiter tells another at a time.
type Message struct {
	From, Incarnation uint64 // hash of the name, and one start of it
	AgeMs             float64
	Consumed          []quota.Usage
	Hints             []balance.Hint
	Demand            []balance.Demand
	StaleAge          uint8        // the least age of connections that servers had forgotten of late; 0: none
	HeardPeers        uint32       // whom it hears, as [quota.Enforcer.LiveSet] has it
	GroupDigest       quota.Digest // Level 0: none
}

// ErrMalformed tells that a datagram is no whole word.
var ErrMalformed = errors.New("gossip: a datagram can't be read")

// Append adds the word in bytes.
func (w *Message) Append(b []byte) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, w.From)
	b = binary.BigEndian.AppendUint64(b, w.Incarnation)
	b = binary.AppendUvarint(b, uint64(w.AgeMs))
	b = appendSpent(b, w.Consumed)
	b = binary.AppendUvarint(b, uint64(len(w.Hints)))
	for _, h := range w.Hints {
		b = binary.BigEndian.AppendUint32(b, h.Server)
		b = append(b, h.InFlight, h.Latency)
	}
	b = binary.AppendUvarint(b, uint64(len(w.Demand)))
	for _, d := range w.Demand {
		b = append(binary.BigEndian.AppendUint16(b, d.Service), d.Level)
	}
	b = append(b, w.StaleAge)
	d := &w.GroupDigest
	if d.Level == 0 {
		return binary.BigEndian.AppendUint32(append(b, 0), w.HeardPeers)
	}
	level := byte(d.Level) | digestBit
	if d.First {
		level |= firstBit
	}
	b = binary.AppendUvarint(append(b, level), uint64(d.LiveCount))
	b = binary.BigEndian.AppendUint32(b, d.LiveSet)
	b = binary.AppendUvarint(b, uint64(len(d.Classes)))
	for _, c := range d.Classes {
		b = binary.AppendUvarint(binary.BigEndian.AppendUint32(b, c.LiveSet), uint64(c.Count))
	}
	return appendSpent(b, d.Consumed)
}

// EstimatedSize is about how many bytes the word has.
func (w *Message) EstimatedSize() int {
	const head, perHint, perDemand, perSpent = 36, 6, 3, 9
	return head + perHint*len(w.Hints) + perDemand*len(w.Demand) + perSpent*(len(w.Consumed)+len(w.GroupDigest.Consumed))
}

func appendSpent(b []byte, spent []quota.Usage) []byte {
	b = binary.AppendUvarint(b, uint64(len(spent)))
	for _, e := range spent {
		b = append(b, byte(e.Tenant>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(e.Tenant))
		b = append(binary.AppendUvarint(b, e.Units), e.FillLevel)
	}
	return b
}

// reader reads on while all is well.
type reader struct {
	b  []byte
	ok bool
}

func (r *reader) take(n int) []byte {
	if !r.ok || len(r.b) < n {
		r.ok = false
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if !r.ok || n <= 0 {
		r.ok = false
		return 0
	}
	r.b = r.b[n:]
	return v
}

// count reads a number of limiters.
func (r *reader) count() int { return int(min(r.uvarint(), mostCount)) }

func (r *reader) spent(out []quota.Usage) []quota.Usage {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		e := quota.Usage{}
		if id := r.take(5); id != nil {
			e.Tenant = uint64(id[0])<<32 | uint64(binary.BigEndian.Uint32(id[1:]))
		}
		e.Units = r.uvarint()
		if level := r.take(1); level != nil {
			e.FillLevel = level[0]
			out = append(out, e)
		}
	}
	return out
}

// Decode reads a word. Anything that is not whole is [ErrMalformed]. What was in the
// word before is written over.
func (w *Message) Decode(b []byte) error {
	r := reader{b, len(b) <= MaxSize}
	if string(r.take(len(magic))) != magic {
		return ErrMalformed
	}
	w.From, w.Incarnation, w.AgeMs = r.u64(), r.u64(), float64(r.uvarint())
	w.Consumed = r.spent(w.Consumed[:0])
	w.Hints = w.Hints[:0]
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if h := r.take(6); h != nil {
			w.Hints = append(w.Hints, balance.Hint{Server: binary.BigEndian.Uint32(h), InFlight: h[4], Latency: h[5]})
		}
	}
	w.Demand = w.Demand[:0]
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if d := r.take(3); d != nil {
			w.Demand = append(w.Demand, balance.Demand{Service: binary.BigEndian.Uint16(d), Level: d[2]})
		}
	}
	w.HeardPeers, w.GroupDigest = 0, quota.Digest{Consumed: w.GroupDigest.Consumed[:0], Classes: w.GroupDigest.Classes[:0]}
	forgotten, level := r.take(1), r.take(1)
	if level == nil || forgotten[0] > mostAge {
		return ErrMalformed
	}
	w.StaleAge = forgotten[0]
	d := &w.GroupDigest
	switch d.Level = quota.GroupingLevel(level[0] &^ (digestBit | firstBit)); {
	case level[0] == 0:
		w.HeardPeers = r.u32()
	case level[0]&digestBit == 0, d.Level == 0, d.Level > mostLevel:
		return ErrMalformed
	default:
		d.First, d.LiveCount, d.LiveSet = level[0]&firstBit != 0, r.count(), r.u32()
		n := r.count()
		if n > mostClasses {
			return ErrMalformed
		}
		for range n {
			d.Classes = append(d.Classes, quota.SharingClass{LiveSet: r.u32(), Count: r.count()})
		}
		d.Consumed = r.spent(d.Consumed)
	}
	if !r.ok || len(r.b) != 0 {
		return ErrMalformed
	}
	return nil
}

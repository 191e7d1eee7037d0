package gossip

import (
	"encoding/binary"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// A datagram has these sections, in this order and without anything between or behind
// them. Numbers are big endian; uN is an unsigned number of N bits, uvarint one of
// encoding/binary's varints.
//
//	section    field                   encoding
//	---------  ----------------------  -----------------------------------------------------
//	head       magic                   "E5"
//	           sender                  u64, hash of its name
//	           incarnation             u64
//	           age in ms               uvarint
//	consumed   number of tenants       uvarint
//	           for each: tenant        u40
//	                     units         uvarint, since the sender's start
//	                     level         u8, what is left in the bucket: 255ths of the burst
//	hints      number of servers       uvarint
//	           for each: server        u32, hash of its id
//	                     in flight     u8, balance.InFlightUnknown: not sent
//	                     latency       u8, sixteenths of the typical one; 0: none,
//	                                   balance.LatencyFailed: a failure
//	demand     number of services      uvarint
//	           for each: service       u16, hash of its name
//	                     demand        u8
//	stale      stale connection age    u8, 0 to maxStaleAge; 0: none of late
//	group      digest or not           u8: 0 without a digest. With one: its level, 1 to
//	                                   maxLevel, with digestFlag, and with firstFlag from
//	                                   the reporter whose figures count while it sends
//
//	group, without a digest:
//	           live set                u32, hash of the limiters that the sender receives from
//
//	group, with a digest:
//	           live count              uvarint, members of the group that the sender receives
//	                                   from, itself among them
//	           live set                u32, hash of those
//	           number of classes       uvarint, maxClasses at most
//	           for each: live set      u32, hash of the limiters that its members receive from
//	                     members       uvarint
//	           consumed                as the section of that name, summed over the group
//
// A datagram of more than MaxSize bytes, one that ends early and one that goes on after the
// last section are malformed.
const (
	magic      = "E5"
	digestFlag = 0x80 // beside the level: a group digest follows
	firstFlag  = 0x40
)

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	b = m.appendHead(b)
	b = appendConsumed(b, m.Consumed)
	b = appendHints(b, m.Hints)
	b = appendDemand(b, m.Demand)
	b = append(b, m.StaleIdleGroup)
	if m.GroupDigest.Level == 0 {
		return binary.BigEndian.AppendUint32(append(b, 0), m.LiveSet)
	}
	return appendDigest(b, &m.GroupDigest)
}

func (m *Message) appendHead(b []byte) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, m.From)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	return binary.AppendUvarint(b, uint64(m.AgeMs))
}

func appendConsumed(b []byte, consumed []quota.Usage) []byte {
	b = binary.AppendUvarint(b, uint64(len(consumed)))
	for _, e := range consumed {
		b = append(b, byte(e.Tenant>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(e.Tenant))
		b = binary.AppendUvarint(b, e.Units)
		b = append(b, e.FillLevel)
	}
	return b
}

func appendHints(b []byte, hints []balance.Hint) []byte {
	b = binary.AppendUvarint(b, uint64(len(hints)))
	for _, h := range hints {
		b = binary.BigEndian.AppendUint32(b, h.Server)
		b = append(b, h.InFlight, h.Latency)
	}
	return b
}

func appendDemand(b []byte, demand []balance.Demand) []byte {
	b = binary.AppendUvarint(b, uint64(len(demand)))
	for _, d := range demand {
		b = binary.BigEndian.AppendUint16(b, d.Service)
		b = append(b, d.Level)
	}
	return b
}

// appendDigest appends the group section of a message with a digest.
func appendDigest(b []byte, d *quota.Digest) []byte {
	level := byte(d.Level) | digestFlag
	if d.First {
		level |= firstFlag
	}
	b = append(b, level)
	b = binary.AppendUvarint(b, uint64(d.LiveCount))
	b = binary.BigEndian.AppendUint32(b, d.LiveSet)
	b = binary.AppendUvarint(b, uint64(len(d.Classes)))
	for _, c := range d.Classes {
		b = binary.BigEndian.AppendUint32(b, c.LiveSet)
		b = binary.AppendUvarint(b, uint64(c.Count))
	}
	return appendConsumed(b, d.Consumed)
}

// Decode decodes a datagram into the message. It writes over what was there and takes over
// its slices, so that a receiver that keeps one message allocates little. The error is
// [ErrMalformed] where the datagram is not one whole message; the message's content is
// undefined then.
func (m *Message) Decode(b []byte) error {
	r := reader{unread: b, ok: len(b) <= MaxMessageSize}
	if string(r.take(len(magic))) != magic {
		return ErrMalformed
	}
	m.From, m.Incarnation, m.AgeMs = r.uint64(), r.uint64(), float64(r.uvarint())
	m.Consumed = r.consumed(m.Consumed[:0])
	m.Hints = r.hints(m.Hints[:0])
	m.Demand = r.demand(m.Demand[:0])
	m.StaleIdleGroup = r.staleAge()
	m.LiveSet = 0
	m.GroupDigest = quota.Digest{Consumed: m.GroupDigest.Consumed[:0], Classes: m.GroupDigest.Classes[:0]}
	if level := r.uint8(); level == 0 {
		m.LiveSet = r.uint32()
	} else {
		r.digest(level, &m.GroupDigest)
	}
	if !r.ok || len(r.unread) != 0 {
		return ErrMalformed
	}
	return nil
}

// reader reads a datagram from its start. After the first thing that can't be read, ok is
// false and all that is read is 0.
type reader struct {
	unread []byte
	ok     bool
}

// take returns the next n bytes, nil where there are not so many.
func (r *reader) take(n int) []byte {
	if !r.ok || len(r.unread) < n {
		r.ok = false
		return nil
	}
	taken := r.unread[:n]
	r.unread = r.unread[n:]
	return taken
}

func (r *reader) uint8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.unread)
	if !r.ok || n <= 0 {
		r.ok = false
		return 0
	}
	r.unread = r.unread[n:]
	return v
}

// peers reads a number of limiters.
func (r *reader) peers() int { return int(min(r.uvarint(), maxPeers)) }

// consumed reads the usage of tenants and appends it to out.
func (r *reader) consumed(out []quota.Usage) []quota.Usage {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		var e quota.Usage
		if id := r.take(5); id != nil {
			e.Tenant = uint64(id[0])<<32 | uint64(binary.BigEndian.Uint32(id[1:]))
		}
		e.Units = r.uvarint()
		e.FillLevel = r.uint8()
		if r.ok {
			out = append(out, e)
		}
	}
	return out
}

// hints reads the loads of servers and appends them to out.
func (r *reader) hints(out []balance.Hint) []balance.Hint {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if h := r.take(6); h != nil {
			out = append(out, balance.Hint{Server: binary.BigEndian.Uint32(h), InFlight: h[4], Latency: h[5]})
		}
	}
	return out
}

// demand reads the demand for services and appends it to out.
func (r *reader) demand(out []balance.Demand) []balance.Demand {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if d := r.take(3); d != nil {
			out = append(out, balance.Demand{Service: binary.BigEndian.Uint16(d), Level: d[2]})
		}
	}
	return out
}

func (r *reader) staleAge() uint8 {
	age := r.uint8()
	if age > maxStaleAge {
		r.ok = false
	}
	return age
}

// digest reads the group section after its first byte, which says that there is a digest.
func (r *reader) digest(level uint8, d *quota.Digest) {
	d.Level = quota.GroupingLevel(level &^ (digestFlag | firstFlag))
	d.First = level&firstFlag != 0
	if level&digestFlag == 0 || d.Level == 0 || d.Level > maxLevel {
		r.ok = false
		return
	}
	d.LiveCount = r.peers()
	d.LiveSet = r.uint32()
	n := r.peers()
	if n > maxClasses {
		r.ok = false
		return
	}
	for range n {
		d.Classes = append(d.Classes, quota.SharingClass{LiveSet: r.uint32(), Count: r.peers()})
	}
	d.Consumed = r.consumed(d.Consumed)
}

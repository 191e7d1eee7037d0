package gossip

import (
	"encoding/binary"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// Datagram format. The sections follow each other in this order, without padding. Integers
// are big endian; uN is an unsigned integer of N bits, uvarint a varint of encoding/binary.
//
//	section    field                   encoding
//	---------  ----------------------  -----------------------------------------------------
//	header     magic                   "E5"
//	           sender                  u64, hash of its name
//	           incarnation             u64
//	           sender's uptime in ms   uvarint
//	consumed   number of tenants       uvarint
//	           for each: tenant        u40, quota.TenantID
//	                     units         uvarint, admitted since the sender's start
//	                     fill level    u8, bucket balance in 255ths of the burst
//	hints      number of servers       uvarint
//	           for each: server        u32, hash of its id
//	                     in flight     u8; balance.InFlightUnknown: not reported
//	                     latency       u8, sixteenths of the typical latency; 0: none,
//	                                   balance.LatencyFailed: the request failed
//	demand     number of services      uvarint
//	           for each: service       u16, hash of its name
//	                     demand        u8
//	stale      stale idle group        u8, 0 to maxStaleIdleGroup; 0: none seen recently
//	group      digest flags and level  u8; 0: no digest. With a digest: its level, 1 to
//	                                   maxLevel, combined with digestFlag, and with
//	                                   primaryFlag if sent by the primary reporter
//
//	group, without a digest:
//	           live set                u32, hash of the limiters that the sender receives from
//
//	group, with a digest:
//	           live count              uvarint, group members that the sender receives from,
//	                                   itself included
//	           live set                u32, hash of those members
//	           sharing classes         uvarint, number of them, at most maxClasses
//	           for each: live set      u32, hash of the limiters that its members receive from
//	                     members       uvarint
//	           consumed                encoded as the consumed section, summed over the group
//
// Datagrams that exceed MaxMessageSize, are truncated, or have trailing bytes are malformed.
const (
	magic       = "E5"
	digestFlag  = 0x80 // set in the level byte: a group digest follows
	primaryFlag = 0x40 // set in the level byte: sent by the receiver's primary reporter
)

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	b = m.appendHeader(b)
	b = appendConsumed(b, m.Consumed)
	b = appendHints(b, m.Hints)
	b = appendDemand(b, m.Demand)
	b = append(b, m.StaleIdleGroup)
	if m.GroupDigest.Level == 0 {
		return binary.BigEndian.AppendUint32(append(b, 0), m.LiveSet)
	}
	return appendDigest(b, &m.GroupDigest)
}

func (m *Message) appendHeader(b []byte) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, m.From)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	return binary.AppendUvarint(b, uint64(m.AgeMs))
}

func appendConsumed(b []byte, consumed []quota.Usage) []byte {
	b = binary.AppendUvarint(b, uint64(len(consumed)))
	for _, u := range consumed {
		b = append(b, byte(u.Tenant>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(u.Tenant))
		b = binary.AppendUvarint(b, u.Units)
		b = append(b, u.FillLevel)
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

// appendDigest appends the group section of a message that carries a digest.
func appendDigest(b []byte, d *quota.Digest) []byte {
	level := byte(d.Level) | digestFlag
	if d.Primary {
		level |= primaryFlag
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

// Decode decodes a datagram into m. It overwrites m and reuses its slices, so that a receiver
// that reuses one message allocates little. It returns [ErrMalformed] if the datagram is not
// exactly one message; the contents of m are then undefined.
func (m *Message) Decode(b []byte) error {
	r := reader{unread: b, ok: len(b) <= MaxMessageSize}
	if string(r.take(len(magic))) != magic {
		return ErrMalformed
	}
	m.From, m.Incarnation, m.AgeMs = r.uint64(), r.uint64(), float64(r.uvarint())
	m.Consumed = r.consumed(m.Consumed[:0])
	m.Hints = r.hints(m.Hints[:0])
	m.Demand = r.demand(m.Demand[:0])
	m.StaleIdleGroup = r.staleIdleGroup()
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

// reader decodes a datagram sequentially. After the first error, ok is false and all reads
// return zero.
type reader struct {
	unread []byte
	ok     bool
}

// take consumes the next n bytes. It returns nil if fewer are left.
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

// count reads a number of limiters or of sharing classes, capped at maxCount.
func (r *reader) count() int { return int(min(r.uvarint(), maxCount)) }

// consumed reads a consumed section and appends it to out.
func (r *reader) consumed(out []quota.Usage) []quota.Usage {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		var u quota.Usage
		if id := r.take(5); id != nil {
			u.Tenant = uint64(id[0])<<32 | uint64(binary.BigEndian.Uint32(id[1:]))
		}
		u.Units = r.uvarint()
		u.FillLevel = r.uint8()
		if r.ok {
			out = append(out, u)
		}
	}
	return out
}

// hints reads the hints section and appends it to out.
func (r *reader) hints(out []balance.Hint) []balance.Hint {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if h := r.take(6); h != nil {
			out = append(out, balance.Hint{Server: binary.BigEndian.Uint32(h), InFlight: h[4], Latency: h[5]})
		}
	}
	return out
}

// demand reads the demand section and appends it to out.
func (r *reader) demand(out []balance.Demand) []balance.Demand {
	for n := r.uvarint(); n > 0 && r.ok; n-- {
		if d := r.take(3); d != nil {
			out = append(out, balance.Demand{Service: binary.BigEndian.Uint16(d), Level: d[2]})
		}
	}
	return out
}

func (r *reader) staleIdleGroup() uint8 {
	group := r.uint8()
	if group > maxStaleIdleGroup {
		r.ok = false
	}
	return group
}

// digest reads the rest of a group section with a digest. Its first byte is passed as level.
func (r *reader) digest(level uint8, d *quota.Digest) {
	d.Level = quota.GroupingLevel(level &^ (digestFlag | primaryFlag))
	d.Primary = level&primaryFlag != 0
	if level&digestFlag == 0 || d.Level == 0 || d.Level > maxLevel {
		r.ok = false
		return
	}
	d.LiveCount = r.count()
	d.LiveSet = r.uint32()
	n := r.count()
	if n > maxClasses {
		r.ok = false
		return
	}
	for range n {
		d.Classes = append(d.Classes, quota.SharingClass{LiveSet: r.uint32(), Count: r.count()})
	}
	d.Consumed = r.consumed(d.Consumed)
}

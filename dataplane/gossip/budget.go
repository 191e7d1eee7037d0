package gossip

import (
	"cmp"
	"slices"

	"example.org/elmspan/dataplane/quota"
)

const (
	// DatagramOverhead is the size of the IP and UDP headers of a datagram in bytes.
	DatagramOverhead = 28
	// maxCreditMs is the largest burst: how much unused budget may accumulate, in milliseconds of sending.
	maxCreditMs = 200.0
	// messageCPUMs is the approximate CPU time that it takes to build and send a message.
	messageCPUMs = 0.01

	bytesPerMbit = 1e6 / 8
	msPerSecond  = 1000
)

// Capacity is the capacity of the machine and the fraction of it that gossip may use.
type Capacity struct {
	LinkMbps     float64 // link bandwidth in 10^6 bit/s; 0: unknown, gossip is not limited
	LinkFraction float64 // fraction of the link for gossip, from 0 to 1
	CPUCores     float64 // available processor time in cores; 0: unknown, gossip is not limited
	CPUFraction  float64 // fraction of the processor time for gossip, from 0 to 1
}

// Budget returns the send budget that the capacity allows.
func (c Capacity) Budget() Budget {
	return Budget{
		BytesPerS:    c.LinkMbps * bytesPerMbit * c.LinkFraction,
		MessagesPerS: c.CPUCores * msPerSecond / messageCPUMs * c.CPUFraction,
	}
}

// Budget limits the gossip that a limiter of a large fleet sends, in bytes per second (IP and
// UDP headers included) and in datagrams per second. Each message is charged for the scarcer
// of the two. If either is 0, there is no limit. Mandatory messages are sent even when the
// budget is exhausted; the deficit delays the other messages that follow.
type Budget struct{ BytesPerS, MessagesPerS float64 }

// limited reports whether the budget applies to a fleet of this size.
func (b Budget) limited(f FleetSize) bool {
	return f >= LargeFleet && b.BytesPerS > 0 && b.MessagesPerS > 0
}

// costMs returns the cost of a message: the time in which the budget for it accumulates.
func (b Budget) costMs(m *Message) float64 {
	return msPerSecond * max(1/b.MessagesPerS, float64(m.EstimatedSize()+DatagramOverhead)/b.BytesPerS)
}

// sendDue sends the messages that are due within the budget: the mandatory ones first, then
// those of the recipients that have waited longest. Updates that are not sent stay queued at
// their recipient and are due again at the next tick.
func (d *Disseminator) sendDue(now float64, digest quota.Digest, send SendFunc) {
	limited := d.budget.limited(d.fleetSize)
	d.creditMs = min(maxCreditMs, d.creditMs+now-d.lastTickAt)
	d.lastTickAt = now
	if limited {
		slices.SortStableFunc(d.due, byPriority)
	}
	for _, r := range d.due {
		if limited && !r.mandatory && d.creditMs < 0 {
			break
		}
		m := d.fill(now, r, digest)
		if limited {
			d.creditMs -= d.budget.costMs(m)
		}
		send(r.ID, m)
	}
	d.due = d.due[:0]
}

func byPriority(a, b *recipient) int {
	if a.mandatory != b.mandatory {
		if a.mandatory {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.sentAt, b.sentAt)
}

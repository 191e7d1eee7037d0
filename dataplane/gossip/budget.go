package gossip

import (
	"cmp"
	"slices"

	"example.org/elmspan/dataplane/quota"
)

const (
	// DatagramOverhead is the size of the IP and UDP headers of a datagram in bytes.
	DatagramOverhead = 28
	// maxSavedMs is how much of the budget may be saved up for a burst, in its time.
	maxSavedMs = 200.0
	// messageMs is about how long a processor needs to make and send a message.
	messageMs = 0.01

	bytesPerMbit = 1e6 / 8
	msPerSecond  = 1000
)

// Capacity is what a machine has, and the part of it that gossip may use.
type Capacity struct {
	LinkMbps     float64 // of its link, in 10^6 bits a second; 0: not known, there is no bound
	LinkFraction float64 // from 0 to 1
	CPUCores     float64 // of its processor, in cores; 0: not known, there is no bound
	CPUFraction  float64 // from 0 to 1
}

// Budget is what gossip may use of the machine.
func (c Capacity) Budget() Budget {
	return Budget{
		BytesPerS:    c.LinkMbps * bytesPerMbit * c.LinkFraction,
		MessagesPerS: c.CPUCores * msPerSecond / messageMs * c.CPUFraction,
	}
}

// Budget limits what a limiter of a large fleet sends: bytes a second, with the headers of
// IP and UDP, and datagrams a second. A message counts by that of the two of which it takes
// more. 0 in either: there is no limit. Mandatory messages go out all the same and are paid
// back, so that others wait.
type Budget struct{ BytesPerS, MessagesPerS float64 }

// limited reports whether the budget limits a fleet.
func (b Budget) limited(f FleetSize) bool {
	return f >= LargeFleet && b.BytesPerS > 0 && b.MessagesPerS > 0
}

// costMs is how much of the budget a message takes, in time.
func (b Budget) costMs(m *Message) float64 {
	return msPerSecond * max(1/b.MessagesPerS, float64(m.EstimatedSize()+DatagramOverhead)/b.BytesPerS)
}

// sendDue sends the messages that are due as far as the budget goes: first the mandatory
// ones, then those that wait longest. What is left over stays with its recipient and is due
// again at the next tick.
func (d *Disseminator) sendDue(now float64, digest quota.Digest, send SendFunc) {
	limited := d.budget.limited(d.regime)
	d.savedMs = min(maxSavedMs, d.savedMs+now-d.tickedAt)
	d.tickedAt = now
	if limited {
		slices.SortStableFunc(d.due, byPriority)
	}
	for _, r := range d.due {
		if limited && !r.mandatory && d.savedMs < 0 {
			break
		}
		m := d.fill(now, r, digest)
		if limited {
			d.savedMs -= d.budget.costMs(m)
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

package gossip

import "example.org/elmspan/dataplane/quota"

// FleetSize is the size class of a fleet, which determines how updates are disseminated. The
// load on each limiter must not grow with the fleet, so limiters of larger fleets send less
// often.
type FleetSize uint8

const (
	// SmallFleet is a fleet in which all limiters exchange loads and usage with each other,
	// without delay within a zone. There is no budget.
	SmallFleet FleetSize = iota
	// LargeFleet is a fleet with groups ([quota.Group]), of more than
	// [quota.MaxUngroupedLimiters] limiters. Loads are sent to the neighbors in the zone only, and
	// messages are limited by the [Budget], the longest overdue first, because there is more to
	// send than a small link should carry. Loads and latencies are absolute values and may be
	// sent less often; messages that the quotas depend on are never delayed.
	LargeFleet
	// VeryLargeFleet is a fleet in which message headers would make up most of the traffic.
	// Updates are therefore sent with the heartbeats, of which two in a row may be lost, unless
	// a quota needs them sooner (quota.Usage.DueWithinMs).
	VeryLargeFleet
)

// Thresholds of the size classes, in peers per limiter.
const (
	// LargeFleetPeers is the number of peers from which a fleet is large. A message per
	// [TickMs] to each of 24 peers would be 4,000 messages per second.
	LargeFleetPeers = 24
	// veryLargeFleetPeers is the number of peers from which usage that is not urgent is
	// delayed. It must equal the threshold of package quota, which sets the permitted delay.
	veryLargeFleetPeers = quota.VeryLargeFleetPeers
)

// FleetSizeOf returns the size class of a fleet in which a limiter has this many peers.
func FleetSizeOf(peers int) FleetSize {
	switch {
	case peers >= veryLargeFleetPeers:
		return VeryLargeFleet
	case peers >= LargeFleetPeers:
		return LargeFleet
	}
	return SmallFleet
}

package gossip

import "example.org/elmspan/dataplane/quota"

// FleetSize says by the size of the fleet how updates spread. What each limiter sends and
// receives must not grow with the fleet, so a larger one sends less often.
type FleetSize uint8

const (
	// SmallFleet is a fleet where all limiters exchange loads and usage with each other, at once within a
	// zone. There is no budget.
	SmallFleet FleetSize = iota
	// LargeFleet is a fleet with replica groups ([quota.MaxUngroupedLimiters] is the same size). Loads
	// go to the neighbors in the zone only, and messages go out within the [Budget], those
	// first that are due longest: there is more to send than a small link should carry.
	// Loads and latencies are levels, so they may be sent less often; what holds the quotas
	// is never put off.
	LargeFleet
	// VeryLargeFleet is a fleet where the heads of messages would be most of what is sent.
	// So updates go with the messages that show that a limiter is alive, of which two in a
	// row may be lost, unless a quota needs them sooner (quota.Usage.DueWithinMs).
	VeryLargeFleet
)

// Thresholds of the regimes, in other limiters.
const (
	// LargeFleetPeers is the size from which the fleet is large. A message per [TickMs] to
	// each of 24 peers would be 4,000 messages a second.
	LargeFleetPeers = 24
	// veryLargeFleetPeers is the size from which usage waits by need. It must be that of
	// the quotas, which say how long it may wait.
	veryLargeFleetPeers = quota.VeryLargeFleetPeers
)

// FleetSizeOf returns the regime of a fleet where a limiter has so many peers.
func FleetSizeOf(peers int) FleetSize {
	switch {
	case peers >= veryLargeFleetPeers:
		return VeryLargeFleet
	case peers >= LargeFleetPeers:
		return LargeFleet
	}
	return SmallFleet
}

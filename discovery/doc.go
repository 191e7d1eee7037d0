// Package discovery reads the platform's server list and keeps the list of endpoints that
// follows from the answers.
//
// [ListServers] asks the platform. Within the system one process does that for all, the leader
// of the control plane; a limiter that has not reached the control plane for long asks
// for itself, the more rarely the more limiters there are, so that the platform's rate limit
// holds.
//
// The answers lag, and may come out of order or from two sources. [EndpointList] merges them,
// and [OneWayStates] keeps a server from going back to an earlier state.
package discovery

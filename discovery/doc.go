// Package discovery reads the platform's server list and merges successive responses into one
// list of servers.
//
// [ListServers] queries the platform. Normally only the leader of the control plane does so, on
// behalf of all processes. A limiter (a process that serves clients) that has not reached the
// control plane for a long time queries the platform itself, at an interval that grows with the
// number of limiters so that the platform's rate limit is not exceeded.
//
// Responses may be stale, out of order or from two sources. [EndpointList] merges them, and
// [OneWayStates] prevents a server from returning to an earlier state.
package discovery

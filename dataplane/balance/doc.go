// Package balance selects the server for each attempt of a request. Each limiter balances its
// own requests.
//
// A [Set] holds what a limiter knows about all servers. The host provides the list of servers
// ([Set.SetServers], [Set.ApplyDelta]) and the other limiters of the zone ([Set.SetPeers]).
// For each attempt it calls [Set.Choose], then [Set.StartAttempt], and [Set.FinishAttempt]
// when the attempt has ended.
//
// A limiter observes only a part of a server's load, so limiters exchange load hints by gossip:
// [Set.DrainHints] returns the hints to send, and [Set.ReceiveHints] applies those of a peer.
// In a large fleet the hints would use too much bandwidth and arrive too late. There each
// limiter uses a subset of the servers (subset.go) and exchanges loads only with its neighbors
// in the order of limiter ids.
//
// The files of the package:
//
//	set.go         servers by service, and the peers of this limiter
//	choose.go      selection of a server: candidates and their costs
//	load.go        requests in flight, latency, and the exchange of hints
//	outcome.go     effect of the result of an attempt on a server's state
//	subset.go      deterministic subsetting by demand, in large fleets
//	zoneoutage.go  detection of zones whose servers can't be reached
//
// The package reads no clock and does no I/O. Times are in milliseconds on a monotonic clock of
// the caller. Random numbers are derived from the seed that is passed to [New].
package balance

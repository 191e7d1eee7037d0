// Package balance chooses the server for each attempt at a request, for one limiter of many.
//
// A [Set] holds what one limiter knows of all servers. The host gives it the list of servers
// ([Set.SetServers], [Set.ApplyDelta]) and the other limiters of its zone ([Set.SetPeers]).
// For each attempt it calls [Set.Choose], then [Set.StartAttempt], and [Set.FinishAttempt]
// when the attempt has ended.
//
// One limiter sees only a part of a server's load. So limiters exchange load hints by gossip:
// [Set.DrainHints] returns the hints to send, [Set.ReceiveHints] takes in those of a peer.
// In a large fleet the hints would cost too much of a link and come too late. There each
// limiter uses a subset of the servers (subset.go), and exchanges loads with the limiters
// next to it only.
//
// The files of the package:
//
//	set.go         the servers of each service, and the peers of this limiter
//	choose.go      the choice of a server: which are candidates, and what each costs
//	load.go        requests in flight, latency, and the exchange of hints
//	outcome.go     what the end of an attempt says about a server
//	subset.go      deterministic subsetting by demand, in large fleets
//	zoneoutage.go  detection of zones whose servers can't be reached
//
// The package reads no clock and does no I/O. Times are in milliseconds on the caller's
// steady clock and must not go back. Random numbers come from the seed that [New] is given.
package balance

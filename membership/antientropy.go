package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// An exchange reconciles two different views, in at most two rounds. The first round carries
// the recent changes of both sides, which is almost always sufficient. Its response also has a
// digest of each of the 64 buckets of the view (processes are assigned to buckets by the hash
// of their name). If the views still differ, the second round carries the entries in the
// buckets whose digests differ, in both directions. The amount of data thus depends on the
// differences and not on the number of processes.

const (
	// recentPeriod is how long a change is piggybacked on every heartbeat.
	recentPeriod = 3 * time.Second
	// maxRecentChanges is the maximum number of changes piggybacked on a heartbeat. Older ones
	// are reconciled by the second round.
	maxRecentChanges = 16
	// bucketCount is part of the wire format: HeartbeatRequest.RequestedBuckets has one bit per
	// bucket.
	bucketCount = 64
)

// Heartbeat returns the heartbeat to send now, which starts the first round of an exchange.
func (v *View) Heartbeat(now time.Duration) *api.HeartbeatRequest {
	return &api.HeartbeatRequest{From: v.self, Digest: v.Digest(), Peers: v.recentPeers(now)}
}

// HandleHeartbeat processes a received heartbeat and returns the response to it.
func (v *View) HandleHeartbeat(now time.Duration, q *api.HeartbeatRequest) *api.HeartbeatResponse {
	v.RecordHeartbeat(now, q.From)
	v.Merge(now, q.Peers)
	r := &api.HeartbeatResponse{Digest: v.Digest()}
	switch {
	case r.Digest == q.Digest: // the views are equal
	case q.RequestedBuckets != 0:
		r.Peers = v.peersInBuckets(q.RequestedBuckets)
	default:
		r.Peers, r.BucketDigests = v.recentPeers(now), v.foldedDigests()
	}
	return r
}

// HandleResponse processes the response to a heartbeat. It returns the heartbeat of the second
// round, or nil if none is needed.
func (v *View) HandleResponse(now time.Duration, r *api.HeartbeatResponse) *api.HeartbeatRequest {
	v.Merge(now, r.Peers)
	if v.Digest() == r.Digest || len(r.BucketDigests) != bucketCount {
		return nil
	}
	different := uint64(0)
	for i, d := range v.foldedDigests() {
		if d != r.BucketDigests[i] {
			different |= 1 << i
		}
	}
	if different == 0 {
		return nil
	}
	return &api.HeartbeatRequest{
		From:             v.self,
		Digest:           v.Digest(),
		Peers:            v.peersInBuckets(different),
		RequestedBuckets: different,
	}
}

// recentPeers returns the other processes whose entries have changed recently, latest first.
func (v *View) recentPeers(now time.Duration) []api.Peer {
	var out []api.Peer
	seen := map[string]bool{}
	for _, c := range slices.Backward(v.recent) {
		if now-c.at > recentPeriod {
			break
		}
		if r := v.peers[c.name]; r != nil && !seen[c.name] {
			seen[c.name] = true
			out = append(out, r.Peer)
		}
	}
	return out
}

// peersInBuckets returns all processes in the buckets of a bit mask, sorted by name.
func (v *View) peersInBuckets(mask uint64) []api.Peer {
	var out []api.Peer
	for _, p := range v.Peers() {
		if mask>>bucketOf(p.Name)&1 == 1 {
			out = append(out, p)
		}
	}
	return out
}

// Digest returns a hash over the entries of all processes that are not dead. Equal digests mean
// that two views agree on these processes and their states.
func (v *View) Digest() uint64 {
	digest := uint64(0)
	for _, d := range v.bucketDigests {
		digest ^= d
	}
	return digest
}

// foldedDigests returns the bucket digests folded to 32 bits, which halves their size on the
// wire.
func (v *View) foldedDigests() []uint32 {
	out := make([]uint32, bucketCount)
	for i, d := range v.bucketDigests {
		out[i] = uint32(d ^ d>>32)
	}
	return out
}

// bucketOf returns the bucket of a name, given by the highest bits of its hash.
func bucketOf(name string) int {
	const shift = 64 - 6 // 2^6 buckets
	return int(xxhash.Sum64String(name) >> shift)
}

// peerDigest returns the hash of one entry. The digest of a bucket is the XOR of the hashes of
// its entries.
func peerDigest(p api.Peer) uint64 {
	h := xxhash.New()
	// Writes to a Digest never return an error.
	_, _ = h.WriteString(p.Name)
	_, _ = h.WriteString(p.Addr)
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], p.StartID)
	binary.BigEndian.PutUint64(b[8:], p.Incarnation)
	b[16] = p.State
	_, _ = h.Write(b[:])
	return h.Sum64()
}

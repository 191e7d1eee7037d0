package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// Views that differ are reconciled in one exchange of at most two rounds. The first carries
// what has changed recently at either side, which is nearly always all. Where that is not
// enough, the response has a digest of each of the 64 buckets of the view (by the names'
// hashes), and the second round carries the buckets that differ, both ways. So the bytes
// depend on what differs, and not on how many processes there are.

const (
	// recentPeriod is how long a change is sent along with each heartbeat.
	recentPeriod = 3 * time.Second
	// maxRecentChanges bounds the changes that are sent along. Those beyond it reach the
	// others by the second round.
	maxRecentChanges = 16
	// bucketCount is part of the wire: HeartbeatRequest.RequestedBuckets has a bit for each.
	bucketCount = 64
)

// Heartbeat returns the heartbeat that is due now: the first round of an exchange.
func (v *View) Heartbeat(now time.Duration) *api.HeartbeatRequest {
	return &api.HeartbeatRequest{From: v.self, Digest: v.Digest(), Peers: v.recentPeers(now)}
}

// HandleHeartbeat takes in a heartbeat and returns the response to it.
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

// HandleResponse takes in the response to a heartbeat. It returns the heartbeat of the second
// round if one is needed, else nil.
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

// recentPeers returns the other processes of which something has changed recently, the latest
// first.
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

// peersInBuckets returns all processes of some buckets, by name.
func (v *View) peersInBuckets(mask uint64) []api.Peer {
	var out []api.Peer
	for _, p := range v.Peers() {
		if mask>>bucketOf(p.Name)&1 == 1 {
			out = append(out, p)
		}
	}
	return out
}

// Digest is equal where two views have the same processes that are not dead, in the same
// states.
func (v *View) Digest() uint64 {
	digest := uint64(0)
	for _, d := range v.bucketDigests {
		digest ^= d
	}
	return digest
}

// foldedDigests returns the digests of the buckets in half the bytes.
func (v *View) foldedDigests() []uint32 {
	out := make([]uint32, bucketCount)
	for i, d := range v.bucketDigests {
		out[i] = uint32(d ^ d>>32)
	}
	return out
}

// bucketOf returns the bucket of a name: the highest bits of its hash.
func bucketOf(name string) int {
	const shift = 64 - 6 // 2^6 buckets
	return int(xxhash.Sum64String(name) >> shift)
}

// peerDigest is a process's part of the digest of its bucket.
func peerDigest(p api.Peer) uint64 {
	h := xxhash.New()
	// A digest's writes never fail.
	_, _ = h.WriteString(p.Name)
	_, _ = h.WriteString(p.Addr)
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], p.StartID)
	binary.BigEndian.PutUint64(b[8:], p.Incarnation)
	b[16] = p.State
	_, _ = h.Write(b[:])
	return h.Sum64()
}

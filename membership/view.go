// Package membership lets the system's processes know each other. Each one
// sends heartbeats to a few watchers that its place on a ring names; what they
// know travels with the heartbeats, so that a change reaches all in a few beats.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// The states of a process, worst last.
const (
	Alive uint8 = iota
	Leaving
	Dead
)

const (
	watchersMost = 4
	mostPeers    = 4096
	deadAfter    = 2500 * time.Millisecond // without a beat, at a watcher
	keepDead     = 60 * time.Second
	stoodStill   = time.Second // without a beat of its own: this process stood still
	recentFor    = 3 * time.Second
	recentMost   = 16 // changes that go along with a heartbeat
	buckets      = 64
)

// View is what one process knows. It does no I/O and reads no clock: times
// are on the host's steady clock.
//
// Views that differ are brought together in one exchange of two rounds. The first
// carries what has changed of late at either side, which is nearly always all.
// Where that is not enough the answer tells a digest of each of 64 parts of the
// view, by the names' hashes, and the second round carries the parts that differ:
// what is sent depends on what differs, not on how many processes there are.
type View struct {
	self    api.Peer
	peers   map[string]*record // by name, without self
	ring    []place            // of those not dead, self included, by hash
	parts   [buckets]uint64    // digests
	recent  []change           // oldest first
	beatAt  time.Duration
	dead    int
	watched map[string]bool // whom this process is a watcher of
	// Changed counts the changes.
	ChangeCount uint64
	news        map[string]bool // of whom something has changed since [View.News]
}

type record struct {
	api.Peer
	heardAt time.Duration // a beat came, or it became known
	deadAt  time.Duration
}

// place is a process's place on the ring.
type place struct {
	hash uint64
	name string
}

func (a place) compare(b place) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

type change struct {
	name string
	at   time.Duration
}

// NewView returns the view of a process that knows nobody.
func NewView(self api.Peer) *View {
	v := &View{self: self, peers: map[string]*record{}, watched: map[string]bool{}, news: map[string]bool{}}
	v.self.Incarnation = max(1, v.self.Incarnation)
	v.swap(nil, &v.self)
	return v
}

// swap notes that one thing is known of a process in place of another; nil is nothing.
func (v *View) swap(old, next *api.Peer) {
	v.ChangeCount++
	for _, p := range []*api.Peer{old, next} {
		if p != nil {
			v.news[p.Name] = true
		}
		if p != nil && p.State != Dead { // the dead are forgotten at different times
			v.parts[part(p.Name)] ^= hash(*p)
		}
	}
	was, is := old != nil && old.State != Dead, next != nil && next.State != Dead
	switch {
	case was && !is:
		if i, ok := v.place(old.Name); ok {
			v.ring = slices.Delete(v.ring, i, i+1)
		}
	case is && !was:
		i, _ := v.place(next.Name)
		v.ring = slices.Insert(v.ring, i, place{xxhash.Sum64String(next.Name), next.Name})
	}
}

// place returns where a name stands on the ring, or would.
func (v *View) place(name string) (int, bool) {
	return slices.BinarySearchFunc(v.ring, place{xxhash.Sum64String(name), name}, place.compare)
}

func part(name string) int { return int(xxhash.Sum64String(name) >> 58) }

// Self is what this process says of itself.
func (v *View) Self() api.Peer { return v.self }

// Digest is equal where views are.
func (v *View) Digest() (d uint64) {
	for _, p := range v.parts {
		d ^= p
	}
	return d
}

// All returns every known process, self included, by name.
func (v *View) Peers() []api.Peer {
	out := []api.Peer{v.self}
	for _, r := range v.peers {
		out = append(out, r.Peer)
	}
	slices.SortFunc(out, func(a, b api.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// News returns the processes of which something has changed since the last call, by
// name, so that who keeps a copy pays for what changed and not for how many there are.
// One that is forgotten is dead.
func (v *View) TakeChanges() (out []api.Peer) {
	for name := range v.news {
		p, ok := v.Peer(name)
		if !ok {
			p = api.Peer{Name: name, State: Dead}
		}
		out = append(out, p)
	}
	clear(v.news)
	slices.SortFunc(out, func(a, b api.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Leave marks this process as leaving.
func (v *View) Leave() {
	v.say(func(p *api.Peer) { p.State, p.Incarnation = Leaving, p.Incarnation+1 })
}

// say changes what this process says of itself.
func (v *View) say(f func(*api.Peer)) {
	old := v.self
	f(&v.self)
	v.swap(&old, &v.self)
}

// Merge takes in what another process knows and tells whether any of it is news.
func (v *View) Merge(now time.Duration, peers []api.Peer) bool {
	news := false
	for _, p := range peers {
		if p.Name == "" || p.Addr == "" || p.State > Dead {
			continue
		}
		if p.Name == v.self.Name {
			// Something older than this life, or a rumour of its death, is overruled.
			if p.StartID != v.self.StartID && p.Incarnation >= v.self.Incarnation ||
				p.Incarnation >= v.self.Incarnation && p.State > v.self.State {
				v.say(func(s *api.Peer) { s.Incarnation = p.Incarnation + 1 })
				news = true
			}
			continue
		}
		r := v.peers[p.Name]
		switch {
		case r == nil:
			// One that is dead and not known here is not learnt of: else those who forget
			// it would be told of it again without end.
			if p.State == Dead || len(v.peers) >= mostPeers {
				continue
			}
			v.put(now, p)
		case newer(p, r.Peer):
			v.put(now, p)
		default:
			continue
		}
		news = true
	}
	return news
}

// put takes in what is known of another process from now on.
func (v *View) put(now time.Duration, p api.Peer) {
	r := v.peers[p.Name]
	var old *api.Peer
	if r == nil {
		r = &record{heardAt: now, deadAt: now}
		v.peers[p.Name] = r
	} else {
		o := r.Peer
		old = &o
		if p.State == Dead && o.State != Dead {
			r.deadAt = now
		}
		if p.State != Dead && (o.State == Dead || o.StartID != p.StartID) {
			r.heardAt = now
		}
		if o.State == Dead {
			v.dead--
		}
	}
	if r.Peer = p; p.State == Dead {
		v.dead++
	}
	v.swap(old, &r.Peer)
	if v.recent = append(v.recent, change{p.Name, now}); len(v.recent) > recentMost {
		v.recent = slices.Delete(v.recent, 0, len(v.recent)-recentMost)
	}
}

// ---- Exchanges ----

// Beat returns the heartbeat of now.
func (v *View) Heartbeat(now time.Duration) *api.HeartbeatRequest {
	return &api.HeartbeatRequest{From: v.self, Digest: v.Digest(), Peers: v.late(now)}
}

// late are the processes of which something has changed of late.
func (v *View) late(now time.Duration) (out []api.Peer) {
	told := map[string]bool{}
	for _, c := range slices.Backward(v.recent) {
		if now-c.at > recentFor {
			break
		}
		if r := v.peers[c.name]; r != nil && !told[c.name] {
			told[c.name] = true
			out = append(out, r.Peer)
		}
	}
	return out
}

// in are all processes of some parts of the view.
func (v *View) in(mask uint64) (out []api.Peer) {
	for _, p := range v.Peers() {
		if mask>>part(p.Name)&1 == 1 {
			out = append(out, p)
		}
	}
	return out
}

// Answer takes in a heartbeat and returns the answer to it.
func (v *View) HandleHeartbeat(now time.Duration, b *api.HeartbeatRequest) *api.HeartbeatResponse {
	v.RecordHeartbeat(now, b.From)
	v.Merge(now, b.Peers)
	r := &api.HeartbeatResponse{Digest: v.Digest()}
	switch {
	case r.Digest == b.Digest:
	case b.RequestedBuckets != 0:
		r.Peers = v.in(b.RequestedBuckets)
	default:
		r.Peers, r.BucketDigests = v.late(now), v.folded()
	}
	return r
}

// Answered takes in the answer to a heartbeat, and returns the second round's
// where one is needed.
func (v *View) HandleResponse(now time.Duration, r *api.HeartbeatResponse) (again *api.HeartbeatRequest) {
	v.Merge(now, r.Peers)
	if v.Digest() == r.Digest || len(r.BucketDigests) != buckets {
		return nil
	}
	mask := uint64(0)
	for i, d := range v.folded() {
		if d != r.BucketDigests[i] {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return nil
	}
	return &api.HeartbeatRequest{From: v.self, Digest: v.Digest(), Peers: v.in(mask), RequestedBuckets: mask}
}

// folded are the digests of the view's parts, in half the bytes.
func (v *View) folded() []uint32 {
	out := make([]uint32, buckets)
	for i, d := range v.parts {
		out[i] = uint32(d ^ d>>32)
	}
	return out
}

// newer tells whether a says more than b of the same process.
func newer(a, b api.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.StartID > b.StartID // two lives that chose the same figure: one of them will go on to a higher one
}

// Heard notes a heartbeat.
func (v *View) RecordHeartbeat(now time.Duration, from api.Peer) bool {
	news := v.Merge(now, []api.Peer{from})
	if r := v.peers[from.Name]; r != nil && r.StartID == from.StartID {
		r.heardAt = now
	}
	return news
}

// Watchers names whom a process sends its heartbeats to: on the ring, those
// 1, 2, 4 and 8 places on, so that news takes few steps to all.
func (v *View) Watchers(name string) []string { return v.along(name, 1) }

// along names those 1, 2, 4 and 8 places from a process, onward or backward.
func (v *View) along(name string, way int) []string {
	i, ok := v.place(name)
	n := len(v.ring)
	if !ok || n < 2 {
		return nil
	}
	var out []string
	for k, step := 0, 1; k < watchersMost && step < n; k, step = k+1, step*2 {
		out = append(out, v.ring[((i+way*step)%n+n)%n].name)
	}
	return out
}

// Peer returns what is known of a process.
func (v *View) Peer(name string) (api.Peer, bool) {
	if name == v.self.Name {
		return v.self, true
	}
	if r := v.peers[name]; r != nil {
		return r.Peer, true
	}
	return api.Peer{}, false
}

// Check declares dead whom this process watches and has not heard of, and
// forgets the long dead. It is called at each beat.
func (v *View) DetectFailures(now time.Duration) (lost []string) {
	still := v.beatAt != 0 && now-v.beatAt > stoodStill
	v.beatAt = now
	if still { // what was sent meanwhile was not heard
		for _, r := range v.peers {
			r.heardAt = max(r.heardAt, now)
		}
	}
	watched := map[string]bool{}
	for _, name := range v.along(v.self.Name, -1) {
		r := v.peers[name]
		if r == nil {
			continue
		}
		if watched[name] = true; !v.watched[name] { // its beats come here only from now on
			r.heardAt = now
		}
		if now-r.heardAt > deadAfter {
			lost = append(lost, name)
		}
	}
	v.watched = watched
	for _, name := range lost {
		p := v.peers[name].Peer
		p.State = Dead
		v.put(now, p)
	}
	if v.dead > 0 {
		for name, r := range v.peers {
			if r.State == Dead && now-r.deadAt > keepDead {
				v.swap(&r.Peer, nil)
				delete(v.peers, name)
				v.dead--
			}
		}
	}
	slices.Sort(lost)
	return lost
}

func hash(p api.Peer) uint64 {
	h := xxhash.New()
	h.WriteString(p.Name)
	h.WriteString(p.Addr)
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], p.StartID)
	binary.BigEndian.PutUint64(b[8:], p.Incarnation)
	b[16] = p.State
	h.Write(b[:])
	return h.Sum64()
}

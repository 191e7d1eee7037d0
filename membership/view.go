// Package membership lets the system's processes know each other. Each one
// sends heartbeats to a few watchers that its place on a ring names; what they
// know travels with the heartbeats, so that a change reaches all in a few beats.
package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/silverscale/api"
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
)

// View is what one process knows. It does no I/O and reads no clock: times
// are on the host's steady clock.
type View struct {
	self   api.Peer
	peers  map[string]*record // by name, without self
	ring   []string           // names of those not dead, self included, by hash
	digest uint64
	beatAt time.Duration
	// Changed counts the changes, for hosts that keep a copy.
	Changed uint64
}

type record struct {
	api.Peer
	heardAt time.Duration // a beat came, or it became known
	deadAt  time.Duration
	watched bool // this process is one of its watchers
}

// NewView returns the view of a process that knows nobody.
func NewView(self api.Peer) *View {
	v := &View{self: self, peers: map[string]*record{}}
	v.self.Incarnation = max(1, self.Incarnation)
	v.index()
	return v
}

// Self is what this process says of itself.
func (v *View) Self() api.Peer { return v.self }

// Digest is equal where views are.
func (v *View) Digest() uint64 { return v.digest }

// All returns every known process, self included, by name.
func (v *View) All() []api.Peer {
	out := []api.Peer{v.self}
	for _, r := range v.peers {
		out = append(out, r.Peer)
	}
	slices.SortFunc(out, func(a, b api.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Leave marks this process as leaving.
func (v *View) Leave() {
	v.self.State = Leaving
	v.self.Incarnation++
	v.index()
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
			if p.Life != v.self.Life && p.Incarnation >= v.self.Incarnation ||
				p.Incarnation >= v.self.Incarnation && p.State > v.self.State {
				v.self.Incarnation = p.Incarnation + 1
				news = true
			}
			continue
		}
		r := v.peers[p.Name]
		switch {
		case r == nil:
			if len(v.peers) >= mostPeers {
				continue
			}
			v.peers[p.Name] = &record{Peer: p, heardAt: now, deadAt: now}
		case newer(p, r.Peer):
			if p.State == Dead && r.State != Dead {
				r.deadAt = now
			}
			if p.State != Dead && (r.State == Dead || r.Life != p.Life) {
				r.heardAt = now
			}
			r.Peer = p
		default:
			continue
		}
		news = true
	}
	if news {
		v.index()
	}
	return news
}

// newer tells whether a says more than b of the same process.
func newer(a, b api.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Life > b.Life // two lives that chose the same figure: one of them will go on to a higher one
}

// Heard notes a heartbeat.
func (v *View) Heard(now time.Duration, from api.Peer) bool {
	news := v.Merge(now, []api.Peer{from})
	if r := v.peers[from.Name]; r != nil && r.Life == from.Life {
		r.heardAt = now
	}
	return news
}

// Watchers names whom a process sends its heartbeats to: on the ring, those
// 1, 2, 4 and 8 places on, so that news takes few steps to all.
func (v *View) Watchers(name string) []string {
	i, n := slices.Index(v.ring, name), len(v.ring)
	if i < 0 || n < 2 {
		return nil
	}
	var out []string
	for k, step := 0, 1; k < watchersMost && step < n; k, step = k+1, step*2 {
		out = append(out, v.ring[(i+step)%n])
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
func (v *View) Check(now time.Duration) (lost []string) {
	still := v.beatAt != 0 && now-v.beatAt > stoodStill
	v.beatAt = now
	news := false
	for name, r := range v.peers {
		watched := slices.Contains(v.Watchers(name), v.self.Name)
		if watched && !r.watched { // its beats come here only from now on
			r.heardAt = now
		}
		r.watched = watched
		switch {
		case still:
			r.heardAt = max(r.heardAt, now) // what was sent meanwhile was not heard
		case r.State == Dead && now-r.deadAt > keepDead:
			delete(v.peers, name)
			news = true
		case r.State != Dead && now-r.heardAt > deadAfter && watched:
			r.State, r.deadAt = Dead, now
			lost = append(lost, name)
			news = true
		}
	}
	if news {
		v.index()
	}
	slices.Sort(lost)
	return lost
}

// index makes the ring and the digest anew.
func (v *View) index() {
	v.Changed++
	v.ring, v.digest = v.ring[:0], hash(v.self)
	if v.self.State != Dead {
		v.ring = append(v.ring, v.self.Name)
	}
	for name, r := range v.peers {
		v.digest ^= hash(r.Peer)
		if r.State != Dead {
			v.ring = append(v.ring, name)
		}
	}
	slices.SortFunc(v.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

func hash(p api.Peer) uint64 {
	return xxhash.Sum64String(fmt.Sprint(p.Name, p.Addr, p.Life, p.Incarnation, p.State))
}

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxWatchers is the maximum number of watchers of a process. More watchers detect failures and
// spread changes somewhat sooner, at a proportional cost in messages.
const maxWatchers = 4

// ringPosition is the position of a process on the hash ring, ordered by hash and then by name.
type ringPosition struct {
	hash uint64 // of the name
	name string
}

func positionOf(name string) ringPosition { return ringPosition{xxhash.Sum64String(name), name} }

func (a ringPosition) compare(b ringPosition) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// ringIndex returns the index of a name in the ring and true, or the index at which to insert it
// and false.
func (v *View) ringIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(v.ring, positionOf(name), ringPosition.compare)
}

func (v *View) addToRing(name string) {
	i, _ := v.ringIndex(name)
	v.ring = slices.Insert(v.ring, i, positionOf(name))
}

func (v *View) removeFromRing(name string) {
	if i, ok := v.ringIndex(name); ok {
		v.ring = slices.Delete(v.ring, i, i+1)
	}
}

// Watchers returns the names of the processes that a process sends its heartbeats to. They are
// 1, 2, 4 and 8 positions after it on the ring, so that a change reaches all processes in few
// hops.
func (v *View) Watchers(name string) []string { return v.ringNeighbours(name, 1) }

// watchedBySelf returns the names of the processes that send their heartbeats to this one.
func (v *View) watchedBySelf() []string { return v.ringNeighbours(v.self.Name, -1) }

// ringNeighbours returns the names at distances 1, 2, 4 and 8 from a process on the ring, in
// direction 1 (after it) or -1 (before it).
func (v *View) ringNeighbours(name string, direction int) []string {
	i, ok := v.ringIndex(name)
	n := len(v.ring)
	if !ok || n < 2 {
		return nil
	}
	var out []string
	for distance := 1; len(out) < maxWatchers && distance < n; distance *= 2 {
		out = append(out, v.ring[((i+direction*distance)%n+n)%n].name)
	}
	return out
}

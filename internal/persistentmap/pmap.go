// Package persistentmap is a map that does not change: an edit of it makes a new one that
// shares with it all that stays as it is, so that readers need no lock and one
// change costs a small part of the whole.
package persistentmap

import (
	"hash/maphash"
	"maps"
)

const shards = 256

var seed = maphash.MakeSeed()

// Map is one version of the map. The zero value is empty. It is safe for
// concurrent use.
type Map[K comparable, V any] struct {
	shards *[shards]map[K]V
	n      int
}

func place[K comparable](k K) int { return int(maphash.Comparable(seed, k) % shards) }

// Get returns the value of a key.
func (m *Map[K, V]) Get(k K) (v V, ok bool) {
	if m.shards == nil {
		return v, false
	}
	v, ok = m.shards[place(k)][k]
	return v, ok
}

// Len is the number of keys.
func (m *Map[K, V]) Len() int { return m.n }

// All calls a function for each key, in no order, until it returns false.
func (m *Map[K, V]) All(yield func(K, V) bool) {
	if m.shards == nil {
		return
	}
	for _, s := range m.shards {
		for k, v := range s {
			if !yield(k, v) {
				return
			}
		}
	}
}

// Builder begins another version.
func (m *Map[K, V]) Builder() *Builder[K, V] {
	e := &Builder[K, V]{m: Map[K, V]{n: m.n, shards: &[shards]map[K]V{}}}
	if m.shards != nil {
		*e.m.shards = *m.shards
	}
	return e
}

// Builder is a version in the making. It is not safe for concurrent use.
type Builder[K comparable, V any] struct {
	m   Map[K, V]
	own [shards]bool // copied already
}

func (e *Builder[K, V]) shard(k K) map[K]V {
	i := place(k)
	if !e.own[i] {
		e.own[i] = true
		if s := e.m.shards[i]; s != nil {
			e.m.shards[i] = maps.Clone(s)
		} else {
			e.m.shards[i] = map[K]V{}
		}
	}
	return e.m.shards[i]
}

// Get returns the value of a key as edited so far.
func (e *Builder[K, V]) Get(k K) (V, bool) { return e.m.Get(k) }

// Put sets a key.
func (e *Builder[K, V]) Put(k K, v V) {
	s := e.shard(k)
	if _, had := s[k]; !had {
		e.m.n++
	}
	s[k] = v
}

// Delete takes a key out.
func (e *Builder[K, V]) Delete(k K) {
	if _, had := e.m.Get(k); had {
		delete(e.shard(k), k)
		e.m.n--
	}
}

// Map returns the new version. The edit is not to be used any more.
func (e *Builder[K, V]) Map() Map[K, V] { return e.m }

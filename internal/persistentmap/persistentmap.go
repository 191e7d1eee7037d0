// Package persistentmap provides an immutable map with structural sharing: a change creates a
// new version that shares its unchanged parts with the old one. Readers need no lock, and a
// change copies only a small part of the map, at most one of 256 shards per changed key.
package persistentmap

import (
	"hash/maphash"
	"maps"
)

const shardCount = 256

var hashSeed = maphash.MakeSeed()

// Map is one version of a map. The zero value is an empty map. It is safe for concurrent
// use.
type Map[K comparable, V any] struct {
	shards *[shardCount]map[K]V // nil for an empty map; never modified
	len    int
}

// shardIndex returns the index of the shard that a key belongs to.
func shardIndex[K comparable](key K) int { return int(maphash.Comparable(hashSeed, key) % shardCount) }

// Get returns the value of a key, and whether the key is present.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	value, ok = m.shards[shardIndex(key)][key]
	return value, ok
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return m.len }

// All iterates over the keys and their values in unspecified order. The method value is an
// [iter.Seq2].
func (m *Map[K, V]) All(yield func(K, V) bool) {
	if m.shards == nil {
		return
	}
	for _, shard := range m.shards {
		for key, value := range shard {
			if !yield(key, value) {
				return
			}
		}
	}
}

// Builder returns a builder for a new version that starts with the contents of this one.
func (m *Map[K, V]) Builder() *Builder[K, V] {
	b := &Builder[K, V]{m: Map[K, V]{len: m.len, shards: &[shardCount]map[K]V{}}}
	if m.shards != nil {
		*b.m.shards = *m.shards
	}
	return b
}

// Builder collects the changes of a new version. It is not safe for concurrent use.
type Builder[K comparable, V any] struct {
	m      Map[K, V]
	copied [shardCount]bool // whether each shard is a private copy that may be modified
}

// writableShard returns the shard of a key for modification. It copies the shard on first use.
func (b *Builder[K, V]) writableShard(key K) map[K]V {
	i := shardIndex(key)
	if b.copied[i] {
		return b.m.shards[i]
	}
	b.copied[i] = true
	if shared := b.m.shards[i]; shared != nil {
		b.m.shards[i] = maps.Clone(shared)
	} else {
		b.m.shards[i] = map[K]V{}
	}
	return b.m.shards[i]
}

// Get returns the value of a key, and whether the key is present, with the changes so far
// applied.
func (b *Builder[K, V]) Get(key K) (V, bool) { return b.m.Get(key) }

// Put sets the value of a key.
func (b *Builder[K, V]) Put(key K, value V) {
	shard := b.writableShard(key)
	if _, ok := shard[key]; !ok {
		b.m.len++
	}
	shard[key] = value
}

// Delete removes a key. It does nothing if the key is not present.
func (b *Builder[K, V]) Delete(key K) {
	if _, ok := b.m.Get(key); ok {
		delete(b.writableShard(key), key)
		b.m.len--
	}
}

// Map returns the new version. The builder must not be used afterwards.
func (b *Builder[K, V]) Map() Map[K, V] { return b.m }

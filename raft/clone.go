package raft

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Clone returns an independent copy of the member, for a model checker that explores every
// possible continuation. The random source is copied too: both nodes draw the same election
// timeouts.
func (n *Node) Clone() *Node {
	c := *n
	c.log.entries, c.messages = slices.Clip(n.log.entries), slices.Clone(n.messages)
	source := *n.randomSource
	c.randomSource, c.random = &source, rand.New(&source)
	c.votes = maps.Clone(n.votes)
	if n.progress != nil {
		c.progress = make(map[ID]*progress, len(n.progress))
		for id, p := range n.progress {
			c.progress[id] = p.clone()
		}
	}
	if n.incomingSnapshot != nil {
		c.incomingSnapshot = n.incomingSnapshot.clone()
	}
	return &c
}

func (p *progress) clone() *progress {
	c := *p
	if p.transfer != nil {
		transfer := *p.transfer
		c.transfer = &transfer
	}
	return &c
}

// clone returns an independent copy, with capacity for the complete snapshot.
func (a *snapshotAssembly) clone() *snapshotAssembly {
	c := *a
	c.snapshot.Data = append(make([]byte, 0, cap(a.snapshot.Data)), a.snapshot.Data...)
	return &c
}

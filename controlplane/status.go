package controlplane

import (
	"fmt"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// CoreStatus is what a member of the core shows of itself.
type CoreStatus struct {
	ID, Role, Leader string
	Term, Commit     uint64
	Revision         uint64
	DiskFails        bool
	Halted           string // why it stopped serving for good; empty: it serves
	Members          []string
	// UnresponsiveVoters have not answered this leader for 2 s: each is a loss that is not repaired.
	UnresponsiveVoters []string `json:",omitempty"`
	// Watches wait here for changes. What is held for them: encoded deltas, and
	// for each a chunk at most, so MaxDeltaBytes in all.
	Watches       int
	DeltaBytes    int `json:"NewsBytes"`
	MaxDeltaBytes int `json:"NewsBytesMost"`
}

// Status returns what this member knows.
func (c *Core) Status() CoreStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	host, node := &c.host, c.host.node
	s := CoreStatus{
		ID:                 hexID(host.id),
		Role:               node.Role().String(),
		Leader:             host.leaderAddr(),
		Term:               node.Term(),
		Commit:             node.CommitIndex(),
		Revision:           c.store.state.Revision,
		DiskFails:          host.suspended && !host.stopped(),
		Halted:             host.stopReason,
		UnresponsiveVoters: describeMembers(c.members.health.unresponsive),
		Watches:            c.watches.activeWatches,
		DeltaBytes:         c.watches.configs.CachedBytes() + c.endpoints.servers.table.CachedBytes(),
		MaxDeltaBytes:      4*versioned.MaxCachedBytes + maxWatches*api.ChunkSize,
	}
	for _, m := range node.Members() {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		s.Members = append(s.Members, fmt.Sprintf("%s %s %s", hexID(m.ID), m.Addr, kind))
	}
	return s
}

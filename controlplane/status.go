package controlplane

import (
	"fmt"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// CoreStatus is the status of a member of the control plane.
type CoreStatus struct {
	ID, Role, Leader string
	Term, Commit     uint64
	Revision         uint64
	DiskFails        bool
	Halted           string // why it has stopped serving for good; empty: it has not
	Members          []string
	// UnresponsiveVoters are the voters that have not responded to this leader for 2 s: losses that
	// are not repaired yet.
	UnresponsiveVoters []string `json:",omitempty"`
	// Watches is the number of active watches. DeltaBytes is the size of the cached deltas.
	// MaxDeltaBytes bounds the memory for both: the cached deltas and one chunk for each watch.
	Watches       int
	DeltaBytes    int `json:"NewsBytes"`
	MaxDeltaBytes int `json:"NewsBytesMost"`
}

// Status returns the status of this member, as far as it knows.
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

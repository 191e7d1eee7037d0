package controlplane

import (
	"context"

	"example.org/elmspan/api"
)

// The methods in this file implement the control plane service, [api.Control], and the calls of the
// process that runs the member. Each delegates to the responsible part.

// Replace commits a configuration that replaces a given revision. Status is 200 once it is committed
// and applied, 400 if it is not valid, 412 if the given revision is not the current one, 503 if it
// is no longer remembered whether it was applied; 0 if this member doesn't know the result: it is not
// the leader, can't reach a majority, or doesn't know whether the entry was committed.
func (c *Core) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	return c.store.Replace(ctx, q)
}

// Get reads the configuration or another part of the state, linearizably: the result includes every
// change that was acknowledged before the call. Status is 200, or 404 if there is no configuration;
// 0 if this member is not the leader or can't confirm its state.
func (c *Core) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	return c.store.Get(ctx, q)
}

// Watch responds to a limiter or another member as soon as there is something newer than the
// versions in the request, or when the wait that the request allows is over.
func (c *Core) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	return c.watches.Watch(ctx, q)
}

// Fetch returns a further chunk of a delta, empty if this member doesn't have it.
func (c *Core) Fetch(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	return c.watches.Fetch(ctx, q)
}

// ReadIndex returns a read index to another member, for all reads that wait there.
func (c *Core) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	return c.reads.ReadIndex(ctx, q)
}

// Deliver receives Raft messages from another member.
func (c *Core) Deliver(ctx context.Context, q *api.DeliverRequest) (*api.DeliverResponse, error) {
	return c.transport.Deliver(ctx, q)
}

// Join adds a process as a member, or marks a member as leaving. Status is 200, or 409 if a voter is
// leaving and there is no standby; 0 if this member is not the leader or the change was rejected.
func (c *Core) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	return c.members.Join(ctx, q)
}

// TransferLeadership transfers leadership to another member, if this member leads. It is called
// before its process ends.
func (c *Core) TransferLeadership() { c.members.TransferLeadership() }

// Leave prepares for the end of this process: it hands leadership over to another member, and the
// vote to a standby if there is one. Until Run's context ends the member continues to take part.
// The channel is closed once the others no longer need this member, or no other member can take
// over.
func (c *Core) Leave() <-chan struct{} { return c.members.Leave() }

// SetServers merges a server list of the platform into the list, if this member leads. changed: the
// list has changed; uncertain: a server is missing for the first time, so the platform should be
// asked again soon.
func (c *Core) SetServers(list []api.Server) (changed, uncertain bool) {
	return c.endpoints.SetServers(list)
}

// Leads reports whether this member is the leader and is not suspended.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.leads()
}

// HasParticipated reports whether this member may have taken part in a term: its term or its last
// log index is above 0.
func (c *Core) HasParticipated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.node.Term() > 0 || c.host.node.LastIndex() > 0
}

package controlplane

import (
	"context"

	"example.org/elmspan/api"
)

// The methods in this file are the calls of the control plane service, an [api.Control], and those
// of the process that runs the member. Each is carried out by the part that it concerns.

// Replace commits a configuration that replaces a given revision. Status is 200 once it is committed and
// applied, 400 where it is not valid, 412 where that revision is not the current one, 503 where
// it isn't remembered any more whether it was applied; 0 where this member doesn't know: it doesn't
// lead, is out of touch with a majority, or lost track of the entry.
func (c *Core) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	return c.store.Replace(ctx, q)
}

// Get reads the configuration, or another part of the state, as of after the call. Status is
// 200, or 404 where there is none; 0 where this member doesn't lead or can't confirm its state.
func (c *Core) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	return c.store.Get(ctx, q)
}

// Watch answers a limiter when there is something new, or when its wait is over.
func (c *Core) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	return c.watches.Watch(ctx, q)
}

// Fetch returns one more chunk of a delta; an empty one where there is none.
func (c *Core) Fetch(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	return c.watches.Fetch(ctx, q)
}

// ReadIndex answers a member that asks for those who wait at it.
func (c *Core) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	return c.reads.ReadIndex(ctx, q)
}

// Deliver receives messages of other members.
func (c *Core) Deliver(ctx context.Context, q *api.DeliverRequest) (*api.DeliverResponse, error) {
	return c.transport.Deliver(ctx, q)
}

// Join adds a process as a member, or lets a member go. Status is 200, or 409 where a voter leaves and
// there is no standby; 0 where this member doesn't lead.
func (c *Core) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	return c.members.Join(ctx, q)
}

// TransferLeadership transfers leadership, where this member leads, as its process is about to end.
func (c *Core) TransferLeadership() { c.members.TransferLeadership() }

// Leave hands on what others count on before this process ends: its leadership, and its vote
// where there is a standby. The member goes on taking part meanwhile, until Run's context
// ends. The channel is closed once the others don't need it any more, or can't do without.
func (c *Core) Leave() <-chan struct{} { return c.members.Leave() }

// SetServers merges the platform's answer into the list, where this member leads. changed: it changed the
// list; uncertain: another answer is wanted soon.
func (c *Core) SetServers(answer []api.Server) (changed, uncertain bool) {
	return c.endpoints.SetServers(answer)
}

// Leads reports whether this member leads now.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.leads()
}

// HasParticipated reports whether this member has taken part: it knows of a term, or of an entry.
func (c *Core) HasParticipated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.node.Term() > 0 || c.host.node.LastIndex() > 0
}

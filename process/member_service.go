package process

import (
	"context"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// The methods of [api.Control] that other processes call are forwarded to the active member,
// or fail with errNoMember.

// forward calls a method of the active member.
func forward[Q, R any](
	ctx context.Context, h *memberHost, request *Q,
	method func(*controlplane.Core, context.Context, *Q) (*R, error),
) (*R, error) {
	core := h.core()
	if core == nil {
		return nil, errNoMember
	}
	return method(core, ctx, request)
}

// Watch forwards to [controlplane.Core.Watch].
func (h *memberHost) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Watch)
}

// Replace forwards to [controlplane.Core.Replace].
func (h *memberHost) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Replace)
}

// Get forwards to [controlplane.Core.Get].
func (h *memberHost) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Get)
}

// Join forwards to [controlplane.Core.Join].
func (h *memberHost) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Join)
}

// Deliver forwards to [controlplane.Core.Deliver].
func (h *memberHost) Deliver(ctx context.Context, q *api.DeliverRequest) (*api.DeliverResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Deliver)
}

// Fetch forwards to [controlplane.Core.Fetch].
func (h *memberHost) Fetch(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	return forward(ctx, h, q, (*controlplane.Core).Fetch)
}

// ReadIndex forwards to [controlplane.Core.ReadIndex].
func (h *memberHost) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).ReadIndex)
}

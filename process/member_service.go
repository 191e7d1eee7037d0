package process

import (
	"context"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// The methods of [api.Control], which other processes call: each is answered by the member
// that takes part now, or with errNoMember.

// forward calls a method of the member that takes part now.
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

// Watch is [controlplane.Core.Watch].
func (h *memberHost) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Watch)
}

// Replace is [controlplane.Core.Replace].
func (h *memberHost) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Replace)
}

// Get is [controlplane.Core.Get].
func (h *memberHost) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Get)
}

// Join is [controlplane.Core.Join].
func (h *memberHost) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Join)
}

// Deliver is [controlplane.Core.Deliver].
func (h *memberHost) Deliver(ctx context.Context, q *api.DeliverRequest) (*api.DeliverResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).Deliver)
}

// Fetch is [controlplane.Core.Fetch].
func (h *memberHost) Fetch(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	return forward(ctx, h, q, (*controlplane.Core).Fetch)
}

// ReadIndex is [controlplane.Core.ReadIndex].
func (h *memberHost) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	return forward(ctx, h, q, (*controlplane.Core).ReadIndex)
}

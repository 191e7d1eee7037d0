package api

import (
	"context"

	"google.golang.org/grpc"
)

// ReplaceRequest proposes a configuration to the leader.
type ReplaceRequest struct {
	// Base is the revision that the configuration replaces. Where the newest one is
	// another, the request is rejected.
	Base uint64 `cbor:"1,keyasint"`
	// Config is the configuration in CBOR ([Config]), at most [MaxConfigBytes].
	Config []byte `cbor:"2,keyasint"`
}

// GetRequest asks for the newest configuration, or, by its fields, for something else.
type GetRequest struct {
	// Revision asks for that configuration of the history. 0: the newest.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Versions asks for the revisions in the history, in [ControlResponse.Versions].
	Versions bool `cbor:"2,keyasint,omitempty"`
	// State asks for the complete replicated state, in [ControlResponse.Config], as
	// [controlplane.Export] encodes it.
	State bool `cbor:"3,keyasint,omitempty"`
}

// ControlResponse answers an operator's call, and a member's [JoinRequest].
type ControlResponse struct {
	// Status is an HTTP status. 0: this member can't answer, and Leader may say who can.
	Status int `cbor:"1,keyasint"`
	// Reason says in one line why the call was rejected.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Leader is the leader's internal address. Empty: it is not known.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Config answers a [GetRequest]: a configuration in CBOR, or the state.
	Config []byte `cbor:"4,keyasint,omitempty"`
	// Versions answers a [GetRequest] with Versions, the newest last.
	Versions []uint64 `cbor:"5,keyasint,omitempty"`
}

// CallReplace calls [Control.Replace], with the messages compressed.
func CallReplace(ctx context.Context, c *grpc.ClientConn, q *ReplaceRequest) (*ControlResponse, error) {
	return invokeCompressed[ControlResponse](ctx, c, controlService, methodReplace, q)
}

// CallGet calls [Control.Get], with the messages compressed.
func CallGet(ctx context.Context, c *grpc.ClientConn, q *GetRequest) (*ControlResponse, error) {
	return invokeCompressed[ControlResponse](ctx, c, controlService, methodGet, q)
}

package api

import (
	"context"

	"google.golang.org/grpc"
)

// ReplaceRequest proposes a configuration to the leader.
type ReplaceRequest struct {
	// Base is the revision that the configuration replaces. If it is not the newest revision,
	// the request is rejected.
	Base uint64 `cbor:"1,keyasint"`
	// Config is the configuration ([Config]) in CBOR, of at most [MaxConfigBytes] bytes.
	Config []byte `cbor:"2,keyasint"`
}

// GetRequest requests the newest configuration or, depending on its fields, other data.
type GetRequest struct {
	// Revision requests that revision of the history. 0: the newest.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Revisions requests the list of revisions in the history, in [ControlResponse.Revisions].
	Revisions bool `cbor:"2,keyasint,omitempty"`
	// State requests the complete replicated state, in [ControlResponse.Config], in the
	// encoding of [controlplane.Export].
	State bool `cbor:"3,keyasint,omitempty"`
}

// ControlResponse is the response to calls of operators and to a member's [JoinRequest].
type ControlResponse struct {
	// Status is an HTTP status. 0: this member can't process the call; Leader, if it is known,
	// can.
	Status int `cbor:"1,keyasint"`
	// Reason describes in one line why the call was rejected.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Leader is the leader's internal address. Empty: unknown.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Config is the result of a [GetRequest]: a configuration in CBOR, or the state.
	Config []byte `cbor:"4,keyasint,omitempty"`
	// Revisions is the result of a [GetRequest] with Revisions set, in ascending order.
	Revisions []uint64 `cbor:"5,keyasint,omitempty"`
}

// CallReplace calls [Control.Replace] with compressed messages.
func CallReplace(ctx context.Context, c *grpc.ClientConn, q *ReplaceRequest) (*ControlResponse, error) {
	return invokeCompressed[ControlResponse](ctx, c, controlService, methodReplace, q)
}

// CallGet calls [Control.Get] with compressed messages.
func CallGet(ctx context.Context, c *grpc.ClientConn, q *GetRequest) (*ControlResponse, error) {
	return invokeCompressed[ControlResponse](ctx, c, controlService, methodGet, q)
}

package api

import (
	"context"

	"google.golang.org/grpc"
)

// The service and its method, as they are called on the wire.
const (
	membershipService = "elmspan.Membership"
	methodHeartbeat   = "Beat"
)

// Membership is served by every process.
type Membership interface {
	// Heartbeat tells that the caller is alive and exchanges what both know of others.
	Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error)
}

// Peer is what is known of one process of the system.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // internal address
	Zone string `cbor:"3,keyasint"`
	// StartID is chosen at random at each start of the process.
	StartID uint64 `cbor:"4,keyasint"`
	// Incarnation orders statements about the process: the higher one overrides the lower
	// one. Only the process itself raises it, to refute what others say of it.
	Incarnation uint64 `cbor:"5,keyasint"`
	State       uint8  `cbor:"6,keyasint"` // as in package membership
	Edge        bool   `cbor:"7,keyasint"` // it is a limiter
	Core        bool   `cbor:"8,keyasint"` // it is a member of the control plane
}

// HeartbeatRequest is a heartbeat. See [membership.View] for the exchange that it begins.
type HeartbeatRequest struct {
	From   Peer   `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"` // of the sender's view
	// Peers have changed of late or, in the second round of an exchange, are all those in
	// the RequestedBuckets.
	Peers []Peer `cbor:"3,keyasint,omitempty"`
	// RequestedBuckets has a bit for each bucket of the view whose peers the sender wants.
	// 0: this is the first round.
	RequestedBuckets uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatResponse answers a [HeartbeatRequest].
type HeartbeatResponse struct {
	Digest uint64 `cbor:"1,keyasint"` // of the receiver's view, with the request merged in
	Peers  []Peer `cbor:"2,keyasint,omitempty"`
	// BucketDigests has a digest for each bucket of the view. Empty where the views are
	// equal, and in the second round.
	BucketDigests []uint32 `cbor:"3,keyasint,omitempty"`
}

var membershipDesc = grpc.ServiceDesc{
	ServiceName: membershipService,
	HandlerType: (*Membership)(nil),
	Methods:     []grpc.MethodDesc{unaryMethod(methodHeartbeat, Membership.Heartbeat)},
}

// RegisterMembership adds the Membership service to a server.
func RegisterMembership(s *grpc.Server, m Membership) { s.RegisterService(&membershipDesc, m) }

// CallHeartbeat calls [Membership.Heartbeat].
func CallHeartbeat(ctx context.Context, c *grpc.ClientConn, q *HeartbeatRequest) (*HeartbeatResponse, error) {
	return invoke[HeartbeatResponse](ctx, c, membershipService, methodHeartbeat, q)
}

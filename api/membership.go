package api

import (
	"context"

	"google.golang.org/grpc"
)

// Names of the service and its method on the wire.
const (
	membershipService = "elmspan.Membership"
	methodHeartbeat   = "Beat"
)

// Membership is served by every process.
type Membership interface {
	// Heartbeat reports that the caller is alive, and exchanges both sides' views of the peers.
	Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error)
}

// Peer is the known state of one process of the system.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // internal address
	Zone string `cbor:"3,keyasint"`
	// StartID is chosen at random at each start of the process.
	StartID uint64 `cbor:"4,keyasint"`
	// Incarnation orders updates about the process: a higher one overrides a lower one. Only
	// the process itself increments it, to refute what other processes report about it.
	Incarnation uint64 `cbor:"5,keyasint"`
	State       uint8  `cbor:"6,keyasint"` // a state of package membership
	Edge        bool   `cbor:"7,keyasint"` // the process is a limiter
	Core        bool   `cbor:"8,keyasint"` // the process is a member of the control plane
}

// HeartbeatRequest is a heartbeat. [membership.View] describes the exchange that it starts.
type HeartbeatRequest struct {
	From   Peer   `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"` // of the sender's view
	// Peers are those that changed recently or, in the second round of an exchange, all peers
	// of the RequestedBuckets.
	Peers []Peer `cbor:"3,keyasint,omitempty"`
	// RequestedBuckets has a bit for each bucket of the view whose peers the sender requests.
	// 0: this is the first round.
	RequestedBuckets uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatResponse is the response to a [HeartbeatRequest].
type HeartbeatResponse struct {
	Digest uint64 `cbor:"1,keyasint"` // of the receiver's view after merging the request
	Peers  []Peer `cbor:"2,keyasint,omitempty"`
	// BucketDigests has a digest for each bucket of the view. It is empty if the views are
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

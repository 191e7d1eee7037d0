package api

import (
	"context"

	"google.golang.org/grpc"

	"example.org/elmspan/raft"
)

// JoinRequest asks the leader to add a member, or announces that a member is leaving because
// its process is about to exit.
type JoinRequest struct {
	ID      raft.ID `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint"` // the member's internal address
	Leaving bool    `cbor:"3,keyasint,omitempty"`
	// SupportsJoint reports that the member supports joint consensus (changes of several voters at
	// once). Members of earlier versions do not set it.
	SupportsJoint bool `cbor:"4,keyasint,omitempty"`
}

// DeliverRequest carries Raft messages.
type DeliverRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	From     raft.ID        `cbor:"2,keyasint,omitempty"`
	// Addr is the sender's internal address. A member that has just joined knows no other
	// address.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Chunk replaces Messages that are too large for one call. It is sent only to a receiver
	// that has set AcceptsChunks: an earlier version would ignore it and treat the call as
	// empty.
	Chunk *MessageChunk `cbor:"4,keyasint,omitempty"`
}

// MessageChunk is a byte range of a list of Raft messages in CBOR.
type MessageChunk struct {
	Offset   int    `cbor:"1,keyasint"` // in bytes
	Size     int    `cbor:"2,keyasint"` // of the complete list, in bytes
	Checksum uint64 `cbor:"3,keyasint"` // xxhash of the complete list
	Data     []byte `cbor:"4,keyasint"`
}

// DeliverResponse is the response to a [DeliverRequest].
type DeliverResponse struct {
	// AcceptsChunks reports that this process reassembles chunked messages. Earlier versions do
	// not set it.
	AcceptsChunks bool `cbor:"1,keyasint,omitempty"`
	// ReceivedBytes is the number of contiguous bytes, from the beginning, that this process
	// has received of the list to which the request's chunk belongs. The sender continues at
	// this offset.
	ReceivedBytes int `cbor:"2,keyasint,omitempty"`
}

// ReadIndexResponse is the leader's response to a member that asks it to confirm its leadership
// for all reads that are pending at that member (read index; Raft dissertation, section 6.4).
type ReadIndexResponse struct {
	// Confirmed reports that a majority confirmed the leadership after the call was received.
	Confirmed bool `cbor:"1,keyasint,omitempty"`
	// Index is committed, and not below any index that was committed when the call was
	// received. The member may answer the reads once it has applied this index.
	Index uint64 `cbor:"2,keyasint,omitempty"`
	// ServersVersion is the version of the leader's server list, which is not in the Raft log.
	ServersVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ClockMs is the leader's time on the clock of the server list, in milliseconds.
	ClockMs float64 `cbor:"4,keyasint,omitempty"`
}

// CallJoin calls [Control.Join].
func CallJoin(ctx context.Context, c *grpc.ClientConn, q *JoinRequest) (*ControlResponse, error) {
	return invoke[ControlResponse](ctx, c, controlService, methodJoin, q)
}

// CallDeliver calls [Control.Deliver].
func CallDeliver(ctx context.Context, c *grpc.ClientConn, q *DeliverRequest) (*DeliverResponse, error) {
	return invoke[DeliverResponse](ctx, c, controlService, methodDeliver, q)
}

// CallReadIndex calls [Control.ReadIndex].
func CallReadIndex(ctx context.Context, c *grpc.ClientConn) (*ReadIndexResponse, error) {
	return invoke[ReadIndexResponse](ctx, c, controlService, methodReadIndex, &Empty{})
}

package api

import (
	"context"

	"google.golang.org/grpc"

	"example.org/elmspan/raft"
)

// JoinRequest asks the leader to add a member, or says that a member is leaving as its
// process is about to end.
type JoinRequest struct {
	ID      raft.ID `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint"` // the member's internal address
	Leaving bool    `cbor:"3,keyasint,omitempty"`
	// Joint: the member understands joint consensus (changes of several voters at once).
	// Members of earlier versions leave it out.
	Joint bool `cbor:"4,keyasint,omitempty"`
}

// DeliverRequest carries Raft messages.
type DeliverRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	From     raft.ID        `cbor:"2,keyasint,omitempty"`
	// Addr is the sender's internal address: a member that has just joined knows no other.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Chunk stands in place of Messages that are too large for one call. It is sent only to
	// a receiver that has said AcceptsChunks: an earlier version would take the call for an
	// empty one.
	Chunk *MessageChunk `cbor:"4,keyasint,omitempty"`
}

// MessageChunk is a range of the bytes of a list of Raft messages in CBOR.
type MessageChunk struct {
	Offset   int    `cbor:"1,keyasint"` // in bytes
	Size     int    `cbor:"2,keyasint"` // of the complete list, in bytes
	Checksum uint64 `cbor:"3,keyasint"` // xxhash of the complete list
	Data     []byte `cbor:"4,keyasint"`
}

// DeliverResponse answers a [DeliverRequest].
type DeliverResponse struct {
	// AcceptsChunks: this process reassembles chunked messages. Earlier versions leave it out.
	AcceptsChunks bool `cbor:"1,keyasint,omitempty"`
	// ReceivedBytes is how many bytes, from the beginning, this process has of the list that
	// the request's chunk belongs to. The sender continues there.
	ReceivedBytes int `cbor:"2,keyasint,omitempty"`
}

// ReadIndexResponse answers a member that asks the leader, for all reads that wait at that
// member, whether it still leads (read index: Raft dissertation, 6.4).
type ReadIndexResponse struct {
	// OK: a majority confirmed the leadership after the call came in.
	OK bool `cbor:"1,keyasint,omitempty"`
	// Index is committed, and at least as high as any index that was committed when the call
	// came in. A member may answer the reads once it has applied it.
	Index uint64 `cbor:"2,keyasint,omitempty"`
	// ServersVersion is that of the leader's server list, which is not in the log.
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

package api

import (
	"context"

	"google.golang.org/grpc"
)

// WatchRequest is a blocking query for everything newer than the caller's versions.
type WatchRequest struct {
	// Name is the caller's process name.
	Name string `cbor:"1,keyasint"`
	// Revision is the revision of the caller's configuration. 0: the caller has none and
	// receives the complete table.
	Revision uint64 `cbor:"2,keyasint"`
	// ServersVersion is the version of the caller's server list. 0: the caller has none and
	// receives the complete table.
	ServersVersion uint64 `cbor:"3,keyasint"`
	// WaitMs is the maximum time that the server waits for something newer before it responds,
	// in milliseconds. 0: it responds at once.
	WaitMs int64 `cbor:"4,keyasint"`
}

// WatchResponse is the response to a [WatchRequest].
type WatchResponse struct {
	// Lease reports that a majority confirmed the leadership, at least LeaseDelayMs after the
	// call was received, and that no configuration newer than Revision had been acknowledged
	// to an operator by then. If it is not set, the fields below, except Leader and Members,
	// are meaningless.
	Lease bool `cbor:"1,keyasint,omitempty"`
	// LeaseDelayMs is how long the call had been waiting when the confirmation started, in
	// milliseconds. The caller's lease begins that long after it sent the request.
	LeaseDelayMs int64 `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the newest committed configuration. 0: none yet.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// ServersVersion is the version of the newest server list. 0: none yet.
	ServersVersion uint64 `cbor:"4,keyasint,omitempty"`
	// ConfigDelta updates the caller to Revision. nil: the caller has that revision already.
	ConfigDelta *EncodedDelta `cbor:"5,keyasint,omitempty"`
	// ServersDelta updates the caller to ServersVersion. nil: the caller has that version
	// already.
	ServersDelta *EncodedDelta `cbor:"6,keyasint,omitempty"`
	// ClockMs is the current time on the clock of the server list, in milliseconds. Times in
	// the list (the end of a server's slow start) refer to that clock.
	ClockMs float64 `cbor:"7,keyasint,omitempty"`
	// Leader is the leader's internal address. Empty: unknown.
	Leader string `cbor:"8,keyasint,omitempty"`
	// Members are the internal addresses of the control plane's members.
	Members []string `cbor:"9,keyasint,omitempty"`
}

// EncodedDelta is an encoded delta of package versioned. A large delta is sent in chunks: Data
// is the first one, and the caller requests the others one at a time with [CallFetch], so that
// the server has at most one chunk in flight for each watcher.
type EncodedDelta struct {
	From uint64 `cbor:"1,keyasint,omitempty"` // the base version; 0: none, the delta is a complete table
	To   uint64 `cbor:"2,keyasint"`           // the version after the delta is applied
	Size int    `cbor:"3,keyasint"`           // of all chunks together, in bytes
	Data []byte `cbor:"4,keyasint"`           // the first chunk
}

// ChunkSize is the maximum size of a chunk of an encoded delta, in bytes.
const ChunkSize = 16 << 10

// Tables that are distributed as deltas ([FetchRequest.Table]).
const (
	ConfigTable uint8 = iota // rows of the configuration
	ServerTable              // rows of the server list
)

// FetchRequest requests the chunk of a delta that begins at Offset.
type FetchRequest struct {
	Table  uint8  `cbor:"1,keyasint"` // ConfigTable or ServerTable
	From   uint64 `cbor:"2,keyasint"` // as in the delta's first chunk
	To     uint64 `cbor:"3,keyasint"`
	Offset int    `cbor:"4,keyasint"` // in bytes
}

// Chunk is the response to a [FetchRequest]. If Data is empty, the delta is no longer cached
// and the caller must call Watch again.
type Chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// CallWatch calls [Control.Watch]. The context's deadline must be longer than the request's WaitMs.
func CallWatch(ctx context.Context, c *grpc.ClientConn, q *WatchRequest) (*WatchResponse, error) {
	return invoke[WatchResponse](ctx, c, controlService, methodWatch, q)
}

// CallFetch calls [Control.Fetch].
func CallFetch(ctx context.Context, c *grpc.ClientConn, q *FetchRequest) (*Chunk, error) {
	return invoke[Chunk](ctx, c, controlService, methodFetch, q)
}

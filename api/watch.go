package api

import (
	"context"

	"google.golang.org/grpc"
)

// WatchRequest asks for whatever is newer than the caller has (a blocking query).
type WatchRequest struct {
	// Name is the caller's process name.
	Name string `cbor:"1,keyasint"`
	// Revision is that of the caller's configuration. 0: it has none and gets the complete table.
	Revision uint64 `cbor:"2,keyasint"`
	// ServersVersion is that of the caller's server list. 0: it has none and gets the complete table.
	ServersVersion uint64 `cbor:"3,keyasint"`
	// WaitMs is how long the response may wait until there is something newer, in
	// milliseconds. 0: it is answered at once.
	WaitMs int64 `cbor:"4,keyasint"`
}

// WatchResponse answers a [WatchRequest].
type WatchResponse struct {
	// Lease: a majority confirmed the leadership, at least LeaseDelayMs after the call came
	// in, and no configuration newer than Revision had been acknowledged to an operator by
	// then. Without it the fields below, other than Leader and Members, say nothing.
	Lease bool `cbor:"1,keyasint,omitempty"`
	// LeaseDelayMs is how long the call had waited when the confirmation began, in
	// milliseconds. The caller's lease begins that much after it sent the request.
	LeaseDelayMs int64 `cbor:"2,keyasint,omitempty"`
	// Revision is that of the newest committed configuration. 0: there is none yet.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// ServersVersion is that of the newest server list. 0: there is none yet.
	ServersVersion uint64 `cbor:"4,keyasint,omitempty"`
	// ConfigDelta leads to Revision. nil: the caller has that revision.
	ConfigDelta *EncodedDelta `cbor:"5,keyasint,omitempty"`
	// ServersDelta leads to ServersVersion. nil: the caller has that version.
	ServersDelta *EncodedDelta `cbor:"6,keyasint,omitempty"`
	// ClockMs is the present time on the clock of the server list, in milliseconds. The
	// list's times (end of a server's slow start) are on that clock.
	ClockMs float64 `cbor:"7,keyasint,omitempty"`
	// Leader is the leader's internal address. Empty: it is not known.
	Leader string `cbor:"8,keyasint,omitempty"`
	// Members are the internal addresses of the control plane's members.
	Members []string `cbor:"9,keyasint,omitempty"`
}

// EncodedDelta is a delta of package versioned on its way to a watcher. A long one comes in
// chunks: Data is the first, the others are requested with [CallFetch], one at a time, so
// that the server keeps at most one chunk in flight for each watcher.
type EncodedDelta struct {
	From uint64 `cbor:"1,keyasint,omitempty"` // the version it builds on; 0: none, the table is complete
	To   uint64 `cbor:"2,keyasint"`           // the version it leads to
	Size int    `cbor:"3,keyasint"`           // of all chunks together, in bytes
	Data []byte `cbor:"4,keyasint"`           // the first chunk
}

// ChunkSize is the most bytes of a chunk of an encoded delta.
const ChunkSize = 16 << 10

// The tables of which deltas are sent ([FetchRequest.Table]).
const (
	ConfigTable uint8 = iota // rows of the configuration
	ServerTable              // rows of the server list
)

// FetchRequest asks for the chunk of a delta that begins at Offset.
type FetchRequest struct {
	Table  uint8  `cbor:"1,keyasint"` // ConfigTable or ServerTable
	From   uint64 `cbor:"2,keyasint"` // as in the delta's first chunk
	To     uint64 `cbor:"3,keyasint"`
	Offset int    `cbor:"4,keyasint"` // in bytes
}

// Chunk answers a [FetchRequest]. Without Data the delta is not cached any more, and the
// caller watches again.
type Chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// CallWatch calls [Control.Watch]. The deadline must leave room for the request's WaitMs.
func CallWatch(ctx context.Context, c *grpc.ClientConn, q *WatchRequest) (*WatchResponse, error) {
	return invoke[WatchResponse](ctx, c, controlService, methodWatch, q)
}

// CallFetch calls [Control.Fetch].
func CallFetch(ctx context.Context, c *grpc.ClientConn, q *FetchRequest) (*Chunk, error) {
	return invoke[Chunk](ctx, c, controlService, methodFetch, q)
}

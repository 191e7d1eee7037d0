package api

import (
	"compress/flate"
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"example.org/elmspan/keys"
	"example.org/elmspan/raft"
)

const (
	codecName = "cbor"
	// Buffers are small, as memory is dear and messages are.
	ioBuffer   = 4 << 10
	maxMessage = MaxConfigBytes + 1<<20
	// window is what may be under way to a process that has not read it yet. It is fixed:
	// gRPC's own estimate of it sends a ping, which is answered, with each message that
	// comes, and nearly all of ours are shorter than the smallest window. A megabyte fills
	// a link of 70 Mbit/s over 110 ms there and back, and counts as memory only where one
	// sends faster than the other reads.
	window = 1 << 20
)

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return strict.Unmarshal(data, v) }
func (codec) Name() string                       { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// Server is one entry of the platform's list of servers.
type Server struct {
	ID       string  `cbor:"member_id"`
	Upstream string  `cbor:"upstream"`
	Addr     string  `cbor:"address"`
	Zone     string  `cbor:"zone"`
	Revision string  `cbor:"revision"`
	Capacity int     `cbor:"capacity"`
	State    string  `cbor:"oper_state"`
	WarmupMs float64 `cbor:"warmup_left_ms"`
}

// Draining is the State of a server that gets nothing new.
const Draining = "draining"

// Watch asks for news with what the asker has.
type WatchRequest struct {
	Name           string `cbor:"1,keyasint"`
	Revision       uint64 `cbor:"2,keyasint"` // of the configuration that it has; 0: none
	ServersVersion uint64 `cbor:"3,keyasint"` // version of the list of servers; 0: none
	WaitMs         int64  `cbor:"4,keyasint"` // how long the answer may wait for news
}

// News answers a Watch. Lease tells that a majority confirmed who leads, after
// the call came in and HeldMs at least after it, and that no newer configuration
// than Revision had been acknowledged then.
type WatchResponse struct {
	Lease          bool          `cbor:"1,keyasint,omitempty"`
	LeaseDelayMs   int64         `cbor:"2,keyasint,omitempty"`
	Revision       uint64        `cbor:"3,keyasint,omitempty"`
	ServersVersion uint64        `cbor:"4,keyasint,omitempty"`
	ConfigDelta    *EncodedDelta `cbor:"5,keyasint,omitempty"` // where newer than asked with
	ServersDelta   *EncodedDelta `cbor:"6,keyasint,omitempty"` // likewise
	ClockMs        float64       `cbor:"7,keyasint,omitempty"` // now, on the clock of the list
	Leader         string        `cbor:"8,keyasint,omitempty"` // empty: unknown
	Members        []string      `cbor:"9,keyasint,omitempty"` // addresses of the members
}

// Parcel is an encoded difference (package changes). A long one comes in pieces:
// Data is the first, the others are asked for with Fetch, one at a time, so that
// who answers holds no more than a piece for each that asks.
type EncodedDelta struct {
	From uint64 `cbor:"1,keyasint,omitempty"`
	To   uint64 `cbor:"2,keyasint"`
	Size int    `cbor:"3,keyasint"` // of all pieces, in bytes
	Data []byte `cbor:"4,keyasint"`
}

// PieceSize is the most bytes of a piece.
const ChunkSize = 16 << 10

// The tables whose differences are told.
const (
	ConfigTable uint8 = iota
	ServerTable
)

// Fetch asks for the piece of a difference that begins at Offset.
type FetchRequest struct {
	Table  uint8  `cbor:"1,keyasint"`
	From   uint64 `cbor:"2,keyasint"`
	To     uint64 `cbor:"3,keyasint"`
	Offset int    `cbor:"4,keyasint"`
}

// Piece answers a Fetch. Without Data: that difference is not to be had any more.
type Chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// Confirmation answers a member that asks the leader, for all who wait there,
// whether it still leads. Index is how far the log was agreed on at least, after
// the call came in; Servers the version of the list.
type ReadIndexResponse struct {
	OK             bool    `cbor:"1,keyasint,omitempty"`
	Index          uint64  `cbor:"2,keyasint,omitempty"`
	ServersVersion uint64  `cbor:"3,keyasint,omitempty"`
	ClockMs        float64 `cbor:"4,keyasint,omitempty"`
}

// Replace brings a configuration to the leader.
type ReplaceRequest struct {
	Base   uint64 `cbor:"1,keyasint"`
	Config []byte `cbor:"2,keyasint"`
}

// Result is what came of a call: an HTTP status and one plain line of why. 0:
// this process can't say; Leader may tell who can.
type ControlResponse struct {
	Status int    `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	Leader string `cbor:"3,keyasint,omitempty"`
	Config []byte `cbor:"4,keyasint,omitempty"`
	// Versions answers a Read that asks for them, the newest last.
	Versions []uint64 `cbor:"5,keyasint,omitempty"`
}

// Read asks for the newest configuration, or for one before it, or for which
// versions are remembered, or for all that the core agrees on.
type GetRequest struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"` // 0: the newest
	Versions bool   `cbor:"2,keyasint,omitempty"`
	State    bool   `cbor:"3,keyasint,omitempty"` // in Result.Config, as [controlplane.Export] writes it
}

// Join asks to become a member of the agreement, or says that a member is leaving: its
// process is about to end.
type JoinRequest struct {
	ID      raft.ID `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint"`
	Leaving bool    `cbor:"3,keyasint,omitempty"`
	Joint   bool    `cbor:"4,keyasint,omitempty"` // it understands joint changes of members
}

// Deliver carries messages of the agreement.
type DeliverRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	From     raft.ID        `cbor:"2,keyasint,omitempty"`
	Addr     string         `cbor:"3,keyasint,omitempty"` // of the sender: one that just joins knows no other
	// Part is there in place of messages that are too large for one call, for a receiver
	// that has said that it takes parts. One of before would take it for an empty call.
	Chunk *MessageChunk `cbor:"4,keyasint,omitempty"`
}

// Part is some of the bytes of a list of messages in CBOR.
type MessageChunk struct {
	Offset   int    `cbor:"1,keyasint"`
	Size     int    `cbor:"2,keyasint"` // of the whole, in bytes
	Checksum uint64 `cbor:"3,keyasint"` // xxhash of the whole
	Data     []byte `cbor:"4,keyasint"`
}

// Delivered answers a Deliver.
type DeliverResponse struct {
	AcceptsChunks bool `cbor:"1,keyasint,omitempty"` // this process takes parts; one of before says nothing
	ReceivedBytes int  `cbor:"2,keyasint,omitempty"` // of the whole that a part was of, bytes from its beginning
}

// Peer is what is known of one process of the system.
type Peer struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // internal address
	Zone        string `cbor:"3,keyasint"`
	StartID     uint64 `cbor:"4,keyasint"` // one start of the process
	Incarnation uint64 `cbor:"5,keyasint"` // of what is said of it: the higher one counts
	State       uint8  `cbor:"6,keyasint"`
	Edge        bool   `cbor:"7,keyasint"`
	Core        bool   `cbor:"8,keyasint"`
}

// Beat is a heartbeat. Peers are what has changed of late or, in the second
// round of an exchange, all in the buckets of Want; see [membership.View].
type HeartbeatRequest struct {
	From             Peer   `cbor:"1,keyasint"`
	Digest           uint64 `cbor:"2,keyasint"`
	Peers            []Peer `cbor:"3,keyasint,omitempty"`
	RequestedBuckets uint64 `cbor:"4,keyasint,omitempty"` // buckets whose peers are asked for
}

// BeatReply answers a Beat. Buckets is there only where the views differ.
type HeartbeatResponse struct {
	Digest        uint64   `cbor:"1,keyasint"`
	Peers         []Peer   `cbor:"2,keyasint,omitempty"`
	BucketDigests []uint32 `cbor:"3,keyasint,omitempty"` // digests of the parts of the view
}

// None is an empty message.
type Empty struct{}

// Control is what a core process answers.
type Control interface {
	Watch(context.Context, *WatchRequest) (*WatchResponse, error)
	Replace(context.Context, *ReplaceRequest) (*ControlResponse, error)
	Get(context.Context, *GetRequest) (*ControlResponse, error)
	Join(context.Context, *JoinRequest) (*ControlResponse, error)
	Deliver(context.Context, *DeliverRequest) (*DeliverResponse, error)
	Fetch(context.Context, *FetchRequest) (*Chunk, error)
	ReadIndex(context.Context, *Empty) (*ReadIndexResponse, error)
}

// Past answers a machine that starts with an empty disk: whether the member in this
// process may have taken part in an agreement, of which that machine may have been a
// part before it lost its disk.
type HistoryResponse struct {
	MayHaveParticipated bool `cbor:"1,keyasint,omitempty"`
}

// Bootstrap is what a core process answers machines that are to be first voters.
type Bootstrap interface {
	History(context.Context, *Empty) (*HistoryResponse, error)
}

// Membership is what every process answers.
type Membership interface {
	Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error)
}

func method[S, Q, R any](service, name string, call func(S, context.Context, *Q) (*R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error,
		_ grpc.UnaryServerInterceptor) (any, error) {
		q := new(Q)
		if err := dec(q); err != nil {
			return nil, err
		}
		return call(srv.(S), ctx, q)
	}}
}

const (
	controlService    = "elmspan.Control"
	bootstrapService  = "elmspan.Bootstrap"
	membershipService = "elmspan.Membership"
)

var controlDesc = grpc.ServiceDesc{ServiceName: controlService, HandlerType: (*Control)(nil), Methods: []grpc.MethodDesc{
	method(controlService, "Watch", Control.Watch), method(controlService, "Replace", Control.Replace),
	method(controlService, "Get", Control.Get), method(controlService, "Join", Control.Join),
	method(controlService, "Deliver", Control.Deliver),
	method(controlService, "Fetch", Control.Fetch), method(controlService, "Confirm", Control.ReadIndex),
}}

var bootstrapDesc = grpc.ServiceDesc{ServiceName: bootstrapService, HandlerType: (*Bootstrap)(nil),
	Methods: []grpc.MethodDesc{method(bootstrapService, "Past", Bootstrap.History)}}

var membershipDesc = grpc.ServiceDesc{ServiceName: membershipService, HandlerType: (*Membership)(nil),
	Methods: []grpc.MethodDesc{method(membershipService, "Beat", Membership.Heartbeat)}}

// NewServer returns a gRPC server with small buffers, for the system's own
// processes: with keys, for those alone that have keys of the same authority.
func NewServer(ring *keys.Ring) *grpc.Server {
	creds := insecure.NewCredentials()
	if ring != nil {
		creds = credentials.NewTLS(ring.Server())
	}
	return grpc.NewServer(grpc.Creds(creds), grpc.ReadBufferSize(ioBuffer), grpc.WriteBufferSize(ioBuffer), grpc.SharedWriteBuffer(true),
		grpc.StaticStreamWindowSize(window), grpc.StaticConnWindowSize(window),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(1024),
		// One goroutine answers calls one after the other, with a stack that has grown once;
		// calls that come while it is at work have a goroutine of their own.
		grpc.NumStreamWorkers(1))
}

// RegisterControl and RegisterMembership add a service to a server.
func RegisterControl(s *grpc.Server, c Control) { s.RegisterService(&controlDesc, c) }

// RegisterBootstrap adds what machines are asked at their first start.
func RegisterBootstrap(s *grpc.Server, b Bootstrap) { s.RegisterService(&bootstrapDesc, b) }

// RegisterMembership adds the heartbeats.
func RegisterMembership(s *grpc.Server, m Membership) { s.RegisterService(&membershipDesc, m) }

// Dial returns a connection to a process. It connects when it is first used. Options
// override its own: with another dialer ([grpc.WithContextDialer]) it needs no sockets.
func Dial(addr string, ring *keys.Ring, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if ring != nil {
		at, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("api: %w", err)
		}
		creds = credentials.NewTLS(ring.Client(net.IP(at.Addr().AsSlice())))
	}
	return grpc.NewClient("passthrough:///"+addr, append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dial),
		grpc.WithReadBufferSize(ioBuffer), grpc.WithWriteBufferSize(ioBuffer), grpc.WithSharedWriteBuffer(true),
		grpc.WithStaticStreamWindowSize(window), grpc.WithStaticConnWindowSize(window),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 500 * time.Millisecond,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: 400 * time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(), grpc.WithUserAgent("e")}, opts...)...)
}

// packed has a call's messages go out compressed, both ways: a configuration of 1,400
// routes takes half a second of a link of 5 Mbit/s, an eighth of that when packed.
var packed = grpc.UseCompressor(gzip.Name)

func init() { // the fastest: what it saves is the link's, what it costs is a processor of 0.16 cores
	if err := gzip.SetLevel(flate.BestSpeed); err != nil {
		panic(err) // the level is a constant
	}
}

func invoke[R any](ctx context.Context, c *grpc.ClientConn, path string, q any, opts ...grpc.CallOption) (*R, error) {
	r := new(R)
	err := c.Invoke(ctx, path, q, r, opts...)
	if len(opts) > 0 && status.Code(err) == codes.Unimplemented { // a program from before that can't unpack: it has read nothing
		err = c.Invoke(ctx, path, q, r)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// CallWatch, and the others, call a process. The context's deadline bounds them.
func CallWatch(ctx context.Context, c *grpc.ClientConn, q *WatchRequest) (*WatchResponse, error) {
	return invoke[WatchResponse](ctx, c, "/"+controlService+"/Watch", q)
}

// CallReplace calls Replace.
func CallReplace(ctx context.Context, c *grpc.ClientConn, q *ReplaceRequest) (*ControlResponse, error) {
	return invoke[ControlResponse](ctx, c, "/"+controlService+"/Replace", q, packed)
}

// CallGet calls Get.
func CallGet(ctx context.Context, c *grpc.ClientConn, q *GetRequest) (*ControlResponse, error) {
	return invoke[ControlResponse](ctx, c, "/"+controlService+"/Get", q, packed)
}

// CallJoin calls Join.
func CallJoin(ctx context.Context, c *grpc.ClientConn, q *JoinRequest) (*ControlResponse, error) {
	return invoke[ControlResponse](ctx, c, "/"+controlService+"/Join", q)
}

// CallDeliver calls Deliver.
func CallDeliver(ctx context.Context, c *grpc.ClientConn, q *DeliverRequest) (*DeliverResponse, error) {
	return invoke[DeliverResponse](ctx, c, "/"+controlService+"/Deliver", q)
}

// CallFetch calls Fetch.
func CallFetch(ctx context.Context, c *grpc.ClientConn, q *FetchRequest) (*Chunk, error) {
	return invoke[Chunk](ctx, c, "/"+controlService+"/Fetch", q)
}

// CallConfirm calls Confirm.
func CallReadIndex(ctx context.Context, c *grpc.ClientConn) (*ReadIndexResponse, error) {
	return invoke[ReadIndexResponse](ctx, c, "/"+controlService+"/Confirm", &Empty{})
}

// CallPast asks whether a machine's member may have taken part in an agreement. A
// program of before, which can't say, may have.
func CallHistory(ctx context.Context, c *grpc.ClientConn) (*HistoryResponse, error) {
	r, err := invoke[HistoryResponse](ctx, c, "/"+bootstrapService+"/Past", &Empty{})
	if status.Code(err) == codes.Unimplemented {
		return &HistoryResponse{MayHaveParticipated: true}, nil
	}
	return r, err
}

// CallBeat calls Beat.
func CallHeartbeat(ctx context.Context, c *grpc.ClientConn, q *HeartbeatRequest) (*HeartbeatResponse, error) {
	return invoke[HeartbeatResponse](ctx, c, "/"+membershipService+"/Beat", q)
}

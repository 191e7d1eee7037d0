package api

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"example.org/silverscale/agreement"
	"example.org/silverscale/keys"
)

const (
	codecName = "cbor"
	// Buffers are small, as memory is dear and messages are.
	ioBuffer   = 4 << 10
	maxMessage = MaxConfig + 1<<20
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
type Watch struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the configuration that it has
	Servers  uint64 `cbor:"3,keyasint"` // version of the list of servers
	WaitMs   int64  `cbor:"4,keyasint"` // how long the answer may wait for news
}

// News answers a Watch. Lease tells that a majority confirmed, after the call
// came in, that the answering process leads, and that no newer configuration
// than Revision had been acknowledged then.
type News struct {
	Lease    bool     `cbor:"1,keyasint,omitempty"`
	Revision uint64   `cbor:"2,keyasint,omitempty"`
	Config   []byte   `cbor:"3,keyasint,omitempty"` // where newer than asked with
	Servers  uint64   `cbor:"4,keyasint,omitempty"`
	List     []Server `cbor:"5,keyasint,omitempty"`
	Listed   bool     `cbor:"6,keyasint,omitempty"` // List is there, perhaps empty
	Leader   string   `cbor:"7,keyasint,omitempty"` // where to ask; empty: unknown
	Core     []string `cbor:"8,keyasint,omitempty"` // addresses of the members
}

// Replace brings a configuration to the leader.
type Replace struct {
	Base   uint64 `cbor:"1,keyasint"`
	Config []byte `cbor:"2,keyasint"`
}

// Result is what came of a call: an HTTP status and one plain line of why. 0:
// this process can't say; Leader may tell who can.
type Result struct {
	Status int    `cbor:"1,keyasint"`
	Why    string `cbor:"2,keyasint,omitempty"`
	Leader string `cbor:"3,keyasint,omitempty"`
	Config []byte `cbor:"4,keyasint,omitempty"`
}

// Join asks to become a member of the agreement.
type Join struct {
	ID   agreement.ID `cbor:"1,keyasint"`
	Addr string       `cbor:"2,keyasint"`
}

// Deliver carries messages of the agreement.
type Deliver struct {
	Messages []agreement.Message `cbor:"1,keyasint"`
	From     agreement.ID        `cbor:"2,keyasint,omitempty"`
	Addr     string              `cbor:"3,keyasint,omitempty"` // of the sender: one that just joins knows no other
}

// Peer is what is known of one process of the system.
type Peer struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // internal address
	Zone        string `cbor:"3,keyasint"`
	Life        uint64 `cbor:"4,keyasint"` // one start of the process
	Incarnation uint64 `cbor:"5,keyasint"` // of what is said of it: the higher one counts
	State       uint8  `cbor:"6,keyasint"`
	Edge        bool   `cbor:"7,keyasint"`
	Core        bool   `cbor:"8,keyasint"`
}

// Beat is a heartbeat. Peers is there only where the views differ.
type Beat struct {
	From   Peer   `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Peers  []Peer `cbor:"3,keyasint,omitempty"`
}

// BeatReply answers a Beat; Peers as there.
type BeatReply struct {
	Digest uint64 `cbor:"1,keyasint"`
	Peers  []Peer `cbor:"2,keyasint,omitempty"`
}

// None is an empty message.
type None struct{}

// Control is what a core process answers.
type Control interface {
	Watch(context.Context, *Watch) (*News, error)
	Replace(context.Context, *Replace) (*Result, error)
	Get(context.Context, *None) (*Result, error)
	Join(context.Context, *Join) (*Result, error)
	Deliver(context.Context, *Deliver) (*None, error)
}

// Membership is what every process answers.
type Membership interface {
	Beat(context.Context, *Beat) (*BeatReply, error)
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
	membershipService = "elmspan.Membership"
)

var controlDesc = grpc.ServiceDesc{ServiceName: controlService, HandlerType: (*Control)(nil), Methods: []grpc.MethodDesc{
	method(controlService, "Watch", Control.Watch), method(controlService, "Replace", Control.Replace),
	method(controlService, "Get", Control.Get), method(controlService, "Join", Control.Join),
	method(controlService, "Deliver", Control.Deliver),
}}

var membershipDesc = grpc.ServiceDesc{ServiceName: membershipService, HandlerType: (*Membership)(nil),
	Methods: []grpc.MethodDesc{method(membershipService, "Beat", Membership.Beat)}}

// NewServer returns a gRPC server with small buffers, for the system's own
// processes: with keys, for those alone that have keys of the same authority.
func NewServer(ring *keys.Ring) *grpc.Server {
	creds := insecure.NewCredentials()
	if ring != nil {
		creds = credentials.NewTLS(ring.Server())
	}
	return grpc.NewServer(grpc.Creds(creds), grpc.ReadBufferSize(ioBuffer), grpc.WriteBufferSize(ioBuffer), grpc.SharedWriteBuffer(true),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(1024))
}

// RegisterControl and RegisterMembership add a service to a server.
func RegisterControl(s *grpc.Server, c Control) { s.RegisterService(&controlDesc, c) }

// RegisterMembership adds the heartbeats.
func RegisterMembership(s *grpc.Server, m Membership) { s.RegisterService(&membershipDesc, m) }

// Dial returns a connection to a process, with a look at each of its calls. It
// connects when it is first used.
func Dial(addr string, ring *keys.Ring, note grpc.UnaryClientInterceptor) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if ring != nil {
		at, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("api: %w", err)
		}
		creds = credentials.NewTLS(ring.Client(net.IP(at.Addr().AsSlice())))
	}
	d := net.Dialer{KeepAlive: -1}
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }),
		grpc.WithReadBufferSize(ioBuffer), grpc.WithWriteBufferSize(ioBuffer), grpc.WithSharedWriteBuffer(true),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 500 * time.Millisecond,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: 400 * time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(), grpc.WithUnaryInterceptor(note), grpc.WithUserAgent("e"))
}

func invoke[R any](ctx context.Context, c *grpc.ClientConn, path string, q any) (*R, error) {
	r := new(R)
	if err := c.Invoke(ctx, path, q, r); err != nil {
		return nil, err
	}
	return r, nil
}

// CallWatch, and the others, call a process. The context's deadline bounds them.
func CallWatch(ctx context.Context, c *grpc.ClientConn, q *Watch) (*News, error) {
	return invoke[News](ctx, c, "/"+controlService+"/Watch", q)
}

// CallReplace calls Replace.
func CallReplace(ctx context.Context, c *grpc.ClientConn, q *Replace) (*Result, error) {
	return invoke[Result](ctx, c, "/"+controlService+"/Replace", q)
}

// CallGet calls Get.
func CallGet(ctx context.Context, c *grpc.ClientConn) (*Result, error) {
	return invoke[Result](ctx, c, "/"+controlService+"/Get", &None{})
}

// CallJoin calls Join.
func CallJoin(ctx context.Context, c *grpc.ClientConn, q *Join) (*Result, error) {
	return invoke[Result](ctx, c, "/"+controlService+"/Join", q)
}

// CallDeliver calls Deliver.
func CallDeliver(ctx context.Context, c *grpc.ClientConn, q *Deliver) (*None, error) {
	return invoke[None](ctx, c, "/"+controlService+"/Deliver", q)
}

// CallBeat calls Beat.
func CallBeat(ctx context.Context, c *grpc.ClientConn, q *Beat) (*BeatReply, error) {
	return invoke[BeatReply](ctx, c, "/"+membershipService+"/Beat", q)
}

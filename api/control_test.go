package api

import (
	"context"
	"net"
	"slices"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// oldServer is a server of an earlier version, which does not support compression.
type oldServer struct {
	Control
	calls    int // calls of Replace that were decoded
	rejected int // compressed calls, which it can't decode
}

type compressionKey struct{}

func (*oldServer) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, compressionKey{}, new(bool))
}

func (*oldServer) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if in, ok := s.(*stats.InHeader); ok {
		*ctx.Value(compressionKey{}).(*bool) = in.Compression != ""
	}
}

func (*oldServer) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (*oldServer) HandleConn(context.Context, stats.ConnStats)                       {}

func (s *oldServer) Replace(context.Context, *ReplaceRequest) (*ControlResponse, error) {
	s.calls++
	return &ControlResponse{Status: 200}, nil
}

// serviceDesc returns the Control service with handlers that reject compressed calls before they
// read the request, as grpc does without a decompressor. (The service's own handlers call no
// interceptors.)
func (s *oldServer) serviceDesc() *grpc.ServiceDesc {
	desc := controlDesc
	desc.Methods = slices.Clone(controlDesc.Methods)
	for i := range desc.Methods {
		handle := desc.Methods[i].Handler
		desc.Methods[i].Handler = func(
			srv any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor,
		) (any, error) {
			if *ctx.Value(compressionKey{}).(*bool) {
				s.rejected++
				return nil, status.Error(codes.Unimplemented,
					"grpc: Decompressor is not installed for grpc-encoding \"gzip\"")
			}
			return handle(srv, ctx, decode, interceptor)
		}
	}
	return &desc
}

// During a rolling upgrade, a compressed Replace is repeated uncompressed for a leader of an
// earlier version, which executes it exactly once.
func TestReplaceReachesServersWithoutDecompression(t *testing.T) {
	old := &oldServer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.StatsHandler(old))
	s.RegisterService(old.serviceDesc(), old)
	serve(t, s, l)
	conns := NewConnPool(nil)
	t.Cleanup(conns.Close)
	conn, err := conns.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r, err := CallReplace(t.Context(), conn, &ReplaceRequest{Base: 1, Config: []byte("configuration")})
	if err != nil || r.Status != 200 || old.calls != 1 || old.rejected != 1 {
		t.Errorf("%+v, %v, %d calls executed, %d rejected; want one of each", r, err, old.calls, old.rejected)
	}
}

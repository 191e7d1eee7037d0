package api

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// oldServer is a server of an earlier version, which does not support compression.
type oldServer struct {
	Control
	calls int // calls of Replace that were decoded
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

// During a rolling upgrade, a compressed Replace is repeated uncompressed for a leader of an
// earlier version, which executes it exactly once.
func TestReplaceReachesServersWithoutDecompression(t *testing.T) {
	old := &oldServer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.StatsHandler(old), grpc.UnaryInterceptor(
		func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
			if *ctx.Value(compressionKey{}).(*bool) {
				return nil, status.Error(codes.Unimplemented,
					"grpc: Decompressor is not installed for grpc-encoding \"gzip\"")
			}
			return handle(ctx, req)
		}))
	RegisterControl(s, old)
	serve(t, s, l)
	conns := NewConnPool(nil)
	t.Cleanup(conns.Close)
	conn, err := conns.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r, err := CallReplace(t.Context(), conn, &ReplaceRequest{Base: 1, Config: []byte("configuration")})
	if err != nil || r.Status != 200 || old.calls != 1 {
		t.Errorf("%+v, %v, %d calls executed", r, err, old.calls)
	}
}

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

// before is a process of a program that can't unpack what is compressed.
type before struct {
	Control
	asked int // calls that it could read
}

type compressed struct{}

func (*before) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, compressed{}, new(bool))
}

func (*before) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if in, ok := s.(*stats.InHeader); ok {
		*ctx.Value(compressed{}).(*bool) = in.Compression != ""
	}
}

func (*before) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (*before) HandleConn(context.Context, stats.ConnStats)                       {}

func (b *before) Replace(context.Context, *ReplaceRequest) (*ControlResponse, error) {
	b.asked++
	return &ControlResponse{Status: 200}, nil
}

// In a change of versions an order reaches a leader of the program before, once.
func TestOrdersReachProgramsThatDoNotUnpack(t *testing.T) {
	b := &before{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.StatsHandler(b), grpc.UnaryInterceptor(
		func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
			if *ctx.Value(compressed{}).(*bool) {
				return nil, status.Error(codes.Unimplemented, "grpc: Decompressor is not installed for grpc-encoding \"gzip\"")
			}
			return handle(ctx, req)
		}))
	RegisterControl(s, b)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	conns := NewConnPool(nil)
	t.Cleanup(conns.Close)
	conn, err := conns.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r, err := CallReplace(t.Context(), conn, &ReplaceRequest{Base: 1, Config: []byte("configuration")})
	if err != nil || r.Status != 200 || b.asked != 1 {
		t.Errorf("%+v, %v, read %d times", r, err, b.asked)
	}
}

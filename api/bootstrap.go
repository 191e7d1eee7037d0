package api

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// The service and its method, as they are called on the wire.
const (
	bootstrapService = "elmspan.Bootstrap"
	methodHistory    = "Past"
)

// Bootstrap is served by each machine that may become a first voter.
type Bootstrap interface {
	// History says what this machine's member knows of an earlier cluster.
	History(context.Context, *Empty) (*HistoryResponse, error)
}

// HistoryResponse answers a machine that starts with an empty disk.
type HistoryResponse struct {
	// MayHaveParticipated: the member in this process may have taken part in a cluster, of
	// which the caller may have been a voter before it lost its disk. The caller must not
	// bootstrap a new cluster then.
	MayHaveParticipated bool `cbor:"1,keyasint,omitempty"`
}

var bootstrapDesc = grpc.ServiceDesc{
	ServiceName: bootstrapService,
	HandlerType: (*Bootstrap)(nil),
	Methods:     []grpc.MethodDesc{unaryMethod(methodHistory, Bootstrap.History)},
}

// RegisterBootstrap adds the Bootstrap service to a server.
func RegisterBootstrap(s *grpc.Server, b Bootstrap) { s.RegisterService(&bootstrapDesc, b) }

// CallHistory calls [Bootstrap.History]. A machine of an earlier version does not have the
// method: it can't rule out that it has participated, and is reported as such.
func CallHistory(ctx context.Context, c *grpc.ClientConn) (*HistoryResponse, error) {
	r, err := invoke[HistoryResponse](ctx, c, bootstrapService, methodHistory, &Empty{})
	if status.Code(err) == codes.Unimplemented {
		return &HistoryResponse{MayHaveParticipated: true}, nil
	}
	return r, err
}

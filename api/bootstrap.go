package api

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Names of the service and its method on the wire.
const (
	bootstrapService = "elmspan.Bootstrap"
	methodHistory    = "Past"
)

// Bootstrap is served by every process: a machine that bootstraps calls all its seeds, also those
// without a member of the control plane.
type Bootstrap interface {
	// History reports whether this machine's member may have participated in an existing cluster.
	History(context.Context, *Empty) (*HistoryResponse, error)
}

// HistoryResponse is the response to a machine that starts with an empty disk.
type HistoryResponse struct {
	// MayHaveParticipated reports whether the responder's member may have participated in a
	// cluster. If so, the caller must not bootstrap a new one: it may have been a voter of that
	// cluster before it lost its disk.
	MayHaveParticipated bool `cbor:"1,keyasint,omitempty"`
}

var bootstrapDesc = grpc.ServiceDesc{
	ServiceName: bootstrapService,
	HandlerType: (*Bootstrap)(nil),
	Methods:     []grpc.MethodDesc{unaryMethod(methodHistory, Bootstrap.History)},
}

// RegisterBootstrap adds the Bootstrap service to a server.
func RegisterBootstrap(s *grpc.Server, b Bootstrap) { s.RegisterService(&bootstrapDesc, b) }

// CallHistory calls [Bootstrap.History]. Machines of an earlier version do not implement the
// method and can't rule out an existing cluster, so MayHaveParticipated is set for them.
func CallHistory(ctx context.Context, c *grpc.ClientConn) (*HistoryResponse, error) {
	r, err := invoke[HistoryResponse](ctx, c, bootstrapService, methodHistory, &Empty{})
	if status.Code(err) == codes.Unimplemented {
		return &HistoryResponse{MayHaveParticipated: true}, nil
	}
	return r, err
}

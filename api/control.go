package api

import (
	"context"

	"google.golang.org/grpc"
)

// controlService is the name of the service on the wire.
const controlService = "elmspan.Control"

// Names of Control's methods on the wire.
const (
	methodWatch     = "Watch"
	methodReplace   = "Replace"
	methodGet       = "Get"
	methodJoin      = "Join"
	methodDeliver   = "Deliver"
	methodFetch     = "Fetch"
	methodReadIndex = "Confirm"
)

// Control is served by each member of the control plane. For calls that only the leader can
// process, the other members return the leader's address.
type Control interface {
	// Watch is a blocking query: it returns once there is something newer than the caller's
	// versions or the request's WaitMs have passed.
	Watch(context.Context, *WatchRequest) (*WatchResponse, error)
	// Replace proposes a configuration (compare-and-swap on the revision).
	Replace(context.Context, *ReplaceRequest) (*ControlResponse, error)
	// Get returns the configuration, its history or the complete state.
	Get(context.Context, *GetRequest) (*ControlResponse, error)
	// Join adds a member or announces that a member is leaving.
	Join(context.Context, *JoinRequest) (*ControlResponse, error)
	// Deliver carries Raft messages.
	Deliver(context.Context, *DeliverRequest) (*DeliverResponse, error)
	// Fetch returns a chunk of an encoded delta that a Watch response has announced.
	Fetch(context.Context, *FetchRequest) (*Chunk, error)
	// ReadIndex confirms the leadership for a batch of linearizable reads.
	ReadIndex(context.Context, *Empty) (*ReadIndexResponse, error)
}

// Empty is a message without content.
type Empty struct{}

var controlDesc = grpc.ServiceDesc{
	ServiceName: controlService,
	HandlerType: (*Control)(nil),
	Methods: []grpc.MethodDesc{
		unaryMethod(methodWatch, Control.Watch),
		unaryMethod(methodReplace, Control.Replace),
		unaryMethod(methodGet, Control.Get),
		unaryMethod(methodJoin, Control.Join),
		unaryMethod(methodDeliver, Control.Deliver),
		unaryMethod(methodFetch, Control.Fetch),
		unaryMethod(methodReadIndex, Control.ReadIndex),
	},
}

// RegisterControl adds the Control service to a server.
func RegisterControl(s *grpc.Server, c Control) { s.RegisterService(&controlDesc, c) }

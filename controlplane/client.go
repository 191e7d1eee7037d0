package controlplane

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

const (
	// callTimeout bounds one call to one member.
	callTimeout = 600 * time.Millisecond
	// callRetryDelay is how long a client waits before it calls again.
	callRetryDelay = 40 * time.Millisecond
)

// Client calls the members of the control plane from any process: the leader for operators,
// and for watches the member that comes first for this process. Conns and Log are needed.
// All methods may be called concurrently.
type Client struct {
	Conns *api.ConnPool
	Log   *slog.Logger
	// Name is that of this process: which member it watches first depends on it.
	Name string
	// Status, where set, is served as JSON at /v1/Status.
	Status func() any

	selector memberSelector

	mu    sync.Mutex
	local *Core // the member in this process, nil for none; guarded by mu
}

// SetMembers says which members there are and which of them leads. leader is empty where none
// is known; an empty list of members leaves those that are known.
func (c *Client) SetMembers(leader string, members []string) {
	c.selector.setMembers(leader, c.watchOrder(members))
}

// watchOrder sorts members in the order in which this process watches them: by a hash of its
// name and their addresses, so that the processes spread over the members.
func (c *Client) watchOrder(members []string) []string {
	rank := func(addr string) uint64 {
		return xxhash.Sum64String(c.Name + "/" + addr)
	}
	return slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(rank(a), rank(b))
	})
}

// ObserveWatchResponse takes in what a member said of the members with its answer to a watch.
//
// Where it granted a lease, a majority confirmed it after the call, so that its list is not
// out of date. A member that grants none may have been cut off for long, or have left the
// control plane: the members it names are only called when all others have failed, and never
// replace those of an answer with a lease.
func (c *Client) ObserveWatchResponse(r *api.WatchResponse) {
	if r.Lease {
		c.SetMembers(r.Leader, r.Members)
		return
	}
	c.selector.observeUnconfirmed(r.Leader, r.Members)
}

// SetFallbacks says which machines of the control plane are known from another source, such
// as discovery. They are called when all members have failed, as after all of them were
// replaced one by one while this process was not informed.
func (c *Client) SetFallbacks(addrs []string) {
	c.selector.setFallbacks(addrs)
}

// KnownMembers are all internal addresses at which members were named to this process, the
// leader first; some may be members no more.
func (c *Client) KnownMembers() []string {
	return c.selector.knownAddrs()
}

// WatchMember returns the member to watch, empty where none is known. It differs from process
// to process; a member that failed is avoided for a while.
func (c *Client) WatchMember() string {
	return c.selector.watchMember()
}

// WatchMemberFailed says that a watch of a member failed: the next one is watched from now on.
func (c *Client) WatchMemberFailed(addr string) {
	c.selector.watchMemberFailed(addr)
}

// SetLocalCore says which member runs in this process, nil for none.
func (c *Client) SetLocalCore(core *Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = core
}

// LocalCore returns the member that runs in this process, nil for none.
func (c *Client) LocalCore() *Core {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.local
}

// Replace sends a configuration to the leader.
func (c *Client) Replace(ctx context.Context, request *api.ReplaceRequest) api.ControlResponse {
	return c.callLeader(ctx, leaderCall{
		local: func(core *Core) (*api.ControlResponse, error) {
			return core.Replace(ctx, request)
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn) (*api.ControlResponse, error) {
			return api.CallReplace(ctx, conn, request)
		},
	})
}

// Get reads the replicated state at the leader.
func (c *Client) Get(ctx context.Context, request *api.GetRequest) api.ControlResponse {
	return c.callLeader(ctx, leaderCall{
		local: func(core *Core) (*api.ControlResponse, error) {
			return core.Get(ctx, request)
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn) (*api.ControlResponse, error) {
			return api.CallGet(ctx, conn, request)
		},
	})
}

// leaderCall is a call that the leader answers, in both ways in which it is made.
type leaderCall struct {
	local  func(*Core) (*api.ControlResponse, error)
	remote func(context.Context, *grpc.ClientConn) (*api.ControlResponse, error)
}

// callLeader makes a call again and again until a member has a result or the context ends.
func (c *Client) callLeader(ctx context.Context, call leaderCall) api.ControlResponse {
	for ctx.Err() == nil {
		if result := c.callOnce(ctx, call); result != nil {
			return *result
		}
		select {
		case <-ctx.Done():
		case <-time.After(callRetryDelay):
		}
	}
	return api.ControlResponse{
		Status: http.StatusServiceUnavailable,
		Reason: "the core has no leader that answers; try again",
	}
}

// callOnce makes a call once, at the member in this process where that leads, else at the
// member that is believed to lead. It returns nil where there is no result.
func (c *Client) callOnce(ctx context.Context, call leaderCall) *api.ControlResponse {
	if core := c.LocalCore(); core != nil && core.Leads() {
		result, err := call.local(core)
		if err != nil || result.Status == 0 {
			return nil
		}
		return result
	}
	addr := c.selector.leaderCandidate()
	if addr == "" {
		return nil
	}
	result, err := c.callRemote(ctx, addr, call)
	switch {
	case err != nil:
		c.selector.leaderFailed(addr)
	case result.Status != 0:
		return result
	default: // it doesn't lead, and says who does
		c.SetMembers(result.Leader, nil)
	}
	return nil
}

func (c *Client) callRemote(ctx context.Context, addr string, call leaderCall) (*api.ControlResponse, error) {
	conn, err := c.Conns.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call.remote(ctx, conn)
}

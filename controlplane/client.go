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
	// callRetryDelay is how long a client waits before it repeats a call.
	callRetryDelay = 40 * time.Millisecond
)

// Client gives any process access to the control plane: it serves the operator API by calls to the
// leader, and selects the member that this process watches. Conns and Log are required. All methods
// may be called concurrently.
type Client struct {
	Conns *api.ConnPool
	Log   *slog.Logger
	// Name is the name of this process. It determines which member the process prefers to watch.
	Name string
	// Status, if set, returns the value that is served as JSON at /v1/Status.
	Status func() any

	selector memberSelector

	mu    sync.Mutex
	local *Core // the member in this process, nil if there is none; guarded by mu
}

// SetMembers sets the leader and the members. leader is empty if it is unknown; an empty list of
// members keeps the present ones.
func (c *Client) SetMembers(leader string, members []string) {
	c.selector.setMembers(leader, c.watchOrder(members))
}

// watchOrder sorts members in the order in which this process prefers to watch them: by a hash of
// its name and their addresses, which distributes the processes over the members.
func (c *Client) watchOrder(members []string) []string {
	rank := func(addr string) uint64 {
		return xxhash.Sum64String(c.Name + "/" + addr)
	}
	return slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(rank(a), rank(b))
	})
}

// ObserveWatchResponse updates the known members from a watch response.
//
// A response with a lease was confirmed by a majority after the call, so its list of members is
// current. A member that grants no lease may have been partitioned for a long time, or have left
// the control plane: the members it names are only called when all others have failed, and never
// replace those of a response with a lease.
func (c *Client) ObserveWatchResponse(r *api.WatchResponse) {
	if r.Lease {
		c.SetMembers(r.Leader, r.Members)
		return
	}
	c.selector.observeUnconfirmed(r.Leader, r.Members)
}

// SetFallbacks sets the addresses of control plane machines that are known from another source,
// such as discovery. They are called when all members have failed, for example because all of them
// were replaced one by one while this process received no update.
func (c *Client) SetFallbacks(addrs []string) {
	c.selector.setFallbacks(addrs)
}

// KnownMembers returns all internal addresses of members that this process has learned of, the
// leader first. Some may no longer be members.
func (c *Client) KnownMembers() []string {
	return c.selector.knownAddrs()
}

// WatchMember returns the address of the member to watch, empty if none is known. It differs from
// process to process; a member that failed is avoided for a while.
func (c *Client) WatchMember() string {
	return c.selector.watchMember()
}

// WatchMemberFailed reports that a watch of a member failed: from now on the next one is watched.
func (c *Client) WatchMemberFailed(addr string) {
	c.selector.watchMemberFailed(addr)
}

// SetLocalCore sets the member that runs in this process, nil for none.
func (c *Client) SetLocalCore(core *Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = core
}

// LocalCore returns the member that runs in this process, nil if there is none.
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

// Get reads the replicated state from the leader.
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

// leaderCall is a call to the leader, as a local call and as an RPC.
type leaderCall struct {
	local  func(*Core) (*api.ControlResponse, error)
	remote func(context.Context, *grpc.ClientConn) (*api.ControlResponse, error)
}

// callLeader repeats a call until a member returns a result or the context ends.
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
		Reason: "no leader of the control plane responded; try again",
	}
}

// callOnce makes a call once: to the member in this process if that is the leader, otherwise to
// the member that is believed to lead. It returns nil if there is no result.
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
	default: // the member doesn't lead, and names the leader that it knows
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

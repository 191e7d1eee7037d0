package controlplane

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

// interceptCall passes each call of a member and its response over the simulated links, and checks
// the raft messages in the call.
func (p *memberProcess) interceptCall(
	ctx context.Context,
	method string,
	request, response any,
	conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker,
	opts ...grpc.CallOption,
) error {
	from, to := p.machine.addr, strings.TrimPrefix(conn.Target(), "passthrough:///")
	if d, ok := request.(*api.DeliverRequest); ok {
		p.checkMessages(d)
	}
	if err := p.transmit(ctx, addrPair{from, to}); err != nil {
		return err
	}
	if err := invoke(ctx, method, request, response, conn, opts...); err != nil {
		return err
	}
	return p.transmit(ctx, addrPair{to, from})
}

// transmit simulates the transmission in one direction: it returns after the delay of the link. On
// a partitioned link, or if the member has lost power, it blocks until the caller's context ends.
func (p *memberProcess) transmit(ctx context.Context, direction addrPair) error {
	lost, delay := false, time.Duration(0)
	p.cluster.locked(func() {
		link := p.cluster.links[direction]
		lost = link.partitioned
		if link.maxDelay > 0 {
			delay = time.Duration(link.rng.Int64N(int64(link.maxDelay)))
		}
	})
	if lost || p.ctx.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package controlplane

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

// carryCall is on the way of each call that the member makes.
func (l *life) carryCall(ctx context.Context, method string, q, r any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	to := strings.TrimPrefix(conn.Target(), "passthrough:///")
	if d, ok := q.(*api.DeliverRequest); ok {
		l.leave(d)
	}
	if err := l.w.pass(ctx, l, l.m.addr, to); err != nil {
		return err
	}
	if err := invoke(ctx, method, q, r, conn, opts...); err != nil {
		return err
	}
	return l.w.pass(ctx, l, to, l.m.addr)
}

// pass carries something one way: it takes a while, or it is lost and the caller gives up.
func (w *coreWorld) pass(ctx context.Context, l *life, from, to string) error {
	w.mu.Lock()
	link := w.links[[2]string{from, to}]
	cut, wait := link.cut, time.Duration(0)
	if link.slow > 0 {
		wait = time.Duration(link.rng.Int64N(int64(link.slow)))
	}
	w.mu.Unlock()
	if cut || l.ctx.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

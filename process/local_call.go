package process

import (
	"context"
	"sync/atomic"
)

// callLocal calls the member in this process, and waits for it no longer than until the
// context ends: the member may be waiting for its disk, and the other members answer
// meanwhile. The call itself goes on until it returns. busy is set meanwhile, and another
// call fails with errLocalBusy, so that there is one such goroutine at most.
func callLocal[Q, R any](
	ctx context.Context, busy *atomic.Bool, request *Q,
	call func(context.Context, *Q) (*R, error),
) (*R, error) {
	if !busy.CompareAndSwap(false, true) {
		return nil, errLocalBusy
	}
	type result struct {
		response *R
		err      error
	}
	results := make(chan result, 1) // with room, so that the goroutine ends though nobody waits
	go func() {
		response, err := call(ctx, request)
		busy.Store(false)
		results <- result{response, err}
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

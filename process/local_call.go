package process

import (
	"context"
	"sync/atomic"
)

// callLocal calls the member in this process and waits for the result until the context ends:
// the member may be blocked on its disk while other members could answer. The call itself
// continues in its goroutine until it returns. busy is set for that time, and further calls
// fail with errLocalBusy, so that there is at most one such goroutine.
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
	results := make(chan result, 1) // buffered, so that the goroutine can end after the caller has given up
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

package process

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"example.org/elmspan/api"
)

// A member that waits for its disk delays no caller beyond the end of the call, and at most
// one call goes on after its end. Once the disk is back the member is asked again.
func TestStalledMemberDelaysNoCaller(t *testing.T) {
	t.Parallel()
	var busy atomic.Bool
	stalled, entered, calls := make(chan struct{}), make(chan struct{}, 8), atomic.Int32{}
	// The member ignores the context, as one that waits for a mutex does.
	member := func(context.Context, *api.WatchRequest) (*api.WatchResponse, error) {
		calls.Add(1)
		entered <- struct{}{}
		<-stalled
		return &api.WatchResponse{Lease: true}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	if _, err := callLocal(ctx, &busy, &api.WatchRequest{}, member); !errors.Is(err, context.Canceled) {
		t.Fatalf("a call that is over: %v", err)
	}
	for range 3 {
		if _, err := callLocal(t.Context(), &busy, &api.WatchRequest{}, member); !errors.Is(err, errLocalBusy) {
			t.Fatalf("a second call beside one that is not answered: %v", err)
		}
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls at once", n)
	}
	close(stalled)
	for {
		n, err := callLocal(t.Context(), &busy, &api.WatchRequest{}, member)
		if errors.Is(err, errLocalBusy) {
			continue // the first one is about to end
		}
		if err != nil || !n.Lease {
			t.Fatalf("once the disk is back: %+v, %v", n, err)
		}
		return
	}
}

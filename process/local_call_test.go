package process

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"example.org/elmspan/api"
)

// A member that is blocked on its disk does not delay a caller beyond the end of the caller's
// context, and at most one abandoned call is left running. Once the disk recovers the member is
// called again.
func TestStalledMemberDelaysNoCaller(t *testing.T) {
	t.Parallel()
	var busy atomic.Bool
	recovered, entered, calls := make(chan struct{}), make(chan struct{}, 8), atomic.Int32{}
	// The member ignores the context, like one that waits for a mutex.
	member := func(context.Context, *api.WatchRequest) (*api.WatchResponse, error) {
		calls.Add(1)
		entered <- struct{}{}
		<-recovered
		return &api.WatchResponse{Lease: true}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	if _, err := callLocal(ctx, &busy, &api.WatchRequest{}, member); !errors.Is(err, context.Canceled) {
		t.Fatalf("call with a cancelled context: %v", err)
	}
	for range 3 {
		if _, err := callLocal(t.Context(), &busy, &api.WatchRequest{}, member); !errors.Is(err, errLocalBusy) {
			t.Fatalf("call during an unanswered one: %v", err)
		}
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d concurrent calls, want 1", n)
	}
	close(recovered)
	for {
		response, err := callLocal(t.Context(), &busy, &api.WatchRequest{}, member)
		if errors.Is(err, errLocalBusy) {
			continue // the first call is about to end
		}
		if err != nil || !response.Lease {
			t.Fatalf("after the disk has recovered: %+v, %v", response, err)
		}
		return
	}
}

package process

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// After an outage of the whole control plane its machines restart one after the other. A process
// without a lease tries the next machine promptly instead of spending a whole call time-out on one
// to which no connection can be established. Guards against waiting as long for the connection as
// for the answer, urgentTimeout per call.
func TestUnresponsiveMemberIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		dial := func(context.Context, string) (net.Conn, error) { // the connection stays open but nothing answers
			local, remote := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, remote) }() // returns when the connection is closed
			return local, nil
		}
		conns := api.NewConnPool(nil, grpc.WithContextDialer(dial))
		defer conns.Close()
		w := &watcher{
			name:   func() string { return "n" },
			start:  time.Now(),
			log:    log,
			conns:  conns,
			client: &controlplane.Client{Conns: conns, Log: log, Name: "n"},
		}
		w.client.SetMembers("", []string{"10.0.0.1:1"})
		for range 4 {
			start := time.Now()
			if w.watchOnce(t.Context(), true) {
				t.Fatal("got a lease although no member answers")
			}
			if took := time.Since(start); took >= urgentTimeout || took > connectTimeout {
				t.Errorf("waited %v for a machine that does not answer", took)
			}
		}
	})
}

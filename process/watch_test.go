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

// After a loss of all, machines of the control plane come back one after the other. A process
// without a lease asks the next one of them at once, and does not spend the time of a whole
// call on a machine that does not even accept its connection. (Fails where the connection is
// waited for as long as the answer: each such call took urgentTimeout.)
func TestUnresponsiveMemberIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		dial := func(context.Context, string) (net.Conn, error) { // accepted, kept open, never answered
			here, there := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, there) }() // ends when the connection is closed
			return here, nil
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
				t.Fatal("a lease from nobody")
			}
			if took := time.Since(start); took >= urgentTimeout || took > connectTimeout {
				t.Errorf("a machine that does not answer was waited for %v", took)
			}
		}
	})
}

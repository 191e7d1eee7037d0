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
	"example.org/elmspan/settings"
)

// After a loss of all, machines of the core come back one after the other. A process
// that has no lease asks the next one of them at once, and does not spend the time of
// a whole call on a machine that does not even take its connection. (Fails where the
// connection is waited for as long as the answer: each such call took urgentTimeout.)
func TestMachineThatSaysNothingIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		dial := func(context.Context, string) (net.Conn, error) { // taken, kept open, and never answered
			here, there := net.Pipe()
			go io.Copy(io.Discard, there)
			return here, nil
		}
		p := &Process{log: log, conns: api.NewConnPool(nil, grpc.WithContextDialer(dial)), start: time.Now()}
		defer p.conns.Close()
		p.cfg.Store(&settings.Node{Name: "n"})
		p.client = &controlplane.Client{Conns: p.conns, Log: log, Name: "n"}
		p.client.SetMembers("", []string{"10.0.0.1:1"})
		for range 4 {
			begun := time.Now()
			if p.ask(t.Context(), true) {
				t.Fatal("a lease from nobody")
			}
			if took := time.Since(begun); took >= urgentTimeout || took > reachWait {
				t.Errorf("a machine that says nothing was waited for %v", took)
			}
		}
	})
}

package process

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/settings"
)

// After a loss of all, machines of the core come back one after the other. A process
// that has no lease asks the next one of them at once, and does not spend the time of
// a whole call on a machine that does not even take its connection. (Fails where the
// connection is waited for as long as the answer: each such call took urgentTimeout.)
func TestMachineThatSaysNothingIsPassedOver(t *testing.T) {
	log, least := slog.New(slog.DiscardHandler), time.Hour
	for range 4 { // the shortest: a busy machine may hold up any one of them
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		p := &Process{log: log, conns: api.NewConns(nil), start: time.Now()}
		defer p.conns.Close()
		p.cfg.Store(&settings.Node{Name: "n"})
		p.client = &controlplane.Client{Conns: p.conns, Log: log, Name: "n"}
		p.client.Learn("", []string{silent.Addr().String()})
		begun := time.Now()
		if p.ask(context.Background(), true) {
			t.Fatal("a lease from nobody")
		}
		least = min(least, time.Since(begun))
	}
	if least >= urgentTimeout {
		t.Errorf("a machine that says nothing was waited for %v", least)
	}
}

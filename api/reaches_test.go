package api

import (
	"context"
	"net"
	"testing"
	"time"
)

// Who waits for a member says how long for a connection: a machine that takes it and
// says nothing, or is not there, does not use up the time that the call has.
func TestReachesWaitsForAConnectionOnly(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel takes connections; nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	l, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(nil)
	go server.Serve(l)
	defer server.Stop()
	conns := NewConns(nil)
	defer conns.Close()
	for _, c := range []struct {
		name, addr string
		within     time.Duration
		want       bool
	}{
		{"silent", silent.Addr().String(), 20 * time.Millisecond, false},
		{"serving", l.Addr().String(), time.Minute, true},
		{"serving, connected", l.Addr().String(), time.Minute, true},
	} {
		conn, err := conns.To(c.addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := Reaches(ctx, conn, c.within); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if ctx.Err() != nil {
		t.Error("a silent machine took all of the call's time")
	}
}

package api

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
)

// A peer that says nothing any more is given up by the system, on the
// connections that are dialled and on those that are accepted.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute) // against a hang alone
	defer cancel()
	l, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := dialer.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	for name, c := range map[string]net.Conn{"dialled": there, "accepted": here} {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var got int
		if err := errors.Join(raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }), err); err != nil {
			t.Fatal(err)
		}
		if got != int(silentFor.Milliseconds()) {
			t.Errorf("%s: given up after %d ms", name, got)
		}
	}
}

// Connections to processes that are gone for good do not pile up; those in use stay.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewConnPool(nil)
	s.clock = func() time.Time { return now }
	defer s.Close()
	to := func(addr string) *grpc.ClientConn {
		t.Helper()
		c, err := s.Conn(addr) // connects only when it is used
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	kept := to("127.0.0.1:1")
	for i := range 10 * mostConns {
		to(fmt.Sprintf("127.0.0.1:%d", 2+i))
		now = now.Add(unusedFor / mostConns / 2)
		if to("127.0.0.1:1") != kept {
			t.Fatal("one in use was closed")
		}
	}
	if n := len(s.byAddr); n > 3*mostConns || n != len(s.used) {
		t.Errorf("%d connections are kept, %d are noted", n, len(s.used))
	}
}

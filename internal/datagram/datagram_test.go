package datagram

import (
	"errors"
	"net/netip"
	"testing"
)

// What was sent is had in the order of its coming, without anybody waiting: loopback
// has it there when the send returns. Sending makes no garbage.
func TestDatagramsWaitUntilTheyAreLookedFor(t *testing.T) {
	for _, at := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(at, func(t *testing.T) { pass(t, netip.MustParseAddrPort(at)) })
	}
}

func pass(t *testing.T, at netip.AddrPort) {
	open := func() *Socket {
		s, err := Listen(at)
		if err != nil {
			if at.Addr().Is6() {
				t.Skip("no IPv6 here:", err)
			}
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		return s
	}
	a, b := open(), open()
	buf := make([]byte, 8)
	if _, _, err := b.Receive(buf); !errors.Is(err, ErrNoDatagram) {
		t.Fatalf("of nothing: %v", err)
	}
	for i := range 20 {
		if err := a.Send([]byte{byte(i)}, b.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		n, from, err := b.Receive(buf)
		if err != nil || n != 1 || buf[0] != byte(i) || from != a.Addr() {
			t.Fatalf("%d: %d bytes, %v of %v, %v", i, n, buf[:n], from, err)
		}
	}
	if _, _, err := b.Receive(buf); !errors.Is(err, ErrNoDatagram) {
		t.Errorf("of what was read: %v", err)
	}
	if n := testing.AllocsPerRun(100, func() { a.Send(buf, a.Addr()); a.Receive(buf) }); n != 0 {
		t.Errorf("sending and receiving allocate %v times", n)
	}
	if err := a.Send(make([]byte, 70_000), b.Addr()); err == nil {
		t.Error("a datagram longer than one can be was sent")
	}
	if _, err := Listen(a.Addr()); err == nil {
		t.Error("an address was had twice")
	}
}

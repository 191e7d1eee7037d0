package datagram

import (
	"errors"
	"net/netip"
	"testing"
)

// Datagrams are received in the order of arrival, without blocking: on loopback they have
// arrived when Send returns. Neither Send nor Receive allocates.
func TestDatagramsAreReceivedInOrderWithoutWaiting(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(addr, func(t *testing.T) { sendAndReceive(t, netip.MustParseAddrPort(addr)) })
	}
}

func sendAndReceive(t *testing.T, addr netip.AddrPort) {
	sender, receiver := listen(t, addr), listen(t, addr)
	buf := make([]byte, 8)
	if _, _, err := receiver.Receive(buf); !errors.Is(err, ErrNoDatagram) {
		t.Fatalf("Receive before any datagram was sent: %v", err)
	}
	for i := range 20 {
		if err := sender.Send([]byte{byte(i)}, receiver.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		n, from, err := receiver.Receive(buf)
		if err != nil || n != 1 || buf[0] != byte(i) || from != sender.Addr() {
			t.Fatalf("%d: %d bytes, %v of %v, %v", i, n, buf[:n], from, err)
		}
	}
	if _, _, err := receiver.Receive(buf); !errors.Is(err, ErrNoDatagram) {
		t.Errorf("Receive after all datagrams were read: %v", err)
	}
	sendToItself := func() {
		_ = sender.Send(buf, sender.Addr()) // only the allocations matter here
		_, _, _ = sender.Receive(buf)
	}
	if n := testing.AllocsPerRun(100, sendToItself); n != 0 {
		t.Errorf("sending and receiving allocate %v times", n)
	}
	if err := sender.Send(make([]byte, 70_000), receiver.Addr()); err == nil {
		t.Error("a datagram longer than the maximum was sent")
	}
	if _, err := Listen(sender.Addr()); err == nil {
		t.Error("two sockets are bound to the same address")
	}
}

// listen opens a socket that is closed at the end of the test. It skips the test if IPv6 is
// required but unavailable.
func listen(t *testing.T, addr netip.AddrPort) *Socket {
	t.Helper()
	s, err := Listen(addr)
	if err != nil {
		if addr.Addr().Is6() {
			t.Skip("IPv6 is unavailable:", err)
		}
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

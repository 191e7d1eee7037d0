package datagram

import (
	"errors"
	"net/netip"
	"testing"
)

// Datagrams are received in the order of their arrival, and nothing waits for them: on
// loopback they have arrived when Send returns. Neither Send nor Receive allocates.
func TestDatagramsAreReceivedInOrderWithoutWaiting(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(addr, func(t *testing.T) { sendAndReceive(t, netip.MustParseAddrPort(addr)) })
	}
}

func sendAndReceive(t *testing.T, addr netip.AddrPort) {
	sender, receiver := listen(t, addr), listen(t, addr)
	buf := make([]byte, 8)
	if _, _, err := receiver.Receive(buf); !errors.Is(err, ErrNoDatagram) {
		t.Fatalf("before anything was sent: %v", err)
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
		t.Errorf("after everything was read: %v", err)
	}
	sendToItself := func() {
		_ = sender.Send(buf, sender.Addr()) // what is counted are the allocations
		_, _, _ = sender.Receive(buf)
	}
	if n := testing.AllocsPerRun(100, sendToItself); n != 0 {
		t.Errorf("sending and receiving allocate %v times", n)
	}
	if err := sender.Send(make([]byte, 70_000), receiver.Addr()); err == nil {
		t.Error("a datagram longer than the maximum was sent")
	}
	if _, err := Listen(sender.Addr()); err == nil {
		t.Error("two sockets have the same address")
	}
}

// listen opens a socket until the test ends. It skips the test where there is no IPv6.
func listen(t *testing.T, addr netip.AddrPort) *Socket {
	t.Helper()
	s, err := Listen(addr)
	if err != nil {
		if addr.Addr().Is6() {
			t.Skip("no IPv6 here:", err)
		}
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

package dataplane

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// connEnd is an end of a connection, either TCP or in memory.
type connEnd interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// endBehaviors are actions on the ends of a connection, and the error that results at the near end. The keys say what
// the far end does, or what is done locally, which means at the near end.
var endBehaviors = map[string]struct {
	do   func(near, far connEnd) error
	want error
}{
	"closes": {func(near, far connEnd) error {
		write(far, "bytes")
		closeConn(far)
		got, err := io.ReadAll(near)
		if string(got) != "bytes" {
			return fmt.Errorf("%q", got)
		}
		return err
	}, nil},
	"closes its sending side": {func(near, far connEnd) error {
		closeWrite(far)
		if _, err := io.ReadAll(near); err != nil {
			return err
		}
		write(near, "back")
		closeWrite(near)
		got, err := io.ReadAll(far)
		if string(got) != "back" {
			return fmt.Errorf("%q", got)
		}
		return err
	}, nil},
	"resets": {func(near, far connEnd) error {
		resetOnClose(far)
		closeConn(far)
		_, err := near.Read(make([]byte, 1))
		return err
	}, syscall.ECONNRESET},
	"closes without reading": {func(near, far connEnd) error {
		write(near, "unread")
		if _, err := io.ReadFull(far, make([]byte, 1)); err != nil { // the data has arrived
			return err
		}
		closeConn(far)
		_, err := near.Read(make([]byte, 1))
		return err
	}, syscall.ECONNRESET},
	"has closed before a write": {func(near, far connEnd) error {
		closeConn(far)
		if n, err := io.WriteString(near, "taken"); n != 5 || err != nil {
			return fmt.Errorf("%d bytes: %w", n, err)
		}
		for {
			if _, err := io.WriteString(near, "refused"); err != nil {
				return nil
			}
			time.Sleep(time.Millisecond)
		}
	}, nil},
	"is written to locally after CloseWrite": {func(near, _ connEnd) error {
		closeWrite(near)
		_, err := io.WriteString(near, "x")
		return err
	}, syscall.EPIPE},
	"is silent": {func(near, _ connEnd) error {
		setDeadline(near, time.Now().Add(time.Millisecond))
		_, err := near.Read(make([]byte, 1))
		return err
	}, os.ErrDeadlineExceeded},
	"does not read": {func(near, _ connEnd) error {
		setDeadline(near, time.Now().Add(time.Millisecond))
		for {
			if _, err := near.Write(make([]byte, 1<<16)); err != nil {
				return err
			}
		}
	}, os.ErrDeadlineExceeded},
	"is closed locally": {func(near, _ connEnd) error {
		closeConn(near)
		_, err := near.Read(make([]byte, 1))
		return err
	}, net.ErrClosed},
}

// The in-memory network behaves like sockets as far as the gateway can observe.
func TestMemoryNetworkBehavesLikeSockets(t *testing.T) {
	t.Parallel()
	for name, c := range endBehaviors {
		test := func(t testing.TB) {
			l := listenOn(t)
			near, err := dialOn(t, l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			setDeadline(near, time.Now().Add(hangTimeout))
			setDeadline(far, time.Now().Add(hangTimeout))
			if err := c.do(near.(connEnd), far.(connEnd)); !errors.Is(err, c.want) {
				_, fake := t.(memoryTB)
				t.Errorf("%s, in memory %v: %v, want %v", name, fake, err, c.want)
			}
			closeConn(near)
			closeConn(far)
		}
		test(t)
		inFakeTime(t, test)
	}
}

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

// end is an end of a connection, of TCP or in memory.
type end interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// endBehaviors are what the far end of a connection does, and the error that the near one sees.
var endBehaviors = map[string]struct {
	do   func(near, far end) error
	want error
}{
	"closes": {func(near, far end) error {
		write(far, "bytes")
		closeConn(far)
		got, err := io.ReadAll(near)
		if string(got) != "bytes" {
			return fmt.Errorf("%q", got)
		}
		return err
	}, nil},
	"closes one direction": {func(near, far end) error {
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
	"resets": {func(near, far end) error {
		resetOnClose(far)
		closeConn(far)
		_, err := near.Read(make([]byte, 1))
		return err
	}, syscall.ECONNRESET},
	"closes without reading": {func(near, far end) error {
		write(near, "unread")
		if _, err := io.ReadFull(far, make([]byte, 1)); err != nil { // it has come
			return err
		}
		closeConn(far)
		_, err := near.Read(make([]byte, 1))
		return err
	}, syscall.ECONNRESET},
	"is gone when written to": {func(near, far end) error {
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
	"is written to behind its own end": {func(near, _ end) error {
		closeWrite(near)
		_, err := io.WriteString(near, "x")
		return err
	}, syscall.EPIPE},
	"is silent": {func(near, _ end) error {
		setDeadline(near, time.Now().Add(time.Millisecond))
		_, err := near.Read(make([]byte, 1))
		return err
	}, os.ErrDeadlineExceeded},
	"does not read": {func(near, _ end) error {
		setDeadline(near, time.Now().Add(time.Millisecond))
		for {
			if _, err := near.Write(make([]byte, 1<<16)); err != nil {
				return err
			}
		}
	}, os.ErrDeadlineExceeded},
	"is closed here": {func(near, _ end) error {
		closeConn(near)
		_, err := near.Read(make([]byte, 1))
		return err
	}, net.ErrClosed},
}

// What the network in memory does is what sockets do, as far as the gateway sees it.
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
			if err := c.do(near.(end), far.(end)); !errors.Is(err, c.want) {
				_, fake := t.(inMemory)
				t.Errorf("%s, in memory %v: %v, want %v", name, fake, err, c.want)
			}
			closeConn(near)
			closeConn(far)
		}
		test(t)
		inFakeTime(t, test)
	}
}

package api

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
)

// TCP_USER_TIMEOUT is set on both sides of a connection, so that the kernel closes it when the
// peer stops acknowledging data.
func TestUserTimeoutOnDialedAndAcceptedConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute) // only guards against a hang
	defer cancel()
	l, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := dialer.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var got int
		controlErr := raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if err := errors.Join(controlErr, err); err != nil {
			t.Fatal(err)
		}
		if got != int(userTimeout.Milliseconds()) {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms", name, got)
		}
	}
}

// The wait for a connection has its own timeout: a machine that accepts the connection but
// sends nothing does not use up the deadline of the call. [TestWaitReadyTimesOut] checks the
// duration of the wait.
func TestWaitReadyLeavesTheCallItsTime(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts; nothing is sent
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	l, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(nil)
	serve(t, server, l)
	conns := NewConnPool(nil)
	defer conns.Close()
	for _, c := range []struct {
		name, addr string
		timeout    time.Duration
		want       bool
	}{
		{"unresponsive", unresponsive.Addr().String(), 20 * time.Millisecond, false},
		{"serving", l.Addr().String(), time.Minute, true},
		{"serving, connected", l.Addr().String(), time.Minute, true},
	} {
		conn, err := conns.Conn(c.addr)
		if err != nil {
			t.Fatal(err)
		}
		if got := WaitReady(ctx, conn, c.timeout); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if ctx.Err() != nil {
		t.Error("an unresponsive machine used up the deadline of the call")
	}
}

// If the server accepts the connection but sends nothing, WaitReady returns false exactly at
// the timeout.
func TestWaitReadyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := NewConnPool(nil, grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }() // the connection stays open without a response
			return client, nil
		}))
		defer conns.Close()
		conn, err := conns.Conn("10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			const timeout = 20 * time.Millisecond
			start := time.Now()
			ready := WaitReady(t.Context(), conn, timeout)
			if took := time.Since(start); ready || took != timeout {
				t.Errorf("WaitReady returned %v after %v", ready, took)
			}
		}
	})
}

// closeNotifier is a connection that closes a channel when it is closed.
type closeNotifier struct {
	net.Conn
	closed chan struct{}
}

func (c closeNotifier) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// The SYN to a machine without power is lost. Once the machine is back, a second attempt
// reaches it, and a connection that the first attempt still establishes is closed. With a
// single attempt, two of three members that restarted after a power failure took 0.6 s to
// reach each other.
func TestSecondDialAttemptStartsAfterDelay(t *testing.T) { synctest.Test(t, testSecondDialAttempt) }

func testSecondDialAttempt(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	lateConn, conn := net.Pipe()
	defer func() { _ = conn.Close() }()
	late := closeNotifier{lateConn, make(chan struct{})}
	attempts := make(chan int, 2)
	attempts <- 1
	attempts <- 2
	want := closeNotifier{conn, make(chan struct{})}
	start := time.Now()
	got, err := dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		if <-attempts == 1 {
			<-ctx.Done() // no response until the call ends
			return late, nil
		}
		return want, nil
	})
	if err != nil || got != want {
		t.Fatalf("%v, %v", got, err)
	}
	if took := time.Since(start); took != attemptDelay {
		t.Errorf("the second attempt started after %v", took)
	}
	<-late.closed
}

// A refused connection ends the call at once, without a second attempt, and no attempt outlives
// the call. The test runs on the fake clock of synctest: on the real clock, a pause of the
// machine for attemptDelay started a second attempt.
func TestRefusedDialReturnsAtOnce(t *testing.T) { synctest.Test(t, testRefusedDial) }

func testRefusedDial(t *testing.T) {
	refused := errors.New("refused")
	attempts := 0
	refuse := func(context.Context) (net.Conn, error) {
		attempts++
		return nil, refused
	}
	if _, err := dialStaggered(t.Context(), refuse); !errors.Is(err, refused) || attempts != 1 {
		t.Errorf("error %v after %d attempts", err, attempts)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	if _, err := dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		defer close(ended)
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	<-ended
}

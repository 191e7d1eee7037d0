package api

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"example.org/elmspan/keys"
)

// userTimeout is how long sent data may stay unacknowledged before the connection is
// closed (TCP_USER_TIMEOUT, RFC 5482). A machine without power or behind a network
// partition answers nothing, and the kernel's retransmissions on an old connection come
// ever more rarely. gRPC's own keep-alive can't be shorter than 10 s.
const userTimeout = 1500 * time.Millisecond

// attemptDelay is how long an attempt to connect stays unanswered before another one
// starts beside it (as in Happy Eyeballs, RFC 8305, but to one address). The opening packet
// to a machine without power is lost, and the kernel sends it again only after a second,
// though the machine may be back a moment later.
const attemptDelay = 150 * time.Millisecond

// Reconnection by gRPC after a failed attempt.
const (
	minConnectTimeout = 500 * time.Millisecond
	backoffBase       = 50 * time.Millisecond
	backoffMax        = 400 * time.Millisecond
	backoffMultiplier = 1.6
	backoffJitter     = 0.3 // fraction of the delay, in both directions
)

// userAgent is short, as it goes with each call.
const userAgent = "e"

// Dial returns a connection to a process. It connects when it is first used. With a key
// ring the server needs a certificate of the same authority that names the IP address; nil:
// no TLS. opts override the own options: with another dialer ([grpc.WithContextDialer]) no
// socket is needed. An address that isn't an IP address with a port is an error where there
// is a ring.
func Dial(addr string, ring *keys.Keyring, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if ring != nil {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("api: dialing: %w", err)
		}
		creds = credentials.NewTLS(ring.ClientConfig(net.IP(peer.Addr().AsSlice())))
	}
	return grpc.NewClient("passthrough:///"+addr, append(dialOptions(creds), opts...)...)
}

func dialOptions(creds credentials.TransportCredentials) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dialTCP),
		grpc.WithReadBufferSize(ioBufferBytes),
		grpc.WithWriteBufferSize(ioBufferBytes),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: minConnectTimeout,
			Backoff: backoff.Config{
				BaseDelay:  backoffBase,
				Multiplier: backoffMultiplier,
				Jitter:     backoffJitter,
				MaxDelay:   backoffMax,
			},
		}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithUserAgent(userAgent),
	}
}

// WaitReady waits until a connection is ready, at most for the timeout and the context. It
// reports whether it is. The attempt to connect goes on afterwards: a process that was not
// reached in time may be ready at the next call.
func WaitReady(ctx context.Context, c *grpc.ClientConn, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		c.Connect()
		switch s := c.GetState(); {
		case s == connectivity.Ready:
			return true
		case s == connectivity.TransientFailure, s == connectivity.Shutdown, !c.WaitForStateChange(ctx, s):
			return false
		}
	}
}

var dialer = net.Dialer{KeepAlive: -1, Control: setUserTimeout}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. It has the form of [net.Dialer.Control].
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A system without the option works all the same, but notices a lost peer later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	})
}

// dialStaggered starts an attempt to connect, and another one after each attemptDelay. The
// first that ends decides, with a connection or with an error; the others are cancelled,
// and a connection that one of them still brings is closed.
func dialStaggered(ctx context.Context, attempt func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results, decided := make(chan result), make(chan struct{})
	defer close(decided)
	ticker := time.NewTicker(attemptDelay)
	defer ticker.Stop()
	for {
		go func() {
			c, err := attempt(ctx)
			select {
			case results <- result{c, err}:
			case <-decided:
				if err == nil {
					_ = c.Close() // nothing was sent on it
				}
			}
		}()
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

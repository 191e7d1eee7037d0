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

// userTimeout is how long sent data may stay unacknowledged before the kernel closes the
// connection (TCP_USER_TIMEOUT, RFC 5482). A machine without power or behind a network
// partition does not respond, and the kernel's retransmissions back off exponentially. gRPC's
// own keep-alive interval can't be shorter than 10 s.
const userTimeout = 1500 * time.Millisecond

// attemptDelay is how long a connection attempt may stay unanswered before another one is
// started in parallel (as in Happy Eyeballs, RFC 8305, but to the same address). The SYN to a
// machine without power is lost, and the kernel retransmits it only after 1 s, although the
// machine may be reachable a moment later.
const attemptDelay = 150 * time.Millisecond

// Parameters of gRPC's reconnection after a failed attempt.
const (
	minConnectTimeout = 500 * time.Millisecond
	backoffBase       = 50 * time.Millisecond
	backoffMax        = 400 * time.Millisecond
	backoffMultiplier = 1.6
	backoffJitter     = 0.3 // fraction of the delay, added or subtracted
)

// userAgent is short because it is sent with each call.
const userAgent = "e"

// Dial returns a connection to a process, which is established on first use. If ring is not
// nil, the server must present a certificate of the same certificate authority for its IP
// address, and addr must be an IP address with a port. If ring is nil, TLS is not used. opts
// override the default options; with another dialer ([grpc.WithContextDialer]) no socket is
// needed.
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

// WaitReady waits until a connection is ready, the timeout expires or the context ends, and
// reports whether the connection is ready. The connection attempt continues afterwards, so a
// process that was not reached in time may be ready at the next call.
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

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Its signature is that of [net.Dialer.Control].
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Systems without the option work too, but detect an unreachable peer later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	})
}

// dialStaggered starts a connection attempt, and another one after each attemptDelay. It
// returns the result of the first attempt that ends, whether a connection or an error. It
// cancels the others and closes connections that they still establish.
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
					_ = c.Close() // nothing has been sent on it
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

package api

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"example.org/elmspan/keys"
)

// What clients and servers have in common.
const (
	// ioBufferBytes is small, as a process has hundreds of connections and most messages
	// fit it.
	ioBufferBytes = 4 << 10
	// maxMessageBytes bounds a message: the largest configuration, and room for the rest.
	maxMessageBytes = MaxConfigBytes + 1<<20
	// windowBytes is the flow-control window of streams and connections. It is fixed:
	// gRPC's own estimate sends a ping, which is answered, with each message that comes,
	// and nearly all messages are shorter than the smallest window. A megabyte fills a
	// link of 70 Mbit/s with a round trip of 110 ms, and counts as memory only where one
	// side sends faster than the other reads.
	windowBytes = 1 << 20
	// maxStreams bounds the calls that one client has open on a connection.
	maxStreams = 1024
)

// NewServer returns a gRPC server for the system's own processes. With a key ring only
// clients that have a certificate of the same authority are accepted; nil: no TLS, for
// trusted networks.
func NewServer(ring *keys.Keyring) *grpc.Server {
	creds := insecure.NewCredentials()
	if ring != nil {
		creds = credentials.NewTLS(ring.ServerConfig())
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.ReadBufferSize(ioBufferBytes),
		grpc.WriteBufferSize(ioBufferBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		// One goroutine answers one call after the other, with a stack that has grown once.
		// A call that comes while it is busy gets a goroutine of its own.
		grpc.NumStreamWorkers(1),
	)
}

// Listen listens at the address at which other processes of the system reach this one.
// Accepted connections have the same user timeout as dialed ones.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return userTimeoutListener{l.(*net.TCPListener)}, nil
}

// userTimeoutListener sets the user timeout on what it accepts: the option is not
// inherited from the listening socket.
type userTimeoutListener struct{ *net.TCPListener }

// Accept waits for the next connection.
func (l userTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if raw, err := c.SyscallConn(); err == nil {
		// A connection that has ended meanwhile reports that when it is read.
		_ = setUserTimeout("", "", raw)
	}
	return c, nil
}

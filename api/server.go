package api

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"example.org/elmspan/keys"
)

// Parameters of both clients and servers.
const (
	// ioBufferBytes is small because a process has hundreds of connections and most messages
	// fit.
	ioBufferBytes = 4 << 10
	// maxMessageBytes bounds the size of a message: the largest configuration plus 1 MiB for
	// the other fields.
	maxMessageBytes = MaxConfigBytes + 1<<20
	// windowBytes is the flow-control window of streams and connections. It is fixed because
	// gRPC's bandwidth estimator sends a ping for each received message, and nearly all
	// messages are smaller than the smallest window. 1 MiB fills a 70 Mbit/s link with a
	// round-trip time of 110 ms, and occupies memory only if one side sends faster than the
	// other reads.
	windowBytes = 1 << 20
	// maxStreams bounds the concurrent calls of one client on a connection.
	maxStreams = 1024
)

// NewServer returns a gRPC server for the system's own processes. If ring is not nil, clients
// must present a certificate of the same certificate authority. If ring is nil, TLS is not
// used, which is only suitable for trusted networks.
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
		// One goroutine processes calls one after the other, so that its stack grows only once.
		// Calls that arrive while it is busy get a goroutine of their own.
		grpc.NumStreamWorkers(1),
	)
}

// Listen listens on the internal address at which other processes of the system reach this one.
// Accepted connections have the same TCP user timeout as dialed ones.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return userTimeoutListener{l.(*net.TCPListener)}, nil
}

// userTimeoutListener sets the TCP user timeout on accepted connections, which do not inherit
// it from the listening socket.
type userTimeoutListener struct{ *net.TCPListener }

// Accept waits for the next connection and returns it with the TCP user timeout set.
func (l userTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if raw, err := c.SyscallConn(); err == nil {
		// If the connection is closed already, the next read returns the error.
		_ = setUserTimeout("", "", raw)
	}
	return c, nil
}

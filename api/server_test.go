package api

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
)

// relayFrames copies an HTTP/2 byte stream and counts the frames by type (RFC 9113, section 6).
// preface is the length of the connection preface, which is copied first.
func relayFrames(w io.Writer, r io.Reader, preface int64, count *[10]atomic.Int64) {
	if _, err := io.CopyN(w, r, preface); err != nil {
		return
	}
	for {
		var head [9]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		count[head[3]].Add(1)
		if _, err := w.Write(head[:]); err != nil {
			return
		}
		if _, err := io.CopyN(w, r, int64(binary.BigEndian.Uint32(head[:])>>8)); err != nil {
			return
		}
	}
}

// serve runs a server until the test ends.
func serve(t *testing.T, s *grpc.Server, l net.Listener) {
	t.Helper()
	go func() { _ = s.Serve(l) }() // returns when the server is stopped
	t.Cleanup(s.Stop)
}

// heartbeatResponder responds to heartbeats.
type heartbeatResponder struct{}

func (heartbeatResponder) Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error) {
	return &HeartbeatResponse{Digest: 1}, nil
}

// Each request is one HEADERS frame and one DATA frame, and each response has one DATA frame.
// Neither side sends the pings of gRPC's bandwidth estimator.
func TestCallsSendNoPings(t *testing.T) {
	serverListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(nil)
	RegisterMembership(s, heartbeatResponder{})
	serve(t, s, serverListener)
	relayListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = relayListener.Close() })
	var toServer, toClient [10]atomic.Int64
	go func() {
		a, err := relayListener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", serverListener.Addr().String())
		if err != nil {
			_ = a.Close()
			return
		}
		go relayFrames(a, b, 0, &toClient)
		relayFrames(b, a, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")), &toServer)
		_ = b.Close()
	}()
	conn, err := Dial(relayListener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	const calls = 20
	for range calls {
		if _, err := CallHeartbeat(context.Background(), conn, &HeartbeatRequest{Digest: 1}); err != nil {
			t.Fatal(err)
		}
	}
	const data, headers, ping = 0, 1, 6
	if n := toServer[ping].Load() + toClient[ping].Load(); n != 0 {
		t.Errorf("%d pings in %d calls", n, calls)
	}
	if toServer[headers].Load() != calls || toServer[data].Load() != calls || toClient[data].Load() != calls {
		t.Errorf("the relay saw %d HEADERS and %d DATA frames in requests for %d calls, %d DATA frames in responses",
			toServer[headers].Load(), toServer[data].Load(), calls, toClient[data].Load())
	}
}

package api

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// frames counts the HTTP/2 frames that pass, by their types (RFC 9113, 6).
func frames(w io.Writer, r io.Reader, preface int64, by *[10]atomic.Int64) {
	if _, err := io.CopyN(w, r, preface); err != nil {
		return
	}
	for {
		var head [9]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		by[head[3]].Add(1)
		w.Write(head[:])
		if _, err := io.CopyN(w, r, int64(binary.BigEndian.Uint32(head[:])>>8)); err != nil {
			return
		}
	}
}

type answering struct{}

func (answering) Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error) {
	return &HeartbeatResponse{Digest: 1}, nil
}

// A call costs the frames that carry it: no pings that measure the way.
func TestCallsBringNoPings(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(nil)
	RegisterMembership(s, answering{})
	go s.Serve(inner)
	t.Cleanup(s.Stop)
	outer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { outer.Close() })
	var there, back [10]atomic.Int64
	go func() {
		a, err := outer.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			a.Close()
			return
		}
		go frames(a, b, 0, &back)
		frames(b, a, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")), &there)
		b.Close()
	}()
	conn, err := Dial(outer.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const calls = 20
	for range calls {
		if _, err := CallHeartbeat(context.Background(), conn, &HeartbeatRequest{Digest: 1}); err != nil {
			t.Fatal(err)
		}
	}
	const data, headers, ping = 0, 1, 6
	if n := there[ping].Load() + back[ping].Load(); n != 0 {
		t.Errorf("%d pings in %d calls", n, calls)
	}
	if there[headers].Load() != calls || there[data].Load() != calls || back[data].Load() != calls {
		t.Errorf("the relay saw %d heads and %d bodies of %d calls, %d answers", there[headers].Load(), there[data].Load(), calls, back[data].Load())
	}
}

package api

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/grpc"
)

// Idle connections to processes that no longer exist are closed; connections in use are kept.
func TestConnPoolClosesIdleConnections(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewConnPool(nil)
	pool.now = func() time.Time { return now }
	defer pool.Close()
	connTo := func(addr string) *grpc.ClientConn {
		t.Helper()
		c, err := pool.Conn(addr) // connects on first use
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	kept := connTo("127.0.0.1:1")
	for i := range 10 * maxConns {
		connTo(fmt.Sprintf("127.0.0.1:%d", 2+i))
		now = now.Add(maxIdle / maxConns / 2)
		if connTo("127.0.0.1:1") != kept {
			t.Fatal("a connection in use was closed")
		}
	}
	if n := len(pool.byAddr); n > 3*maxConns || n != len(pool.lastUsed) {
		t.Errorf("%d connections are open, %d have a time of last use", n, len(pool.lastUsed))
	}
}

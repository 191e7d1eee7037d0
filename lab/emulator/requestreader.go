package emulator

import (
	"bufio"
	"net"
	"sync"
	"time"

	"example.org/elmspan/dataplane/h1"
)

// requestReader reads the requests of a server's connection. It reads ahead while one is answered, and so sees that
// the connection has ended.
type requestReader struct {
	conn     net.Conn
	requests chan *exchange
	ended    chan struct{} // closed when the connection has ended
	stopped  chan struct{} // closed when nobody takes requests any more

	mu        sync.Mutex
	pending   int       // requests that were read and not answered yet
	restSince time.Time // since when there are none
}

func newRequestReader(conn net.Conn) *requestReader {
	r := &requestReader{
		conn:     conn,
		requests: make(chan *exchange),
		ended:    make(chan struct{}),
		stopped:  make(chan struct{}),
		pending:  1,
	}
	r.answered()
	return r
}

// run reads requests until the connection ends, or nobody takes them any more.
func (r *requestReader) run() {
	defer close(r.requests)
	defer close(r.ended)
	in := bufio.NewReader(r.conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		rested := r.begin()
		head, body, err := h1.ReadFullRequest(in, maxHeadBytes)
		if err != nil {
			return
		}
		x := &exchange{conn: r.conn, ended: r.ended, rested: rested, head: head, body: body, id: head.Get("Attempt-Id")}
		select {
		case r.requests <- x:
		case <-r.stopped:
			return
		}
	}
}

// begin notes that a request comes, and returns for how long the connection has rested.
func (r *requestReader) begin() (rested time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == 0 {
		rested = time.Since(r.restSince)
	}
	r.pending++
	_ = r.conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as reads then do
	return rested
}

// answered notes that a request is answered. Where it was the last one, the connection may rest for the idle time-out.
func (r *requestReader) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending--; r.pending == 0 {
		r.restSince = time.Now()
		_ = r.conn.SetReadDeadline(r.restSince.Add(serverIdleTimeout)) // fails on a closed connection, as reads then do
	}
}

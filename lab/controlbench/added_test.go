package controlbench

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/elmspan/dataplane/h1"
)

// A gateway that takes 3 ms, refuses every tenth request and leaves every
// hundredth without an answer is reported as just that, beside a server that takes 1 ms.
func TestAddedIsWhatTheGatewayTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gateway := &slowFront{takes: 3 * time.Millisecond, refuses: 10, silent: 100}
		server := &slowFront{takes: time.Millisecond}
		r := compare(t.Context(), AddedSpec{PerS: 200, Seconds: 20, Seed: 1}, gateway.dial, server.dial)
		is := func(got, ms float64) bool { return math.Abs(got-ms) <= ms/1000 }
		if !is(r.Through[0], 3) || !is(r.Straight[0], 1) || !is(r.Straight[2], 1) || !is(r.Through[2], 1000) {
			t.Errorf("through %v, straight %v", r.Through, r.Straight)
		}
		if r.Asked < 1900 || r.Asked > 2100 || r.Refused != r.Asked/10 {
			t.Errorf("%d asked, %d refused", r.Asked, r.Refused)
		}
	})
}

// slowFront stands for a gateway or a server that takes some time for each request.
type slowFront struct {
	takes           time.Duration
	refuses, silent int64 // every so many-th request is refused, or has no response; 0: none
	asked           atomic.Int64
}

func (f *slowFront) dial() (net.Conn, error) {
	here, there := net.Pipe()
	go f.serve(there) // ends with the connection
	return here, nil
}

func (f *slowFront) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the other end may have closed it
	in := bufio.NewReader(conn)
	for {
		head, _, err := h1.ReadFullRequest(in, maxRequestBytes)
		if err != nil {
			return
		}
		n, status := f.asked.Add(1), "200 OK"
		switch {
		case f.silent > 0 && n%f.silent == 0:
			continue
		case f.refuses > 0 && n%f.refuses == 0:
			status = "503 Service Unavailable"
		}
		time.Sleep(f.takes)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nContent-Length: 3\r\n\r\nyes",
			status, head.Get("Attempt-Id"))
		if err != nil {
			return
		}
	}
}

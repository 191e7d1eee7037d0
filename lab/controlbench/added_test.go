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
		front := func(takes time.Duration, refuses, silent int64) dialer {
			var asked atomic.Int64
			return func() (net.Conn, error) {
				here, there := net.Pipe()
				go func() {
					defer there.Close()
					for in := bufio.NewReader(there); ; {
						h, _, err := h1.ReadWhole(in, 16<<10)
						if err != nil {
							return
						}
						n, status := asked.Add(1), "200 OK"
						switch {
						case silent > 0 && n%silent == 0:
							continue
						case refuses > 0 && n%refuses == 0:
							status = "503 Service Unavailable"
						}
						time.Sleep(takes)
						if _, err := fmt.Fprintf(there, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nContent-Length: 3\r\n\r\nyes", status, h.Get("Attempt-Id")); err != nil {
							return
						}
					}
				}()
				return here, nil
			}
		}
		r := (&run{}).compare(t.Context(), AddedSpec{PerS: 200, Seconds: 20, Seed: 1}, front(3*time.Millisecond, 10, 100), front(time.Millisecond, 0, 0))
		is := func(got, ms float64) bool { return math.Abs(got-ms) <= ms/1000 }
		if !is(r.Through[0], 3) || !is(r.Straight[0], 1) || !is(r.Straight[2], 1) || !is(r.Through[2], 1000) {
			t.Errorf("through %v, straight %v", r.Through, r.Straight)
		}
		if r.Asked < 1900 || r.Asked > 2100 || r.Refused != r.Asked/10 {
			t.Errorf("%d asked, %d refused", r.Asked, r.Refused)
		}
	})
}

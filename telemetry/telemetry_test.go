package telemetry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Counters, times and gauges are shown under their names; label values can't
// break out of a line, and there are never more series than the bound.
func TestShown(t *testing.T) {
	var off *Metrics
	off.Count("x", 1)
	off.Observe("x", 1)
	off.Gauge("x", nil)
	m := New()
	m.Count("elmspan_requests_total", 2, Label{"route", `a"b`}, Label{"code", "200"})
	m.Observe("elmspan_request_duration_seconds", 120*time.Millisecond, Label{"route", "r"})
	m.Gauge("elmspan_peers", func() float64 { return 7 })
	for i := range 2 * mostSeries {
		m.Count("elmspan_many", 1, Label{"route", fmt.Sprint(i)})
	}
	if len(m.counts) > mostSeries+1 {
		t.Errorf("%d series", len(m.counts))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, l) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`elmspan_requests_total{route="a\"b",code="200"} 2`, `elmspan_request_duration_seconds_bucket{route="r",le="0.15"} 1`,
		`elmspan_request_duration_seconds_bucket{route="r",le="0.1"} 0`, "elmspan_peers 7", `elmspan_many{route="other"}`, "process_"} {
		if !strings.Contains(string(got), want) {
			t.Errorf("%s is not shown", want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

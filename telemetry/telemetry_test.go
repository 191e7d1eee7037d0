package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// expose serves the metrics on the loopback interface, scrapes them over HTTP and stops the
// server, which must not return an error.
func expose(t *testing.T, m *Metrics) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, l) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	resp, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fillMetrics returns metrics with a counter, a histogram, a gauge, and another counter with the
// given number of series.
func fillMetrics(manySeries int) *Metrics {
	m := New()
	m.Count("elmspan_requests_total", 2, Label{"route", `a"b`}, Label{"code", "200"})
	m.Observe("elmspan_request_duration_seconds", 120*time.Millisecond, Label{"route", "r"})
	m.Gauge("elmspan_peers", func() float64 { return 7 })
	for i := range manySeries {
		m.Count("elmspan_many", 1, Label{"route", fmt.Sprint(i)})
	}
	return m
}

// Counters, histograms and gauges are exposed under their names. Label values are escaped, and
// the number of series is bounded.
func TestExposition(t *testing.T) {
	m := fillMetrics(2 * maxSeries)
	if len(m.counters) > maxSeries+1 {
		t.Errorf("%d series", len(m.counters))
	}
	got := expose(t, m)
	for _, want := range []string{
		`elmspan_requests_total{route="a\"b",code="200"} 2`,
		`elmspan_request_duration_seconds_bucket{route="r",le="0.15"} 1`,
		`elmspan_request_duration_seconds_bucket{route="r",le="0.1"} 0`,
		"elmspan_peers 7",
		`elmspan_many{route="other"}`,
		"process_",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is not exposed", want)
		}
	}
}

// All methods for recording may be called on nil Metrics.
func TestNilMetricsKeepNothing(*testing.T) {
	var disabled *Metrics
	disabled.Count("x", 1)
	disabled.Observe("x", 1)
	disabled.Gauge("x", nil)
}

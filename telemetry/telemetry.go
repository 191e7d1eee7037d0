// Package telemetry keeps the metrics of one process and shows them to
// Prometheus. A nil [Metrics] keeps none and costs next to nothing, so that the
// planes need not ask whether they are on.
package telemetry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// mostSeries bounds the label sets, as routes and services come from
// configurations; what is beyond goes under "other".
const mostSeries = 2048

// Bounds of times in seconds: from a tenth of a millisecond, fine round the aims
// of answers (50 ms to 1 s).
var bounds = []float64{.0005, .001, .0025, .005, .01, .025, .05, .075, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2.5, 5, 10, 30}

// Metrics are the metrics of one process.
type Metrics struct {
	set *metrics.Set

	mu     sync.Mutex
	counts map[string]*metrics.Counter
	times  map[string]*metrics.PrometheusHistogram
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{set: metrics.NewSet(), counts: map[string]*metrics.Counter{}, times: map[string]*metrics.PrometheusHistogram{}}
}

// Label is a name and its value.
type Label struct{ Name, Value string }

func series(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		b.WriteByte("{,"[min(i, 1)])
		fmt.Fprintf(&b, "%s=%q", l.Name, l.Value)
	}
	b.WriteByte('}')
	return b.String()
}

func other(labels []Label) []Label {
	out := make([]Label, len(labels))
	for i, l := range labels {
		out[i] = Label{l.Name, "other"}
	}
	return out
}

// Count adds to a counter.
func (m *Metrics) Count(name string, n int, labels ...Label) {
	if m == nil {
		return
	}
	key := series(name, labels)
	m.mu.Lock()
	c := m.counts[key]
	if c == nil {
		if len(m.counts) >= mostSeries {
			key = series(name, other(labels))
		}
		c = m.set.GetOrCreateCounter(key)
		m.counts[key] = c
	}
	m.mu.Unlock()
	c.Add(n)
}

// Observe adds a time to a histogram.
func (m *Metrics) Observe(name string, d time.Duration, labels ...Label) {
	if m == nil {
		return
	}
	key := series(name, labels)
	m.mu.Lock()
	h := m.times[key]
	if h == nil {
		if len(m.times) >= mostSeries/8 {
			key = series(name, other(labels))
		}
		h = m.set.GetOrCreatePrometheusHistogramExt(key, bounds)
		m.times[key] = h
	}
	m.mu.Unlock()
	h.Update(d.Seconds())
}

// Gauge shows what a function returns whenever it is read.
func (m *Metrics) Gauge(name string, of func() float64, labels ...Label) {
	if m != nil {
		m.set.GetOrCreateGauge(series(name, labels), of)
	}
}

// Serve shows the metrics at /metrics of an address until the context ends.
func (m *Metrics) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, WriteTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("telemetry: %w", err)
	}
	return nil
}

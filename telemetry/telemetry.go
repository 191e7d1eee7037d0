// Package telemetry collects the metrics of a process and exposes them to Prometheus, and
// records a process's resource usage: see [StartRecording].
//
// A nil [Metrics] collects nothing at almost no cost, so that callers need not check whether
// metrics are enabled. All methods of Metrics are safe for concurrent use.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxSeries bounds the number of counter series, as labels hold names of routes and services
	// from configurations. Series beyond the bound are aggregated under the label value "other".
	maxSeries = 2048
	// maxHistograms bounds the number of histograms, each of which has a series per bucket.
	maxHistograms = maxSeries / 8

	otherValue = "other"

	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
	writeTimeout  = 10 * time.Second
)

// histogramBounds are the upper bounds of histogram buckets in seconds. They start at 0.5 ms
// and are finer around the latency targets of routes (50 ms to 1 s).
var histogramBounds = []float64{
	.0005, .001, .0025, .005, .01, .025, .05, .075, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2.5, 5, 10, 30,
}

// Metrics holds the metrics of a process. Use [New] to create it.
type Metrics struct {
	set *metrics.Set

	mu         sync.Mutex
	counters   map[string]*metrics.Counter             // by series; guarded by mu
	histograms map[string]*metrics.PrometheusHistogram // by series; guarded by mu
}

// New returns a Metrics without any series.
func New() *Metrics {
	return &Metrics{
		set:        metrics.NewSet(),
		counters:   map[string]*metrics.Counter{},
		histograms: map[string]*metrics.PrometheusHistogram{},
	}
}

// Label is the name and the value of a label.
type Label struct{ Name, Value string }

// series returns the name of a series in the Prometheus text format.
func series(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for _, l := range labels {
		b.WriteByte(separator)
		separator = ','
		fmt.Fprintf(&b, "%s=%q", l.Name, l.Value)
	}
	b.WriteByte('}')
	return b.String()
}

// otherSeries returns the series that aggregates a metric's series beyond the bound.
func otherSeries(name string, labels []Label) string {
	shared := make([]Label, len(labels))
	for i, l := range labels {
		shared[i] = Label{l.Name, otherValue}
	}
	return series(name, shared)
}

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int, labels ...Label) {
	if m == nil {
		return
	}
	m.counter(name, labels).Add(n)
}

// counter returns the counter of a series, or the aggregate one if the bound is reached.
func (m *Metrics) counter(name string, labels []Label) *metrics.Counter {
	key := series(name, labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[key]
	if c == nil {
		if len(m.counters) >= maxSeries {
			key = otherSeries(name, labels)
		}
		c = m.set.GetOrCreateCounter(key)
		m.counters[key] = c
	}
	return c
}

// Observe adds a duration, in seconds, to a histogram.
func (m *Metrics) Observe(name string, d time.Duration, labels ...Label) {
	if m == nil {
		return
	}
	m.histogram(name, labels).Update(d.Seconds())
}

// histogram returns the histogram of a series, or the aggregate one if the bound is reached.
func (m *Metrics) histogram(name string, labels []Label) *metrics.PrometheusHistogram {
	key := series(name, labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[key]
	if h == nil {
		if len(m.histograms) >= maxHistograms {
			key = otherSeries(name, labels)
		}
		h = m.set.GetOrCreatePrometheusHistogramExt(key, histogramBounds)
		m.histograms[key] = h
	}
	return h
}

// Gauge registers a gauge whose value is read from a function whenever metrics are scraped. The
// function may be called at any time and must not block.
func (m *Metrics) Gauge(name string, value func() float64, labels ...Label) {
	if m != nil {
		m.set.GetOrCreateGauge(series(name, labels), value)
	}
}

// Serve serves GET /metrics on a listener until the context ends, and then returns nil. It closes
// the listener.
func (m *Metrics) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // srv.Serve returns ErrServerClosed
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("telemetry: %w", err)
	}
	return nil
}

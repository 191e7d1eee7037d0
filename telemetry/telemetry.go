// Package telemetry keeps the metrics of one process and exposes them to Prometheus, and
// records what a process uses: see [StartRecording].
//
// A nil [Metrics] keeps none and costs next to nothing, so that the planes need not ask
// whether metrics are on. All methods of Metrics may be called concurrently.
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
	// maxSeries bounds the counters, as routes and services come from configurations. What is
	// beyond it counts under the label value "other".
	maxSeries = 2048
	// maxHistograms bounds the histograms likewise: each has a series for each bound.
	maxHistograms = maxSeries / 8

	otherValue = "other"

	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
	writeTimeout  = 10 * time.Second
)

// histogramBounds are the upper bounds of a histogram's buckets in seconds: from half a
// millisecond, with small steps around the latency targets of routes (50 ms to 1 s).
var histogramBounds = []float64{
	.0005, .001, .0025, .005, .01, .025, .05, .075, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2.5, 5, 10, 30,
}

// Metrics are the metrics of one process. Make them with [New].
type Metrics struct {
	set *metrics.Set

	mu         sync.Mutex
	counters   map[string]*metrics.Counter             // by series; guarded by mu
	histograms map[string]*metrics.PrometheusHistogram // by series; guarded by mu
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{
		set:        metrics.NewSet(),
		counters:   map[string]*metrics.Counter{},
		histograms: map[string]*metrics.PrometheusHistogram{},
	}
}

// Label is a label's name and its value.
type Label struct{ Name, Value string }

// series is the name of a series as Prometheus writes it.
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

// otherSeries is the series that all those of a name beyond the bound share.
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

// counter returns the counter of a series, or the shared one past the bound.
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

// Observe adds a duration to a histogram, in seconds.
func (m *Metrics) Observe(name string, d time.Duration, labels ...Label) {
	if m == nil {
		return
	}
	m.histogram(name, labels).Update(d.Seconds())
}

// histogram returns the histogram of a series, or the shared one past the bound.
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

// Gauge shows what a function returns whenever the metrics are read. The function may be
// called at any time and must not block.
func (m *Metrics) Gauge(name string, value func() float64, labels ...Label) {
	if m != nil {
		m.set.GetOrCreateGauge(series(name, labels), value)
	}
}

// Serve answers GET /metrics at a listener until the context ends, and then returns nil. It
// closes the listener.
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
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // Serve returns what matters
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("telemetry: %w", err)
	}
	return nil
}

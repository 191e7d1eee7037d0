package emulator

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/elmspan/internal/backoff"
)

const (
	// sampleEvery is the time between two looks at the metrics of some machines.
	sampleEvery = time.Second
	// sampledMachines are looked at each time: all would cost a large fleet's machine too much.
	sampledMachines = 6
)

// Names of the metrics that show why a quota was exceeded, or left unused.
const (
	latenessMetric      = "elmspan_gossip_lateness_seconds"
	forgivenMetric      = "elmspan_quota_forgiven_units_total"
	rejectedEmptyMetric = "elmspan_quota_rejected_empty_total"
	rejectedPacedMetric = "elmspan_quota_rejected_paced_total"
	quotaShareMetric    = "elmspan_quota_part"
)

// quotaMetrics is what the processes' metrics say of quotas over a day.
type quotaMetrics struct {
	mu       sync.Mutex
	lateness float64 // the highest that was seen, in seconds
	share    float64 // the lowest that was seen
	samples  int
}

// watch looks at some machines' metrics again and again until the context ends.
func (q *quotaMetrics) watch(ctx context.Context, f *Fleet) {
	for backoff.Sleep(ctx, sampleEvery) {
		for _, n := range f.someNodes(sampledMachines) {
			if values := n.readMetrics(ctx); values != nil {
				q.add(values)
			}
		}
	}
}

// add takes in one machine's metrics.
func (q *quotaMetrics) add(values map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.samples == 0 {
		q.share = 1
	}
	q.samples++
	q.lateness = max(q.lateness, values[latenessMetric])
	q.share = min(q.share, values[quotaShareMetric])
}

// note adds to the report what was seen, and the sums of the machines' counters at the end of the day. Those of
// processes that have ended are lost with them.
func (q *quotaMetrics) note(ctx context.Context, f *Fleet) {
	sums := map[string]float64{}
	for _, n := range f.nodes {
		for name, value := range n.readMetrics(ctx) {
			sums[name] += value
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f.note("gossip up to %.2f s late, shares of quotas from %.2f on, in %d samples", q.lateness, q.share, q.samples)
	f.note("by the processes at the end: %.0f units forgiven, %.0f requests rejected by empty buckets, %.0f by pacing",
		sums[forgivenMetric], sums[rejectedEmptyMetric], sums[rejectedPacedMetric])
}

// readMetrics returns the values of a machine's metrics without labels, nil where it doesn't answer.
func (n *node) readMetrics(ctx context.Context) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.metrics+"/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := localClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }() // read whole, or given up
	values := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

package dataplane

import (
	"strconv"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/telemetry"
)

// registerGauges registers gauges that read the gateway's state at each collection.
func (g *Gateway) registerGauges() {
	g.metrics.Gauge("elmspan_ready", func() float64 {
		if g.Ready() {
			return 1
		}
		return 0
	})
	g.metrics.Gauge("elmspan_requests_in_flight", func() float64 { return float64(g.forwarder.inFlight.Load()) })
	g.metrics.Gauge("elmspan_config_revision", func() float64 { return float64(g.Revision()) })
	g.metrics.Gauge("elmspan_lease_left_seconds", func() float64 { return g.lease.remaining().Seconds() })
	g.metrics.Gauge("elmspan_client_connections", func() float64 { return float64(g.listener.count()) })

	lockedGauge := func(name string, read func() float64) {
		g.metrics.Gauge(name, func() float64 {
			g.guarded.mu.Lock()
			defer g.guarded.mu.Unlock()
			return read()
		})
	}
	l := g.guarded.limiter
	lockedGauge("elmspan_quota_part", func() float64 { return l.QuotaShare(g.clock.nowMs()) })
	g.registerQuotaGauges(lockedGauge)
	lockedGauge("elmspan_dark_zones", func() float64 { return float64(len(l.UnreachableZones(g.clock.nowMs()))) })
	lockedGauge("elmspan_peers", func() float64 { return float64(l.PeerCount()) })
	lockedGauge("elmspan_peers_told", func() float64 { return float64(l.GossipRecipients()) })
	lockedGauge("elmspan_regroups_total", func() float64 { return float64(g.peers.regroups) })
	lockedGauge("elmspan_servers", func() float64 { return float64(len(l.Members())) })
}

// registerQuotaGauges registers the quota counters and the gauge of the delay of peers' gossip messages.
func (g *Gateway) registerQuotaGauges(lockedGauge func(name string, read func() float64)) {
	l := g.guarded.limiter
	for name, read := range map[string]func(quota.Counters) float64{
		"elmspan_quota_admitted_total":       func(c quota.Counters) float64 { return float64(c.Admitted) },
		"elmspan_quota_rejected_empty_total": func(c quota.Counters) float64 { return float64(c.RejectedEmpty) },
		"elmspan_quota_rejected_paced_total": func(c quota.Counters) float64 { return float64(c.RejectedPaced) },
		"elmspan_quota_drawn_units_total":    func(c quota.Counters) float64 { return c.Drawn },
		"elmspan_quota_forgiven_units_total": func(c quota.Counters) float64 { return c.Forgiven },
		"elmspan_quota_inherited_total":      func(c quota.Counters) float64 { return float64(c.Inherited) },
	} {
		lockedGauge(name, func() float64 { return read(l.QuotaCounters()) })
	}
	lockedGauge("elmspan_gossip_lateness_seconds", func() float64 {
		return millis(l.GossipLatenessMs(g.clock.nowMs())).Seconds()
	})
}

// observeResponse records a response and its duration. Without metrics it costs only a comparison.
func observeResponse(metrics *telemetry.Metrics, r *request, resp *response) {
	if metrics == nil {
		return
	}
	route, by := "none", byGateway
	if r.route != nil {
		route = r.route.Name
	}
	if resp.head != nil {
		by = byServer
	}
	metrics.Count("elmspan_requests_total", 1, telemetry.Label{Name: "route", Value: route},
		telemetry.Label{Name: "code", Value: strconv.Itoa(resp.status)}, telemetry.Label{Name: "by", Value: by})
	metrics.Observe("elmspan_request_duration_seconds", time.Since(r.arrived),
		telemetry.Label{Name: "route", Value: route})
	if resp.head == nil && resp.reason != "" {
		metrics.Count("elmspan_own_answers_total", 1, telemetry.Label{Name: "reason", Value: resp.reason})
	}
}

// resultNames maps the results of attempts to their names in metrics and in the log that `elmspan explain` reads.
var resultNames = map[balance.Result]string{
	balance.Success: "good", balance.Rejected: "full", balance.Failure: "failed", balance.NotSent: "unsent",
	balance.Cancelled: "given_up", balance.Replaced: "moved", balance.HedgeLost: "beaten", balance.ServerError: "erred",
	balance.ClientDisconnected: "client_gone",
}

// observeAttempt records an attempt at a server and its duration. Without metrics it costs only a comparison.
func observeAttempt(metrics *telemetry.Metrics, service string, a *upstreamAttempt) {
	if metrics == nil {
		return
	}
	label := telemetry.Label{Name: "service", Value: service}
	metrics.Count("elmspan_upstream_tries_total", 1, label,
		telemetry.Label{Name: "result", Value: resultNames[a.result]})
	metrics.Observe("elmspan_upstream_duration_seconds", time.Since(a.sentAt), label)
}

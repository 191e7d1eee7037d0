package dataplane

import (
	"strconv"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/telemetry"
)

// measure counts an answer. Without metrics it costs a comparison.
func (g *Gateway) measure(r *request, a *answer) {
	if g.meter == nil {
		return
	}
	route, by := "none", "gateway"
	if r.route != nil {
		route = r.route.Name
	}
	if a.from != nil {
		by = "server"
	}
	g.meter.Count("elmspan_requests_total", 1, telemetry.Label{Name: "route", Value: route},
		telemetry.Label{Name: "code", Value: strconv.Itoa(a.status)}, telemetry.Label{Name: "by", Value: by})
	g.meter.Observe("elmspan_request_duration_seconds", time.Since(r.arrived), telemetry.Label{Name: "route", Value: route})
}

var results = map[balance.Result]string{balance.Good: "good", balance.Full: "full", balance.Failed: "failed", balance.Unsent: "unsent",
	balance.Given: "given_up", balance.Moved: "moved", balance.Beaten: "beaten",
	balance.Erred: "erred"}

// measureTry counts a try at a server.
func (g *Gateway) measureTry(service string, at *serverTry) {
	if g.meter == nil {
		return
	}
	label := telemetry.Label{Name: "service", Value: service}
	g.meter.Count("elmspan_upstream_tries_total", 1, label, telemetry.Label{Name: "result", Value: results[at.result]})
	g.meter.Observe("elmspan_upstream_duration_seconds", time.Since(at.sentAt), label)
}

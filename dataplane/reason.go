package dataplane

import (
	"context"
	"log/slog"
	"time"

	"example.org/elmspan/telemetry"
)

// reason is why the gateway gave an answer of its own: a code for logs and metrics,
// and a plain line for the client.
type reason struct {
	status int
	code   string
	why    string
}

// The reasons. docs/operate.md lists the codes.
var (
	overQuota  = reason{429, "quota", "beyond the quota"}
	linkFull   = reason{503, "link", "the link can't carry it in time"}
	serverFull = reason{503, "servers_busy", "no server can answer in time"}
	noneTook   = reason{503, "none_took_it", "no server took the request"}
	noConfig   = reason{503, "no_configuration", "no configuration yet"}
	noLease    = reason{503, "no_lease", "keys can't be checked now"}
	timeUp     = reason{504, "time_up", "the time is up"}
	noAnswer   = reason{502, "no_answer", "no server gave an answer of use"}
	barePledge = reason{502, "server_failed", "the server failed"}
	noRoute    = reason{404, "no_route", "no route"}
	unknownKey = reason{401, "unknown_key", "unknown key"}
)

// answer returns the answer that a reason leads to; come back after some time, 0
// where that is not for us to say.
func (r reason) answer(after time.Duration) *answer {
	return &answer{status: r.status, reason: r.code, why: r.why, retryAfter: after}
}

// malformed is the answer to what can't be read, or is beyond the limits.
func malformed(status int, why string) *answer {
	return &answer{status: status, reason: "malformed", why: why, closes: status == 400 || status == 413 || status == 408}
}

// tell logs and counts how a request ended.
func (g *Gateway) tell(r *request, a *answer) {
	g.measure(r, a)
	if a.from == nil && a.reason != "" {
		g.meter.Count("elmspan_own_answers_total", 1, telemetry.Label{Name: "reason", Value: a.reason})
	}
	if !g.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	by, route, tenant := "gateway", "", ""
	if a.from != nil {
		by = "server"
	}
	if r.route != nil {
		route = r.route.Name
	}
	if r.tenant != nil {
		tenant = r.tenant.name
	}
	g.log.Debug("answered", "id", r.head.Get("Attempt-Id"), "status", a.status, "reason", a.reason, "by", by, "route", route, "tenant", tenant,
		"service", r.service, "after_ms", inMs(time.Since(r.arrived)), "retry_after_ms", a.retryAfter.Milliseconds())
}

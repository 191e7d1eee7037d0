package dataplane

import (
	"context"
	"log/slog"
	"time"
)

// malformedCode is the reason code of requests that can't be read or are beyond the limits.
const malformedCode = "malformed"

// refusalReason is why the gateway gave a response of its own: a code for logs and metrics, and a plain line for the
// client.
type refusalReason struct {
	status int
	code   string
	text   string
}

// The reasons. docs/operate.md lists the codes.
var (
	overQuota        = refusalReason{429, "quota", "beyond the quota"}
	linkFull         = refusalReason{503, "link", "the link can't carry it in time"}
	serverFull       = refusalReason{503, "servers_busy", "no server can answer in time"}
	allRefused       = refusalReason{503, "none_took_it", "no server took the request"}
	noConfig         = refusalReason{503, "no_configuration", "no configuration yet"}
	noLease          = refusalReason{503, "no_lease", "the configuration can't be confirmed now"}
	deadlineExceeded = refusalReason{504, "time_up", "the time is up"}
	noAnswer         = refusalReason{502, "no_answer", "no server gave an answer of use"}
	serverFailed     = refusalReason{502, "server_failed", "the server failed"}
	noRoute          = refusalReason{404, "no_route", "no route"}
	unknownKey       = refusalReason{401, "unknown_key", "unknown key"}

	// clientDisconnected is in logs and metrics only: nobody is left to be answered.
	clientDisconnected = refusalReason{499, "client_gone", ""}
)

// response returns the response that a refusal leads to; to come back after some time, 0 where that is not known.
func (r refusalReason) response(retryAfter time.Duration) *response {
	return &response{status: r.status, reason: r.code, text: r.text, retryAfter: retryAfter}
}

// refuseMalformed is the response to what can't be read, or is beyond the limits. Where the rest of the request may
// still come, the connection closes.
func refuseMalformed(status int, text string) *response {
	closes := status == 400 || status == 408 || status == 413
	return &response{status: status, reason: malformedCode, text: text, closes: closes}
}

// Who gave a response, in logs and metrics.
const (
	byGateway = "gateway"
	byServer  = "server"
)

// report counts and logs how a request ended. `elmspan explain` parses the message and its keys.
func (l *clientListener) report(r *request, resp *response) {
	observeResponse(l.metrics, r, resp)
	if !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	by, route, tenant := byGateway, "", ""
	if resp.head != nil {
		by = byServer
	}
	if r.route != nil {
		route = r.route.Name
	}
	if r.tenant != nil {
		tenant = r.tenant.name
	}
	l.log.Debug("answered", "id", r.head.Get("Attempt-Id"), "status", resp.status, "reason", resp.reason, "by", by,
		"route", route, "tenant", tenant, "service", r.service, "after_ms", inMs(time.Since(r.arrived)),
		"retry_after_ms", resp.retryAfter.Milliseconds())
}

package dataplane

import (
	"context"
	"log/slog"
	"time"
)

// malformedCode is the reason code of requests that are malformed or exceed the request limits.
const malformedCode = "malformed"

// refusalReason is the reason for a response that the gateway generates: its status, a code for logs and metrics, and a
// plain-text line for the client.
type refusalReason struct {
	status int
	code   string
	text   string
}

// docs/operate.md lists the codes.
var (
	overQuota          = refusalReason{429, "quota", "beyond the quota"}
	linkSaturated      = refusalReason{503, "link", "the link can't carry it in time"}
	serversBusy        = refusalReason{503, "servers_busy", "no server can answer in time"}
	allServersRejected = refusalReason{503, "none_took_it", "no server took the request"}
	noConfig           = refusalReason{503, "no_configuration", "no configuration yet"}
	noLease            = refusalReason{503, "no_lease", "the configuration can't be confirmed now"}
	shuttingDown       = refusalReason{503, "shutting_down", "the gateway is shutting down"}
	abortedByShutdown  = refusalReason{504, "shutdown", "the gateway shut down before the server answered"}
	deadlineExceeded   = refusalReason{504, "time_up", "the time is up"}
	noUsableResponse   = refusalReason{502, "no_answer", "no server gave an answer of use"}
	serverFailed       = refusalReason{502, "server_failed", "the server failed"}
	internalError      = refusalReason{500, "internal_error", "the gateway failed"}
	noRoute            = refusalReason{404, "no_route", "no route"}
	unknownKey         = refusalReason{401, "unknown_key", "unknown key"}

	// clientDisconnected appears in logs and metrics only: no response can be delivered.
	clientDisconnected = refusalReason{499, "client_gone", ""}
)

// response returns the response for a refusal, with a Retry-After field unless retryAfter is 0.
func (r refusalReason) response(retryAfter time.Duration) *response {
	return &response{status: r.status, reason: r.code, text: r.text, retryAfter: retryAfter}
}

// refuseMalformed returns the response to a request that is malformed or exceeds the limits. The response closes the
// connection if the rest of the request may still arrive.
func refuseMalformed(status int, text string) *response {
	closes := status == 400 || status == 408 || status == 413
	return &response{status: status, reason: malformedCode, text: text, closes: closes}
}

// The origins of responses in logs and metrics.
const (
	byGateway = "gateway"
	byServer  = "server"
)

// reportUndelivered records that a response which report has recorded did not reach the client in full: writing it
// failed, or, if the error is nil, its connection had ended before its turn.
func (l *clientListener) reportUndelivered(r *request, resp *response, err error) {
	l.metrics.Count("elmspan_undelivered_answers_total", 1)
	l.log.Debug("answer not delivered", "id", r.head.Get("Attempt-Id"), "status", resp.status, "error", err)
}

// report records the response to a request in metrics and the log. `elmspan explain` parses the message and its keys.
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

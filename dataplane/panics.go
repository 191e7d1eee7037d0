package dataplane

import (
	"runtime/debug"

	"example.org/elmspan/dataplane/balance"
)

// recoverPanic, when deferred, ends a panic that a request has caused: a fault in the handling of one request must not
// end the process, which would abort all other requests. It logs and counts the panic and calls cleanUp. r is nil if no
// request has been read. Panics outside of requests (control plane, gossip, watches) still end the process: its state
// could no longer be trusted (docs/decisions/0022).
func (f *forwarder) recoverPanic(r *request, cleanUp func()) {
	cause := recover()
	if cause == nil {
		return
	}
	id := ""
	if r != nil {
		id = r.head.Get("Attempt-Id")
	}
	f.log.Error("panic while handling a request", "id", id, "panic", cause, "stack", string(debug.Stack()))
	f.metrics.Count("elmspan_panics_total", 1)
	cleanUp()
}

// panicOutcome is the outcome of an attempt that a panic has ended. The server is not blamed for it.
func panicOutcome() attemptOutcome {
	return attemptOutcome{result: balance.Cancelled, mayHaveRun: true}
}

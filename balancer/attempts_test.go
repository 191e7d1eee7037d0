package balancer

import (
	"fmt"
	"testing"
)

// Whether a request is retried, rejected or failed depends on its idempotency class and on the
// result of the attempt.
func TestRetriesByIdempotencyAndResult(t *testing.T) {
	const retry, reject, fail = "retry", "refuse", "fail"
	for _, c := range []struct {
		class  int
		result Result
		want   string
	}{
		{0, ServerError, retry}, {0, TimedOut, retry}, {0, Rejected, retry}, {0, ConnectFailed, retry},
		{0, Canceled, retry},
		{1, ServerError, retry}, {1, ConnectionLost, retry}, {1, Rejected, retry}, {1, NotSent, retry},
		{2, ServerError, fail}, {2, ConnectionLost, fail}, {2, TimedOut, fail}, {2, Canceled, fail},
		{2, Rejected, retry}, {2, ConnectFailed, retry}, {2, NotSent, retry},
		{3, ServerError, retry},
	} {
		d := newLimiterDriver(t, testSettings(), testServers(4)...)
		id, a := d.submit(Submit{Class: c.class})
		first := a.(StartAttempt).Server
		got := d.outcome(id, 0, first, c.result)
		name := fmt.Sprintf("class %d, result %d", c.class, c.result)
		switch g := got.(type) {
		case StartAttempt:
			if c.want != retry {
				t.Errorf("%s: retried, want %s", name, c.want)
			}
			if g.Server == first {
				t.Errorf("%s: retried at the same server", name)
			}
			if c.class == 1 && !provesNotExecuted(c.result) && (g.Server-first)%2 != 0 {
				t.Errorf("%s: a keyed request was retried in another cell", name)
			}
		case Reject:
			if c.want != reject {
				t.Errorf("%s: rejected, want %s", name, c.want)
			}
		case Fail:
			if c.want != fail {
				t.Errorf("%s: failed, want %s", name, c.want)
			}
		default:
			t.Errorf("%s: no response", name)
		}
	}
}

func TestKeyedRetryStaysInDedupWindowAndScope(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	id, a := d.submit(Submit{Class: 1, TimeoutMs: 1900})
	d.now += 1001 // past the deduplication window
	if got, ok := d.outcome(id, 0, a.(StartAttempt).Server, ServerError).(Fail); !ok {
		t.Errorf("keyed request past its deduplication window: got %#v, want Fail", got)
	}
	d = newLimiterDriver(t, testSettings(), testServers(2)...) // one server per cell
	id, a = d.submit(Submit{Class: 1})
	if got, ok := d.outcome(id, 0, a.(StartAttempt).Server, ServerError).(Fail); !ok {
		t.Errorf("no other server in the cell: got %#v, want Fail", got)
	}
	id, a = d.submit(Submit{Class: 3, TimeoutMs: 1900})
	d.now += 1500
	if got, ok := d.outcome(id, 0, a.(StartAttempt).Server, ServerError).(Reject); !ok {
		t.Errorf("keyed with DedupAll: got %#v, want Reject", got)
	}
}

func TestNoRetryAfterDeadline(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	id, a := d.submit(Submit{TimeoutMs: 300})
	d.now += 300
	if got, ok := d.outcome(id, 0, a.(StartAttempt).Server, TimedOut).(Fail); !ok {
		t.Errorf("timeout at the deadline: got %#v, want Fail", got)
	}
	if len(d.l.requests) != 0 {
		t.Error("a finished request is still held")
	}
}

package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"example.org/elmspan/balancer"
)

// TestGoldenReply compares each kind of reply line with the output recorded at commit f96d826,
// as the simulator depends on its exact format.
func TestGoldenReply(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", "golden", "reply.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	w := NewWriter(&got)
	for _, action := range []balancer.Action{
		balancer.StartAttempt{ID: "rq_1", TimeoutMs: 80.0625, Server: 1<<64 - 1},
		balancer.StartAttempt{ID: "rq_2", Server: 7},
		balancer.Reject{ID: "rq_3", RetryAfterMs: 1234.5678},
		balancer.Reject{ID: "rq_4"},
		balancer.Fail{ID: "rq_5"},
		balancer.CancelAttempt{ID: "rq_1", Attempt: 2},
		balancer.SetTimer{At: 8412.2505, Name: "tick"},
		balancer.ProbeServer{Server: 51530247},
		balancer.SendPeer{To: 4, Data: []byte{0x5c, 2, 0, 255}},
		balancer.SendPeer{To: 5},
		balancer.Log{Line: "first\nsecond\rthird"},
		balancer.WatchEndpoints{},
		balancer.FetchEndpoints{},
	} {
		w.Action(12, action)
	}
	w.Fault(12, "bad\nsetting")
	if err := w.Yield(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("wrote\n%s\nwant\n%s", got.Bytes(), want)
	}
}

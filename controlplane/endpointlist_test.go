package controlplane

import (
	"fmt"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// A new leader that was sent the list goes on from it: limiters are sent what has changed
// since, not the complete list, however long its servers have been there.
func TestNewLeaderContinuesTheServerList(t *testing.T) {
	t.Parallel()
	var first, next endpointList
	var answer []api.Server
	for i := range 9700 {
		answer = append(answer, api.Server{
			ID:       fmt.Sprint("i-", i),
			Upstream: "a",
			Addr:     fmt.Sprint("10.0.0.1:", i),
			Zone:     "z",
			State:    api.InService,
			WarmupMs: float64(i % 3),
		})
	}
	first.start = time.Now().Add(-time.Hour)
	if _, _, err := first.merge(3, answer); err != nil {
		t.Fatal(err)
	}
	b, err := first.table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	p, err := versioned.OpenDelta(b.Data)
	if err == nil {
		err = next.applyDelta(p, first.clockMs()+60_000)
	}
	if err != nil {
		t.Fatal(err)
	}
	version := next.table.Version()
	next.becomeLeader()
	answer[7].State = api.Draining
	changed, _, err := next.merge(5, answer)
	if err != nil || !changed || next.table.Version() <= version {
		t.Fatalf("changed %v, version %d after %d, %v", changed, next.table.Version(), version, err)
	}
	if b, err = next.table.DeltaSince(version); err != nil || b.From != version || len(b.Data) > 200 {
		t.Errorf("from version %d, %d bytes, %v", b.From, len(b.Data), err)
	}
}

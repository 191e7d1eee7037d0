package controlplane

import (
	"fmt"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// A new leader that was sent the list goes on from it: limiters are sent what has changed since,
// not the whole list, however long its servers have been there.
func TestNewLeaderContinuesTheServerList(t *testing.T) {
	t.Parallel()
	var first, next endpointList
	answer := manyServers(9700)
	first.start = time.Now().Add(-time.Hour)
	if _, _, err := first.merge(3, answer); err != nil {
		t.Fatal(err)
	}
	whole, err := first.table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := versioned.OpenDelta(whole.Data)
	if err != nil {
		t.Fatal(err)
	}
	if err := next.applyDelta(delta, first.clockMs()+60_000); err != nil {
		t.Fatal(err)
	}
	version := next.table.Version()
	next.becomeLeader()
	answer[7].State = api.Draining
	changed, _, err := next.merge(5, answer)
	if err != nil || !changed || next.table.Version() <= version {
		t.Fatalf("changed %t, version %d after %d, %v", changed, next.table.Version(), version, err)
	}
	since, err := next.table.DeltaSince(version)
	if err != nil || since.From != version || len(since.Data) > 200 {
		t.Errorf("from version %d, %d bytes, %v", since.From, len(since.Data), err)
	}
}

func manyServers(n int) []api.Server {
	servers := make([]api.Server, n)
	for i := range servers {
		servers[i] = api.Server{
			ID:       fmt.Sprint("i-", i),
			Upstream: "a",
			Addr:     fmt.Sprint("10.0.0.1:", i),
			Zone:     "z",
			State:    api.InService,
			WarmupMs: float64(i % 3),
		}
	}
	return servers
}

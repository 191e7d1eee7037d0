package controlplane

import (
	"fmt"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// A new leader that received the server list from its predecessor continues its versions: limiters
// are sent only the changes since their version, not the full list, however old its servers are.
func TestNewLeaderContinuesTheServerList(t *testing.T) {
	t.Parallel()
	var former, successor endpointList
	servers := manyServers(9700)
	former.start = time.Now().Add(-time.Hour)
	if _, _, err := former.merge(3, servers); err != nil {
		t.Fatal(err)
	}
	full, err := former.table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := versioned.OpenDelta(full.Data)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.applyDelta(delta, former.clockMs()+60_000); err != nil {
		t.Fatal(err)
	}
	version := successor.table.Version()
	successor.becomeLeader()
	servers[7].State = api.Draining
	changed, _, err := successor.merge(5, servers)
	if err != nil || !changed || successor.table.Version() <= version {
		t.Fatalf("changed %t, version %d after %d, %v", changed, successor.table.Version(), version, err)
	}
	since, err := successor.table.DeltaSince(version)
	if err != nil || since.From != version || len(since.Data) > 200 {
		t.Errorf("delta from version %d, %d bytes, %v", since.From, len(since.Data), err)
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

package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// A machine is cut off for a time, as leader or not, both ways or one way, is started again
// meanwhile, and the others are after it. Until it is back it answers every operator, in time,
// that it can't say; limiters get neither a lease nor a configuration from it. Once it is back
// it answers with the newest. (Reported by the users: it went on answering with an old
// configuration, refused commands, or confirmed them.)
func TestIsolatedMachineAnswersNothing(t *testing.T) {
	t.Parallel()
	for _, c := range []isolationCase{
		{name: "the leader", leader: true, restarts: true},
		{name: "a follower", restarts: true},
		{name: "a leader that sends", leader: true, sends: true},
		{name: "a leader that receives", leader: true, receives: true},
	} {
		runInBubble(t, c.name, c.run)
	}
}

type isolationCase struct {
	name            string
	leader          bool
	sends, receives bool // although it is cut off
	restarts        bool
}

func (v *isolationCase) run(t *testing.T) {
	t.Helper()
	c := newPartitionedCluster(t)
	isolated := c.awaitLeaderAddr("")
	if replaceConfig(c.clientAt(isolated), 0, testConfig(t, 5)) != http.StatusOK {
		t.Fatal("the first was not applied")
	}
	if !v.leader {
		isolated = c.others(c.awaitLeaderAddr(""))[1]
	}
	c.waitUntil("it has the first", func() bool { return c.cores[isolated].Status().Revision == 5 })
	c.partition.isolate(isolated, v.sends, v.receives)
	c.requireUnavailable(isolated, "at once", !v.sends)
	if got := c.replaceUntilAnswered(isolated, 5, testConfig(t, 6)); got != http.StatusOK {
		t.Fatalf("the others answer %d", got)
	}
	c.requireUnavailable(isolated, "after the others applied another", !v.sends)
	if v.restarts {
		c.restart(isolated)
		c.requireUnavailable(isolated, "started again", !v.sends)
		c.restartOthers(isolated)
		c.requireUnavailable(isolated, "after the others were started again", !v.sends)
		if got := c.replaceUntilAnswered(isolated, 5, testConfig(t, 6)); got != http.StatusOK {
			t.Errorf("sent again to the others: %d", got)
		}
	}
	c.partition.end()
	c.requireNewestReadBack(isolated, testConfig(t, 6))
	for _, q := range []struct {
		base, revision uint64
		want           int
	}{
		{0, 5, http.StatusOK},
		{5, 6, http.StatusOK},
		{0, 7, http.StatusPreconditionFailed},
		{6, 3, http.StatusBadRequest},
	} {
		if got := replaceConfig(c.clientAt(isolated), q.base, testConfig(t, q.revision)); got != q.want {
			t.Errorf("once it is back, %d on %d: %d, want %d", q.revision, q.base, got, q.want)
		}
	}
}

// requireNewestReadBack requires that a machine reads back a configuration, and none before it.
func (c *partitionedCluster) requireNewestReadBack(addr string, config []byte) {
	c.t.Helper()
	handler := c.clientAt(addr).Handler()
	c.waitUntil("it reads back", func() bool {
		a := (&operatorCall{}).do(handler)
		if a.status == http.StatusOK && !bytes.Equal(a.body, config) {
			c.t.Fatalf("an old one is read back: %q", a.body)
		}
		return a.status == http.StatusOK
	})
}

// The answer to a command that was applied is lost. It is sent again to another machine, after
// another change, after its leader has gone, and is acknowledged.
func TestCommandRetriedElsewhereIsAcknowledged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newPartitionedCluster(t)
		leader := c.awaitLeaderAddr("")
		others := c.others(leader)
		c.loseAnswerOfFirst(leader, others[0])
		for _, addr := range c.addrs {
			if got := replaceConfig(c.clientAt(addr), 0, testConfig(t, 5)); got != http.StatusOK {
				t.Errorf("sent again to %s: %d", addr, got)
			}
		}
		c.stops[leader]()
		if got := replaceConfig(c.clientAt(others[1]), 0, testConfig(t, 5)); got != http.StatusOK {
			t.Errorf("sent again to the next leader: %d", got)
		}
		// Two commands, each sent four times at once.
		for round := range uint64(3) {
			c.requireOneOfTwoCommands(others, 6+round)
		}
	})
}

// loseAnswerOfFirst has revision 5 applied without an answer, and revision 6 on top of it.
func (c *partitionedCluster) loseAnswerOfFirst(leader, at string) {
	c.t.Helper()
	c.partition.setLoseAnswers(true)
	client := c.clientAt(at)
	client.SetMembers(leader, nil)
	a := (&operatorCall{base: 0, config: testConfig(c.t, 5)}).do(client.Handler())
	if !a.isUnavailable() {
		c.t.Fatalf("without an answer of the leader: %d", a.status)
	}
	if got := replaceConfig(c.clientAt(leader), 5, testConfig(c.t, 6)); got != http.StatusOK {
		c.t.Fatalf("on top of it: %d", got)
	}
	c.partition.setLoseAnswers(false)
}

// requireOneOfTwoCommands sends eight calls at once to two machines, of two operators that
// picked the same revision, and requires that one of the two is applied.
func (c *partitionedCluster) requireOneOfTwoCommands(machines []string, base uint64) {
	c.t.Helper()
	statuses := make([]int, 8)
	var callers sync.WaitGroup
	for i := range statuses {
		name := fmt.Sprint("operator-", i%2)
		call := operatorCall{
			base: base,
			config: encodeConfig(c.t, &api.Config{
				Revision:  base + 1,
				Upstreams: []api.Upstream{{Name: name}},
			}),
		}
		callers.Go(func() {
			statuses[i] = http.StatusServiceUnavailable
			handler := c.clientAt(machines[i/2%2]).Handler()
			deadline := time.Now().Add(testTimeout)
			for statuses[i] == http.StatusServiceUnavailable && time.Now().Before(deadline) {
				statuses[i] = call.do(handler).status
			}
		})
	}
	callers.Wait()
	count := map[int]int{}
	for i, status := range statuses {
		count[status]++
		if status != statuses[i%2] {
			c.t.Errorf("on %d: one command is answered %d and %d", base, status, statuses[i%2])
		}
	}
	if count[http.StatusOK] != 4 || count[http.StatusPreconditionFailed] != 4 {
		c.t.Errorf("on %d: statuses %v", base, count)
	}
}

// While a member lags, the leader is cut off, and so on, and the others apply changes:
// whichever member grants a limiter a lease, with it comes no older configuration than one that
// was acknowledged before the limiter asked. A lease holds from then for revoke_ms less 0.5 s,
// so nobody serves a configuration that was replaced for longer than that after the
// acknowledgement.
func TestLeasesComeWithTheNewestConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newPartitionedCluster(t)
		c.awaitLeaderAddr("")
		w := &leaseWatch{t: t, done: make(chan struct{})}
		var watchers sync.WaitGroup
		for addr, core := range c.cores {
			watchers.Go(func() { w.watch(addr, core) })
		}
		for range 3 {
			c.replaceInTurn(w, "", 3)
			isolated := c.awaitLeaderAddr("")
			lagging := c.others(isolated)[0]
			c.partition.lag(lagging) // the leader confirms to it what it has not applied
			c.replaceInTurn(w, lagging, 3)
			c.partition.isolate(isolated, false, false)
			c.replaceInTurn(w, isolated, 3)
			c.partition.end()
		}
		before := w.leases.Load()
		c.waitUntil("leases once all is calm", func() bool { return w.leases.Load() > before+6 })
		close(w.done)
		watchers.Wait()
		if acknowledged := w.acknowledged.Load(); acknowledged != 27 {
			t.Errorf("%d changes", acknowledged)
		}
	})
}

// leaseWatch checks the leases that members grant.
type leaseWatch struct {
	t            *testing.T
	done         chan struct{}
	acknowledged atomic.Uint64 // the highest revision
	leases       atomic.Uint64 // granted
}

// replaceInTurn has changes applied, one on top of the other, by those who are not cut off.
func (c *partitionedCluster) replaceInTurn(w *leaseWatch, isolated string, changes int) {
	c.t.Helper()
	for range changes {
		base := w.acknowledged.Load()
		if got := c.replaceUntilAnswered(isolated, base, testConfig(c.t, base+1)); got != http.StatusOK {
			c.t.Fatalf("revision %d: %d", base+1, got)
		}
		w.acknowledged.Store(base + 1)
	}
}

// watch watches a member until all is done, for testTimeout at most.
func (w *leaseWatch) watch(addr string, core *Core) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-w.done:
			return
		default:
		}
		before := w.acknowledged.Load()
		r, err := core.Watch(ctx, &api.WatchRequest{Revision: before, ServersVersion: math.MaxUint64})
		if err != nil {
			w.t.Error(err)
			return
		}
		time.Sleep(time.Millisecond) // else the bubble's clock stands where an answer waits for nothing
		if !r.Lease {
			continue
		}
		w.leases.Add(1)
		if r.Revision < before {
			w.t.Errorf("%s grants a lease with revision %d, %d was acknowledged before", addr, r.Revision, before)
		}
	}
}

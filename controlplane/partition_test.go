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

// A leader or follower is isolated, in both directions or one. If it is isolated in both, it is
// restarted meanwhile, and the other machines after it. While it is isolated it answers every
// operator with 503 before the operator's deadline, and gives limiters neither a lease nor a
// configuration. Once it is reconnected it answers with the newest configuration. Guards against
// an isolated machine that keeps answering with an old configuration, or refuses or confirms
// commands, as users have reported.
func TestIsolatedMachineAnswersUnavailable(t *testing.T) {
	t.Parallel()
	for _, c := range []isolationCase{
		{name: "the leader", leader: true, restarts: true},
		{name: "a follower", restarts: true},
		{name: "the leader, outbound allowed", leader: true, outboundAllowed: true},
		{name: "the leader, inbound allowed", leader: true, inboundAllowed: true},
	} {
		runInBubble(t, c.name, c.run)
	}
}

type isolationCase struct {
	name                            string
	leader                          bool
	outboundAllowed, inboundAllowed bool // while the machine is isolated
	restarts                        bool
}

func (v *isolationCase) run(t *testing.T) {
	t.Helper()
	c := newPartitionedCluster(t)
	isolated := c.awaitLeaderAddr("")
	if replaceConfig(c.clientAt(isolated), 0, testConfig(t, 5)) != http.StatusOK {
		t.Fatal("the first configuration was not applied")
	}
	if !v.leader {
		isolated = c.others(c.awaitLeaderAddr(""))[1]
	}
	c.waitUntil("revision 5 at the machine", func() bool { return c.cores[isolated].Status().Revision == 5 })
	c.partition.isolate(isolated, v.outboundAllowed, v.inboundAllowed)
	c.requireUnavailable(isolated, "right after the isolation", !v.outboundAllowed)
	if got := c.replaceUntilAnswered(isolated, 5, testConfig(t, 6)); got != http.StatusOK {
		t.Fatalf("the other machines answered %d", got)
	}
	c.requireUnavailable(isolated, "after the others applied another configuration", !v.outboundAllowed)
	if v.restarts {
		c.restart(isolated)
		c.requireUnavailable(isolated, "after its restart", !v.outboundAllowed)
		c.restartOthers(isolated)
		c.requireUnavailable(isolated, "after the restart of the others", !v.outboundAllowed)
		if got := c.replaceUntilAnswered(isolated, 5, testConfig(t, 6)); got != http.StatusOK {
			t.Errorf("retry at the other machines: status %d", got)
		}
	}
	c.partition.heal()
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
			t.Errorf("after the isolation, revision %d on %d: status %d, want %d", q.revision, q.base, got, q.want)
		}
	}
}

// requireNewestReadBack requires that a machine eventually returns a configuration, and no older
// one before that.
func (c *partitionedCluster) requireNewestReadBack(addr string, config []byte) {
	c.t.Helper()
	handler := c.clientAt(addr).Handler()
	c.waitUntil("a successful read", func() bool {
		a := (&operatorCall{}).do(handler)
		if a.status == http.StatusOK && !bytes.Equal(a.body, config) {
			c.t.Fatalf("the read returned an old configuration: %q", a.body)
		}
		return a.status == http.StatusOK
	})
}

// The answer to an applied command is lost. Retries of the command are acknowledged at any machine,
// even after another change and after the leader has stopped.
func TestCommandRetriedElsewhereIsAcknowledged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newPartitionedCluster(t)
		leader := c.awaitLeaderAddr("")
		others := c.others(leader)
		c.loseAnswerOfFirst(leader, others[0])
		for _, addr := range c.addrs {
			if got := replaceConfig(c.clientAt(addr), 0, testConfig(t, 5)); got != http.StatusOK {
				t.Errorf("retry at %s: status %d", addr, got)
			}
		}
		c.stops[leader]()
		if got := replaceConfig(c.clientAt(others[1]), 0, testConfig(t, 5)); got != http.StatusOK {
			t.Errorf("retry at the next leader: status %d", got)
		}
		// Two competing commands, each sent four times concurrently.
		for round := range uint64(3) {
			c.requireOneOfTwoCommands(others, 6+round)
		}
	})
}

// loseAnswerOfFirst applies revision 5, whose answer is lost, and revision 6 on top of it.
func (c *partitionedCluster) loseAnswerOfFirst(leader, addr string) {
	c.t.Helper()
	c.partition.setLoseAnswers(true)
	client := c.clientAt(addr)
	client.SetMembers(leader, nil)
	a := (&operatorCall{base: 0, config: testConfig(c.t, 5)}).do(client.Handler())
	if !a.isUnavailable() {
		c.t.Fatalf("status %d although the leader's answer was lost", a.status)
	}
	if got := replaceConfig(c.clientAt(leader), 5, testConfig(c.t, 6)); got != http.StatusOK {
		c.t.Fatalf("revision 6 on top of 5: status %d", got)
	}
	c.partition.setLoseAnswers(false)
}

// requireOneOfTwoCommands sends eight concurrent calls to two machines, from two operators that
// picked the same revision, and requires that exactly one of the two commands is applied.
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
			c.t.Errorf("base %d: the same command was answered %d and %d", base, status, statuses[i%2])
		}
	}
	if count[http.StatusOK] != 4 || count[http.StatusPreconditionFailed] != 4 {
		c.t.Errorf("base %d: counts by status %v", base, count)
	}
}

// Changes are applied while a member lags behind or the leader is isolated. A lease that any member
// grants to a limiter comes with a configuration no older than those acknowledged before the
// limiter's request. The lease is valid for revoke_ms less 0.5 s from the request, so that no
// limiter serves a replaced configuration for longer than that after the acknowledgement.
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
			// The leader then confirms reads at indexes that the lagging member has not applied.
			c.partition.blockMessagesTo(lagging)
			c.replaceInTurn(w, lagging, 3)
			c.partition.isolate(isolated, false, false)
			c.replaceInTurn(w, isolated, 3)
			c.partition.heal()
		}
		before := w.leases.Load()
		c.waitUntil("leases after the partition healed", func() bool { return w.leases.Load() > before+6 })
		close(w.done)
		watchers.Wait()
		if acknowledged := w.acknowledged.Load(); acknowledged != 27 {
			t.Errorf("%d acknowledged changes, want 27", acknowledged)
		}
	})
}

// leaseWatch watches members and checks the leases that they grant.
type leaseWatch struct {
	t            *testing.T
	done         chan struct{}
	acknowledged atomic.Uint64 // the highest acknowledged revision
	leases       atomic.Uint64 // number of leases granted
}

// replaceInTurn applies successive changes at the machines that are not isolated.
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

// watch watches a member until done is closed, for testTimeout at most.
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
		time.Sleep(time.Millisecond) // an immediate answer doesn't advance the bubble's clock
		if !r.Lease {
			continue
		}
		w.leases.Add(1)
		if r.Revision < before {
			w.t.Errorf("%s granted a lease with revision %d, but %d was acknowledged before", addr, r.Revision, before)
		}
	}
}

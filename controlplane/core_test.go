package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"example.org/elmspan/api"
)

// A revision is applied once and survives the loss of a member. A member that lost its disk rejoins
// under a new ID, catches up and replaces its former ID as a voter. Regression test: a member that
// joined with an empty disk knew no address to reply to and was never promoted to voter.
func TestMemberThatLostItsDiskIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		client := c.client()
		requireReplaceStatuses(t, client)
		lost := c.addrs[0]
		former := c.cores[lost].host.id
		c.stops[lost]()
		c.awaitLeader()
		c.start(lost, memoryDir(t), false)
		successor := c.cores[lost]
		if successor.host.id == former {
			t.Fatal("the member that lost its disk has its old ID")
		}
		c.waitUntil("the new member replaces the old one as a voter", func() bool {
			successor.mu.Lock()
			defer successor.mu.Unlock()
			members := successor.host.node.Members()
			_, votes := isMember(members, successor.host.id)
			formerKnown, _ := isMember(members, former)
			return votes && !formerKnown && successor.store.state.Revision == 9
		})
		c.stops[c.addrs[1]]() // the other two remain a quorum
		if got := replaceConfig(client, 9, testConfig(t, 10)); got != http.StatusOK {
			t.Errorf("change with the replaced member in the quorum: status %d", got)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		r := client.Get(ctx, &api.GetRequest{})
		if r.Status != http.StatusOK || !bytes.Equal(r.Config, testConfig(t, 10)) {
			t.Errorf("read back: status %d", r.Status)
		}
	})
}

// requireReplaceStatuses checks the status of each kind of configuration change. It leaves the
// cluster at revision 9.
func requireReplaceStatuses(t *testing.T, client *Client) {
	t.Helper()
	for _, c := range []struct {
		name   string
		base   uint64
		config []byte
		want   int
	}{
		{"first change", 0, testConfig(t, 4), http.StatusOK},
		{"first change retried", 0, testConfig(t, 4), http.StatusOK},
		{"conflicting change on the same base", 0, testConfig(t, 6), http.StatusPreconditionFailed},
		{"revision not above the current one", 4, testConfig(t, 3), http.StatusBadRequest},
		{"invalid configuration", 4, []byte("?"), http.StatusBadRequest},
		{"second change", 4, testConfig(t, 9), http.StatusOK},
	} {
		if got := replaceConfig(client, c.base, c.config); got != c.want {
			t.Errorf("%s, base %d: status %d, want %d", c.name, c.base, got, c.want)
		}
	}
}

func TestOneOfConcurrentChangesOnTheSameBaseIsApplied(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const operators = 4
		c := newCluster(t)
		if replaceConfig(c.client(), 0, testConfig(t, 1)) != http.StatusOK {
			t.Fatal("the first change was not applied")
		}
		statuses := make(chan int, operators)
		for i := range operators {
			client, config := c.client(), testConfig(t, uint64(2+i))
			go func() { statuses <- replaceConfig(client, 1, config) }()
		}
		count := map[int]int{}
		for range operators {
			count[<-statuses]++
		}
		if count[http.StatusOK] != 1 || count[http.StatusPreconditionFailed] != operators-1 {
			t.Errorf("statuses %v", count)
		}
	})
}

// Only a leader that a majority confirms grants leases: a leader that has lost the other members
// grants none. A watch is answered with a lease in time even if nothing has changed.
func TestLeaseNeedsAMajority(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		leader := c.awaitLeader()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		c.waitUntil("a lease", func() bool {
			r, err := leader.Watch(ctx, &api.WatchRequest{})
			return err == nil && r.Lease
		})
		for _, addr := range c.addrs {
			if c.cores[addr] != leader {
				c.stops[addr]()
			}
		}
		if r, err := leader.Watch(ctx, &api.WatchRequest{}); err != nil || r.Lease {
			t.Errorf("a lease without a majority: %+v, %v", r, err)
		}
		members := leader.Status().Members
		for _, addr := range c.addrs {
			isAt := func(member string) bool { return strings.Contains(member, " "+addr+" ") }
			if len(members) != 3 || !slices.ContainsFunc(members, isAt) {
				t.Errorf("members %q, want three, one of them at %s", members, addr)
			}
		}
	})
}

// countingListener counts the bytes received and sent on its connections.
type countingListener struct {
	net.Listener
	received, sent atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.sent.Add(int64(n))
	return n, err
}

// A large configuration is compressed both when it is sent to the leader and when it is read back:
// uncompressed, 328 KB occupy a 5 Mbit/s link for longer than the call's timeout. Regression test:
// with 1,400 routes and no compression, seven limiters in a row answered 503, and the change was
// not acknowledged within 10 s.
func TestLargeConfigurationsAreSentCompressed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newStoppedCluster(t, 1)
		addr := c.addrs[0]
		listener := &countingListener{Listener: c.net.listen(addr)}
		c.startOn(addr, memoryDir(t), listener, true)
		client := c.client()
		if got := replaceConfig(client, 0, testConfig(t, 1)); got != http.StatusOK { // retried until there is a leader
			t.Fatalf("first change: status %d", got)
		}
		conn, err := client.Conns.Conn(addr)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		config := largeConfig(t, 2)
		received, sent := listener.received.Load(), listener.sent.Load()
		// Each call is made once and directly, so that retries of a client are not counted.
		r, err := api.CallReplace(ctx, conn, &api.ReplaceRequest{Base: 1, Config: config})
		if err != nil || r.Status != http.StatusOK {
			t.Fatalf("replace: %+v, %v", r, err)
		}
		r, err = api.CallGet(ctx, conn, &api.GetRequest{})
		if err != nil || r.Status != http.StatusOK || !bytes.Equal(r.Config, config) {
			t.Errorf("read back: %+v, %v", r, err)
		}
		received, sent = listener.received.Load()-received, listener.sent.Load()-sent
		if limit := int64(len(config)) / 3; received > limit || sent > limit {
			t.Errorf("configuration of %d bytes: %d bytes sent to the leader, %d received", len(config), received, sent)
		}
	})
}

// largeConfig returns a configuration of 1,400 routes in encoded form.
func largeConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	config := &api.Config{
		Revision:  revision,
		Upstreams: []api.Upstream{{Name: "a"}},
	}
	for i := range 1400 {
		config.Routes = append(config.Routes, api.Route{
			Name:      fmt.Sprintf("r-%x", i*7919),
			Host:      fmt.Sprintf("h%d.example", i%9),
			Prefix:    fmt.Sprintf("/p%x/", i*104729),
			TimeoutMs: 1000,
			Upstream:  "a",
		})
	}
	return encodeConfig(t, config)
}

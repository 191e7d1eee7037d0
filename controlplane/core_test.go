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

// A revision is applied once and is kept through a loss. A member that has lost its disk comes
// back as a new one, catches up and gets the vote of the old one. (Found on a day with a
// replaced machine: a member that joins with nothing on its disk knew no address to answer to,
// and never got its vote.)
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
			t.Fatal("a member without its disk has its old id")
		}
		c.waitUntil("the new member has the old one's vote", func() bool {
			successor.mu.Lock()
			defer successor.mu.Unlock()
			members := successor.host.node.Members()
			_, votes := isMember(members, successor.host.id)
			formerKnown, _ := isMember(members, former)
			return votes && !formerKnown && successor.store.state.Revision == 9
		})
		c.stops[c.addrs[1]]() // the other two go on
		if got := replaceConfig(client, 9, testConfig(t, 10)); got != http.StatusOK {
			t.Errorf("with the member that came back: %d", got)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		r := client.Get(ctx, &api.GetRequest{})
		if r.Status != http.StatusOK || !bytes.Equal(r.Config, testConfig(t, 10)) {
			t.Errorf("read back: %d", r.Status)
		}
	})
}

// requireReplaceStatuses requires the status of each kind of replacement, and leaves revision 9.
func requireReplaceStatuses(t *testing.T, client *Client) {
	t.Helper()
	for _, c := range []struct {
		name   string
		base   uint64
		config []byte
		want   int
	}{
		{"the first", 0, testConfig(t, 4), http.StatusOK},
		{"the first again", 0, testConfig(t, 4), http.StatusOK},
		{"another on the same base", 0, testConfig(t, 6), http.StatusPreconditionFailed},
		{"a revision that is not above", 4, testConfig(t, 3), http.StatusBadRequest},
		{"no configuration", 4, []byte("?"), http.StatusBadRequest},
		{"the second", 4, testConfig(t, 9), http.StatusOK},
	} {
		if got := replaceConfig(client, c.base, c.config); got != c.want {
			t.Errorf("%s, on %d: %d, want %d", c.name, c.base, got, c.want)
		}
	}
}

func TestOneOfTwoChangesOnTheSameBaseIsApplied(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const operators = 4
		c := newCluster(t)
		if replaceConfig(c.client(), 0, testConfig(t, 1)) != http.StatusOK {
			t.Fatal("the first was not applied")
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

// A lease is only granted by a leader that a majority confirms: one that has lost the others
// grants none. A limiter gets one in time even where nothing is new.
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
				t.Errorf("members %q, one of which is at %s", members, addr)
			}
		}
	})
}

// countingListener counts the bytes that its connections carry.
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

// A large configuration goes from the limiter that got it to the leader, and back to one that
// reads it, in a fraction of its bytes: as it is, 328 KB fill a link of 5 Mbit/s for longer
// than the call may take. (Found on a day of 1,400 routes: seven limiters in a row answered
// 503, and the command had no acknowledgement after 10 s. Fails uncompressed.)
func TestLargeConfigurationsAreSentCompressed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newStoppedCluster(t, 1)
		addr := c.addrs[0]
		listener := &countingListener{Listener: c.net.listen(addr)}
		c.startOn(addr, memoryDir(t), listener, true)
		client := c.client()
		if got := replaceConfig(client, 0, testConfig(t, 1)); got != http.StatusOK { // sent until there is a leader
			t.Fatalf("the first is answered %d", got)
		}
		conn, err := client.Conns.Conn(addr)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		config := largeConfig(t, 2)
		received, sent := listener.received.Load(), listener.sent.Load()
		// One call each, as long as it may take: what a client would send again is not counted.
		r, err := api.CallReplace(ctx, conn, &api.ReplaceRequest{Base: 1, Config: config})
		if err != nil || r.Status != http.StatusOK {
			t.Fatalf("%+v, %v", r, err)
		}
		r, err = api.CallGet(ctx, conn, &api.GetRequest{})
		if err != nil || r.Status != http.StatusOK || !bytes.Equal(r.Config, config) {
			t.Errorf("read back: %+v, %v", r, err)
		}
		received, sent = listener.received.Load()-received, listener.sent.Load()-sent
		if limit := int64(len(config)) / 3; received > limit || sent > limit {
			t.Errorf("of %d bytes %d went to the leader and %d back", len(config), received, sent)
		}
	})
}

// largeConfig is a configuration of 1,400 routes.
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

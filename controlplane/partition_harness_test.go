package controlplane

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"example.org/elmspan/api"
)

const (
	operatorDeadline = time.Second            // how long an operator waits for an answer
	maxAnswerTime    = 850 * time.Millisecond // for a call whose outcome is unknown
)

// partition is the state of the network between the machines of a cluster: one machine may be
// isolated, in both directions or one, and responses to operators may be lost.
type partition struct {
	mu sync.Mutex // guards the fields below

	isolated        string // address of the isolated machine, empty if there is none
	outboundAllowed bool   // raft messages from it are delivered
	inboundAllowed  bool   // raft messages to it are delivered
	callsAllowed    bool   // calls other than Deliver get through
	loseAnswers     bool   // commands are applied, but their responses are dropped
}

// isolate cuts a machine off, except for the directions that are allowed.
func (p *partition) isolate(addr string, outboundAllowed, inboundAllowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated, p.outboundAllowed, p.inboundAllowed, p.callsAllowed = addr, outboundAllowed, inboundAllowed, false
}

// heal ends the isolation.
func (p *partition) heal() {
	p.isolate("", false, false)
}

// blockMessagesTo blocks raft messages to a machine, so that it lags behind. All other traffic gets
// through.
func (p *partition) blockMessagesTo(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated, p.outboundAllowed, p.inboundAllowed, p.callsAllowed = addr, true, false, true
}

func (p *partition) setLoseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = lose
}

// blocksMessages reports whether raft messages from one machine to another are blocked.
func (p *partition) blocksMessages(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolated == "" {
		return false
	}
	return from == p.isolated && !p.outboundAllowed || to == p.isolated && !p.inboundAllowed
}

// blocksCalls reports whether calls other than Deliver are blocked. These calls do not name their
// caller, so all of them are blocked while a machine is isolated, even in one direction only: a call
// and its response need both directions.
func (p *partition) blocksCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated != "" && !p.callsAllowed
}

func (p *partition) losesAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loseAnswers
}

// partitionedMember is a member behind the partition. A blocked call gets no response until its
// caller gives up.
type partitionedMember struct {
	*Core
	partition *partition
	addr      string
}

func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Deliver delivers raft messages, unless they are blocked.
func (m *partitionedMember) Deliver(ctx context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	if m.partition.blocksMessages(d.Addr, m.addr) {
		return nil, waitForCancel(ctx)
	}
	return m.Core.Deliver(ctx, d)
}

// Watch answers a limiter, unless calls are blocked.
func (m *partitionedMember) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	if m.partition.blocksCalls() {
		return nil, waitForCancel(ctx)
	}
	return m.Core.Watch(ctx, q)
}

// ReadIndex answers a member, unless calls are blocked.
func (m *partitionedMember) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	if m.partition.blocksCalls() {
		return nil, waitForCancel(ctx)
	}
	return m.Core.ReadIndex(ctx, q)
}

// Join answers a member, unless calls are blocked.
func (m *partitionedMember) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, waitForCancel(ctx)
	}
	return m.Core.Join(ctx, q)
}

// Get answers a client, unless calls are blocked.
func (m *partitionedMember) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, waitForCancel(ctx)
	}
	return m.Core.Get(ctx, q)
}

// Replace answers a client, unless calls are blocked or the response is to be lost.
func (m *partitionedMember) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, waitForCancel(ctx)
	}
	r, err := m.Core.Replace(ctx, q)
	if err == nil && r.Status == http.StatusOK && m.partition.losesAnswers() {
		return nil, waitForCancel(ctx)
	}
	return r, err
}

// partitionedCluster is a cluster of three machines that keep their disks across restarts.
type partitionedCluster struct {
	*cluster
	partition partition
	dirs      map[string]string
}

func newPartitionedCluster(t *testing.T) *partitionedCluster {
	t.Helper()
	c := &partitionedCluster{
		cluster: newStoppedCluster(t, 3),
		dirs:    map[string]string{},
	}
	for _, addr := range c.addrs {
		c.dirs[addr] = memoryDir(t)
		c.start(addr)
	}
	return c
}

func (c *partitionedCluster) start(addr string) {
	c.t.Helper()
	core := c.open(addr, c.dirs[addr], true)
	c.serve(addr, c.net.listen(addr), core, &partitionedMember{core, &c.partition, addr})
}

func (c *partitionedCluster) restart(addr string) {
	c.t.Helper()
	c.stops[addr]()
	c.start(addr)
}

func (c *partitionedCluster) restartOthers(except string) {
	c.t.Helper()
	for _, addr := range c.others(except) {
		c.restart(addr)
	}
}

// others returns the addresses of all machines except one.
func (c *partitionedCluster) others(except string) []string {
	var others []string
	for _, addr := range c.addrs {
		if addr != except {
			others = append(others, addr)
		}
	}
	return others
}

// awaitLeaderAddr waits for a leader among all machines except one, and returns its address.
func (c *partitionedCluster) awaitLeaderAddr(except string) string {
	c.t.Helper()
	leader := ""
	c.waitUntil("a leader", func() bool {
		for addr, core := range c.cores {
			if addr != except && core.Leads() {
				leader = addr
			}
		}
		return leader != ""
	})
	return leader
}

// clientAt returns a client like that in a machine's own process: its local core is the machine's.
func (c *partitionedCluster) clientAt(addr string) *Client {
	client := c.client()
	client.SetLocalCore(c.cores[addr])
	return client
}

// operatorCall is an operator's call over HTTP: a read if config is nil.
type operatorCall struct {
	name   string
	base   uint64
	config []byte
}

// operatorAnswer is the response to an operatorCall.
type operatorAnswer struct {
	status     int
	retryAfter string
	body       []byte
	elapsed    time.Duration
}

func (q *operatorCall) do(handler http.Handler) operatorAnswer {
	r := httptest.NewRequest(http.MethodGet, "/v1/Config.Get", nil)
	if q.config != nil {
		r = httptest.NewRequest(http.MethodPost, "/v1/Config.Replace", bytes.NewReader(q.config))
		r.Header.Set("Base-Revision", strconv.FormatUint(q.base, 10))
	}
	w, began := httptest.NewRecorder(), time.Now()
	handler.ServeHTTP(w, r)
	return operatorAnswer{
		status:     w.Code,
		retryAfter: w.Header().Get("Retry-After"),
		body:       w.Body.Bytes(),
		elapsed:    time.Since(began),
	}
}

// isUnavailable reports whether the answer is a 503 with a Retry-After header.
func (a *operatorAnswer) isUnavailable() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter != ""
}

// replaceUntilAnswered sends a configuration to the leader of the machines that are not isolated
// until the answer is definite, and returns its status.
func (c *partitionedCluster) replaceUntilAnswered(isolated string, base uint64, config []byte) int {
	c.t.Helper()
	call := operatorCall{base: base, config: config}
	status := 0
	c.waitUntil("an answer", func() bool {
		status = call.do(c.clientAt(c.awaitLeaderAddr(isolated)).Handler()).status
		return status != http.StatusServiceUnavailable
	})
	return status
}

// requireUnavailable requires that an isolated machine answers every operator's call in time with
// 503 and Retry-After, and gives a limiter neither a lease nor any state. If sendNew is set, the
// calls include a new configuration. It must not be set if messages from the machine get through:
// the others might commit the configuration.
func (c *partitionedCluster) requireUnavailable(isolated, when string, sendNew bool) {
	c.t.Helper()
	calls := []operatorCall{
		{"retry of the applied configuration", 0, testConfig(c.t, 5)},
		{"configuration with a stale base", 0, testConfig(c.t, 7)},
		{"invalid revision", 5, testConfig(c.t, 3)},
		{name: "read of the configuration"},
	}
	if sendNew {
		calls = append(calls, operatorCall{"new configuration", 5, testConfig(c.t, 9)})
	}
	handler := c.clientAt(isolated).Handler()
	var callers sync.WaitGroup
	for _, q := range calls {
		callers.Go(func() {
			a := q.do(handler)
			if !a.isUnavailable() {
				c.t.Errorf("%s: %s: status %d, Retry-After %q: %.60q", when, q.name, a.status, a.retryAfter, a.body)
			}
			if a.elapsed >= operatorDeadline || a.elapsed > maxAnswerTime {
				c.t.Errorf("%s: %s: answered only after %v", when, q.name, a.elapsed)
			}
		})
	}
	callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r, err := c.cores[isolated].Watch(ctx, &api.WatchRequest{})
		if err != nil || r.Lease || r.ConfigDelta != nil || r.ServersDelta != nil {
			c.t.Errorf("%s: a limiter got %+v, %v", when, r, err)
		}
	})
	callers.Wait()
}

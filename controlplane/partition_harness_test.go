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
	operatorDeadline = time.Second            // so long an operator waits for an answer
	answeredIn       = 850 * time.Millisecond // that it can't be said
)

// partition is what lies between the machines of a cluster: one of them may be cut off, both
// ways or one way, and answers to operators may be lost.
type partition struct {
	mu sync.Mutex // guards all that follows

	isolated    string // address, empty for none
	sends       bool   // its messages get through
	receives    bool   // those to it do
	callsPass   bool   // other calls than those with messages get through
	loseAnswers bool   // commands are applied and not answered
}

// isolate cuts a machine off, but for what it sends or receives.
func (p *partition) isolate(addr string, sends, receives bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated, p.sends, p.receives, p.callsPass = addr, sends, receives, false
}

// end ends a cut.
func (p *partition) end() {
	p.isolate("", false, false)
}

// lag has a machine receive no messages, while all else gets through.
func (p *partition) lag(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated, p.sends, p.receives, p.callsPass = addr, true, false, true
}

func (p *partition) setLoseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = lose
}

// blocksMessages reports whether messages from one machine to another are cut.
func (p *partition) blocksMessages(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolated == "" {
		return false
	}
	return from == p.isolated && !p.sends || to == p.isolated && !p.receives
}

// blocksCalls reports whether other calls are cut. They don't name who calls: one end may be the
// machine that is cut off. They need both ways.
func (p *partition) blocksCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated != "" && !p.callsPass
}

func (p *partition) losesAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loseAnswers
}

// partitionedMember is a member as the others reach it. A call that is cut has no answer until
// its caller gives up.
type partitionedMember struct {
	*Core
	partition *partition
	addr      string
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Deliver takes in messages, unless they are cut.
func (m *partitionedMember) Deliver(ctx context.Context, d *api.DeliverRequest) (*api.DeliverResponse, error) {
	if m.partition.blocksMessages(d.Addr, m.addr) {
		return nil, noAnswer(ctx)
	}
	return m.Core.Deliver(ctx, d)
}

// Watch answers a limiter, unless calls are cut.
func (m *partitionedMember) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	if m.partition.blocksCalls() {
		return nil, noAnswer(ctx)
	}
	return m.Core.Watch(ctx, q)
}

// ReadIndex answers a member, unless calls are cut.
func (m *partitionedMember) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	if m.partition.blocksCalls() {
		return nil, noAnswer(ctx)
	}
	return m.Core.ReadIndex(ctx, q)
}

// Join answers a member, unless calls are cut.
func (m *partitionedMember) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, noAnswer(ctx)
	}
	return m.Core.Join(ctx, q)
}

// Get answers a client, unless calls are cut.
func (m *partitionedMember) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, noAnswer(ctx)
	}
	return m.Core.Get(ctx, q)
}

// Replace answers a client, unless calls are cut or the answers are lost.
func (m *partitionedMember) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	if m.partition.blocksCalls() {
		return nil, noAnswer(ctx)
	}
	r, err := m.Core.Replace(ctx, q)
	if err == nil && r.Status == http.StatusOK && m.partition.losesAnswers() {
		return nil, noAnswer(ctx)
	}
	return r, err
}

// partitionedCluster are three machines that keep their disks over a restart.
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

func (c *partitionedCluster) restartOthers(than string) {
	c.t.Helper()
	for _, addr := range c.others(than) {
		c.restart(addr)
	}
}

// others are all machines but one.
func (c *partitionedCluster) others(than string) []string {
	var others []string
	for _, addr := range c.addrs {
		if addr != than {
			others = append(others, addr)
		}
	}
	return others
}

// awaitLeaderAddr returns the machine that leads, of all but one.
func (c *partitionedCluster) awaitLeaderAddr(but string) string {
	c.t.Helper()
	leader := ""
	c.waitUntil("a leader", func() bool {
		for addr, core := range c.cores {
			if addr != but && core.Leads() {
				leader = addr
			}
		}
		return leader != ""
	})
	return leader
}

// clientAt is the client in the process of a machine.
func (c *partitionedCluster) clientAt(addr string) *Client {
	client := c.client()
	client.SetLocalCore(c.cores[addr])
	return client
}

// operatorCall is an operator's call over HTTP, a read where there is no configuration.
type operatorCall struct {
	name   string
	base   uint64
	config []byte
}

// operatorAnswer is the answer, and how long it took.
type operatorAnswer struct {
	status     int
	retryAfter string
	body       []byte
	took       time.Duration
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
		took:       time.Since(began),
	}
}

// isUnavailable reports whether an operator is given a time to try again.
func (a *operatorAnswer) isUnavailable() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter != ""
}

// replaceUntilAnswered sends a configuration to those who are not cut off, whoever leads them
// by then, until there is a clear answer. It returns its status.
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

// requireUnavailable requires of a machine that is cut off that no operator's call has a clear
// answer, that all have one in time, and that a limiter gets nothing of what it knows.
// withNew: a new configuration is sent too. Not where what the machine sends gets through: the
// others might commit it.
func (c *partitionedCluster) requireUnavailable(isolated, when string, withNew bool) {
	c.t.Helper()
	calls := []operatorCall{
		{"what was applied, sent again", 0, testConfig(c.t, 5)},
		{"what has lost", 0, testConfig(c.t, 7)},
		{"what is invalid there", 5, testConfig(c.t, 3)},
		{name: "a read"},
	}
	if withNew {
		calls = append(calls, operatorCall{"a new one", 5, testConfig(c.t, 9)})
	}
	handler := c.clientAt(isolated).Handler()
	var callers sync.WaitGroup
	for _, q := range calls {
		callers.Go(func() {
			a := q.do(handler)
			if !a.isUnavailable() {
				c.t.Errorf("%s: %s is answered %d, Retry-After %q: %.60q", when, q.name, a.status, a.retryAfter, a.body)
			}
			if a.took >= operatorDeadline || a.took > answeredIn {
				c.t.Errorf("%s: %s is answered after %v", when, q.name, a.took)
			}
		})
	}
	callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r, err := c.cores[isolated].Watch(ctx, &api.WatchRequest{})
		if err != nil || r.Lease || r.ConfigDelta != nil || r.ServersDelta != nil {
			c.t.Errorf("%s: a limiter is told %+v, %v", when, r, err)
		}
	})
	callers.Wait()
}

package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"example.org/elmspan/balancer"
	"example.org/elmspan/internal/backoff"
)

const (
	watchWait     = 20 * time.Second // how long discovery may hold a watch request
	watchSlack    = 2 * time.Second  // time-out of a request beyond the time it may be held
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	maxListSize   = 4 << 20
	// unchangedPause follows an unchanged response that arrives sooner than this. It prevents a
	// busy loop, and is shorter than the 200 ms after which a watch ends.
	unchangedPause = 50 * time.Millisecond

	// If the list must be polled, all limiters together make their first calls at a rate of one
	// per callInterval. Calls that are rejected for overload are retried at a total rate of one
	// per callInterval/2, which falls to one per overloadedCallInterval while they keep failing:
	// discovery also processes calls whose callers have timed out, so above its capacity it
	// answers none in time until most callers back off.
	callInterval           = 60 * time.Millisecond
	overloadedCallInterval = 150 * time.Millisecond
)

// serverList is a response of the discovery service.
type serverList struct {
	Seq   int64        `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts []serverItem `json:"hosts"`
}

// serverItem is one server in a serverList.
type serverItem struct {
	Host      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Cell      int     `json:"block"`
	State     string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"`
}

// UnmarshalJSON replaces an entry that can't be parsed with an empty one, so that the rest of
// the list is used.
func (l *serverList) UnmarshalJSON(data []byte) error {
	var raw struct {
		Seq   int64             `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	l.Seq, l.Whole, l.Hosts = raw.Seq, raw.Whole, nil
	for _, h := range raw.Hosts {
		var item serverItem
		if json.Unmarshal(h, &item) != nil {
			item = serverItem{} // applyList drops and logs it, as it has no host
		}
		l.Hosts = append(l.Hosts, item)
	}
	return nil
}

var phases = map[string]balancer.Phase{
	"ready": balancer.Up, "draining": balancer.Draining, "gone": balancer.Removed,
}

// serverID returns the limiter's ID of a server. Limiters send it to each other, so it depends
// on the name alone.
func serverID(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // a hash returns no error
	return h.Sum64()
}

// serverInfo validates an entry and converts it for the limiter.
func (i serverItem) serverInfo(zones []string) (balancer.ServerInfo, error) {
	phase, ok := phases[i.State]
	switch {
	case i.Host == "":
		return balancer.ServerInfo{}, errors.New("entry without a host")
	case !ok:
		return balancer.ServerInfo{}, fmt.Errorf("host %q: unknown health %q", i.Host, i.State)
	case i.StartedMs < 0 || i.Weight < 0:
		return balancer.ServerInfo{}, fmt.Errorf("host %q: born_ms or share is negative", i.Host)
	}
	zone := slices.Index(zones, i.Zone)
	if phase != balancer.Removed { // of a removed server only the name matters
		if _, err := netip.ParseAddrPort(i.Address); err != nil {
			return balancer.ServerInfo{}, fmt.Errorf("host %q: dial: %w", i.Host, err)
		}
		if zone < 0 {
			return balancer.ServerInfo{}, fmt.Errorf("host %q: unknown site %q", i.Host, i.Zone)
		}
	}
	return balancer.ServerInfo{ID: serverID(i.Host), Zone: zone, Cell: i.Cell, ReadyAt: i.StartedMs,
		Phase: phase, Weight: i.Weight}, nil
}

// applyList passes a server list to the pool and the limiter.
func (n *Node) applyList(scope balancer.Scope, l serverList) {
	ev := balancer.Endpoints{Scope: scope}
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := map[uint64]bool{}
	for _, item := range l.Hosts {
		info, err := item.serverInfo(n.cfg.Settings.Zones)
		if err == nil && listed[info.ID] {
			err = fmt.Errorf("host %q is listed twice", item.Host)
		}
		if err != nil {
			n.inputLog.warn("server list entry dropped", "error", err)
			continue
		}
		listed[info.ID] = true
		if n.updateHost(info, item.Address) {
			n.log.Info("server", "host", item.Host, "number", info.ID, "health", item.State, "dial", item.Address)
		}
		ev.Servers = append(ev.Servers, info)
	}
	if scope != balancer.Partial {
		n.pool.Retain(listed)
	}
	n.hasServers = n.hasServers || len(listed) > 0
	n.handleEvent(ev)
}

// listIndex is the version of the list that a watch resumes from.
type listIndex struct {
	seq   int64
	valid bool // false: request the complete list
}

// errOverloaded reports that discovery rejected a call because it is overloaded.
var errOverloaded = errors.New("overloaded")

// discoveryPacing paces the calls of one limiter to discovery, a service that all limiters share.
type discoveryPacing struct {
	initialDelay       time.Duration    // before the first call
	failed, overloaded *backoff.Backoff // after errOverloaded: overloaded; after other errors: failed
}

// newDiscoveryPacing returns the pacing of a limiter. The delays grow with the number of limiters:
// a few may call at once and often, as only many can overload discovery.
func newDiscoveryPacing(cfg *Config) *discoveryPacing {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0xd15c))
	limiters := time.Duration(cfg.Settings.Limiter.Balancers)
	p := &discoveryPacing{
		failed: backoff.New(minRetryPause, maxRetryPause, rng),
		overloaded: backoff.New(max(minRetryPause, limiters*callInterval/2),
			max(maxRetryPause, limiters*overloadedCallInterval), rng),
	}
	if cfg.Settings.Limiter.PollMembership {
		p.initialDelay = backoff.Jitter(limiters*callInterval, rng)
	}
	return p
}

// pauseAfter returns the pause before the next call, given the error of the last one.
func (p *discoveryPacing) pauseAfter(err error) time.Duration {
	switch {
	case err == nil:
		p.failed.Reset()
		p.overloaded.Reset()
		return 0
	case errors.Is(err, errOverloaded):
		return p.overloaded.Next()
	}
	return p.failed.Next()
}

// watchDiscovery watches the discovery service at an address until the context is canceled. The
// last list stays in use while discovery does not respond or its response can't be parsed.
func (n *Node) watchDiscovery(ctx context.Context, addr string, index listIndex) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	pace := newDiscoveryPacing(n.cfg)
	if index.valid { // otherwise there is no list to serve requests with: call at once
		backoff.Sleep(ctx, pace.initialDelay)
	}
	for ctx.Err() == nil {
		// A request for the complete list is answered at once, so its time-out is short.
		path, timeout := "/v1/servers", watchSlack
		if index.valid {
			path = fmt.Sprintf("/v1/servers?index=%d&wait=%d", index.seq, watchWait.Milliseconds())
			timeout += watchWait
		}
		calledAt := time.Now()
		l, err := fetchList(ctx, client, "http://"+addr+path, timeout)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.discoveryLog.warn("discovery request failed", "error", err)
			backoff.Sleep(ctx, pace.pauseAfter(err))
			continue
		}
		pace.pauseAfter(nil)
		if l.Whole {
			n.applyList(balancer.Complete, l)
		} else if len(l.Hosts) > 0 {
			n.applyList(balancer.Partial, l)
		}
		if l.Seq == index.seq && index.valid && time.Since(calledAt) < unchangedPause {
			backoff.Sleep(ctx, unchangedPause)
		}
		index = listIndex{l.Seq, true}
	}
}

// fetchList makes one call to discovery.
func fetchList(ctx context.Context, client *http.Client, url string, timeout time.Duration) (l serverList, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return l, err
	}
	defer func() { _ = resp.Body.Close() }() // the list has been read
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return l, fmt.Errorf("status %s: %w", resp.Status, errOverloaded)
	default:
		return l, fmt.Errorf("status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListSize)).Decode(&l); err != nil {
		return l, fmt.Errorf("decoding the server list: %w", err)
	}
	// Read to the end to keep the connection open. If that fails, the next call opens a new one.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	return l, nil
}

// updateHost updates a server in the pool, and reports whether it changed.
func (n *Node) updateHost(info balancer.ServerInfo, dial string) bool {
	if info.Phase == balancer.Removed {
		return n.pool.Remove(info.ID)
	}
	return n.pool.Update(info.ID, dial, info.ReadyAt, info.Phase == balancer.Up)
}

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
	watchWait     = 20 * time.Second // how long discovery may hold a watch
	watchSlack    = 2 * time.Second  // and how much later its answer is given up
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	maxListSize   = 4 << 20
	// A response without a change that comes early is followed by the next call after this
	// pause: less than the 200 ms after which a watch ends, but not a busy loop.
	idlePause = 50 * time.Millisecond

	// Where the list must be requested, all limiters together first call discovery once in
	// callEvery. One that is rejected for overload pauses so that all would call once in
	// callEvery/2 or, if that goes on, in overloadedEvery: discovery also works on calls that
	// have waited too long, and so above its capacity answers none until most stay away.
	callEvery       = 60 * time.Millisecond
	overloadedEvery = 150 * time.Millisecond
)

// serverList is a response of discovery.
type serverList struct {
	Seq   int64        `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts []serverItem `json:"hosts"`
}

// serverItem is one server in a response of discovery.
type serverItem struct {
	Host      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Cell      int     `json:"block"`
	State     string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"`
}

// UnmarshalJSON replaces an entry that can't be read by an empty one, so that the rest of the
// list is used.
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
			item = serverItem{} // has no host: applyList drops and logs it
		}
		l.Hosts = append(l.Hosts, item)
	}
	return nil
}

var phases = map[string]balancer.Phase{
	"ready": balancer.Up, "draining": balancer.Draining, "gone": balancer.Removed,
}

// serverID is the module's number of a server. Limiters send it to each other, so it depends
// on the name alone.
func serverID(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // a hash returns no error
	return h.Sum64()
}

// info checks an entry and translates it for the module.
func (i serverItem) info(zones []string) (balancer.ServerInfo, error) {
	phase, ok := phases[i.State]
	switch {
	case i.Host == "":
		return balancer.ServerInfo{}, errors.New("an entry without a host")
	case !ok:
		return balancer.ServerInfo{}, fmt.Errorf("host %q: health %q", i.Host, i.State)
	case i.StartedMs < 0 || i.Weight < 0:
		return balancer.ServerInfo{}, fmt.Errorf("host %q: a number below 0", i.Host)
	}
	zone := slices.Index(zones, i.Zone)
	if phase != balancer.Removed { // of what is gone only the name matters
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

// applyList passes a list to the pool and the module.
func (n *Node) applyList(scope balancer.Scope, l serverList) {
	ev := balancer.Endpoints{Scope: scope}
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := map[uint64]bool{}
	for _, item := range l.Hosts {
		info, err := item.info(n.cfg.Settings.Zones)
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

// listIndex is the version of the list that a watch goes on from, if there is one.
type listIndex struct {
	seq  int64
	have bool
}

// errOverloaded says that discovery rejected a call.
var errOverloaded = errors.New("overloaded")

// discoveryPacing says when one limiter of many calls discovery.
type discoveryPacing struct {
	spread             time.Duration    // the first call comes within this
	failed, overloaded *backoff.Backoff // after no answer, after errOverloaded
}

// newDiscoveryPacing returns the pacing of a limiter. One of few calls at once and often: only
// many are a load.
func newDiscoveryPacing(cfg *Config) *discoveryPacing {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0xd15c))
	limiters := time.Duration(cfg.Settings.Limiter.Balancers)
	p := &discoveryPacing{
		failed: backoff.New(minRetryPause, maxRetryPause, rng),
		overloaded: backoff.New(max(minRetryPause, limiters*callEvery/2),
			max(maxRetryPause, limiters*overloadedEvery), rng),
	}
	if cfg.Settings.Limiter.PollMembership {
		p.spread = backoff.Jitter(limiters*callEvery, rng)
	}
	return p
}

// after returns the pause before the next call to discovery.
func (p *discoveryPacing) after(err error) time.Duration {
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

// watchDiscovery follows discovery at an address until the context ends. The last list stays
// in use while discovery does not respond or its response can't be read.
func (n *Node) watchDiscovery(ctx context.Context, addr string, index listIndex) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	pace := newDiscoveryPacing(n.cfg)
	if index.have { // else there is nothing to serve with until the list comes
		backoff.Sleep(ctx, pace.spread)
	}
	for ctx.Err() == nil {
		// The whole list comes at once, or the call is made anew.
		path, timeout := "/v1/servers", watchSlack
		if index.have {
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
			backoff.Sleep(ctx, pace.after(err))
			continue
		}
		pace.after(nil)
		if l.Whole {
			n.applyList(balancer.Complete, l)
		} else if len(l.Hosts) > 0 {
			n.applyList(balancer.Partial, l)
		}
		if l.Seq == index.seq && index.have && time.Since(calledAt) < idlePause {
			backoff.Sleep(ctx, idlePause)
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
		return l, fmt.Errorf("reading the list: %w", err)
	}
	// To the end, so that the connection is kept; if that fails, the next call opens another one.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	return l, nil
}

// updateHost passes the pool what the list says of a server, and reports whether it changed.
func (n *Node) updateHost(info balancer.ServerInfo, dial string) bool {
	if info.Phase == balancer.Removed {
		return n.pool.Remove(info.ID)
	}
	return n.pool.Update(info.ID, dial, info.ReadyAt, info.Phase == balancer.Up)
}

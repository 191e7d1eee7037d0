package dataplane

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/persistentmap"
)

// Request limits if the configuration sets none.
const (
	defaultMaxHead     = 16 << 10
	defaultMaxBody     = 64 << 20
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
)

// Bounds of what an operator can set: the configuration itself bounds no number.
const (
	// maxMaxHead is the highest limit on a request head, in bytes. A head is read into memory.
	maxMaxHead = 1 << 20
	// maxConfigDuration is the longest duration, longer than any connection lasts.
	maxConfigDuration = 365 * 24 * time.Hour
)

// configDuration returns a duration of the configuration, given in milliseconds: 0 for numbers that are not above 0, at
// most maxConfigDuration.
func configDuration(ms float64) time.Duration {
	return min(max(0, millis(ms)), maxConfigDuration)
}

// maxWeight is the largest weight that is used as it is: any number of these has a finite sum.
const maxWeight = 1e300

// boundedWeights returns a traffic split whose weights have a finite sum, in the same proportions. Beside an infinite
// weight, finite ones are 0.
func boundedWeights(split []api.WeightedUpstream) []api.WeightedUpstream {
	largest := 0.0
	for _, s := range split {
		largest = max(largest, s.Weight)
	}
	if largest <= maxWeight {
		return split
	}
	bounded := slices.Clone(split)
	for i := range bounded {
		w := &bounded[i].Weight
		if *w == largest { // also if both are infinite
			*w = 1
		} else {
			*w /= largest
		}
	}
	return bounded
}

// keyHash is the hash of a tenant's API key. The key itself is not stored.
type keyHash = [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// snapshot is one version of the configuration, indexed for look-ups. It is immutable. Snapshots share their unchanged
// parts, so that the cost of a change depends on the size of the change and not of the configuration.
type snapshot struct {
	revision    uint64
	checksum    uint64                            // of all rows; see versioned.RowChecksum
	checksums   persistentmap.Map[string, uint64] // of each row, by row key
	hosts       persistentmap.Map[string, *host]  // by name, in lower case
	keys        persistentmap.Map[keyHash, *tenant]
	tenants     persistentmap.Map[string, *tenant] // by name
	maxHead     int                                // bytes of a request head
	maxBody     int64                              // bytes of a request body
	headTimeout time.Duration                      // for reading a request head, from its first byte
	idleTimeout time.Duration                      // between two requests on a connection
}

// host holds the routes of one host.
type host struct {
	routes  map[string]*route // by path prefix
	lengths []int             // distinct lengths of the prefixes, the longest first
}

// route is a route of the configuration with derived values.
type route struct {
	api.Route
	timeout     time.Duration
	totalWeight float64 // sum of the weights of the traffic split
}

// tenant is a tenant of the configuration. The limiter holds its quota.
type tenant struct {
	name     string
	id       uint64
	keys     []keyHash
	priority int // 0 is the highest
}

func newRoute(r *api.Route) *route {
	x := &route{Route: *r, timeout: configDuration(r.TimeoutMs)}
	x.TrafficSplit = boundedWeights(r.TrafficSplit)
	for _, s := range x.TrafficSplit {
		x.totalWeight += s.Weight
	}
	return x
}

// setLimits sets the request limits, with defaults for those that are not above 0. Called before the snapshot is
// shared.
func (s *snapshot) setLimits(l *api.RequestLimits) {
	s.maxHead = int(min(cmp.Or(max(0, l.MaxHeaderBytes), defaultMaxHead), maxMaxHead))
	s.maxBody = cmp.Or(max(0, l.MaxBodyBytes), defaultMaxBody)
	s.headTimeout = cmp.Or(configDuration(l.HeaderTimeoutMs), defaultHeadTimeout)
	s.idleTimeout = cmp.Or(configDuration(l.IdleTimeoutMs), defaultIdleTimeout)
}

// keysRequired reports whether requests need an API key, which is so if the configuration has a tenant table. An empty
// table arrives as the row of one tenant without keys; see package api.
func (s *snapshot) keysRequired() bool { return s.tenants.Len() > 0 }

// route returns the route with the longest prefix that matches a host and path, nil if none matches. It makes one
// look-up for each distinct prefix length of the host, however many routes there are, and does not allocate if the name
// is in lower case.
func (s *snapshot) route(name, path string) *route {
	h, ok := s.hosts.Get(strings.ToLower(name))
	if !ok {
		i := strings.LastIndexByte(name, ':')
		if i < 0 {
			return nil
		}
		if h, ok = s.hosts.Get(strings.ToLower(name[:i])); !ok {
			return nil
		}
	}
	for _, n := range h.lengths {
		if n <= len(path) && path[n-1] == '/' {
			if r := h.routes[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// services returns the services to which a route may send a request.
func (r *route) services() []string {
	if len(r.TrafficSplit) == 0 {
		return []string{r.Upstream}
	}
	var names []string
	for _, s := range r.TrafficSplit {
		if s.Weight > 0 {
			names = append(names, s.Upstream)
		}
	}
	return names
}

// pickService picks one of a route's services in proportion to their weights, by a random number in [0, 1).
func (r *route) pickService(draw float64) string {
	if len(r.TrafficSplit) == 0 {
		return r.Upstream
	}
	draw *= r.totalWeight
	last := ""
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		last = s.Upstream
		if draw -= s.Weight; draw < 0 {
			break
		}
	}
	return last
}

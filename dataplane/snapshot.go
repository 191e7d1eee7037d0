package dataplane

import (
	"cmp"
	"crypto/sha256"
	"strings"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/persistentmap"
)

// Limits of requests where the configuration sets none.
const (
	defaultMaxHead     = 16 << 10
	defaultMaxBody     = 64 << 20
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
)

// keyHash is what is kept of a tenant's key.
type keyHash = [sha256.Size]byte

// hashKey returns the hash of a key.
func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// snapshot is one version of the configuration, ready for look-ups. It is immutable. The next one shares with it all
// that stays as it is, so that a change costs what changed, not what there is.
type snapshot struct {
	revision    uint64
	checksum    uint64                            // over all rows; see versioned.RowChecksum
	checksums   persistentmap.Map[string, uint64] // of each row, by its key
	hosts       persistentmap.Map[string, *host]  // by name, in lower case
	keys        persistentmap.Map[keyHash, *tenant]
	tenants     persistentmap.Map[string, *tenant] // by name
	maxHead     int                                // bytes of a request's head
	maxBody     int64                              // bytes of a request's body
	headTimeout time.Duration                      // for a request's head, from its first byte
	idleTimeout time.Duration                      // between two requests of a connection
}

// host holds the routes of one host.
type host struct {
	routes  map[string]*route // by prefix
	lengths []int             // of the prefixes, the longest first, each once
}

// route is a route of the configuration with what is derived from it.
type route struct {
	api.Route
	timeout       time.Duration
	latencyTarget time.Duration // 0: none
	totalWeight   float64       // of the traffic split
}

// tenant is a tenant of the configuration. Its quota is the limiter's.
type tenant struct {
	name string
	id   uint64
	keys []keyHash
}

func newRoute(r *api.Route) *route {
	x := &route{Route: *r, timeout: millis(r.TimeoutMs), latencyTarget: millis(r.TargetMs)}
	for _, s := range r.TrafficSplit {
		x.totalWeight += s.Weight
	}
	return x
}

// setLimits takes over limits of requests, with the defaults where they are 0. Called before the snapshot is shared.
func (s *snapshot) setLimits(l *api.RequestLimits) {
	s.maxHead = cmp.Or(int(l.MaxHeaderBytes), defaultMaxHead)
	s.maxBody = cmp.Or(l.MaxBodyBytes, defaultMaxBody)
	s.headTimeout = cmp.Or(millis(l.HeaderTimeoutMs), defaultHeadTimeout)
	s.idleTimeout = cmp.Or(millis(l.IdleTimeoutMs), defaultIdleTimeout)
}

// keysRequired reports whether requests need a tenant's key: where there are tenants.
func (s *snapshot) keysRequired() bool { return s.tenants.Len() > 0 }

// route returns the route of a host and path, nil where none fits: the one whose
// prefix is the longest. It costs a look-up for each length of the host's
// prefixes, however many routes there are, and makes no garbage.
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

// pickService picks one of a route's services by their weights, from a draw in [0, 1).
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

package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/shedding"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// randomStream is the second word of the random generator's seed.
const randomStream = 0xba1

// Member is one server process. Only the [Set] that it belongs to modifies it.
type Member struct {
	api.Server
	Hash uint32 // of the id; identifies the server in hints

	service      *service
	inFlight     int                 // requests of this limiter
	attempted    bool                // it has received a request from this limiter
	peerLoads    map[uint64]peerLoad // by limiter, from its hints
	slowdown     float64             // latency relative to the typical latency, as of slowdownAt
	slowdownAt   float64
	warmingUntil float64 // end of the slow start

	health         health.Detector
	lastSuccessAt  float64 // 0: none yet
	lastFailureAt  float64 // of the last failure that counted against its zone; 0: none yet
	replacedUntil  float64 // not chosen until then, as another server responded at its address
	rejectingUntil float64 // not chosen until then, as it rejected a request

	affinity       affinity
	sharedFraction float64 // fraction in the subsets of other limiters, 0 to 1; large fleets only
}

// affinity tells to which limiter's subset a server belongs. The cost of a server increases with
// its value.
type affinity uint8

const (
	ownServer     affinity = iota // in this limiter's subset
	peerServer                    // in a small fleet, all others; in a large one, in the subset of a neighbor
	distantServer                 // in a large fleet, all others; their loads are not known
)

// service is the state of a service and its servers.
type service struct {
	members          []*Member // ordered by id
	nearby           []*Member // in a large fleet, members whose affinity is not distantServer
	typicalLatencyMs float64   // moving average over the responses of all servers
	// latencyDeviationMs is the moving average of the distance of those from typicalLatencyMs.
	latencyDeviationMs float64
	successes          float64
	shortage           shedding.Shortage
	shares             shedding.ServedShares
	baseline           health.Baseline
	demandRate         float64 // requests per second at this limiter, as of demandRateAt; decays
	demandRateAt       float64
	// demand is the requests per second by limiter of the zone; own: as of the last UpdateSubsets.
	demand map[uint64]float64
}

// Set holds what a limiter knows about the servers. It is not safe for concurrent use.
type Set struct {
	zone             string
	self             uint64   // hash of this limiter's name
	zoneLimiters     []uint64 // hashes of the names of the limiters in this zone, with this one; sorted
	largeFleet       bool     // limiters of other zones send no loads, and subsets are used
	rng              *rand.Rand
	byID             map[string]*Member
	byHash           map[uint32]*Member
	services         map[string]*service
	pendingHints     map[uint32]uint8 // latency to report, by server; 0: only the load has changed
	sampleBuffer     []*Member        // result of the last sample, reused
	subsetsUpdatedAt float64
	zones            map[string]*health.Detector // detectors of zone outages
}

// New returns an empty set for a limiter in a zone. self is the hash of the limiter's name.
func New(zone string, self, seed uint64) *Set {
	return &Set{
		zone:         zone,
		self:         self,
		rng:          rand.New(rand.NewPCG(seed, randomStream)),
		byID:         map[string]*Member{},
		byHash:       map[uint32]*Member{},
		services:     map[string]*service{},
		pendingHints: map[uint32]uint8{},
		zones:        map[string]*health.Detector{},
	}
}

// SetServers replaces the list of servers. A new member id is a new server, even at the address
// of an earlier one.
func (s *Set) SetServers(now float64, list []api.Server) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	var removed []string
	for id := range s.byID {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	s.ApplyDelta(now, list, removed)
}

// ApplyDelta applies a change of the list of servers: put has new and changed servers, removed
// the ids of removed ones.
func (s *Set) ApplyDelta(now float64, put []api.Server, removed []string) {
	changed := map[string]bool{} // names of services
	for _, id := range removed {
		if m := s.byID[id]; m != nil {
			s.remove(m)
			changed[m.Upstream] = true
		}
	}
	for _, e := range put {
		m := s.byID[e.ID]
		if m == nil {
			m = s.add(now, e.ID)
		} else if m.Upstream != e.Upstream {
			changed[m.Upstream] = true
			s.leave(m)
		}
		m.Server, m.warmingUntil = e, now+e.WarmupMs
		m.Capacity = max(1, m.Capacity)
		s.join(m)
		changed[m.Upstream] = true
	}
	for name := range changed {
		if v := s.services[name]; v != nil {
			s.assignAffinity(v)
		}
	}
}

// add creates a member. It does not belong to a service yet.
func (s *Set) add(now float64, id string) *Member {
	m := &Member{
		Hash:       uint32(xxhash.Sum64String(id)),
		slowdown:   1,
		slowdownAt: now,
		peerLoads:  map[uint64]peerLoad{},
	}
	s.byID[id], s.byHash[m.Hash] = m, m
	return m
}

func (s *Set) remove(m *Member) {
	delete(s.byID, m.ID)
	if s.byHash[m.Hash] == m {
		delete(s.byHash, m.Hash)
	}
	s.leave(m)
}

// search returns the index of a server among the members of the service, or the index at which
// to insert it, and whether it is a member.
func (v *service) search(m *Member) (int, bool) {
	return slices.BinarySearchFunc(v.members, m, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
}

// join adds a server to its service.
func (s *Set) join(m *Member) {
	v := s.services[m.Upstream]
	if v == nil {
		v = &service{demand: map[uint64]float64{}}
		s.services[m.Upstream] = v
	}
	m.service = v
	if i, found := v.search(m); !found {
		v.members = slices.Insert(v.members, i, m)
	}
}

// leave removes a server from its service. A service without members is deleted.
func (s *Set) leave(m *Member) {
	v := s.services[m.Upstream]
	if i, found := v.search(m); found {
		v.members = slices.Delete(v.members, i, i+1)
	}
	if len(v.members) == 0 {
		delete(s.services, m.Upstream)
	}
}

// SetPeers sets the other limiters of this zone, by the hashes of their names. largeFleet is set
// if there are so many limiters in all zones that those of other zones send no loads.
func (s *Set) SetPeers(ids []uint64, largeFleet bool) {
	s.zoneLimiters, s.largeFleet = append([]uint64{s.self}, ids...), largeFleet
	slices.Sort(s.zoneLimiters)
	for _, v := range s.services {
		s.assignAffinity(v)
	}
}

// assignAffinity divides a service's servers in this zone among the limiters of the zone: by
// demand in a large fleet, otherwise in turn. When costs are equal, this keeps limiters from
// choosing the same server at the same time.
func (s *Set) assignAffinity(v *service) {
	if s.largeFleet {
		s.assignSubset(v)
		return
	}
	own, limiters := max(0, slices.Index(s.zoneLimiters, s.self)), max(1, len(s.zoneLimiters))
	i := 0
	for _, m := range v.members {
		m.affinity = peerServer
		if !s.isAssignable(m) {
			continue
		}
		if i%limiters == own {
			m.affinity = ownServer
		}
		i++
	}
}

// isAssignable reports whether a server is in this limiter's zone and accepts new requests.
func (s *Set) isAssignable(m *Member) bool { return m.Zone == s.zone && m.State != api.Draining }

// ZoneOf returns the zone of a server, by the hash of its id, or "" if it is unknown.
func (s *Set) ZoneOf(hash uint32) string {
	if m := s.byHash[hash]; m != nil {
		return m.Zone
	}
	return ""
}

// ResponseMs returns the time within which most responses of a service come, or 0 if there was none
// yet.
func (s *Set) ResponseMs(service string) float64 {
	v := s.services[service]
	if v == nil || v.successes == 0 {
		return 0
	}
	return v.responseMs(1)
}

// TypicalLatencyMs returns the moving average of a service's response latency, or 0 if there was
// no response yet.
func (s *Set) TypicalLatencyMs(service string) float64 {
	if v := s.services[service]; v != nil {
		return v.typicalLatencyMs
	}
	return 0
}

// HasService reports whether any server of a service is known.
func (s *Set) HasService(service string) bool { return s.services[service] != nil }

// Len returns the number of known servers.
func (s *Set) Len() int { return len(s.byID) }

// Members returns the servers of all services, ordered by id.
func (s *Set) Members() []*Member {
	var out []*Member
	for _, m := range s.byID {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

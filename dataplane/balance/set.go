package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// randomStream is the stream of the random generator, beside the seed.
const randomStream = 0xba1

// Member is one server process. It belongs to its [Set] and is changed by it only.
type Member struct {
	api.Server
	Hash uint32 // of the id: names the server in hints

	service      *service
	inFlight     int                 // this limiter's own requests
	attempted    bool                // it has had a request from this limiter
	peerLoads    map[uint64]peerLoad // by limiter, from hints
	slowdown     float64             // latency against what is typical, as of slowdownAt; 1: typical
	slowdownAt   float64
	warmingUntil float64 // slow start ends then

	health         health.Detector
	lastSuccessAt  float64 // 0: none yet
	lastFailureAt  float64 // it could not be reached or did not answer
	replacedUntil  float64 // another server answers at its address
	rejectingUntil float64 // it said that it is full

	affinity       affinity
	sharedFraction float64 // part of it in the subsets of other limiters, 0 to 1; large fleets only
}

// affinity is how far a server is this limiter's own to use. The cost of a server rises with
// its value.
type affinity uint8

const (
	ownServer     affinity = iota // in this limiter's subset
	peerServer                    // of another limiter of the zone; in a large fleet of one next to this
	distantServer                 // in a large fleet: all others; no loads are known of them
)

// service is what is known of one service and its servers.
type service struct {
	members      []*Member // by id
	nearby       []*Member // large fleet: members whose affinity is not distantServer
	typicalMs    float64   // moving average of the latency of answers
	successes    float64
	baseline     health.Baseline
	demandRate   float64 // requests a second at this limiter, as of demandRateAt; decays
	demandRateAt float64
	demand       map[uint64]float64 // requests a second by limiter of the zone; own at the last UpdateSubsets
}

// Set is what one limiter knows of the servers. It is not safe for concurrent use.
type Set struct {
	zone         string
	self         uint64
	zoneLimiters []uint64 // hashes of the limiters in this zone, this one included, sorted
	largeFleet   bool     // limiters of other zones send no loads; subsets are used
	rng          *rand.Rand
	byID         map[string]*Member
	byHash       map[uint32]*Member
	services     map[string]*service
	pendingHints map[uint32]uint8 // latency to report, by server; 0: the load alone has changed
	sampled      []*Member        // buffer of sample
	subsetsAt    float64          // last UpdateSubsets
	zones        map[string]*health.Detector
}

// New returns an empty set for a limiter, by the hash of its name, in a zone.
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

// SetServers replaces the list of servers. A new member id is a new server, also where it has
// the address of an earlier one.
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

// ApplyDelta takes in a change of the list: servers that are new or have changed, and the ids
// of those that are removed.
func (s *Set) ApplyDelta(now float64, put []api.Server, removed []string) {
	changed := map[string]bool{} // services
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

// add makes a member that is in no service yet.
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

// search returns the index of a server among the members of its service, and whether it is there.
func (v *service) search(m *Member) (int, bool) {
	return slices.BinarySearchFunc(v.members, m, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
}

// join puts a server among the members of its service.
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

// leave takes a server out of its service. A service without members is forgotten.
func (s *Set) leave(m *Member) {
	v := s.services[m.Upstream]
	if i, found := v.search(m); found {
		v.members = slices.Delete(v.members, i, i+1)
	}
	if len(v.members) == 0 {
		delete(s.services, m.Upstream)
	}
}

// SetPeers says which other limiters there are in this zone, by the hashes of their names.
// largeFleet reports that there are so many limiters in all that those of other zones send no
// loads.
func (s *Set) SetPeers(ids []uint64, largeFleet bool) {
	s.zoneLimiters, s.largeFleet = append([]uint64{s.self}, ids...), largeFleet
	slices.Sort(s.zoneLimiters)
	for _, v := range s.services {
		s.assignAffinity(v)
	}
}

// assignAffinity divides a service's servers of the zone among its limiters: by demand in a
// large fleet, else in turn. It keeps two limiters from taking the same server at the same time
// where costs are equal.
func (s *Set) assignAffinity(v *service) {
	if s.largeFleet {
		s.assignSubset(v)
		return
	}
	own, limiters := max(0, slices.Index(s.zoneLimiters, s.self)), max(1, len(s.zoneLimiters))
	i := 0
	for _, m := range v.members {
		m.affinity = peerServer
		if !s.isUsableHere(m) {
			continue
		}
		if i%limiters == own {
			m.affinity = ownServer
		}
		i++
	}
}

// isUsableHere reports whether a server is in this limiter's zone and takes new requests.
func (s *Set) isUsableHere(m *Member) bool { return m.Zone == s.zone && m.State != api.Draining }

// ZoneOf returns the zone of a server, by the hash of its id; empty if it isn't known.
func (s *Set) ZoneOf(hash uint32) string {
	if m := s.byHash[hash]; m != nil {
		return m.Zone
	}
	return ""
}

// TypicalLatencyMs is the typical time of an answer of a service, 0 where there was none.
func (s *Set) TypicalLatencyMs(service string) float64 {
	if v := s.services[service]; v != nil {
		return v.typicalMs
	}
	return 0
}

// HasService reports whether any server of a service is known.
func (s *Set) HasService(service string) bool { return s.services[service] != nil }

// Len is the number of servers known.
func (s *Set) Len() int { return len(s.byID) }

// Members returns the servers of all services, by id.
func (s *Set) Members() []*Member {
	var out []*Member
	for _, m := range s.byID {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

package controlplane

import (
	"slices"
	"sync"
	"time"
)

const (
	// preferredRetryAfter is when the member that this process watches first is watched
	// again after it failed.
	preferredRetryAfter = 10 * time.Second
	// maxUnconfirmed bounds the members that are known by unconfirmed answers.
	maxUnconfirmed = 16
	// roundsBeforeFallback: so many times each member fails before others are called.
	roundsBeforeFallback = 2
)

// memberSelector chooses the members that a client calls. The zero value knows of none.
type memberSelector struct {
	mu sync.Mutex // guards all fields

	leader  string   // empty: unknown
	members []string // in the order in which they are watched
	// nextCandidate is which member is asked next who leads, modulo their number.
	nextCandidate int

	watched    int       // index of the member that is watched
	switchedAt time.Time // when another one was chosen for a failure
	failures   int       // of watches, since the members were set

	fallbacks   []string // known from another source
	unconfirmed []string // from answers without a lease, and former members; the latest last
	// replacements is how often all members had failed and were replaced by others, since
	// the members were set.
	replacements int
}

// setMembers replaces the leader and, unless the list is empty, the members.
func (s *memberSelector) setMembers(leader string, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
	if len(members) == 0 {
		return
	}
	s.replacements = 0
	if !slices.Equal(members, s.members) {
		s.useMembers(members)
	}
}

// useMembers starts with the first of other members. Called under the mutex.
func (s *memberSelector) useMembers(members []string) {
	s.members, s.watched, s.failures = members, 0, 0
}

// observeUnconfirmed takes in what a member said without a lease.
func (s *memberSelector) observeUnconfirmed(leader string, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == "" {
		s.leader = leader // a wrong one does no harm: it answers that it doesn't lead
	}
	s.rememberUnconfirmed(members)
}

// rememberUnconfirmed keeps members that may be called when all others have failed. Called
// under the mutex.
func (s *memberSelector) rememberUnconfirmed(members []string) {
	for _, addr := range members {
		if !slices.Contains(s.unconfirmed, addr) {
			s.unconfirmed = append(s.unconfirmed, addr)
		}
	}
	excess := max(0, len(s.unconfirmed)-maxUnconfirmed)
	s.unconfirmed = slices.Clone(s.unconfirmed[excess:])
}

func (s *memberSelector) setFallbacks(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fallbacks = slices.Clone(addrs)
}

// leaderCandidate returns the leader or, where it is unknown, each of the members in turn;
// empty where there are none.
func (s *memberSelector) leaderCandidate() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	if len(s.members) == 0 {
		return ""
	}
	s.nextCandidate++
	return s.members[s.nextCandidate%len(s.members)]
}

// leaderFailed forgets a leader that does not answer.
func (s *memberSelector) leaderFailed(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == addr {
		s.leader = ""
	}
}

// watchMember returns the member to watch, empty where there is none.
func (s *memberSelector) watchMember() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) == 0 {
		return ""
	}
	if s.watched != 0 && time.Since(s.switchedAt) > preferredRetryAfter {
		s.watched = 0
	}
	return s.members[s.watched]
}

// watchMemberFailed goes on to the next member, if it is the watched one that failed.
func (s *memberSelector) watchMemberFailed(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) == 0 || s.members[s.watched] != addr {
		return
	}
	s.watched = (s.watched + 1) % len(s.members)
	s.switchedAt = time.Now()
	s.failures++
	if s.failures >= roundsBeforeFallback*len(s.members) {
		s.replaceMembers()
	}
}

// replaceMembers goes on to other members, as all have failed: in turn to those known from
// another source and to the unconfirmed ones. Called under the mutex.
func (s *memberSelector) replaceMembers() {
	s.replacements++
	next := s.fallbacks
	useUnconfirmed := s.replacements%2 == 0
	if len(next) == 0 || useUnconfirmed && len(s.unconfirmed) > 0 {
		next = s.unconfirmed
	}
	if len(next) == 0 {
		return
	}
	former := s.members
	s.useMembers(slices.Clone(next))
	s.rememberUnconfirmed(former)
}

// knownAddrs are all addresses of members that are known, whoever named them: the leader first, each once.
func (s *memberSelector) knownAddrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, addr := range slices.Concat([]string{s.leader}, s.members, s.fallbacks, s.unconfirmed) {
		if addr != "" && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

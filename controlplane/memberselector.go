package controlplane

import (
	"slices"
	"sync"
	"time"
)

const (
	// preferredRetryAfter is how long after its failure the preferred member is watched again.
	preferredRetryAfter = 10 * time.Second
	// maxUnconfirmed bounds the addresses known from responses without a lease.
	maxUnconfirmed = 16
	// roundsBeforeFallback is how many times all members must fail before other addresses are
	// used.
	roundsBeforeFallback = 2
)

// memberSelector chooses the members that a client calls. The zero value knows no members.
type memberSelector struct {
	mu sync.Mutex // guards all fields

	leader  string   // empty: unknown
	members []string // in the order in which they are watched
	// lastCandidate is the index, modulo the number of members, of the member that was last called
	// while the leader was unknown.
	lastCandidate int

	watched    int       // index of the member that is watched
	switchedAt time.Time // when a failure last changed watched
	failures   int       // failed watches since the members were replaced

	fallbacks   []string // known from another source, see Client.SetFallbacks
	unconfirmed []string // from responses without a lease, and former members; newest last
	// replacements is how often all members have failed since setMembers last set them.
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

// useMembers replaces the members and watches the first of them. Called with the mutex held.
func (s *memberSelector) useMembers(members []string) {
	s.members, s.watched, s.failures = members, 0, 0
}

// observeUnconfirmed records the leader and members of a response without a lease.
func (s *memberSelector) observeUnconfirmed(leader string, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == "" {
		s.leader = leader // harmless if wrong: that member responds that it doesn't lead
	}
	s.rememberUnconfirmed(members)
}

// rememberUnconfirmed stores addresses that are used when all members have failed. Called with the
// mutex held.
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

// leaderCandidate returns the leader or, if it is unknown, each of the members in turn; empty if
// there are none.
func (s *memberSelector) leaderCandidate() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	if len(s.members) == 0 {
		return ""
	}
	s.lastCandidate++
	return s.members[s.lastCandidate%len(s.members)]
}

// leaderFailed resets the leader if it is the one that failed to respond.
func (s *memberSelector) leaderFailed(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == addr {
		s.leader = ""
	}
}

// watchMember returns the member to watch, empty if there is none.
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

// watchMemberFailed switches to the next member if the failed one is being watched.
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

// replaceMembers replaces the members, which have all failed, alternately by the fallbacks and by
// the unconfirmed addresses. Called with the mutex held.
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

// knownAddrs returns all known addresses from every source without duplicates, the leader first.
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

package membership

import (
	"cmp"
	"slices"
	"time"

	"example.org/elmspan/api"
)

// The states of a process ([api.Peer.State]). Of two statements with the same incarnation the
// one with the higher state holds.
const (
	Alive   uint8 = iota
	Leaving       // it is shutting down, by its own statement
	Dead          // it was declared dead by a watcher
)

// maxPeers bounds a view: more processes are not learned of.
const maxPeers = 4096

// View is what one process knows of the others. It does no I/O and reads no clock: all times
// are on the host's monotonic clock, from any origin. It is not safe for concurrent use.
type View struct {
	// ChangeCount counts the changes to the view. A host compares it to see whether
	// TakeChanges has anything.
	ChangeCount uint64

	self          api.Peer
	peers         map[string]*peerRecord // by name, without self
	dead          int                    // peers that are dead
	ring          []ringPosition         // of those that are not dead, with self, in order
	bucketDigests [bucketCount]uint64    // of those that are not dead, with self
	recent        []change               // of peers, oldest first
	changedNames  map[string]bool        // since the last TakeChanges
	checkedAt     time.Duration          // the last DetectFailures; 0: none yet
	watched       map[string]bool        // whose watcher this process was at that time
}

// peerRecord is what is known of another process.
type peerRecord struct {
	api.Peer
	heartbeatAt time.Duration // the last heartbeat, or when its watching began
	deadAt      time.Duration // when it was learned that it is dead
}

// change notes that something has changed about a process.
type change struct {
	name string
	at   time.Duration
}

// NewView returns the view of a process that knows nobody.
func NewView(self api.Peer) *View {
	v := &View{
		self:         self,
		peers:        map[string]*peerRecord{},
		watched:      map[string]bool{},
		changedNames: map[string]bool{},
	}
	v.self.Incarnation = max(1, v.self.Incarnation)
	v.replaceStatement(nil, &v.self)
	return v
}

// Self is what this process states about itself.
func (v *View) Self() api.Peer { return v.self }

// Peer returns what is known of a process, self included.
func (v *View) Peer(name string) (api.Peer, bool) {
	if name == v.self.Name {
		return v.self, true
	}
	if r := v.peers[name]; r != nil {
		return r.Peer, true
	}
	return api.Peer{}, false
}

// Peers returns every known process, the dead and self included, by name.
func (v *View) Peers() []api.Peer {
	out := []api.Peer{v.self}
	for _, r := range v.peers {
		out = append(out, r.Peer)
	}
	sortByName(out)
	return out
}

// TakeChanges returns the processes of which something has changed since the last call, by
// name: a copy of the view is kept up to date at the cost of what changed. One that was
// forgotten is returned as [Dead], with its name alone.
func (v *View) TakeChanges() []api.Peer {
	var out []api.Peer
	for name := range v.changedNames {
		p, ok := v.Peer(name)
		if !ok {
			p = api.Peer{Name: name, State: Dead}
		}
		out = append(out, p)
	}
	clear(v.changedNames)
	sortByName(out)
	return out
}

func sortByName(peers []api.Peer) {
	slices.SortFunc(peers, func(a, b api.Peer) int { return cmp.Compare(a.Name, b.Name) })
}

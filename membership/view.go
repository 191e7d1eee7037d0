package membership

import (
	"cmp"
	"slices"
	"time"

	"example.org/elmspan/api"
)

// States of a process ([api.Peer.State]). Of two statements with the same incarnation, the one
// with the higher state takes precedence.
const (
	Alive   uint8 = iota
	Leaving       // shutting down, as stated by the process itself
	Dead          // declared dead by a watcher
)

// maxPeers is the maximum number of peers in a view. Statements about further processes are
// ignored.
const maxPeers = 4096

// View is the membership state of one process: its entries for itself and all known peers. It
// does no I/O and reads no clock. The caller passes in the time of a monotonic clock with an
// arbitrary origin. It is not safe for concurrent use.
type View struct {
	// ChangeCount is incremented on every change to the view, so that the caller can tell whether
	// TakeChanges has anything to return.
	ChangeCount uint64

	self          api.Peer
	peers         map[string]*peerRecord // by name, excluding self
	deadCount     int                    // number of dead peers
	ring          []ringPosition         // processes that are not dead, including self, in ring order
	bucketDigests [bucketCount]uint64    // over the processes that are not dead, including self
	recent        []change               // latest changes of peers, oldest first
	changedNames  map[string]bool        // names of changed processes since the last TakeChanges
	checkedAt     time.Duration          // time of the last DetectFailures; 0: none yet
	watched       map[string]bool        // processes watched by this one at that time
	removedAddrs  []string               // addresses of processes whose entries were removed, the latest last
}

// peerRecord is the entry of another process.
type peerRecord struct {
	api.Peer
	heartbeatAt time.Duration // when the failure timeout last restarted, e.g. on a heartbeat or when watching began
	deadAt      time.Duration // when this view learned that the process is dead
}

// change records that the entry of a process changed.
type change struct {
	name string
	at   time.Duration
}

// NewView returns the view of a process that knows no peers yet.
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

// Self returns the statement of this process about itself.
func (v *View) Self() api.Peer { return v.self }

// Peer returns the entry of a process, which may be self.
func (v *View) Peer(name string) (api.Peer, bool) {
	if name == v.self.Name {
		return v.self, true
	}
	if r := v.peers[name]; r != nil {
		return r.Peer, true
	}
	return api.Peer{}, false
}

// Peers returns all known processes, including self and dead ones, sorted by name.
func (v *View) Peers() []api.Peer {
	out := []api.Peer{v.self}
	for _, r := range v.peers {
		out = append(out, r.Peer)
	}
	sortByName(out)
	return out
}

// TakeChanges returns the processes that have changed since the last call, sorted by name. A
// copy of the view can thus be updated at a cost proportional to the changes. A process whose
// entry was removed is returned with only its name and the state [Dead].
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

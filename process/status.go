package process

import (
	"fmt"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
)

// processStatus is what /v1/Status shows, as JSON under the names of the fields.
type processStatus struct {
	Name    string
	Limiter *dataplane.Status        `json:",omitempty"` // nil: the role does not serve clients
	Core    *controlplane.CoreStatus `json:",omitempty"` // nil: no member takes part now
	CoreOut string                   `json:",omitempty"` // why none does though the settings ask for it
	Peers   []string                 // "name address state"
}

// peerStateNames are the names of the states of a peer, by their number.
var peerStateNames = [...]string{"alive", "leaving", "dead"}

// status is what the process shows of itself.
func (p *Process) status() any {
	s := processStatus{Name: p.settings.Load().Name, CoreOut: p.member.exclusionReason()}
	if p.gateway != nil {
		limiter := p.gateway.Status()
		s.Limiter = &limiter
	}
	if core := p.member.core(); core != nil {
		status := core.Status()
		s.Core = &status
	}
	for _, peer := range p.peers.Peers() {
		state := peerStateNames[min(len(peerStateNames)-1, int(peer.State))]
		s.Peers = append(s.Peers, fmt.Sprintf("%s %s %s", peer.Name, peer.Addr, state))
	}
	return s
}

package process

import (
	"fmt"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
)

// processStatus is the response of /v1/Status, encoded as JSON under the field names.
type processStatus struct {
	Name    string
	Limiter *dataplane.Status        `json:",omitempty"` // nil: the role does not serve clients
	Core    *controlplane.CoreStatus `json:",omitempty"` // nil: no member is active
	CoreOut string                   `json:",omitempty"` // why no member is active although the settings ask for one
	Peers   []string                 // "name address state"
}

// peerStateNames has the names of peer states, indexed by state.
var peerStateNames = [...]string{"alive", "leaving", "dead"}

// status returns the processStatus of the process.
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

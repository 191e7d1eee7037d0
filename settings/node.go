// Package settings reads and validates what a process is configured with.
//
// [Node] is the node file, which describes the machine and the figures of the rules that the
// system is held to. Its path is in the environment variable [NodeFileEnv]. Unknown fields are
// ignored, so that new ones may come.
//
// [Tuning] is the optional tuning file. It belongs to this program alone: an unknown field in
// it is an error. docs/tuning.md lists its settings.
//
// A field of the wrong type or with an impossible value is an error that names it as it is
// written in the file. All faults of a file are reported at once, one a line.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// NodeFileEnv is the environment variable with the path of the node file.
const NodeFileEnv = "ELMSPAN_NODE_FILE"

// The roles that a process may serve.
const (
	RoleEdge    = "edge"    // clients: the data plane
	RoleControl = "control" // operators, and the control plane
)

// Node is the node file. A field without a default is needed; where zero is accepted its
// meaning is given. Fields marked "for tools" are read by the emulator and the checker, not by
// the product.
type Node struct {
	// Name identifies the process in membership and gossip.
	Name string `toml:"node_name"`
	// Role is a label. Two processes of a machine share Name; the one that does not serve
	// clients is known as Name/Role. Default: empty.
	Role string `toml:"role"`
	// ServedRoles are RoleEdge, RoleControl or both.
	ServedRoles []string `toml:"served_roles"`
	// IP is the machine's address, on which other processes of the system reach this one.
	IP string `toml:"ip"`
	// Zone is where the machine is. Servers of the same zone are preferred.
	// Default: empty, which is a zone like any other.
	Zone string `toml:"zone"`
	// Region is not used.
	Region string `toml:"region"`
	// InternalPorts are the first and the last port for calls between processes, two ports at
	// least. All machines have the same first one. See InternalAddr.
	InternalPorts []int `toml:"internal_port_range"`
	// SeedPeers are addresses by which other processes are found, one at least: the control
	// ports of machines with RoleControl. See SeedAddrs.
	SeedPeers []string `toml:"seed_peers"`
	// Bootstrap makes a machine with an empty disk a first voter, if this is the system's first
	// start: where there are several seeds, all others are asked whether it is. Default: false,
	// the machine joins a system that runs.
	Bootstrap bool `toml:"bootstrap"`
	// QuorumMember asks for a Raft member on this machine. See CoreMember. Default: false.
	QuorumMember bool `toml:"quorum_member"`
	// DataDir is the folder of the member's store. Default: empty, there is no member.
	DataDir string `toml:"data_dir"`
	// ActiveContracts are not used.
	ActiveContracts []string `toml:"active_contracts"`
	// ZoneMap is not used.
	ZoneMap map[string]string `toml:"zone_map"`

	Listeners Listeners `toml:"listeners"`
	Limits    Limits    `toml:"request_limits"`
	Tolerance Tolerance `toml:"fault_tolerance"`
	Timing    Timing    `toml:"timing_bounds"`
	Cloud     Cloud     `toml:"cloud_api"`
}

// Listeners are the addresses, each with its port, of what the roles serve. One that no served
// role needs may be empty.
type Listeners struct {
	Front   string `toml:"front_port"`   // RoleEdge: requests of clients
	Ready   string `toml:"ready_port"`   // RoleEdge: readiness checks of the platform
	Control string `toml:"control_port"` // RoleControl: the operator interface
}

// Limits are what the machine offers. 0 is the default of each: no limit is known.
type Limits struct {
	// CPUShare is in cores. A part of it bounds gossip, see LinkTuning. 0: no bound.
	CPUShare float64 `toml:"cpu_share"`
	// MemoryMB is in 10^6 bytes. Not used.
	MemoryMB int64 `toml:"memory_mb"`
	// MaxFDs are file descriptors, 300 at least. It bounds the connections to servers. 0: 1024.
	MaxFDs int `toml:"max_fds"`
	// DiskMB is in 10^6 bytes. Not used.
	DiskMB int64 `toml:"disk_mb"`
	// LinkMbps is in 10^6 bits a second. Long bodies are paced below it, and gossip bounded by
	// a part of it, see LinkTuning. 0: neither.
	LinkMbps float64 `toml:"link_speed_mbps"`
}

// Tolerance is what may be lost at once while all rules are kept.
type Tolerance struct {
	// Machines are machines of the control plane, 0 to 10: there are 2*Machines+1 voters, three
	// at least.
	Machines int `toml:"machine_failures"`
}

// Timing are the figures of the rules that the system is held to. None may be negative.
type Timing struct {
	// ContactMs, in milliseconds, is not used. Default: 0.
	ContactMs float64 `toml:"contact_ms"`
	// AckTimeoutMs, in milliseconds, is not used. Default: 0.
	AckTimeoutMs float64 `toml:"ack_timeout_ms"`
	// DrainMs, in milliseconds, is the rule's bound on draining. For tools.
	DrainMs float64 `toml:"drain_ms"`
	// GraceS, in seconds, is how long after the signal to end the process is killed.
	GraceS float64 `toml:"grace_s"`
	// ConfigApplyMs, in milliseconds, is how soon a configuration must be in force. For tools.
	ConfigApplyMs float64 `toml:"config_apply_ms"`
	// StrictRevocation has a tenant's key rejected no later than RevokeMs after a configuration
	// without it: a gateway without a lease answers every request with 503. Default: false, it
	// goes on with the configuration that it has.
	StrictRevocation bool `toml:"strict_revocation"`
	// RevokeMs, in milliseconds, is needed with StrictRevocation. Default: 0.
	RevokeMs float64 `toml:"revoke_ms"`
	// QuotaWindowS, in seconds, is the window in which a tenant's requests are counted against its
	// quota: what other gateways admitted is paid back as far as that. Default: 0, which is 5.
	QuotaWindowS float64 `toml:"quota_window_s"`
	// QuotaOvershoot (a part of the rate) and QuotaSlack (requests) are how quotas are checked. For
	// tools. Default: 0.
	QuotaOvershoot float64 `toml:"quota_overshoot"`
	QuotaSlack     float64 `toml:"quota_slack"`
	// RetryRatio is how many retries there may be for each request, over all limiters.
	// Default: 0, the limiter's own ratio holds.
	RetryRatio float64 `toml:"retry_budget_ratio"`
	// RetryWindowS, in seconds, is not used. Default: 0.
	RetryWindowS float64 `toml:"retry_window_s"`
	// RetrySlack is how many retries there may be beside the ratio, over all limiters.
	// Default: 0, the limiter's own bound holds.
	RetrySlack float64 `toml:"retry_budget_slack"`
}

// Cloud is the platform's interface, which lists the servers.
type Cloud struct {
	// Address is an IP address and port.
	Address string `toml:"address"`
	// RatePerS is how many requests a second the platform takes from all processes; above 0.
	RatePerS float64 `toml:"rate_per_s"`
	// MaxLagMs, in milliseconds, is not used. Default: 0.
	MaxLagMs float64 `toml:"max_lag_ms"`
}

// Serves reports whether the process serves a role, [RoleEdge] or [RoleControl].
func (n *Node) Serves(role string) bool { return slices.Contains(n.ServedRoles, role) }

// CoreMember reports whether this process runs a Raft member of the control plane.
func (n *Node) CoreMember() bool { return n.Serves(RoleControl) && n.QuorumMember && n.DataDir != "" }

// InternalAddr is where other processes of the system reach this one: the first of the
// internal ports, or the second for a process without RoleControl, as two processes may share
// a machine. The settings must have been validated.
func (n *Node) InternalAddr() string {
	port := n.InternalPorts[0]
	if !n.Serves(RoleControl) {
		port++
	}
	return netip.AddrPortFrom(netip.MustParseAddr(n.IP), uint16(port)).String()
}

// SeedAddrs are the internal addresses of the seeds, sorted, each once. The settings must have
// been validated.
func (n *Node) SeedAddrs() []string {
	var out []string
	for _, s := range n.SeedPeers {
		seed := netip.MustParseAddrPort(s)
		out = append(out, netip.AddrPortFrom(seed.Addr(), uint16(n.InternalPorts[0])).String())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Millis turns the settings' milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

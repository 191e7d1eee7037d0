// Package settings reads and validates the configuration files of a process.
//
// [Node] is the node file. It describes the machine and the time bounds and tolerances that the
// system must meet. Its path is in the environment variable [NodeFileEnv]. Unknown fields are
// ignored, so that new fields can be added.
//
// [Tuning] is the optional tuning file. Only this program reads it, so an unknown field is an
// error. docs/tuning.md lists its settings.
//
// A gateway is the data plane of a process that serves [RoleEdge]. Its limiter enforces quotas and
// selects servers, and exchanges gossip with the limiters of the other gateways.
//
// A field with the wrong type or an invalid value is an error that contains the name of the field
// as written in the file. All invalid values of a file are reported at once, one per line; a syntax
// error or a wrong type is reported alone.
package settings

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// NodeFileEnv is the name of the environment variable that holds the path of the node file.
const NodeFileEnv = "ELMSPAN_NODE_FILE"

// The roles that a process can serve.
const (
	RoleEdge    = "edge"    // the data plane, which serves client requests
	RoleControl = "control" // the control plane and the operator interface
)

// Node is the node file. Fields without a documented default are required. Where zero is a valid
// value its meaning is documented. Fields marked "For tools" are read only by the emulator and the
// checker.
type Node struct {
	// Name identifies the process in membership and gossip.
	Name string `toml:"node_name"`
	// Role distinguishes two processes on one machine, which have the same Name: the process
	// without RoleEdge is identified by Name/Role. It is unrelated to ServedRoles. Default: empty.
	Role string `toml:"role"`
	// ServedRoles contains RoleEdge, RoleControl or both.
	ServedRoles []string `toml:"served_roles"`
	// IP is the address of the machine at which other processes of the system reach this one.
	IP string `toml:"ip"`
	// Zone is the availability zone of the machine. Servers in the same zone are preferred.
	// Default: empty, which is treated like any other zone.
	Zone string `toml:"zone"`
	// Region is not used.
	Region string `toml:"region"`
	// InternalPorts are the first and the last port of the range for calls between processes. The
	// range has at least two ports, and its first port is the same on all machines. See
	// InternalAddr.
	InternalPorts []int `toml:"internal_port_range"`
	// SeedPeers are the addresses used to discover other processes: the control ports of machines
	// with RoleControl. At least one is required. See SeedAddrs.
	SeedPeers []string `toml:"seed_peers"`
	// Bootstrap makes a machine with an empty disk one of the initial voters if the system starts
	// for the first time. If there are several seeds, the machine first asks all others whether
	// this is a first start. Default: false, the machine joins a running system.
	Bootstrap bool `toml:"bootstrap"`
	// QuorumMember requests a Raft member on this machine. See CoreMember. Default: false.
	QuorumMember bool `toml:"quorum_member"`
	// DataDir is the folder of the Raft member's storage. Default: empty, no Raft member is run.
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

// Listeners are the addresses, with port, on which the roles listen. An address may be empty if the
// process does not serve the role that uses it.
type Listeners struct {
	Front   string `toml:"front_port"`   // RoleEdge: client requests
	Ready   string `toml:"ready_port"`   // RoleEdge: the platform's readiness checks
	Control string `toml:"control_port"` // RoleControl: the operator interface
}

// Limits are the resources of the machine. The default of each is 0: the limit is unknown.
type Limits struct {
	// CPUShare is the processor time available, in cores. A fraction of it bounds the cost of
	// sending gossip, see LinkTuning. 0: no bound.
	CPUShare float64 `toml:"cpu_share"`
	// MemoryMB, in 10^6 bytes, is not used.
	MemoryMB int64 `toml:"memory_mb"`
	// MaxFDs is the maximum number of file descriptors, at least 300. It bounds the connections to
	// servers. 0 means 1024.
	MaxFDs int `toml:"max_fds"`
	// DiskMB, in 10^6 bytes, is not used.
	DiskMB int64 `toml:"disk_mb"`
	// LinkMbps is the network bandwidth in 10^6 bits per second. Long bodies are paced below it,
	// and gossip is bounded by a fraction of it, see LinkTuning. 0: neither.
	LinkMbps float64 `toml:"link_speed_mbps"`
}

// Tolerance is the number of simultaneous failures that the system must tolerate.
type Tolerance struct {
	// Machines is the number of control plane machines that may fail at once, 0 to 10. There are
	// 2*Machines+1 voters, but at least three.
	Machines int `toml:"machine_failures"`
}

// Timing holds the time bounds and tolerances that the system must meet. None may be negative.
type Timing struct {
	// ContactMs, in milliseconds, is not used. Default: 0.
	ContactMs float64 `toml:"contact_ms"`
	// AckTimeoutMs, in milliseconds, is not used. Default: 0.
	AckTimeoutMs float64 `toml:"ack_timeout_ms"`
	// DrainMs, in milliseconds, is the time within which a server must stop getting requests after
	// the platform lists it as draining. For tools.
	DrainMs float64 `toml:"drain_ms"`
	// GraceS, in seconds, is the time from the termination signal until the process is killed.
	GraceS float64 `toml:"grace_s"`
	// ConfigApplyMs, in milliseconds, is the time within which a new configuration must take
	// effect. For tools.
	ConfigApplyMs float64 `toml:"config_apply_ms"`
	// StrictRevocation guarantees that a tenant's key is rejected within RevokeMs after a
	// configuration removed it: a gateway without a lease responds to every request with 503.
	// Default: false, such a gateway keeps using its last configuration.
	StrictRevocation bool `toml:"strict_revocation"`
	// RevokeMs, in milliseconds, is required with StrictRevocation. Default: 0.
	RevokeMs float64 `toml:"revoke_ms"`
	// QuotaWindowS, in seconds, is the window of the quota rule: in any interval of this length a
	// tenant may use its rate times the length, plus its burst. It also bounds the debt of a
	// tenant's token bucket for requests that other gateways admitted. Default: 0, which means 5.
	QuotaWindowS float64 `toml:"quota_window_s"`
	// QuotaOvershoot (a fraction of the quota) and QuotaSlack (a number of requests) are the excess
	// that checks of quotas allow. The limiter uses QuotaSlack, as the tolerance within which
	// usage may be reported late; 0 counts as 20 requests. QuotaOvershoot is for tools. Default: 0.
	QuotaOvershoot float64 `toml:"quota_overshoot"`
	QuotaSlack     float64 `toml:"quota_slack"`
	// RetryRatio is the maximum number of retries per request, over all limiters. The limiter's
	// built-in ratio applies if it is lower or if RetryRatio is 0, the default.
	RetryRatio float64 `toml:"retry_budget_ratio"`
	// RetryWindowS, in seconds, is not used. Default: 0.
	RetryWindowS float64 `toml:"retry_window_s"`
	// RetrySlack is the number of retries allowed in addition to the ratio, over all limiters. The
	// limiter's built-in bound applies if it is lower or if RetrySlack is 0, the default.
	RetrySlack float64 `toml:"retry_budget_slack"`
}

// Cloud is the platform's API, which lists the servers.
type Cloud struct {
	// Address is the IP address and port of the API.
	Address string `toml:"address"`
	// RatePerS is the number of requests per second that the platform accepts from all processes
	// together. It must be above 0.
	RatePerS float64 `toml:"rate_per_s"`
	// MaxLagMs, in milliseconds, is not used. Default: 0.
	MaxLagMs float64 `toml:"max_lag_ms"`
}

// Serves reports whether the process serves a role, [RoleEdge] or [RoleControl].
func (n *Node) Serves(role string) bool { return slices.Contains(n.ServedRoles, role) }

// CoreMember reports whether this process runs a Raft member of the control plane.
func (n *Node) CoreMember() bool { return n.Serves(RoleControl) && n.QuorumMember && n.DataDir != "" }

// InternalAddr returns the address at which other processes of the system reach this one. It has
// the first of the internal ports, or the second for a process without RoleControl, because a
// machine may run one process of each kind. n must have been validated.
func (n *Node) InternalAddr() string {
	port := n.InternalPorts[0]
	if !n.Serves(RoleControl) {
		port++
	}
	return netip.AddrPortFrom(netip.MustParseAddr(n.IP), uint16(port)).String()
}

// SeedAddrs returns the internal addresses of the seeds, sorted and without duplicates. n must have
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

// maxMillis is the longest duration that Millis returns, in milliseconds.
const maxMillis = float64(math.MaxInt64 / int64(time.Millisecond))

// Millis returns the duration of ms milliseconds, limited to the range of durations; 0 for NaN. (Go
// does not define the conversion of a number out of range: a very long time could become one in the
// past.)
func Millis(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(max(-maxMillis, min(maxMillis, ms)) * float64(time.Millisecond))
}

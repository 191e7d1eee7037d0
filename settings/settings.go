// Package settings reads and checks what a process is told of its machine:
// the TOML file that ELMSPAN_NODE_FILE names. Unknown fields are ignored, so
// that new ones may come; a field of the wrong type or an impossible value is
// an error that names it.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// NodeFileEnv is the variable that holds the path of the file.
const NodeFileEnv = "ELMSPAN_NODE_FILE"

// The roles that a process may serve.
const (
	RoleEdge    = "edge"    // clients: the data plane
	RoleControl = "control" // operators, and the control plane
)

// Node are a process's settings.
type Node struct {
	Name            string            `toml:"node_name"`
	Role            string            `toml:"role"`
	ServedRoles     []string          `toml:"served_roles"`
	IP              string            `toml:"ip"`
	Zone            string            `toml:"zone"`
	Region          string            `toml:"region"`
	InternalPorts   []int             `toml:"internal_port_range"`
	SeedPeers       []string          `toml:"seed_peers"` // control_port addresses
	Bootstrap       bool              `toml:"bootstrap"`
	QuorumMember    bool              `toml:"quorum_member"`
	DataDir         string            `toml:"data_dir"`
	ActiveContracts []string          `toml:"active_contracts"`
	ZoneMap         map[string]string `toml:"zone_map"`
	Listeners       Listeners         `toml:"listeners"`
	Limits          Limits            `toml:"request_limits"`
	Tolerance       Tolerance         `toml:"fault_tolerance"`
	Timing          Timing            `toml:"timing_bounds"`
	Cloud           Cloud             `toml:"cloud_api"`
}

// Listeners are the addresses of what the role serves; empty where it doesn't.
type Listeners struct {
	Front   string `toml:"front_port"`
	Ready   string `toml:"ready_port"`
	Control string `toml:"control_port"`
}

// Limits are those of the machine; 0 is no limit.
type Limits struct {
	CPUShare float64 `toml:"cpu_share"`
	MemoryMB int64   `toml:"memory_mb"`
	MaxFDs   int     `toml:"max_fds"`
	DiskMB   int64   `toml:"disk_mb"`
	LinkMbps float64 `toml:"link_speed_mbps"`
}

// Tolerance is what may be lost at once with all rules kept.
type Tolerance struct {
	Machines int `toml:"machine_failures"` // of those of the core
}

// Timing are the figures of the rules.
type Timing struct {
	ContactMs        float64 `toml:"contact_ms"`
	AckTimeoutMs     float64 `toml:"ack_timeout_ms"`
	DrainMs          float64 `toml:"drain_ms"`
	GraceS           float64 `toml:"grace_s"`
	ConfigApplyMs    float64 `toml:"config_apply_ms"`
	StrictRevocation bool    `toml:"strict_revocation"`
	RevokeMs         float64 `toml:"revoke_ms"`
	QuotaWindowS     float64 `toml:"quota_window_s"`
	QuotaOvershoot   float64 `toml:"quota_overshoot"`
	QuotaSlack       float64 `toml:"quota_slack"`
	RetryRatio       float64 `toml:"retry_budget_ratio"`
	RetryWindowS     float64 `toml:"retry_window_s"`
	RetrySlack       float64 `toml:"retry_budget_slack"`
}

// Cloud tells how the platform's list of servers is asked.
type Cloud struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"rate_per_s"`
	MaxLagMs float64 `toml:"max_lag_ms"`
}

// Read reads and checks the file at a path.
func Read(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return n, nil
}

// Parse reads and checks a file's text. All faults that are found are in the
// error, one a line.
func Parse(data []byte) (*Node, error) {
	n := &Node{}
	if _, err := toml.Decode(string(data), n); err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fmt.Errorf("line %d: %s: %s", pe.Position.Line, pe.LastKey, pe.Message)
		}
		return nil, err
	}
	return n, n.check()
}

// Serves tells whether the role serves clients ("edge") or the operator ("control").
func (n *Node) Serves(what string) bool { return slices.Contains(n.ServedRoles, what) }

// CoreMember tells whether this process holds a part of the replicated state.
func (n *Node) CoreMember() bool { return n.Serves("control") && n.QuorumMember && n.DataDir != "" }

// InternalAddr is where other processes of the system reach this one. A
// machine's process without the control role takes the second port, as two
// may share a machine.
func (n *Node) InternalAddr() string {
	port := n.InternalPorts[0]
	if !n.Serves("control") {
		port++
	}
	return netip.AddrPortFrom(netip.MustParseAddr(n.IP), uint16(port)).String()
}

// SeedAddrs are the internal addresses of the seeds.
func (n *Node) SeedAddrs() []string {
	var out []string
	for _, s := range n.SeedPeers {
		a := netip.MustParseAddrPort(s)
		out = append(out, netip.AddrPortFrom(a.Addr(), uint16(n.InternalPorts[0])).String())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Millis turns the settings' milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// check returns every fault that it finds.
func (n *Node) check() error {
	var errs []error
	fault := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	addrPort := func(field, text string) {
		if _, err := netip.ParseAddrPort(text); err != nil {
			fault(field, "%q is no address and port", text)
		}
	}
	if n.Name == "" {
		fault("node_name", "is missing")
	}
	if len(n.ServedRoles) == 0 {
		fault("served_roles", "is empty")
	}
	for _, s := range n.ServedRoles {
		if s != "edge" && s != "control" {
			fault("served_roles", "%q is neither edge nor control", s)
		}
	}
	if _, err := netip.ParseAddr(n.IP); err != nil {
		fault("ip", "%q is no address", n.IP)
	}
	if len(n.InternalPorts) != 2 || n.InternalPorts[0] < 1 || n.InternalPorts[1] > 65535 || n.InternalPorts[0]+1 > n.InternalPorts[1] {
		fault("internal_port_range", "%v is no range of two ports or more", n.InternalPorts)
	}
	if len(n.SeedPeers) == 0 {
		fault("seed_peers", "is empty")
	}
	for i, s := range n.SeedPeers {
		addrPort(fmt.Sprintf("seed_peers.%d", i), s)
	}
	if n.Serves("edge") {
		addrPort("listeners.front_port", n.Listeners.Front)
		addrPort("listeners.ready_port", n.Listeners.Ready)
	}
	if n.Serves("control") {
		addrPort("listeners.control_port", n.Listeners.Control)
	}
	addrPort("cloud_api.address", n.Cloud.Address)
	if n.Cloud.RatePerS <= 0 {
		fault("cloud_api.rate_per_s", "%v: must be above 0", n.Cloud.RatePerS)
	}
	if l := n.Limits; l.CPUShare < 0 || l.MemoryMB < 0 || l.DiskMB < 0 || l.MaxFDs < 0 || !(l.LinkMbps >= 0) || l.MaxFDs > 0 && l.MaxFDs < 300 {
		fault("request_limits", "%+v can't hold a limiter", l)
	}
	if n.Tolerance.Machines < 0 || n.Tolerance.Machines > 10 {
		fault("fault_tolerance.machine_failures", "%d: from 0 to 10", n.Tolerance.Machines)
	}
	t := n.Timing
	for _, f := range []struct {
		name string
		v    float64
		need bool
	}{
		{"drain_ms", t.DrainMs, true}, {"grace_s", t.GraceS, true}, {"config_apply_ms", t.ConfigApplyMs, true},
		{"contact_ms", t.ContactMs, false}, {"ack_timeout_ms", t.AckTimeoutMs, false},
		{"revoke_ms", t.RevokeMs, t.StrictRevocation}, {"quota_window_s", t.QuotaWindowS, false},
		{"quota_overshoot", t.QuotaOvershoot, false}, {"quota_slack", t.QuotaSlack, false},
		{"retry_budget_ratio", t.RetryRatio, false}, {"retry_window_s", t.RetryWindowS, false},
		{"retry_budget_slack", t.RetrySlack, false},
	} {
		if f.v < 0 || f.need && f.v == 0 {
			fault("timing_bounds."+f.name, "%v: must be above 0", f.v)
		}
	}
	return errors.Join(errs...)
}

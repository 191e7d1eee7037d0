package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	// minFDs are what a limiter needs beside its connections to servers.
	minFDs              = 300
	maxPort             = 65535
	maxToleratedMachine = 10
)

// faults collects the faults of a node file.
type faults struct{ errs []error }

// add adds a fault of a field, which is named as in the file.
func (f *faults) add(field, format string, args ...any) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// checkAddrPort adds a fault where a field is not an IP address and port.
func (f *faults) checkAddrPort(field, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.add(field, "%q is no address and port", text)
	}
}

// validate returns all faults, joined.
func (n *Node) validate() error {
	f := &faults{}
	n.validateIdentity(f)
	n.validateAddresses(f)
	n.validateMachine(f)
	n.Timing.validate(f)
	return errors.Join(f.errs...)
}

// validateIdentity checks what the process is.
func (n *Node) validateIdentity(f *faults) {
	if n.Name == "" {
		f.add("node_name", "is missing")
	}
	if len(n.ServedRoles) == 0 {
		f.add("served_roles", "is empty")
	}
	for _, role := range n.ServedRoles {
		if role != RoleEdge && role != RoleControl {
			f.add("served_roles", "%q is neither edge nor control", role)
		}
	}
}

// validateAddresses checks where the process is reached, and where it reaches others.
func (n *Node) validateAddresses(f *faults) {
	if _, err := netip.ParseAddr(n.IP); err != nil {
		f.add("ip", "%q is no address", n.IP)
	}
	if p := n.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] > maxPort || p[0]+1 > p[1] {
		f.add("internal_port_range", "%v is no range of two ports or more", p)
	}
	if len(n.SeedPeers) == 0 {
		f.add("seed_peers", "is empty")
	}
	for i, seed := range n.SeedPeers {
		f.checkAddrPort(fmt.Sprintf("seed_peers.%d", i), seed)
	}
	if n.Serves(RoleEdge) {
		f.checkAddrPort("listeners.front_port", n.Listeners.Front)
		f.checkAddrPort("listeners.ready_port", n.Listeners.Ready)
	}
	if n.Serves(RoleControl) {
		f.checkAddrPort("listeners.control_port", n.Listeners.Control)
	}
	f.checkAddrPort("cloud_api.address", n.Cloud.Address)
	if n.Cloud.RatePerS <= 0 {
		f.add("cloud_api.rate_per_s", "%v: must be above 0", n.Cloud.RatePerS)
	}
}

// validateMachine checks what the machine offers and how many may be lost.
func (n *Node) validateMachine(f *faults) {
	if !n.Limits.valid() {
		f.add("request_limits", "%+v can't hold a limiter", n.Limits)
	}
	if m := n.Tolerance.Machines; m < 0 || m > maxToleratedMachine {
		f.add("fault_tolerance.machine_failures", "%d: from 0 to 10", m)
	}
}

// valid reports whether a limiter can run within the limits. A link speed that is not a number
// is not valid.
func (l *Limits) valid() bool {
	if l.CPUShare < 0 || l.MemoryMB < 0 || l.DiskMB < 0 || l.MaxFDs < 0 {
		return false
	}
	return l.LinkMbps >= 0 && (l.MaxFDs == 0 || l.MaxFDs >= minFDs)
}

// validate checks that no figure is negative, and that those that are needed are above 0.
func (t *Timing) validate(f *faults) {
	for _, figure := range []struct {
		name   string
		value  float64
		needed bool
	}{
		{"drain_ms", t.DrainMs, true},
		{"grace_s", t.GraceS, true},
		{"config_apply_ms", t.ConfigApplyMs, true},
		{"contact_ms", t.ContactMs, false},
		{"ack_timeout_ms", t.AckTimeoutMs, false},
		{"revoke_ms", t.RevokeMs, t.StrictRevocation},
		{"quota_window_s", t.QuotaWindowS, false},
		{"quota_overshoot", t.QuotaOvershoot, false},
		{"quota_slack", t.QuotaSlack, false},
		{"retry_budget_ratio", t.RetryRatio, false},
		{"retry_window_s", t.RetryWindowS, false},
		{"retry_budget_slack", t.RetrySlack, false},
	} {
		if figure.value < 0 || figure.needed && figure.value == 0 {
			f.add("timing_bounds."+figure.name, "%v: must be above 0", figure.value)
		}
	}
}

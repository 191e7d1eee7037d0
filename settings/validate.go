package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	// minFDs is the number of file descriptors that a gateway needs in addition to its connections
	// to clients and servers.
	minFDs             = 300
	maxPort            = 65535
	maxMachineFailures = 10
)

// errorCollector collects the errors found in a node file.
type errorCollector struct{ errs []error }

// add adds an error for a field, named as in the file.
func (c *errorCollector) add(field, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// checkAddrPort adds an error if the value of a field is not an IP address and port.
func (c *errorCollector) checkAddrPort(field, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.add(field, "%q is not an IP address and port", text)
	}
}

// validate returns all errors, joined.
func (n *Node) validate() error {
	c := &errorCollector{}
	n.validateIdentity(c)
	n.validateAddresses(c)
	n.validateMachine(c)
	n.Timing.validate(c)
	return errors.Join(c.errs...)
}

// validateIdentity checks the name and the roles of the process.
func (n *Node) validateIdentity(c *errorCollector) {
	if n.Name == "" {
		c.add("node_name", "is missing")
	}
	if len(n.ServedRoles) == 0 {
		c.add("served_roles", "is empty")
	}
	for _, role := range n.ServedRoles {
		if role != RoleEdge && role != RoleControl {
			c.add("served_roles", "%q is neither edge nor control", role)
		}
	}
}

// validateAddresses checks the process's own addresses, the seeds and the platform's API.
func (n *Node) validateAddresses(c *errorCollector) {
	if _, err := netip.ParseAddr(n.IP); err != nil {
		c.add("ip", "%q is not an IP address", n.IP)
	}
	if p := n.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] > maxPort || p[0]+1 > p[1] {
		c.add("internal_port_range", "%v is not a range of at least two ports", p)
	}
	if len(n.SeedPeers) == 0 {
		c.add("seed_peers", "is empty")
	}
	for i, seed := range n.SeedPeers {
		c.checkAddrPort(fmt.Sprintf("seed_peers.%d", i), seed)
	}
	if n.Serves(RoleEdge) {
		c.checkAddrPort("listeners.front_port", n.Listeners.Front)
		c.checkAddrPort("listeners.ready_port", n.Listeners.Ready)
	}
	if n.Serves(RoleControl) {
		c.checkAddrPort("listeners.control_port", n.Listeners.Control)
	}
	c.checkAddrPort("cloud_api.address", n.Cloud.Address)
	if n.Cloud.RatePerS <= 0 {
		c.add("cloud_api.rate_per_s", "%v: must be above 0", n.Cloud.RatePerS)
	}
}

// validateMachine checks the machine's resources and the number of tolerated machine failures.
func (n *Node) validateMachine(c *errorCollector) {
	if !n.Limits.valid() {
		c.add("request_limits", "%+v: must not be negative or NaN, and max_fds must be 0 or at least 300", n.Limits)
	}
	if m := n.Tolerance.Machines; m < 0 || m > maxMachineFailures {
		c.add("fault_tolerance.machine_failures", "%d: must be from 0 to 10", m)
	}
}

// valid reports whether a gateway can run within the limits.
func (l *Limits) valid() bool {
	if !(l.CPUShare >= 0) || l.MemoryMB < 0 || l.DiskMB < 0 || l.MaxFDs < 0 { // negated, to reject NaN
		return false
	}
	return l.LinkMbps >= 0 && (l.MaxFDs == 0 || l.MaxFDs >= minFDs)
}

// validate checks that no value is negative or NaN and that required values are above 0. The error
// text is the same for both, although 0 is allowed for values that are not required.
func (t *Timing) validate(c *errorCollector) {
	for _, field := range []struct {
		name     string
		value    float64
		required bool
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
		if !(field.value >= 0) || field.required && field.value == 0 { // negated, to reject NaN
			c.add("timing_bounds."+field.name, "%v: must be above 0", field.value)
		}
	}
}

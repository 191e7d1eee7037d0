package emulator

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"example.org/elmspan/keys"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

func (n *node) settingsPath() string { return filepath.Join(n.dir, "node.toml") }
func (n *node) tuningPath() string   { return filepath.Join(n.dir, "tuning.toml") }
func (n *node) dataDir() string      { return filepath.Join(n.dir, "data") }

// settingsFile is the settings file of a machine, as docs/operate.md has it.
var settingsFile = template.Must(template.New("node.toml").Parse(`node_name = "{{.Name}}"
role = "gateway"
served_roles = ["edge", "control"]
ip = "{{.IP}}"
zone = "{{.Zone}}"
region = "loopback"
internal_port_range = [{{.Internal}}, {{.InternalEnd}}]
seed_peers = [{{range $i, $seed := .Seeds}}{{if $i}}, {{end}}"{{$seed}}"{{end}}]
bootstrap = {{.Bootstrap}}
quorum_member = {{.Core}}
data_dir = "{{.DataDir}}"
[listeners]
front_port = "{{.Front}}"
ready_port = "{{.Ready}}"
control_port = "{{.Control}}"
[request_limits]
max_fds = 2000
[fault_tolerance]
machine_failures = 1
[timing_bounds]
drain_ms = {{.Bounds.DrainMs}}
grace_s = 6
config_apply_ms = {{.Bounds.ConfigApplyMs}}
strict_revocation = true
revoke_ms = {{.Bounds.RevokeMs}}
quota_window_s = {{.Bounds.QuotaWindowS}}
quota_overshoot = {{.Bounds.QuotaOvershoot}}
quota_slack = {{.Bounds.QuotaSlack}}
retry_budget_ratio = {{.Retries.Ratio}}
retry_window_s = {{.Retries.WindowS}}
retry_budget_slack = {{.Retries.Slack}}
[cloud_api]
address = "{{.Cloud}}"
rate_per_s = {{.CloudRate}}
`))

// settingsValues are what settingsFile is filled in with.
type settingsValues struct {
	Name, IP, Zone        string
	Internal, InternalEnd int
	Seeds                 []string
	Bootstrap, Core       bool
	DataDir               string
	Front, Ready, Control string
	Bounds                bounds
	Retries               scenario.RetryBudget
	Cloud                 string
	CloudRate             float64
}

// bounds are the figures of the rules that the checker goes by.
type bounds struct {
	DrainMs, ConfigApplyMs, RevokeMs         int
	QuotaWindowS, QuotaOvershoot, QuotaSlack float64
}

var checkedBounds = bounds{
	DrainMs:        checker.DrainMs,
	ConfigApplyMs:  checker.ConfigApplyMs,
	RevokeMs:       checker.RevokeMs,
	QuotaWindowS:   checker.QuotaWindowS,
	QuotaOvershoot: checker.QuotaOvershoot,
	QuotaSlack:     checker.QuotaSlack,
}

// writeSettings writes the settings files of all machines. bootstrap: the next start is
// the first one of the whole system.
func (f *Fleet) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, n := range f.nodes {
		if n.core {
			seeds = append(seeds, n.control)
		}
	}
	for _, n := range f.nodes {
		values := settingsValues{
			Name:        n.name,
			IP:          n.ip,
			Zone:        n.zone,
			Internal:    f.ports.internal,
			InternalEnd: f.ports.internal + internalPorts,
			Seeds:       seeds,
			Bootstrap:   bootstrap,
			Core:        n.core,
			Front:       n.front,
			Ready:       n.ready,
			Control:     n.control,
			Bounds:      checkedBounds,
			Retries:     f.spec.RetryBudget,
			Cloud:       f.platform.addr,
			CloudRate:   platformCallsPerS,
		}
		if n.core {
			values.DataDir = n.dataDir()
		}
		var text strings.Builder
		if err := settingsFile.Execute(&text, values); err != nil {
			return fmt.Errorf("emulator: settings of %s: %w", n.name, err)
		}
		if err := os.WriteFile(n.settingsPath(), []byte(text.String()), 0o644); err != nil {
			return fmt.Errorf("emulator: %w", err)
		}
	}
	return nil
}

// writeTuning writes the tuning files of all machines: metrics are kept, and keys are
// there where the day wants them.
func (f *Fleet) writeTuning() error {
	authority := filepath.Join(f.dir, "authority")
	if f.spec.Keys {
		if err := keys.InitAuthority(authority, time.Now()); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		text := fmt.Sprintf("[metrics]\naddress = %q\n", n.metrics)
		if f.spec.Keys {
			dir := filepath.Join(n.dir, "keys")
			if err := keys.Issue(authority, dir, n.name, net.ParseIP(n.ip), 1, time.Now()); err != nil {
				return err
			}
			text += fmt.Sprintf("[tls]\ndir = %q\n", dir)
		}
		if err := os.WriteFile(n.tuningPath(), []byte(text), 0o644); err != nil {
			return fmt.Errorf("emulator: %w", err)
		}
	}
	return nil
}

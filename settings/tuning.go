package settings

import "time"

// TuningFileEnv is the name of the environment variable that may hold the path of the tuning file.
const TuningFileEnv = "ELMSPAN_TUNING_FILE"

// Tuning is the tuning file: optional settings in addition to the node file. The table in
// tunables.go has the meaning, default, range and trade-off of each field; docs/tuning.md is
// generated from it.
type Tuning struct {
	Log      LogTuning      `toml:"log"`
	Metrics  MetricsTuning  `toml:"metrics"`
	TLS      TLSTuning      `toml:"tls"`
	Upstream UpstreamTuning `toml:"upstream"`
	Link     LinkTuning     `toml:"link"`
	Control  ControlTuning  `toml:"control"`
}

// LogTuning configures logging.
type LogTuning struct {
	Level   string  `toml:"level"`    // debug, info, warn or error
	Format  string  `toml:"format"`   // text or json
	RepeatS float64 `toml:"repeat_s"` // period of suppressing repeats, in seconds; 0: none is suppressed
}

// MetricsTuning configures the metrics endpoint.
type MetricsTuning struct {
	Address string `toml:"address"` // IP address and port; empty: no metrics are collected
}

// TLSTuning configures authentication and encryption between the system's own processes.
type TLSTuning struct {
	Dir string `toml:"dir"` // folder of the machine's keys; empty: no TLS, and gossip is not encrypted
}

// UpstreamTuning configures the gateway's connections to servers.
type UpstreamTuning struct {
	ConnectMs float64 `toml:"connect_ms"` // milliseconds, above 0
	IdleS     float64 `toml:"idle_s"`     // seconds, above 0
}

// Connect returns the timeout for connecting to a server.
func (t *UpstreamTuning) Connect() time.Duration { return Millis(t.ConnectMs) }

// Idle returns the time for which an idle connection is kept if the server's Keep-Alive header
// gives no timeout.
func (t *UpstreamTuning) Idle() time.Duration { return Millis(1000 * t.IdleS) }

// LinkTuning configures how the machine's bandwidth and processor are shared. Each field is a
// fraction of a value in the node file's Limits, above 0 and at most 1.
type LinkTuning struct {
	Fill      float64 `toml:"fill"`  // of LinkMbps, for long bodies together with all other data written
	Gossip    float64 `toml:"words"` // of LinkMbps, for gossip
	GossipCPU float64 `toml:"work"`  // of CPUShare, for sending gossip
}

// ControlTuning configures access control of the operator interface.
type ControlTuning struct {
	Operators string  `toml:"operators"`   // path of the operators file; empty: anyone may make every call
	Cert      string  `toml:"cert"`        // path of a certificate chain in PEM; empty: no TLS
	Key       string  `toml:"key"`         // path of the private key in PEM; set together with Cert
	CallsPerS float64 `toml:"calls_per_s"` // calls per second per caller; 0: no limit
	InFlight  float64 `toml:"in_hand"`     // concurrent calls of all callers; 0: no limit
}

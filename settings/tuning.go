package settings

import "time"

// TuningFileEnv is the environment variable that may hold the path of the tuning file.
const TuningFileEnv = "ELMSPAN_TUNING_FILE"

// Tuning is the tuning file: what an operator may set beside the node file. The meaning,
// default, range and trade-off of each field are in one table, see tunables.go, from which
// docs/tuning.md is made.
type Tuning struct {
	Log      LogTuning      `toml:"log"`
	Metrics  MetricsTuning  `toml:"metrics"`
	TLS      TLSTuning      `toml:"tls"`
	Upstream UpstreamTuning `toml:"upstream"`
	Link     LinkTuning     `toml:"link"`
	Control  ControlTuning  `toml:"control"`
}

// LogTuning is how a process logs.
type LogTuning struct {
	Level   string  `toml:"level"`    // debug, info, warn or error
	Format  string  `toml:"format"`   // text or json
	RepeatS float64 `toml:"repeat_s"` // seconds; 0: messages that repeat are all logged
}

// MetricsTuning is where metrics are read.
type MetricsTuning struct {
	Address string `toml:"address"` // IP address and port; empty: no metrics are kept
}

// TLSTuning is how the system's own processes authenticate each other.
type TLSTuning struct {
	Dir string `toml:"dir"` // of the machine's keys; empty: no TLS, and gossip is not sealed
}

// UpstreamTuning is how the gateway connects to servers.
type UpstreamTuning struct {
	ConnectMs float64 `toml:"connect_ms"` // milliseconds, above 0
	IdleS     float64 `toml:"idle_s"`     // seconds, above 0
}

// Connect is how long a connect to a server may take.
func (t *UpstreamTuning) Connect() time.Duration { return Millis(t.ConnectMs) }

// Idle is how long an idle connection to a server is kept.
func (t *UpstreamTuning) Idle() time.Duration { return Millis(1000 * t.IdleS) }

// LinkTuning is how the machine's link and processor are shared. Each field is a part of
// what the node file's Limits say, above 0 and at most 1.
type LinkTuning struct {
	Fill      float64 `toml:"fill"`  // of the link, for long bodies
	Gossip    float64 `toml:"words"` // of the link, for gossip
	GossipCPU float64 `toml:"work"`  // of the processor, for sending gossip
}

// ControlTuning is the access control of the operator interface.
type ControlTuning struct {
	Operators string  `toml:"operators"`   // path of the operators file; empty: everybody may make every call
	Cert      string  `toml:"cert"`        // path of a certificate with its chain in PEM; empty: no TLS
	Key       string  `toml:"key"`         // path of the certificate's key in PEM; set together with Cert
	CallsPerS float64 `toml:"calls_per_s"` // calls a second of one caller; 0: no limit
	InFlight  float64 `toml:"in_hand"`     // calls of all callers at once; 0: no limit
}

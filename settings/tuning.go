package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"example.org/elmspan/dataplane/gossip"
)

// TuningFileEnv is the variable that may hold the path of the tuning file.
const TuningFileEnv = "ELMSPAN_TUNING_FILE"

// Tuning is what an operator may set beyond the node file. It is ours alone, so
// that an unknown field in it is a fault. Each field's tags hold its default,
// the values that it takes ("a..b", or words between bars) and what it does;
// docs/tuning.md is made of them.
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
	Level   string  `toml:"level" default:"info" takes:"debug|info|warn|error" doc:"Least level that is logged. Read again at SIGHUP."`
	Format  string  `toml:"format" default:"text" takes:"text|json" doc:"Lines of key=value, or a JSON object a line."`
	RepeatS float64 `toml:"repeat_s" default:"10" takes:"0..3600" doc:"Of a warning or error that repeats, the first three in so many seconds are logged, then one a span with how many were left out. 0: all."`
}

// MetricsTuning is where metrics are read.
type MetricsTuning struct {
	Address string `toml:"address" default:"" takes:"address" doc:"Address and port for Prometheus to read /metrics at. Empty: no metrics are kept. Not for clients: let no one else reach it."`
}

// TLSTuning is how the system's own processes know each other.
type TLSTuning struct {
	Dir string `toml:"dir" default:"" takes:"folder" doc:"Folder that 'elmspan keys issue' wrote for this machine. The system's own processes then speak mutual TLS, and words between limiters are sealed. All machines have one or none has. Empty: neither. Read again when it changes."`
}

// UpstreamTuning is how servers are connected to.
type UpstreamTuning struct {
	ConnectMs float64 `toml:"connect_ms" default:"300" takes:"10..10000" doc:"How long a connect to a server may take."`
	IdleS     float64 `toml:"idle_s" default:"7" takes:"0.1..600" doc:"How long an idle connection is kept where the server says nothing in Keep-Alive."`
}

// LinkTuning is how the machine's link and processor are shared.
type LinkTuning struct {
	Fill      float64 `toml:"fill" default:"0.94" takes:"0.1..1" doc:"Part of the machine's link (link_speed_mbps) that long bodies may fill, with all else that is written."`
	Gossip    float64 `toml:"words" default:"0.012" takes:"0.001..1" doc:"Part of the machine's link that words to other limiters may use."`
	GossipCPU float64 `toml:"work" default:"0.02" takes:"0.001..1" doc:"Part of the machine's processor (cpu_share) that sending words to other limiters may use."`
}

// ControlTuning is who may call the operator's interface, and how much of it.
type ControlTuning struct {
	Operators string  `toml:"operators" default:"" takes:"file" doc:"File that 'elmspan operators add' wrote. Who calls control_port then needs a token of it. Empty: everybody who reaches the port may do all. Read again when it changes."`
	Cert      string  `toml:"cert" default:"" takes:"file" doc:"Certificate with its chain, in PEM: control_port then speaks TLS 1.3. Together with control.key. Read again when it changes."`
	Key       string  `toml:"key" default:"" takes:"file" doc:"Key of control.cert, in PEM."`
	CallsPerS float64 `toml:"calls_per_s" default:"0" takes:"0..10000" doc:"Calls a second of one caller, by address; twice as many at once. 0: no bound."`
	InFlight  float64 `toml:"in_hand" default:"64" takes:"0..10000" doc:"Calls in hand at a time, of all callers. 0: no bound."`
}

// wordMs is about how long a processor needs to make and send a word.
const wordMs = 0.01

// GossipBudget is what words may use of a machine with a link of so many Mbit/s and a
// share of a processor.
func (t *LinkTuning) GossipBudget(linkMbps, cpuShare float64) gossip.Budget {
	return gossip.Budget{BytesPerS: linkMbps * 1e6 / 8 * t.Gossip, WordsPerS: cpuShare * 1000 / wordMs * t.GossipCPU}
}

// Connect and Idle are the times as durations.
func (t *UpstreamTuning) Connect() time.Duration { return Millis(t.ConnectMs) }

// Idle is how long an idle connection is kept.
func (t *UpstreamTuning) Idle() time.Duration { return Millis(1000 * t.IdleS) }

// tunable is one field with its tags.
type tunable struct {
	name             string
	def, takes, docs string
	value            reflect.Value
}

func (t *Tuning) each() (out []tunable) {
	v := reflect.ValueOf(t).Elem()
	for i := range v.NumField() {
		table := v.Type().Field(i).Tag.Get("toml")
		s := v.Field(i)
		for k := range s.NumField() {
			f := s.Type().Field(k).Tag
			out = append(out, tunable{table + "." + f.Get("toml"), f.Get("default"), f.Get("takes"), f.Get("doc"), s.Field(k)})
		}
	}
	return out
}

// DefaultTuning is what holds without a file.
func DefaultTuning() *Tuning {
	t := &Tuning{}
	for _, f := range t.each() {
		if f.value.Kind() == reflect.String {
			f.value.SetString(f.def)
		} else if x, err := strconv.ParseFloat(f.def, 64); err == nil {
			f.value.SetFloat(x)
		}
	}
	return t
}

// ReadTuning reads and checks the file at a path; an empty path is the defaults.
func ReadTuning(path string) (*Tuning, error) {
	if path == "" {
		return DefaultTuning(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tuning: %w", err)
	}
	t, err := ParseTuning(data)
	if err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	return t, nil
}

// ParseTuning reads and checks a file's text. All faults that are found are in
// the error, one a line.
func ParseTuning(data []byte) (*Tuning, error) {
	t := DefaultTuning()
	meta, err := toml.Decode(string(data), t)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fmt.Errorf("line %d: %s: %s", pe.Position.Line, pe.LastKey, pe.Message)
		}
		return nil, err
	}
	var errs []error
	for _, k := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%s: there is no such setting", k))
	}
	for _, f := range t.each() {
		if err := f.check(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.name, err))
		}
	}
	if (t.Control.Cert == "") != (t.Control.Key == "") {
		errs = append(errs, errors.New("control.cert: it goes together with control.key"))
	}
	return t, errors.Join(errs...)
}

func (f *tunable) check() error {
	switch low, high, ok := strings.Cut(f.takes, ".."); {
	case ok:
		a, errA := strconv.ParseFloat(low, 64)
		b, errB := strconv.ParseFloat(high, 64)
		if x := f.value.Float(); errors.Join(errA, errB) != nil || !(x >= a && x <= b) {
			return fmt.Errorf("%v: from %s to %s", f.value.Float(), low, high)
		}
	case f.takes == "address":
		if s := f.value.String(); s != "" {
			if _, err := netip.ParseAddrPort(s); err != nil {
				return fmt.Errorf("%q is no address and port", s)
			}
		}
	case f.takes == "folder":
		if s := f.value.String(); s != "" {
			if st, err := os.Stat(s); err != nil || !st.IsDir() {
				return fmt.Errorf("%q is no folder that can be read", s)
			}
		}
	case f.takes == "file":
		if s := f.value.String(); s != "" {
			if st, err := os.Stat(s); err != nil || st.IsDir() {
				return fmt.Errorf("%q is no file that can be read", s)
			}
		}
	default:
		for w := range strings.SplitSeq(f.takes, "|") {
			if w == f.value.String() {
				return nil
			}
		}
		return fmt.Errorf("%q: one of %s", f.value.String(), strings.ReplaceAll(f.takes, "|", ", "))
	}
	return nil
}

// WriteReference writes the page on all settings of the tuning file.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# The tuning file\n\nOptional; `--tuning` or `" + TuningFileEnv + "` names it. TOML. This page is made by `elmspan reference`\n" +
		"from the code; a test compares them.\n\n| setting | default | takes | what it does |\n| --- | --- | --- | --- |\n")
	for _, f := range DefaultTuning().each() {
		takes := strings.ReplaceAll(strings.ReplaceAll(f.takes, "|", ", "), "..", " to ")
		if takes == "address" {
			takes = "address:port"
		}
		fmt.Fprintf(&b, "| `%s` | %q | %s | %s |\n", f.name, f.def, takes, f.docs)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

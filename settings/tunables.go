package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// tunable describes a setting of the tuning file.
type tunable struct {
	name         string // table and key, as in the file
	defaultValue string
	takes        string // the values: "low..high", "word|word|...", or one of the kinds below
	meaning      string // what it does, with its unit and what the empty or zero value means
	tradeOff     string // what is gained and lost by raising and lowering it
}

// Kinds of values that tunable.takes may name.
const (
	takesAddress = "address" // IP address and port, or empty
	takesFolder  = "folder"  // a folder that is there, or empty
	takesFile    = "file"    // a file that is there, or empty

	rangeSeparator  = ".."
	choiceSeparator = "|"
)

// tunables has every setting of [Tuning], in the order of its fields.
var tunables = []tunable{
	{
		name: "log.level", defaultValue: "info", takes: "debug|info|warn|error",
		meaning: "Least level that is logged. Read again at SIGHUP, and every 5 s.",
		tradeOff: "Lower: at debug single calls between processes can be followed, at many lines a second. Raise: " +
			"less to store, and the audit log (info) is missing.",
	},
	{
		name: "log.format", defaultValue: "text", takes: "text|json",
		meaning:  "Lines of key=value, or a JSON object a line.",
		tradeOff: "text is for reading, json for a log collector.",
	},
	{
		name: "log.repeat_s", defaultValue: "10", takes: "0..3600",
		meaning: "Of a warning or error that repeats, the first three in so many seconds are logged, then one a " +
			"span with how many were left out. 0: all.",
		tradeOff: "Raise: a fault that goes on fills less of the log. Lower: each occurrence and its attributes " +
			"can be seen.",
	},
	{
		name: "metrics.address", defaultValue: "", takes: takesAddress,
		meaning: "Address and port for Prometheus to read /metrics at. Empty: no metrics are kept. Not for " +
			"clients: let no one else reach it.",
		tradeOff: "Set: dashboards and alerts. Empty: the processor time and memory of counting are saved.",
	},
	{
		name: "tls.dir", defaultValue: "", takes: takesFolder,
		meaning: "Folder that 'elmspan keys issue' wrote for this machine. The system's own processes then speak " +
			"mutual TLS, and gossip between limiters is sealed. All machines have one or none has. Empty: " +
			"neither. Read again when it changes.",
		tradeOff: "Set: who reaches the network can't read or forge anything, for some processor time and 42 bytes " +
			"of each gossip datagram. Empty: the network must be trusted.",
	},
	{
		name: "upstream.connect_ms", defaultValue: "300", takes: "10..10000",
		meaning: "How long a connect to a server may take, in milliseconds.",
		tradeOff: "Raise: servers far away or under load are reached. Lower: an attempt at a dead machine ends " +
			"sooner, and the request goes to another server with more of its time left.",
	},
	{
		name: "upstream.idle_s", defaultValue: "7", takes: "0.1..600",
		meaning: "How long an idle connection is kept where the server says nothing in Keep-Alive, in seconds.",
		tradeOff: "Raise: fewer new connections. Lower: fewer requests meet a connection that the server has just " +
			"closed; it should be below the servers' own idle time-out.",
	},
	{
		name: "link.fill", defaultValue: "0.94", takes: "0.1..1",
		meaning: "Part of the machine's link (link_speed_mbps) that long bodies may fill, with all else that is " +
			"written.",
		tradeOff: "Raise: long bodies are sent faster. Lower: more is left for what can't be counted, such as " +
			"headers of packets and repeats, and short responses wait less.",
	},
	{
		name: "link.words", defaultValue: "0.012", takes: "0.001..1",
		meaning: "Part of the machine's link that gossip to other limiters may use.",
		tradeOff: "Raise: in large fleets quotas follow the traffic sooner. Lower: more of the link is left for " +
			"requests, and quotas are shared out later.",
	},
	{
		name: "link.work", defaultValue: "0.02", takes: "0.001..1",
		meaning:  "Part of the machine's processor (cpu_share) that sending gossip to other limiters may use.",
		tradeOff: "As link.words, with the processor in place of the link: the tighter of the two bounds holds.",
	},
	{
		name: "control.operators", defaultValue: "", takes: takesFile,
		meaning: "File that 'elmspan operators add' wrote. Who calls control_port then needs a token of it. " +
			"Empty: everybody who reaches the port may do all. Read again when it changes.",
		tradeOff: "Set: each change has a name in the audit log, and the file must be the same on all machines. " +
			"Empty: only the network protects the interface.",
	},
	{
		name: "control.cert", defaultValue: "", takes: takesFile,
		meaning: "Certificate with its chain, in PEM: control_port then speaks TLS 1.3. Together with " +
			"control.key. Read again when it changes.",
		tradeOff: "Set: tokens and configurations can't be read on the way, and the certificate must be renewed. " +
			"Empty: they travel in the clear.",
	},
	{
		name: "control.key", defaultValue: "", takes: takesFile,
		meaning:  "Key of control.cert, in PEM.",
		tradeOff: "As control.cert.",
	},
	{
		name: "control.calls_per_s", defaultValue: "0", takes: "0..10000",
		meaning: "Calls a second of one caller, by address; twice as many at once. 0: no limit.",
		tradeOff: "Raise: scripts and several operators behind one address get on. Lower: one caller takes less of " +
			"the machine, and tokens are guessed more slowly.",
	},
	{
		name: "control.in_hand", defaultValue: "64", takes: "0..10000",
		meaning: "Calls in flight at a time, of all callers. 0: no limit.",
		tradeOff: "Raise: more callers are served at once. Lower: less memory, as each call may carry a whole " +
			"configuration; callers past the limit get 503 and come back.",
	},
}

// boundTunable is a tunable with the field of a Tuning that holds its value.
type boundTunable struct {
	*tunable
	value reflect.Value // a string or a float64
}

// bind returns all tunables with their fields in t.
func (t *Tuning) bind() []boundTunable {
	var out []boundTunable
	tables := reflect.ValueOf(t).Elem()
	for i := range tables.NumField() {
		table := tables.Field(i)
		tableName := tables.Type().Field(i).Tag.Get("toml")
		for k := range table.NumField() {
			name := tableName + "." + table.Type().Field(k).Tag.Get("toml")
			if d := findTunable(name); d != nil {
				out = append(out, boundTunable{d, table.Field(k)})
			}
		}
	}
	return out
}

// findTunable returns the tunable with a name, nil where there is none.
func findTunable(name string) *tunable {
	i := slices.IndexFunc(tunables, func(d tunable) bool { return d.name == name })
	if i < 0 {
		return nil
	}
	return &tunables[i]
}

// DefaultTuning is what holds without a tuning file.
func DefaultTuning() *Tuning {
	t := &Tuning{}
	for _, d := range t.bind() {
		if d.value.Kind() == reflect.String {
			d.value.SetString(d.defaultValue)
		} else if x, err := strconv.ParseFloat(d.defaultValue, 64); err == nil {
			d.value.SetFloat(x)
		}
	}
	return t
}

// validate returns all faults, each with the name of its setting.
func (t *Tuning) validate() []error {
	var errs []error
	for _, d := range t.bind() {
		if err := d.check(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", d.name, err))
		}
	}
	if (t.Control.Cert == "") != (t.Control.Key == "") {
		errs = append(errs, errors.New("control.cert: it goes together with control.key"))
	}
	return errs
}

// check returns an error where the value is not one that the setting takes.
func (d *boundTunable) check() error {
	if low, high, ok := strings.Cut(d.takes, rangeSeparator); ok {
		return checkRange(d.value.Float(), low, high)
	}
	switch text := d.value.String(); d.takes {
	case takesAddress:
		return checkAddress(text)
	case takesFolder:
		return checkPath(text, "folder", true)
	case takesFile:
		return checkPath(text, "file", false)
	default:
		return checkChoice(text, strings.Split(d.takes, choiceSeparator))
	}
}

// checkRange accepts numbers from low to high.
func checkRange(x float64, low, high string) error {
	minimum, errLow := strconv.ParseFloat(low, 64)
	maximum, errHigh := strconv.ParseFloat(high, 64)
	if errors.Join(errLow, errHigh) != nil || !(x >= minimum && x <= maximum) { // not a number fails too
		return fmt.Errorf("%v: from %s to %s", x, low, high)
	}
	return nil
}

// checkAddress accepts an IP address and port, or nothing.
func checkAddress(text string) error {
	if text == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is no address and port", text)
	}
	return nil
}

// checkPath accepts the path of a folder or a file that is there, or nothing.
func checkPath(path, kind string, folder bool) error {
	if path == "" {
		return nil
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() != folder {
		return fmt.Errorf("%q is no %s that can be read", path, kind)
	}
	return nil
}

// checkChoice accepts one of the choices.
func checkChoice(text string, choices []string) error {
	if slices.Contains(choices, text) {
		return nil
	}
	return fmt.Errorf("%q: one of %s", text, strings.Join(choices, ", "))
}

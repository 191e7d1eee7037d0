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
	allowed      string // allowed values: "low..high", "word|word|...", or one of the kinds below
	meaning      string // what it does, its unit and the meaning of an empty or zero value
	tradeOff     string // the effects of raising and lowering it, or of setting it and leaving it empty
}

// Kinds of values that tunable.allowed may name.
const (
	allowAddress = "address" // IP address and port, or empty
	allowFolder  = "folder"  // path of an existing folder, or empty
	allowFile    = "file"    // path of an existing file, or empty

	rangeSeparator  = ".."
	choiceSeparator = "|"
)

// tunables lists every setting of [Tuning], in the order of its fields.
var tunables = []tunable{
	{
		name: "log.level", defaultValue: "info", allowed: "debug|info|warn|error",
		meaning: "Lowest level that is logged. Reloaded on SIGHUP, and every 5 s.",
		tradeOff: "Lower: at debug, single calls between processes can be followed, at many lines per second. Raise: " +
			"less to store, but above info there is no audit log.",
	},
	{
		name: "log.format", defaultValue: "text", allowed: "text|json",
		meaning:  "Lines of key=value pairs, or one JSON object per line.",
		tradeOff: "text is for reading, json for a log collector.",
	},
	{
		name: "log.repeat_s", defaultValue: "10", allowed: "0..3600",
		meaning: "Period in seconds. Of a repeated warning or error, the first three in a period are logged, then " +
			"one per period with the number omitted. 0: all are logged.",
		tradeOff: "Raise: a persistent fault fills less of the log. Lower: more occurrences and their attributes " +
			"can be seen.",
	},
	{
		name: "metrics.address", defaultValue: "", allowed: allowAddress,
		meaning: "Address and port where Prometheus scrapes /metrics. Empty: no metrics are collected. Only the " +
			"monitoring system should be able to reach it.",
		tradeOff: "Set: dashboards and alerts are possible. Empty: saves the processor time and memory of metrics.",
	},
	{
		name: "tls.dir", defaultValue: "", allowed: allowFolder,
		meaning: "Folder that 'elmspan keys issue' wrote for this machine. The system's own processes then use " +
			"mutual TLS, and gossip between limiters is encrypted. Set it on all machines or on none. Empty: " +
			"neither. Reloaded when it changes.",
		tradeOff: "Set: others on the network can't read or forge messages, at the cost of processor time and 42 " +
			"bytes per gossip datagram. Empty: the network must be trusted.",
	},
	{
		name: "upstream.connect_ms", defaultValue: "300", allowed: "10..10000",
		meaning: "Timeout for connecting to a server, in milliseconds.",
		tradeOff: "Raise: distant or overloaded servers can be reached. Lower: an attempt at a dead machine fails " +
			"sooner, and the request has more time left for another server.",
	},
	{
		name: "upstream.idle_s", defaultValue: "7", allowed: "0.1..600",
		meaning: "Idle timeout of a server connection without a timeout in the server's Keep-Alive header, in seconds.",
		tradeOff: "Raise: fewer new connections. Lower: fewer requests are sent on a connection that the server has " +
			"just closed; it should be below the servers' own idle timeout.",
	},
	{
		name: "link.fill", defaultValue: "0.94", allowed: "0.1..1",
		meaning: "Fraction of the bandwidth (link_speed_mbps) that long bodies may fill, with all other data " +
			"written.",
		tradeOff: "Raise: long bodies are sent faster. Lower: more is left for traffic that can't be counted, such " +
			"as packet headers and retransmissions, and short responses wait less.",
	},
	{
		name: "link.words", defaultValue: "0.012", allowed: "0.001..1",
		meaning: "Fraction of the machine's bandwidth (link_speed_mbps) that gossip to other limiters may use.",
		tradeOff: "Raise: in large fleets, quotas adapt to the traffic sooner. Lower: more bandwidth is left for " +
			"requests, but quotas are redistributed later.",
	},
	{
		name: "link.work", defaultValue: "0.02", allowed: "0.001..1",
		meaning:  "Fraction of the machine's processor (cpu_share) that sending gossip to other limiters may use.",
		tradeOff: "As link.words, for processor time instead of bandwidth. The tighter of the two bounds applies.",
	},
	{
		name: "control.operators", defaultValue: "", allowed: allowFile,
		meaning: "File that 'elmspan operators add' wrote. Calls to control_port then need a token from this file. " +
			"Empty: anyone who can reach the port may make every call. Reloaded when it changes.",
		tradeOff: "Set: the audit log names the operator of each change, but the file must be the same on all " +
			"machines. Empty: only the network protects the interface.",
	},
	{
		name: "control.cert", defaultValue: "", allowed: allowFile,
		meaning: "File with the certificate chain, in PEM. control_port then uses TLS 1.3. Must be set together with " +
			"control.key. Reloaded when it changes.",
		tradeOff: "Set: tokens and configurations are encrypted in transit, but the certificate must be renewed. " +
			"Empty: they are sent in plain text.",
	},
	{
		name: "control.key", defaultValue: "", allowed: allowFile,
		meaning:  "File with the private key of control.cert, in PEM.",
		tradeOff: "As control.cert.",
	},
	{
		name: "control.calls_per_s", defaultValue: "0", allowed: "0..10000",
		meaning: "Calls per second per caller IP address, with bursts of twice as many. 0: no limit.",
		tradeOff: "Raise: scripts and several operators behind one address are not held up. Lower: one caller uses " +
			"less of the machine, and guessing tokens is slower.",
	},
	{
		name: "control.in_hand", defaultValue: "64", allowed: "0..10000",
		meaning: "Maximum number of concurrent calls, over all callers. 0: no limit.",
		tradeOff: "Raise: more callers are served at once. Lower: less memory, since each call may carry a whole " +
			"configuration; calls above the limit get 503 and must be retried.",
	},
}

// boundTunable is a tunable bound to the field of a Tuning that holds its value.
type boundTunable struct {
	*tunable
	value reflect.Value // a string or a float64
}

// bind returns all tunables, bound to their fields in t.
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

// findTunable returns the tunable with the given name, or nil.
func findTunable(name string) *tunable {
	i := slices.IndexFunc(tunables, func(d tunable) bool { return d.name == name })
	if i < 0 {
		return nil
	}
	return &tunables[i]
}

// DefaultTuning returns the default of every setting.
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

// validate returns an error for each invalid value, prefixed with the name of the setting.
func (t *Tuning) validate() []error {
	var errs []error
	for _, d := range t.bind() {
		if err := d.check(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", d.name, err))
		}
	}
	if (t.Control.Cert == "") != (t.Control.Key == "") {
		errs = append(errs, errors.New("control.cert: must be set together with control.key"))
	}
	return errs
}

// check returns an error if the value is not allowed for the setting.
func (d *boundTunable) check() error {
	if low, high, ok := strings.Cut(d.allowed, rangeSeparator); ok {
		return checkRange(d.value.Float(), low, high)
	}
	switch text := d.value.String(); d.allowed {
	case allowAddress:
		return checkAddress(text)
	case allowFolder:
		return checkPath(text, "folder", true)
	case allowFile:
		return checkPath(text, "file", false)
	default:
		return checkChoice(text, strings.Split(d.allowed, choiceSeparator))
	}
}

// checkRange accepts numbers from low to high, both included.
func checkRange(x float64, low, high string) error {
	minimum, errLow := strconv.ParseFloat(low, 64)
	maximum, errHigh := strconv.ParseFloat(high, 64)
	if errors.Join(errLow, errHigh) != nil || !(x >= minimum && x <= maximum) { // rejects NaN too
		return fmt.Errorf("%v: must be from %s to %s", x, low, high)
	}
	return nil
}

// checkAddress accepts an IP address and port, or an empty string.
func checkAddress(text string) error {
	if text == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is not an IP address and port", text)
	}
	return nil
}

// checkPath accepts the path of an existing folder or file, or an empty string.
func checkPath(path, kind string, wantFolder bool) error {
	if path == "" {
		return nil
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() != wantFolder {
		return fmt.Errorf("%q is not an accessible %s", path, kind)
	}
	return nil
}

// checkChoice accepts one of the choices.
func checkChoice(text string, choices []string) error {
	if slices.Contains(choices, text) {
		return nil
	}
	return fmt.Errorf("%q: must be one of %s", text, strings.Join(choices, ", "))
}

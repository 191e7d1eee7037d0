package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"example.org/elmspan/balancer"
)

// SettingsParser parses the values of settings, which it finds by the paths used on a BEGIN
// line. It keeps the first error.
type SettingsParser struct {
	values map[string]string // by path
	err    error
}

// NewSettingsParser returns a parser of values, which maps paths to texts.
func NewSettingsParser(values map[string]string) *SettingsParser {
	return &SettingsParser{values: values}
}

// Err returns the first error so far.
func (p *SettingsParser) Err() error { return p.err }

var idempotencyNames = map[string]balancer.Idempotency{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed, "non_idempotent": balancer.Unsafe,
}

var dedupScopeNames = map[string]balancer.DedupScope{
	"all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell,
}

// parseSettings parses the name=value pairs of a BEGIN line.
func parseSettings(text string) (s balancer.Settings, err error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(text) {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return s, fmt.Errorf("setting %q has no value", pair)
		}
		values[name] = value
	}
	return NewSettingsParser(values).Settings()
}

// Settings returns the settings of package balancer. Unknown settings are ignored.
func (p *SettingsParser) Settings() (balancer.Settings, error) {
	s := balancer.Settings{
		Position: p.Integer("position"), Balancers: p.Integer("balancers"), Zone: p.Integer("az"),
		PollMembership:        p.values["membership_mode"] == "ask",
		PeerMessagesPerSecond: p.Number("family_info.peer_in_per_s"), TrueUp: p.flag("family_info.trued_up"),
		CrossZonePrice: p.Number("prices.cross_zone"), PollWithinMs: p.Number("invariants.ask_within_ms"),
		Caps: balancer.Caps{
			MaxAttempts: p.Integer("caps.attempts_cap"), Cancel: p.flag("caps.cancel"),
			Peers: p.flag("caps.peer_messages"), Probes: p.flag("caps.probes"),
			RetryAfter: p.flag("caps.retry_after"), Hedging: p.flag("caps.second_copies"),
			MaxRetryAfterMs: p.Number("caps.max_retry_after_ms"), ConnectTimeoutMs: p.Number("caps.connect_timeout_ms"),
		},
		ServerLimits: balancer.ServerLimits{
			SlowStartShare: p.Number("invariants.cold_share"), SlowStartMs: p.Number("invariants.cold_ms"),
			OverloadFactor: p.Number("invariants.overload_factor"), OverloadMs: p.Number("invariants.fall_ms"),
		},
	}
	for i := range p.Count("request_classes") {
		prefix := fmt.Sprintf("request_classes.%d.", i)
		c := balancer.Class{
			LatencyTargetMs: p.Number(prefix + "promise_ms"), DeadlineMs: p.Number(prefix + "deadline_ms"),
			DedupWindowMs: p.Number(prefix + "window_ms"), Value: p.Number(prefix + "importance"),
			LateValueShare: p.Number(prefix + "late_share"),
			Idempotency:    balancer.Unsafe,
		}
		if w, ok := p.values[prefix+"idempotency"]; ok {
			c.Idempotency, ok = idempotencyNames[w]
			p.check(ok, prefix+"idempotency")
		}
		if w, ok := p.values[prefix+"group"]; ok && c.Idempotency == balancer.Keyed {
			c.DedupScope, ok = dedupScopeNames[w]
			p.check(ok, prefix+"group")
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.Count("packages") {
		prefix := fmt.Sprintf("packages.%d.", i)
		s.Plans = append(s.Plans, balancer.Plan{
			Rate: p.Number(prefix + "per_second"), Burst: p.Number(prefix + "burst"),
			MaxInFlight: p.Integer(prefix + "at_once"),
			HardRate:    p.Number(prefix + "cap_rate"), HardBurst: p.Number(prefix + "cap_depth"),
			Price: p.Number(prefix + "price"), ExcessValueShare: p.Number(prefix + "beyond_earns"),
			ExcessPenalty: p.Number(prefix + "overrun_cost"),
		})
	}
	return s, p.err
}

// check records an error about a setting, unless ok.
func (p *SettingsParser) check(ok bool, name string) {
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s: invalid value %q", name, p.values[name])
	}
}

// Text returns a value unchanged, or an empty string if it is absent.
func (p *SettingsParser) Text(name string) string { return p.values[name] }

// Number returns a finite number, or 0 if it is absent or "-".
func (p *SettingsParser) Number(name string) float64 {
	w, ok := p.values[name]
	if !ok || w == "-" || w == "" {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	p.check(err == nil && !math.IsNaN(v) && !math.IsInf(v, 0), name)
	return v
}

// Integer returns an integer with a magnitude below 1<<31, or 0 if it is absent or "-".
func (p *SettingsParser) Integer(name string) int {
	v := p.Number(name)
	p.check(v == math.Trunc(v) && math.Abs(v) < 1<<31, name)
	return int(v)
}

// Count returns the length of a list. A length above the number of settings is an error, so
// that an invalid length can't make the parser allocate much memory.
func (p *SettingsParser) Count(name string) int {
	n := p.Integer(name + ".count")
	p.check(n >= 0 && n <= len(p.values), name+".count")
	if p.err != nil {
		return 0
	}
	return n
}

// flag returns a Boolean, or false if it is absent or "-".
func (p *SettingsParser) flag(name string) bool {
	w := p.values[name]
	p.check(w == "" || w == "-" || w == "true" || w == "false" || w == "1" || w == "0", name)
	return w == "true" || w == "1"
}

package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"example.org/elmspan/balancer"
)

// SettingsParser are settings by their path, as on a BEGIN line. They keep the first
// error of all that is read from them.
type SettingsParser struct {
	values map[string]string
	err    error
}

// NewSettingsParser returns the Pairs of these values.
func NewSettingsParser(values map[string]string) *SettingsParser { return &SettingsParser{values: values} }

// Err is the first error of what was read so far.
func (p *SettingsParser) Err() error { return p.err }

var repeats = map[string]balancer.Idempotency{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed, "non_idempotent": balancer.Unsafe,
}

var groups = map[string]balancer.DedupScope{
	"all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell,
}

// parseSettings reads the settings on a BEGIN line.
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

// Settings reads the settings that the module knows and skips the others.
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
		Rules: balancer.Rules{
			SlowStartShare: p.Number("invariants.cold_share"), SlowStartMs: p.Number("invariants.cold_ms"),
			OverloadFactor: p.Number("invariants.overload_factor"), OverloadMs: p.Number("invariants.fall_ms"),
		},
	}
	for i := range p.Count("request_classes") {
		at := fmt.Sprintf("request_classes.%d.", i)
		c := balancer.Class{
			LatencyTargetMs: p.Number(at + "promise_ms"), DeadlineMs: p.Number(at + "deadline_ms"),
			DedupWindowMs: p.Number(at + "window_ms"), Value: p.Number(at + "importance"),
			LateValueShare: p.Number(at + "late_share"),
			Idempotency:    balancer.Unsafe,
		}
		if w, ok := p.values[at+"idempotency"]; ok {
			c.Idempotency, ok = repeats[w]
			p.check(ok, at+"idempotency")
		}
		if w, ok := p.values[at+"group"]; ok && c.Idempotency == balancer.Keyed {
			c.DedupScope, ok = groups[w]
			p.check(ok, at+"group")
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.Count("packages") {
		at := fmt.Sprintf("packages.%d.", i)
		s.Plans = append(s.Plans, balancer.Plan{
			Rate: p.Number(at + "per_second"), Burst: p.Number(at + "burst"), MaxInFlight: p.Integer(at + "at_once"),
			HardRate: p.Number(at + "cap_rate"), HardBurst: p.Number(at + "cap_depth"),
			Price: p.Number(at + "price"), ExcessValueShare: p.Number(at + "beyond_earns"),
			ExcessPenalty: p.Number(at + "overrun_cost"),
		})
	}
	return s, p.err
}

func (p *SettingsParser) check(ok bool, name string) {
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s: bad value %q", name, p.values[name])
	}
}

// Text returns a value as it stands; an absent one is empty.
func (p *SettingsParser) Text(name string) string { return p.values[name] }

// Number returns a number; an absent one is 0.
func (p *SettingsParser) Number(name string) float64 {
	w, ok := p.values[name]
	if !ok || w == "-" || w == "" {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	p.check(err == nil && !math.IsNaN(v) && !math.IsInf(v, 0), name)
	return v
}

// Integer returns a whole number; an absent one is 0.
func (p *SettingsParser) Integer(name string) int {
	v := p.Number(name)
	p.check(v == math.Trunc(v) && math.Abs(v) < 1<<31, name)
	return int(v)
}

// Count reads the length of a list, which is bounded by the text itself.
func (p *SettingsParser) Count(name string) int {
	n := p.Integer(name + ".count")
	p.check(n >= 0 && n <= len(p.values), name+".count")
	if p.err != nil {
		return 0
	}
	return n
}

func (p *SettingsParser) flag(name string) bool {
	w := p.values[name]
	p.check(w == "" || w == "-" || w == "true" || w == "false" || w == "1" || w == "0", name)
	return w == "true" || w == "1"
}

// Package scenario describes a fleet and its day: zones, machines, services,
// kinds of requests, tenants and troubles. The emulator plays it with real
// processes on loopback, the simulation on a clock of its own.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Day describes a fleet and its day.
type Day struct {
	Seed        uint64      `toml:"seed"`
	LengthS     float64     `toml:"length_s"`
	Zones       []string    `toml:"zones"`
	PerZone     int         `toml:"machines_per_zone"`   // the first one of each of three zones is a core machine
	Clients     int         `toml:"clients_per_machine"` // of the simulation; 0: 40
	Services    []Service   `toml:"services"`
	Classes     []Class     `toml:"classes"`
	Tenants     []Tenant    `toml:"tenants"`
	Faults      []Fault     `toml:"troubles"`
	Keys        bool        `toml:"keys"` // the processes speak mutual TLS, and words are sealed
	RetryBudget RetryBudget `toml:"retry_budget"`
	Network     Network     `toml:"network"`
}

// RetryBudget is the operator's budget of further tries over all limiters: in each
// window at most Ratio x requests + Slack. A Ratio of 0 is none.
type RetryBudget struct {
	Ratio   float64 `toml:"ratio"`
	Slack   float64 `toml:"slack"`
	WindowS float64 `toml:"window_s"`
}

// Network is that of the simulation; on loopback there is none to speak of.
type Network struct {
	ZoneMs     float64 `toml:"zone_ms"`    // one way, within a zone
	CrossMs    float64 `toml:"cross_ms"`   // ... between zones
	GossipLoss float64 `toml:"words_loss"` // share of datagrams that are lost
	// Of a machine: what bounds the words of a large fleet; 0: nothing does.
	LinkMbps float64 `toml:"link_mbps"`
	CPUShare float64 `toml:"cpu_share"`
}

// Service is a kind of servers.
type Service struct {
	Name          string  `toml:"name"`
	Servers       int     `toml:"servers"`
	Slots         int     `toml:"slots"`
	Queue         int     `toml:"queue"`
	HangsWhenFull bool    `toml:"hangs"` // when full: no answer, rather than Not-Executed
	WarmupS       float64 `toml:"cold_s"`
	Copies        int     `toml:"copies"` // so many like it, NAME-1 and on, with a class of each kind that asks for it; 0: itself
}

// Class is a kind of requests.
type Class struct {
	Name         string  `toml:"name"`
	Service      string  `toml:"service"`
	Type         string  `toml:"route_type"`
	PerS         float64 `toml:"per_s"`
	WorkMs       float64 `toml:"work_ms"`
	TargetMs     float64 `toml:"aim_ms"`
	DeadlineMs   float64 `toml:"deadline_ms"`
	AnswerBytes  int     `toml:"answer_bytes"`
	RequestBytes int     `toml:"request_bytes"`
}

// Tenant is a customer: its share of the traffic, and its quota as a multiple of it.
type Tenant struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"`
	QuotaFactor float64 `toml:"quota_x"` // 0: no limit
	// So many like it, NAME-1 and on, that divide its share; 0: itself.
	Copies int `toml:"copies"`
}

// Fault strikes at a time, in seconds from the start of traffic. Kinds: kill,
// term, hup, crash, release, reuse, lost_answers, stutter (a second answer, late), slow, hot_tenant, config,
// bad_config, revoke, kill_all; freeze (a limiter stands still), cut (the last
// zone's limiters don't hear the others); grey (servers fail a part X of their
// requests, as How says, and say that they are well), flap (servers go down and up
// each X seconds), forget (servers forget connections that rested X seconds),
// drain_race (servers drain, and the leader dies and is back at once), race (two
// configurations on the same version, one at each side, while the leader stands still);
// zone_dark (the last zone's servers can't be reached, and what they have in hand is
// not answered), zone_slow (they take X times as long).
type Fault struct {
	Kind   string  `toml:"kind"`
	AtS    float64 `toml:"at"`
	ForS   float64 `toml:"for_s"`
	Count  int     `toml:"count"`
	Factor float64 `toml:"x"`
	Mode   string  `toml:"how"` // of grey: errors, reset, shed, mute or slow
}

// GreyModes are the ways in which a server can be ill while it says that it is well.
var GreyModes = []string{"errors", "reset", "shed", "mute", "slow"}

// playedBy tells which of the two plays a kind of trouble.
var playedBy = map[string]struct{ emulated, simulated bool }{
	"kill": {true, true}, "kill_all": {true, true}, "crash": {true, true}, "release": {true, true}, "lost_answers": {true, true},
	"stutter": {true, false}, "slow": {true, true}, "hot_tenant": {true, true}, "freeze": {true, true}, "cut": {false, true}, "term": {true, false},
	"hup": {true, false}, "reuse": {true, false}, "config": {true, false}, "bad_config": {true, false}, "revoke": {true, false},
	"grey": {true, false}, "flap": {true, false}, "forget": {true, false}, "drain_race": {true, false}, "race": {true, false},
	"zone_dark": {false, true}, "zone_slow": {false, true},
}

// Emulated and Simulated tell whether a kind of trouble can be played so.
func (t *Fault) Emulated() bool { return playedBy[t.Kind].emulated }

// Simulated tells whether the simulation can play it.
func (t *Fault) Simulated() bool { return playedBy[t.Kind].simulated }

// Read reads and checks a day's file.
func Read(path string) (*Day, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s := &Day{}
	meta, err := toml.Decode(string(data), s)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	for _, k := range meta.Undecoded() {
		return nil, fmt.Errorf("scenario %s: %s: no such field", path, k)
	}
	if err := s.expandCopies(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// Validate returns every fault that it finds.
func (s *Day) Validate() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.LengthS <= 0 || s.LengthS > 3600 {
		fault("length_s: %v: above 0, up to 3600", s.LengthS)
	}
	if len(s.Zones) == 0 || len(s.Zones) > 100 {
		fault("zones: %d: from 1 to 100", len(s.Zones))
	}
	if s.PerZone < 1 || s.PerZone > 1000 {
		fault("machines_per_zone: %d: from 1 to 1000", s.PerZone)
	}
	services := map[string]bool{}
	for i, v := range s.Services {
		services[v.Name] = true
		if v.Name == "" || v.Servers < 1 || v.Servers > 5000 || v.Slots < 1 || v.Queue < 0 {
			fault("services.%d: a name, 1 to 5000 servers and a slot are needed", i)
		}
	}
	for i, c := range s.Classes {
		if c.Name == "" || !services[c.Service] {
			fault("classes.%d.service: %q is none of services", i, c.Service)
		}
		if c.PerS <= 0 || c.WorkMs <= 0 || c.TargetMs <= 0 || c.DeadlineMs < c.TargetMs || c.AnswerBytes < 0 || c.RequestBytes < 0 {
			fault("classes.%d (%s): per_s, work_ms and aim_ms above 0, deadline_ms from aim_ms on", i, c.Name)
		}
	}
	share := 0.0
	for i, t := range s.Tenants {
		if t.Name == "" || t.Share < 0 || t.QuotaFactor < 0 {
			fault("tenants.%d: a name, and no figure below 0", i)
		}
		share += t.Share
	}
	if len(s.Classes) == 0 || share <= 0 {
		fault("classes and tenants: something has to be asked by somebody")
	}
	for i, t := range s.Faults {
		if _, known := playedBy[t.Kind]; !known {
			fault("troubles.%d.kind: %q is not known", i, t.Kind)
		}
		if t.Kind == "grey" && !slices.Contains(GreyModes, t.Mode) {
			fault("troubles.%d.how: %q: one of %s", i, t.Mode, strings.Join(GreyModes, ", "))
		}
		if t.AtS < 0 || t.AtS > s.LengthS {
			fault("troubles.%d.at: %v is not within the day", i, t.AtS)
		}
	}
	if r := s.RetryBudget; r.Ratio < 0 || r.Slack < 0 || r.WindowS < 0 || r.Ratio > 0 && r.WindowS == 0 {
		fault("retry_budget: %+v: no figure below 0, and a window_s with a ratio", r)
	}
	if n := s.Network; n.ZoneMs < 0 || n.CrossMs < 0 || n.GossipLoss < 0 || n.GossipLoss > 1 {
		fault("network: %+v: no figure below 0, words_loss up to 1", n)
	}
	return errors.Join(errs...)
}

// PerS is how many requests come in a second.
func (s *Day) PerS() (sum float64) {
	for _, c := range s.Classes {
		sum += c.PerS
	}
	return sum
}

// Shares is the sum of the tenants' shares.
func (s *Day) Shares() (sum float64) {
	for _, t := range s.Tenants {
		sum += t.Share
	}
	return sum
}

// Rate is a tenant's quota in requests a second; also its burst. 0: no limit.
func (s *Day) Rate(t *Tenant) float64 { return t.QuotaFactor * s.PerS() * t.Share / s.Shares() }

// Tenant returns a tenant by its name.
func (s *Day) Tenant(name string) *Tenant {
	for i := range s.Tenants {
		if s.Tenants[i].Name == name {
			return &s.Tenants[i]
		}
	}
	return nil
}

// Idempotent tells whether such a request may run more than once.
func (c *Class) Idempotent() bool { return c.Type == "idempotent" || c.Type == "download" }

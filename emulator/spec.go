// Package emulator plays days of a fleet: it starts real processes of the
// gateway on loopback, with stand-ins of all that they meet (the platform, the
// servers, the clients, the operator), lets troubles strike, and judges by the
// rules, from what its own parties saw on their sockets alone.
package emulator

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Spec describes a fleet and its day.
type Spec struct {
	Seed     uint64    `toml:"seed"`
	LengthS  float64   `toml:"length_s"`
	Zones    []string  `toml:"zones"`
	PerZone  int       `toml:"machines_per_zone"` // the first one of each of three zones is a core machine
	Services []Service `toml:"services"`
	Classes  []Class   `toml:"classes"`
	Tenants  []Tenant  `toml:"tenants"`
	Troubles []Trouble `toml:"troubles"`
}

// Service is a kind of servers.
type Service struct {
	Name    string  `toml:"name"`
	Servers int     `toml:"servers"`
	Slots   int     `toml:"slots"`
	Queue   int     `toml:"queue"`
	Hangs   bool    `toml:"hangs"` // when full: no answer, rather than Not-Executed
	ColdS   float64 `toml:"cold_s"`
}

// Class is a kind of requests.
type Class struct {
	Name       string  `toml:"name"`
	Service    string  `toml:"service"`
	Type       string  `toml:"route_type"`
	PerS       float64 `toml:"per_s"`
	WorkMs     float64 `toml:"work_ms"`
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	Bytes      int     `toml:"answer_bytes"`
	Body       int     `toml:"request_bytes"`
}

// Tenant is a customer: its share of the traffic, and its quota as a multiple of it.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota_x"` // 0: no limit
}

// Trouble strikes at a time, in seconds from the start of traffic. Kinds: kill,
// term, hup, crash, release, reuse, lost_answers, slow, hot_tenant, config,
// bad_config, revoke, kill_all.
type Trouble struct {
	Kind  string  `toml:"kind"`
	At    float64 `toml:"at"`
	For   float64 `toml:"for_s"`
	Count int     `toml:"count"`
	X     float64 `toml:"x"`
}

var kinds = map[string]bool{"kill": true, "term": true, "hup": true, "crash": true, "release": true, "reuse": true,
	"lost_answers": true, "slow": true, "hot_tenant": true, "config": true, "bad_config": true, "revoke": true, "kill_all": true}

// ReadSpec reads and checks a fleet's file.
func ReadSpec(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	s := &Spec{}
	meta, err := toml.Decode(string(data), s)
	if err != nil {
		return nil, fmt.Errorf("emulator %s: %w", path, err)
	}
	for _, k := range meta.Undecoded() {
		return nil, fmt.Errorf("emulator %s: %s: no such field", path, k)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("emulator %s: %w", path, err)
	}
	return s, nil
}

func (s *Spec) check() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.LengthS <= 0 || s.LengthS > 3600 {
		fault("length_s: %v: above 0, up to 3600", s.LengthS)
	}
	if len(s.Zones) == 0 || len(s.Zones) > 100 {
		fault("zones: %d: from 1 to 100", len(s.Zones))
	}
	if s.PerZone < 1 || s.PerZone > 100 {
		fault("machines_per_zone: %d: from 1 to 100", s.PerZone)
	}
	services := map[string]bool{}
	for i, v := range s.Services {
		services[v.Name] = true
		if v.Name == "" || v.Servers < 1 || v.Servers > 200 || v.Slots < 1 || v.Queue < 0 {
			fault("services.%d: a name, 1 to 200 servers and a slot are needed", i)
		}
	}
	for i, c := range s.Classes {
		if c.Name == "" || !services[c.Service] {
			fault("classes.%d.service: %q is none of services", i, c.Service)
		}
		if c.PerS <= 0 || c.WorkMs <= 0 || c.AimMs <= 0 || c.DeadlineMs < c.AimMs || c.Bytes < 0 || c.Body < 0 {
			fault("classes.%d (%s): per_s, work_ms and aim_ms above 0, deadline_ms from aim_ms on", i, c.Name)
		}
	}
	share := 0.0
	for i, t := range s.Tenants {
		if t.Name == "" || t.Share < 0 || t.Quota < 0 {
			fault("tenants.%d: a name, and no figure below 0", i)
		}
		share += t.Share
	}
	if len(s.Classes) == 0 || share <= 0 {
		fault("classes and tenants: something has to be asked by somebody")
	}
	for i, t := range s.Troubles {
		if !kinds[t.Kind] {
			fault("troubles.%d.kind: %q is not known", i, t.Kind)
		}
		if t.At < 0 || t.At > s.LengthS {
			fault("troubles.%d.at: %v is not within the day", i, t.At)
		}
	}
	return errors.Join(errs...)
}

func (s *Spec) perS() (sum float64) {
	for _, c := range s.Classes {
		sum += c.PerS
	}
	return sum
}

func (s *Spec) shares() (sum float64) {
	for _, t := range s.Tenants {
		sum += t.Share
	}
	return sum
}

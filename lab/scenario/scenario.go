// Package scenario describes a fleet and its day: zones, machines, services,
// classes of requests, tenants and faults. The emulator plays it with real
// processes on loopback, the simulation on a clock of its own.
//
// [Read] reads a day's file. What clients and servers do in both ([Day.DrawTenant],
// [Class.ShouldRetry], [RetryDelay], [Class.DrawWork]) is here too. Names that end in S
// are seconds, in Ms milliseconds, in PerS a second.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Limits of a day's file.
const (
	maxLengthS = 3600
	maxZones   = 100
	maxPerZone = 1000
	maxServers = 5000   // of a service
	maxCopies  = 20_000 // of one entry
)

// Day describes a fleet and its day.
type Day struct {
	Seed        uint64      `toml:"seed"`
	LengthS     float64     `toml:"length_s"` // of traffic
	Zones       []string    `toml:"zones"`
	PerZone     int         `toml:"machines_per_zone"`   // the first one of each of three zones is a core machine
	Clients     int         `toml:"clients_per_machine"` // of the simulation; 0: 40
	Services    []Service   `toml:"services"`
	Classes     []Class     `toml:"classes"`
	Tenants     []Tenant    `toml:"tenants"`
	Faults      []Fault     `toml:"troubles"`
	Keys        bool        `toml:"keys"` // the processes speak mutual TLS, and gossip is sealed
	RetryBudget RetryBudget `toml:"retry_budget"`
	Network     Network     `toml:"network"`
}

// RetryBudget is the operator's bound on retries over all limiters: in each window at
// most Ratio x requests + Slack. A Ratio of 0 is no bound.
type RetryBudget struct {
	Ratio   float64 `toml:"ratio"`
	Slack   float64 `toml:"slack"` // retries
	WindowS float64 `toml:"window_s"`
}

// Network is that of the simulation; on loopback there is none to speak of.
type Network struct {
	ZoneMs     float64 `toml:"zone_ms"`    // one way, within a zone
	CrossMs    float64 `toml:"cross_ms"`   // one way, between zones
	GossipLoss float64 `toml:"words_loss"` // share of gossip datagrams that are lost
	// Of a machine: what bounds the gossip of a large fleet; 0: nothing does.
	LinkMbps float64 `toml:"link_mbps"`
	CPUShare float64 `toml:"cpu_share"` // of one core
}

// Service is a kind of servers.
type Service struct {
	Name          string  `toml:"name"`
	Servers       int     `toml:"servers"`
	Slots         int     `toml:"slots"`  // requests that a server works on at once
	Queue         int     `toml:"queue"`  // requests that wait at a server
	HangsWhenFull bool    `toml:"hangs"`  // no answer, rather than Not-Executed
	WarmupS       float64 `toml:"cold_s"` // work takes twice as long after a start
	// So many services like it, NAME-1 and on, with a class of each kind that asks for it;
	// 0: itself.
	Copies int `toml:"copies"`
}

// Class is a kind of requests.
type Class struct {
	Name         string  `toml:"name"`
	Service      string  `toml:"service"`
	Type         string  `toml:"route_type"` // of the configuration's route
	PerS         float64 `toml:"per_s"`
	WorkMs       float64 `toml:"work_ms"` // mean time that a server works on one
	TargetMs     float64 `toml:"aim_ms"`  // latency target
	DeadlineMs   float64 `toml:"deadline_ms"`
	AnswerBytes  int     `toml:"answer_bytes"`
	RequestBytes int     `toml:"request_bytes"`
	Priority     int     `toml:"priority"` // of the configuration's route; 0 is the highest
}

// Tenant is a customer: its share of the traffic, and its quota as a multiple of it.
type Tenant struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"`   // relative to the other tenants'
	QuotaFactor float64 `toml:"quota_x"` // 0: no limit
	Copies      int     `toml:"copies"`  // so many like it, NAME-1 and on, that divide its share; 0: itself
}

// ReadVaried reads a day's file as Read does, with another seed and another length in seconds; 0: the
// file's.
func ReadVaried(path string, seed uint64, seconds float64) (*Day, error) {
	day, err := Read(path)
	if err != nil {
		return nil, err
	}
	if seed != 0 {
		day.Seed = seed
	}
	if seconds > 0 {
		day.Shorten(seconds)
	}
	return day, nil
}

// Read reads and checks a day's file. An error names every fault in it.
func Read(path string) (*Day, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	day := &Day{}
	meta, err := toml.Decode(string(data), day)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	for _, k := range meta.Undecoded() {
		return nil, fmt.Errorf("scenario %s: %s: no such field", path, k)
	}
	if err := day.expandCopies(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	if err := day.Validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return day, nil
}

// Validate returns every fault that it finds, joined.
func (d *Day) Validate() error {
	return errors.Join(
		d.validateFleet(),
		d.validateServices(),
		d.validateTraffic(),
		d.validateFaults(),
		d.validateBounds(),
	)
}

func (d *Day) validateFleet() error {
	var errs []error
	if d.LengthS <= 0 || d.LengthS > maxLengthS {
		errs = append(errs, fmt.Errorf("length_s: %v: above 0, up to %d", d.LengthS, maxLengthS))
	}
	if len(d.Zones) == 0 || len(d.Zones) > maxZones {
		errs = append(errs, fmt.Errorf("zones: %d: from 1 to %d", len(d.Zones), maxZones))
	}
	if d.PerZone < 1 || d.PerZone > maxPerZone {
		errs = append(errs, fmt.Errorf("machines_per_zone: %d: from 1 to %d", d.PerZone, maxPerZone))
	}
	return errors.Join(errs...)
}

func (d *Day) validateServices() error {
	var errs []error
	for i, v := range d.Services {
		if v.Name == "" || v.Servers < 1 || v.Servers > maxServers || v.Slots < 1 || v.Queue < 0 {
			errs = append(errs, fmt.Errorf("services.%d: a name, 1 to %d servers and a slot are needed", i, maxServers))
		}
	}
	return errors.Join(errs...)
}

func (d *Day) validateTraffic() error {
	var errs []error
	for i := range d.Classes {
		c := &d.Classes[i]
		if c.Name == "" || !slices.ContainsFunc(d.Services, func(v Service) bool { return v.Name == c.Service }) {
			errs = append(errs, fmt.Errorf("classes.%d.service: %q is none of services", i, c.Service))
		}
		if !c.hasTimes() || c.AnswerBytes < 0 || c.RequestBytes < 0 {
			errs = append(errs,
				fmt.Errorf("classes.%d (%s): per_s, work_ms and aim_ms above 0, deadline_ms from aim_ms on", i, c.Name))
		}
	}
	for i, t := range d.Tenants {
		if t.Name == "" || t.Share < 0 || t.QuotaFactor < 0 {
			errs = append(errs, fmt.Errorf("tenants.%d: a name, and no figure below 0", i))
		}
	}
	if len(d.Classes) == 0 || d.Shares() <= 0 {
		errs = append(errs, errors.New("classes and tenants: something has to be asked by somebody"))
	}
	return errors.Join(errs...)
}

func (c *Class) hasTimes() bool {
	return c.PerS > 0 && c.WorkMs > 0 && c.TargetMs > 0 && c.DeadlineMs >= c.TargetMs
}

func (d *Day) validateFaults() error {
	var errs []error
	for i, f := range d.Faults {
		if !f.Kind.known() {
			errs = append(errs, fmt.Errorf("troubles.%d.kind: %q is not known", i, f.Kind))
		}
		if f.Kind == GreyServers && !slices.Contains(GreyModes, f.Mode) {
			errs = append(errs, fmt.Errorf("troubles.%d.how: %q: one of %s", i, f.Mode, strings.Join(GreyModes, ", ")))
		}
		if f.Tenant != "" && d.Tenant(f.Tenant) == nil {
			errs = append(errs, fmt.Errorf("troubles.%d.tenant: %q is none of tenants", i, f.Tenant))
		}
		if f.AtS < 0 || f.AtS > d.LengthS {
			errs = append(errs, fmt.Errorf("troubles.%d.at: %v is not within the day", i, f.AtS))
		}
	}
	return errors.Join(errs...)
}

func (d *Day) validateBounds() error {
	var errs []error
	if r := d.RetryBudget; r.Ratio < 0 || r.Slack < 0 || r.WindowS < 0 || r.Ratio > 0 && r.WindowS == 0 {
		errs = append(errs, fmt.Errorf("retry_budget: %+v: no figure below 0, and a window_s with a ratio", r))
	}
	if n := d.Network; n.ZoneMs < 0 || n.CrossMs < 0 || n.GossipLoss < 0 || n.GossipLoss > 1 {
		errs = append(errs, fmt.Errorf("network: %+v: no figure below 0, words_loss up to 1", n))
	}
	return errors.Join(errs...)
}

// PerS is how many requests come in a second.
func (d *Day) PerS() float64 {
	sum := 0.0
	for _, c := range d.Classes {
		sum += c.PerS
	}
	return sum
}

// Shares is the sum of the tenants' shares.
func (d *Day) Shares() float64 {
	sum := 0.0
	for _, t := range d.Tenants {
		sum += t.Share
	}
	return sum
}

// Rate is a tenant's quota in requests a second; also its burst. 0: no limit.
func (d *Day) Rate(t *Tenant) float64 { return t.QuotaFactor * d.PerS() * t.Share / d.Shares() }

// Tenant returns a tenant by its name, nil where there is none.
func (d *Day) Tenant(name string) *Tenant {
	for i := range d.Tenants {
		if d.Tenants[i].Name == name {
			return &d.Tenants[i]
		}
	}
	return nil
}

// Idempotent reports whether such a request may run more than once.
func (c *Class) Idempotent() bool { return c.Type == "idempotent" || c.Type == "download" }

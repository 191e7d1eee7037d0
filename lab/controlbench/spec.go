// Package controlbench measures the control plane at a size that no emulated fleet has: three or
// five real processes on loopback, with hundreds or thousands of light watchers that watch as
// limiters do, over links of a limiter's speed, while routes, quotas and servers change, watchers
// start at the same moment and members are lost. It reports, for the leader and its followers
// apart, processor time, memory, bytes and disk writes, and how long the last watcher waits for
// what was acknowledged.
package controlbench

import (
	"errors"
	"fmt"
	"time"
)

// Spec says what to measure. Its fields are flags of elmspan-lab core.
type Spec struct {
	Limiters int           `help:"Watchers that ask as limiters do." default:"300"`
	Routes   int           `help:"Routes of the configuration." default:"1600"`
	Servers  int           `help:"Servers on the platform's list." default:"300"`
	Tenants  int           `help:"Tenants of the configuration, each with a key and a quota." default:"100"`
	Services int           `help:"Services, among which routes and servers are divided." default:"3"`
	Calls    float64       `help:"Calls a second that the platform allows the leader (rate_per_s)." default:"200"`
	Members  int           `help:"Members of the core: 3 or 5." default:"3"`
	Changes  int           `help:"Configurations brought, one a second, each with one other weight." default:"5"`
	Release  int           `help:"Servers replaced a second, for as many seconds as there are changes." default:"8"`
	LinkMbps float64       `help:"Link of a watcher: it takes each piece of a difference no faster." default:"5"`
	Whole    bool          `help:"Watchers forget what they have before each change: each gets the full table."`
	Rest     time.Duration `help:"How long they rest, to see what an idle core costs." default:"3s"`
	Herd     bool          `help:"All watchers lose what they have and their connections, and start at once."`
	Restarts bool          `help:"Restart a follower, the leader, then all members and watchers at once."`
	Seed     uint64        `default:"1"`
}

// check returns an error that names each flag with an impossible value.
func (s *Spec) check() error {
	var errs []error
	positive := []struct {
		flag  string
		value int
	}{
		{"limiters", s.Limiters},
		{"routes", s.Routes},
		{"servers", s.Servers},
		{"changes", s.Changes},
		{"tenants", s.Tenants},
		{"services", s.Services},
	}
	for _, p := range positive {
		if p.value < 1 {
			errs = append(errs, fmt.Errorf("--%s: %d: 1 at least", p.flag, p.value))
		}
	}
	if s.Release < 0 || s.Release > s.Servers {
		errs = append(errs, fmt.Errorf("--release: %d: from 0 to --servers", s.Release))
	}
	if !(s.Calls > 0) {
		errs = append(errs, fmt.Errorf("--calls: %v: above 0", s.Calls))
	}
	if s.Members != 3 && s.Members != 5 {
		errs = append(errs, fmt.Errorf("--members: %d: 3 or 5", s.Members))
	}
	if !(s.LinkMbps > 0) {
		errs = append(errs, fmt.Errorf("--link-mbps: %v: above 0", s.LinkMbps))
	}
	return errors.Join(errs...)
}

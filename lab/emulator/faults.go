package emulator

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

const (
	minDuration = 0.5 // seconds that a fault lasts at least
	minShare    = 0.03
	minSlowdown = 2.0
	minHot      = 2.0
	minWindow   = 2 // requests that a pipelining client keeps unanswered

	minQuotaFactor = 0.02 // of a tenant's first limit
	minFlapS       = 0.2
	minForgetS     = 0.05

	throttlePeriod   = 100 * time.Millisecond
	maxThrottleShare = 0.9

	// drainedAfter is when a server that drains is taken off the list and stopped.
	drainedAfter = (checker.DrainMs + 500) * time.Millisecond
	// listShowsDraining is about how long the leader takes to see that servers drain.
	listShowsDraining = 300 * time.Millisecond
)

// fault is something that goes wrong in a fleet, or that its operator does.
type fault interface {
	// Inject has it strike. It returns once all is done that the fault does one after the
	// other; what ends it may still be due. The context ends with the day.
	Inject(ctx context.Context, f *Fleet)
}

// scheduledFault is a fault of a day's file.
type scheduledFault struct {
	kind  scenario.FaultKind
	after time.Duration // from the start of traffic
	fault fault
}

// strike injects a fault when it is due.
func (f *Fleet) strike(ctx context.Context, s scheduledFault) {
	if !backoff.Sleep(ctx, s.after) {
		return
	}
	f.event("%s", s.kind)
	s.fault.Inject(ctx, f)
}

// newFault makes a fault of what a day's file says.
func newFault(day *scenario.Day, spec *scenario.Fault) (scheduledFault, error) {
	build, known := faultKinds[spec.Kind]
	if !known {
		return scheduledFault{}, fmt.Errorf("%s can only be simulated", spec.Kind)
	}
	return scheduledFault{spec.Kind, seconds(spec.AtS), build(day, spec)}, nil
}

// faultKinds make the faults of each kind that the emulator plays.
var faultKinds = map[scenario.FaultKind]func(*scenario.Day, *scenario.Fault) fault{
	scenario.KillNodes: func(_ *scenario.Day, s *scenario.Fault) fault {
		return killNodes{count(s), duration(s)}
	},
	scenario.KillAllNodes: func(day *scenario.Day, s *scenario.Fault) fault {
		return killNodes{day.PerZone * len(day.Zones), duration(s)}
	},
	scenario.RestartNodes: func(_ *scenario.Day, s *scenario.Fault) fault {
		return restartNodes{count(s), duration(s)}
	},
	scenario.ReloadNodes: func(_ *scenario.Day, s *scenario.Fault) fault { return reloadNodes{count(s)} },
	scenario.FreezeNodes: func(_ *scenario.Day, s *scenario.Fault) fault {
		return freezeNodes{count(s), duration(s)}
	},
	scenario.ThrottleNodes: func(_ *scenario.Day, s *scenario.Fault) fault {
		return throttleNodes{count(s), min(maxThrottleShare, max(minShare, s.Factor)), duration(s)}
	},
	scenario.CrashServers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return crashServers{count(s), duration(s)}
	},
	scenario.ReplaceServers: func(_ *scenario.Day, s *scenario.Fault) fault { return replaceServers{count(s), false} },
	scenario.ReuseAddresses: func(_ *scenario.Day, s *scenario.Fault) fault { return replaceServers{count(s), true} },
	scenario.FlapServers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return flapServers{count(s), seconds(max(s.Factor, minFlapS)), duration(s)}
	},
	scenario.SlowServers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return degradeServers{count(s), duration(s), func(d *degradation) { d.slowdown = max(minSlowdown, s.Factor) }}
	},
	scenario.LoseAnswers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return degradeServers{count(s), duration(s), func(d *degradation) { d.loses = max(minShare, s.Factor) }}
	},
	scenario.RepeatAnswers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return degradeServers{count(s), duration(s), func(d *degradation) { d.repeats = max(minShare, s.Factor) }}
	},
	scenario.GreyServers: func(_ *scenario.Day, s *scenario.Fault) fault {
		return degradeServers{count(s), duration(s), func(d *degradation) {
			d.mode, d.fails = s.Mode, max(minShare, s.Factor)
		}}
	},
	scenario.ForgetConnections: func(_ *scenario.Day, s *scenario.Fault) fault {
		return degradeServers{count(s), duration(s), func(d *degradation) {
			d.forgetAfter = seconds(max(minForgetS, s.Factor))
		}}
	},
	scenario.HotTenant: func(day *scenario.Day, s *scenario.Fault) fault {
		return hotTenant{tenantOf(day, s), max(minHot, s.Factor), duration(s)}
	},
	scenario.ChangeQuota: func(day *scenario.Day, s *scenario.Fault) fault {
		return changeQuota{tenantOf(day, s), max(minQuotaFactor, s.Factor)}
	},
	scenario.PipeliningClients: func(_ *scenario.Day, s *scenario.Fault) fault {
		return pipelineClients{count(s), max(minWindow, int(s.Factor)), duration(s)}
	},
	scenario.LeavingClients: func(_ *scenario.Day, s *scenario.Fault) fault {
		return leavingClients{max(minShare, s.Factor), duration(s)}
	},
	scenario.ChangeConfig:  func(*scenario.Day, *scenario.Fault) fault { return changeConfig{} },
	scenario.InvalidConfig: func(*scenario.Day, *scenario.Fault) fault { return invalidConfig{} },
	scenario.RevokeKey: func(day *scenario.Day, _ *scenario.Fault) fault {
		return revokeKey{day.Tenants[len(day.Tenants)-1].Name}
	},
	scenario.ExtremeConfig: func(*scenario.Day, *scenario.Fault) fault { return extremeConfig{} },
	scenario.EmptyTenants: func(_ *scenario.Day, s *scenario.Fault) fault {
		return emptyTenants{duration(s)}
	},
	scenario.LoseLeaderInDrain: func(_ *scenario.Day, s *scenario.Fault) fault { return loseLeaderInDrain{count(s)} },
	scenario.RaceChanges:       func(_ *scenario.Day, s *scenario.Fault) fault { return raceChanges{duration(s)} },
}

// count is how many a fault strikes, one where the file says nothing.
func count(s *scenario.Fault) int { return max(1, s.Count) }

// tenantOf is the tenant that a fault is about.
func tenantOf(day *scenario.Day, s *scenario.Fault) string {
	if s.Tenant == "" {
		return day.Tenants[0].Name
	}
	return s.Tenant
}

// duration is how long a fault lasts.
func duration(s *scenario.Fault) time.Duration { return seconds(max(s.ForS, minDuration)) }

// killNodes kills processes outright, and has them started again after a time.
type killNodes struct {
	count int
	down  time.Duration
}

// Inject implements fault.
func (k killNodes) Inject(_ context.Context, f *Fleet) {
	for _, n := range f.someNodes(k.count) {
		n.setHeld(true)
		f.log.Disturbed(n.front, k.down)
		n.signal(syscall.SIGKILL)
		time.AfterFunc(k.down, func() { n.setHeld(false) })
	}
}

// restartNodes ends processes in order, one after the other with a pause between.
type restartNodes struct {
	count int
	pause time.Duration
}

// Inject implements fault.
func (r restartNodes) Inject(ctx context.Context, f *Fleet) {
	for _, n := range f.someNodes(r.count) {
		n.signal(syscall.SIGTERM)
		if !backoff.Sleep(ctx, r.pause) {
			return
		}
	}
}

// reloadNodes has processes read their settings again.
type reloadNodes struct{ count int }

// Inject implements fault.
func (r reloadNodes) Inject(_ context.Context, f *Fleet) {
	for _, n := range f.someNodes(r.count) {
		f.log.Reloaded(n.front)
		n.signal(syscall.SIGHUP)
	}
}

// freezeNodes has processes stand still for a time.
type freezeNodes struct {
	count    int
	duration time.Duration
}

// Inject implements fault.
func (z freezeNodes) Inject(_ context.Context, f *Fleet) {
	for _, n := range f.someNodes(z.count) {
		n.freeze(z.duration)
	}
}

func (n *node) freeze(d time.Duration) {
	n.log.Disturbed(n.front, d)
	n.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { n.signal(syscall.SIGCONT) })
}

// throttleNodes has processes run for a share of each period only, for a time. They count as in touch all the while.
type throttleNodes struct {
	count    int
	share    float64
	duration time.Duration
}

// Inject implements fault.
func (t throttleNodes) Inject(ctx context.Context, f *Fleet) {
	nodes := f.someNodes(t.count)
	signal := func(sig syscall.Signal) {
		for _, n := range nodes {
			n.signal(sig)
		}
	}
	run := time.Duration(t.share * float64(throttlePeriod))
	for end := time.Now().Add(t.duration); time.Now().Before(end) && ctx.Err() == nil; {
		signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - run) // shorter than anything that waits for the day's end
		signal(syscall.SIGCONT)
		backoff.Sleep(ctx, run)
	}
}

// crashServers stops servers outright; the list shows them for a time still.
type crashServers struct {
	count  int
	listed time.Duration
}

// Inject implements fault.
func (c crashServers) Inject(_ context.Context, f *Fleet) {
	for _, s := range f.someServers(c.count) {
		s.stop()
		time.AfterFunc(c.listed, func() { f.platform.remove(s) })
	}
}

// replaceServers drains servers and starts others in their place, with reuse at the
// same address and of another service.
type replaceServers struct {
	count int
	reuse bool
}

// Inject implements fault.
func (r replaceServers) Inject(ctx context.Context, f *Fleet) {
	for _, s := range f.someServers(r.count) {
		if r.reuse {
			f.reuseAddress(ctx, s)
		} else {
			f.replace(ctx, s)
		}
	}
}

// replace starts another server of the same service and drains this one.
func (f *Fleet) replace(ctx context.Context, s *server) {
	if err := f.startServer(s.spec, s.zone, serverAddress); err != nil {
		f.printf("%v", err)
	}
	f.drain(ctx, s)
}

// reuseAddress drains a server and then starts one of another service at its address.
func (f *Fleet) reuseAddress(ctx context.Context, s *server) {
	other := s.spec
	for i := range f.spec.Services {
		if f.spec.Services[i].Name != s.service {
			other = &f.spec.Services[i]
		}
	}
	if !f.drain(ctx, s) {
		return
	}
	if err := f.startServer(other, s.zone, s.addr); err != nil {
		f.printf("%v", err)
	}
}

// drain shows a server as draining, and stops it when that is over. It reports whether
// the day went on until then.
func (f *Fleet) drain(ctx context.Context, s *server) bool {
	f.platform.drain(s)
	if !backoff.Sleep(ctx, drainedAfter) {
		return false
	}
	f.platform.remove(s)
	s.stop()
	return true
}

// flapServers has servers go down and up again, for a time.
type flapServers struct {
	count            int
	period, duration time.Duration
}

// Inject implements fault.
func (p flapServers) Inject(ctx context.Context, f *Fleet) {
	servers := f.someServers(p.count)
	setDown := func(down bool) {
		for _, s := range servers {
			s.setDown(down)
		}
	}
	defer setDown(false)
	down := false
	for end := time.Now().Add(p.duration); time.Now().Before(end); {
		down = !down
		setDown(down)
		if !backoff.Sleep(ctx, p.period) {
			return
		}
	}
}

// degradeServers has servers answer badly for a time.
type degradeServers struct {
	count    int
	duration time.Duration
	apply    func(*degradation)
}

// Inject implements fault.
func (d degradeServers) Inject(_ context.Context, f *Fleet) {
	for _, s := range f.someServers(d.count) {
		s.degrade(d.apply)
		time.AfterFunc(d.duration, s.recover)
	}
}

// hotTenant has one tenant send many times its usual, for a time.
type hotTenant struct {
	name     string
	factor   float64
	duration time.Duration
}

// Inject implements fault.
func (h hotTenant) Inject(ctx context.Context, f *Fleet) {
	f.load.setHot(h.name, h.factor)
	backoff.Sleep(ctx, h.duration)
	f.load.endHot(h.name)
}

// changeQuota gives a tenant another limit.
type changeQuota struct {
	tenant string
	factor float64 // of its first limit
}

// Inject implements fault.
func (q changeQuota) Inject(ctx context.Context, f *Fleet) {
	f.operator.changeQuota(ctx, q.tenant, q.factor)
}

// leavingClients has a share of the clients leave before they are answered, for a time.
type leavingClients struct {
	share    float64
	duration time.Duration
}

// Inject implements fault.
func (l leavingClients) Inject(ctx context.Context, f *Fleet) {
	f.load.setLeaving(l.share)
	backoff.Sleep(ctx, l.duration)
	f.load.setLeaving(0)
}

// changeConfig brings another configuration.
type changeConfig struct{}

// Inject implements fault.
func (changeConfig) Inject(ctx context.Context, f *Fleet) { f.operator.change(ctx) }

// invalidConfig brings configurations that must be rejected.
type invalidConfig struct{}

// Inject implements fault.
func (invalidConfig) Inject(ctx context.Context, f *Fleet) { f.operator.bringInvalid(ctx) }

// revokeKey has a tenant change to a new key, and revokes the old one.
type revokeKey struct{ tenant string }

// Inject implements fault.
func (r revokeKey) Inject(ctx context.Context, f *Fleet) { f.operator.revoke(ctx, r.tenant) }

// extremeConfig brings a valid configuration with the highest numbers.
type extremeConfig struct{}

// Inject implements fault.
func (extremeConfig) Inject(ctx context.Context, f *Fleet) { f.operator.bringExtremes(ctx) }

// emptyTenants takes all tenants away for a time.
type emptyTenants struct{ duration time.Duration }

// Inject implements fault.
func (e emptyTenants) Inject(ctx context.Context, f *Fleet) { f.operator.emptyTenants(ctx, e.duration) }

// loseLeaderInDrain has servers drain and, as soon as the list shows it, the leader die;
// it is started again at once. Nobody may send to them once that was acknowledged.
type loseLeaderInDrain struct{ count int }

// Inject implements fault.
func (l loseLeaderInDrain) Inject(ctx context.Context, f *Fleet) {
	leader := f.leader(ctx)
	for _, s := range f.someServers(l.count) {
		go f.replace(ctx, s) // ends with the drain, or the day
	}
	if leader != nil && backoff.Sleep(ctx, listShowsDraining) {
		leader.signal(syscall.SIGKILL)
	}
}

// raceChanges has the leader stand still while two configurations that build on the same
// version are brought, one to the leader's own side and one to the others'.
type raceChanges struct{ duration time.Duration }

// Inject implements fault.
func (r raceChanges) Inject(ctx context.Context, f *Fleet) {
	leader := f.leader(ctx)
	if leader == nil {
		return
	}
	leader.freeze(r.duration)
	f.operator.race(ctx, leader)
}

// leader is the machine whose process leads the control plane, nil where none says so.
func (f *Fleet) leader(ctx context.Context) *node {
	for _, n := range f.nodes {
		if s, err := n.status(ctx); err == nil && s.Core != nil && s.Core.Role == leaderRole {
			return n
		}
	}
	return nil
}

// leaderRole is what a gateway's status calls the leader.
const leaderRole = "leader"

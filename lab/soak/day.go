package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"example.org/elmspan/lab/scenario"
)

// Shape is the size of a day.
type Shape struct {
	Machines int     // processes, a multiple of Zones
	LengthS  float64 // of traffic
}

// Zones is how many zones a day has. They are of one size.
const Zones = 3

const (
	seedShift = 0x50a4 // separates these draws from others of the same seed

	// requestsPerMachine is how many requests a second come for each machine, up to maxRequests in all.
	requestsPerMachine = 25.0
	maxRequests        = 500.0

	firstFaultS = 0.5
	lastPart    = 0.8 // of the day, by which every series has begun
)

// Day draws the day of a seed.
func Day(seed uint64, shape Shape) *scenario.Day {
	perS := min(maxRequests, requestsPerMachine*float64(shape.Machines))
	day := &scenario.Day{
		Seed:    seed,
		LengthS: shape.LengthS,
		Zones:   []string{"north", "south", "east"},
		PerZone: max(1, shape.Machines/Zones),
		Services: []scenario.Service{
			{Name: "search", Servers: servers(perS*0.75, 60), Slots: 2, Queue: 8, WarmupS: 1},
			{Name: "filing", Servers: servers(perS*0.25, 80), Slots: 2, Queue: 8, WarmupS: 1},
		},
		Classes: classes(perS),
	}
	rng := rand.New(rand.NewPCG(seed, seedShift))
	day.Tenants = tenants(rng)
	day.Keys = rng.IntN(4) == 0
	day.Faults = drawFaults(rng, day)
	return day
}

// servers is how many servers of two slots are half busy with so many requests a second of so many milliseconds.
func servers(perS, workMs float64) int { return max(4, int(perS*workMs/1000)) }

// classes are the kinds of requests: most can be repeated, some are long, some must not run twice.
func classes(perS float64) []scenario.Class {
	return []scenario.Class{
		{
			Name: "lookup", Service: "search", Type: "idempotent", PerS: perS * 0.6, WorkMs: 60,
			TargetMs: 1000, DeadlineMs: 3000, AnswerBytes: 800,
		},
		{
			Name: "report", Service: "search", Type: "idempotent", PerS: perS * 0.01, WorkMs: 700,
			TargetMs: 2000, DeadlineMs: 4000, AnswerBytes: 800,
		},
		{
			Name: "extract", Service: "search", Type: "download", PerS: perS * 0.15, WorkMs: 60,
			TargetMs: 1500, DeadlineMs: 4000, AnswerBytes: 90_000,
		},
		{
			Name: "file", Service: "filing", Type: "non_idempotent", PerS: perS * 0.25, WorkMs: 80,
			TargetMs: 1000, DeadlineMs: 3000, AnswerBytes: 300, RequestBytes: 2000,
		},
	}
}

// tenants draws how much of what they ask for is within the tenants' limits: mostly a part of it, so that their quotas
// are used up all day. The last one has room.
func tenants(rng *rand.Rand) []scenario.Tenant {
	all := []scenario.Tenant{
		{Name: "large", Share: 5}, {Name: "middle", Share: 3}, {Name: "third", Share: 2},
		{Name: "fourth", Share: 1}, {Name: "fifth", Share: 1}, {Name: "small", Share: 1, QuotaFactor: 3},
	}
	factors := []float64{0.06, 0.12, 0.25, 0.5, 0.8, 1.2, 2}
	for i := range all[:len(all)-1] {
		all[i].QuotaFactor = factors[rng.IntN(len(factors))]
	}
	return all
}

// drawFaults draws the series of a day, and leaving clients throughout.
func drawFaults(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	faults := []scenario.Fault{{
		Kind: scenario.LeavingClients, AtS: 0, ForS: day.LengthS, Factor: 0.1 + 0.3*rng.Float64(),
	}}
	parts := []func(*rand.Rand, *scenario.Day) []scenario.Fault{
		restarts, reloads, changes, badServers, lostProcesses, herdKills, throttled, quotaChanges, hotTenants,
		unframedFailures, extremeConfigs, emptiedTenants,
		pipeliningClients, // last, so that the draws of seeds before stay as they were
	}
	for _, part := range parts {
		faults = append(faults, part(rng, day)...)
	}
	afterTheDay := func(f scenario.Fault) bool { return f.AtS > day.LengthS }
	faults = slices.DeleteFunc(faults, afterTheDay)
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return cmp.Compare(a.AtS, b.AtS) })
	return faults
}

// begin draws when a series begins.
func begin(rng *rand.Rand, day *scenario.Day) float64 {
	return firstFaultS + rng.Float64()*lastPart*day.LengthS
}

// some draws a number of machines: from one to a third of them.
func some(rng *rand.Rand, day *scenario.Day) int { return 1 + rng.IntN(max(1, day.PerZone*Zones/3)) }

// restarts has machines end in order one after the other, mostly before the one before is back.
func restarts(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	var faults []scenario.Fault
	for range 1 + rng.IntN(2) {
		faults = append(faults, scenario.Fault{
			Kind: scenario.RestartNodes, AtS: begin(rng, day), Count: some(rng, day), ForS: 0.5 + 3*rng.Float64(),
		})
	}
	return faults
}

// reloads has machines read their settings again, in a series.
func reloads(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	return series(rng, day, 2+rng.IntN(6), 0.3, func() scenario.Fault {
		return scenario.Fault{Kind: scenario.ReloadNodes, Count: some(rng, day)}
	})
}

// changes has the operator bring configurations, valid and not, and revoke keys.
func changes(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	kinds := []scenario.FaultKind{
		scenario.ChangeConfig, scenario.ChangeConfig, scenario.ChangeConfig, scenario.InvalidConfig, scenario.RevokeKey,
	}
	return series(rng, day, 3+rng.IntN(12), 0.5, func() scenario.Fault {
		return scenario.Fault{Kind: kinds[rng.IntN(len(kinds))]}
	})
}

// series draws faults that follow each other at about so many seconds.
func series(rng *rand.Rand, day *scenario.Day, count int, gapS float64, next func() scenario.Fault) []scenario.Fault {
	var faults []scenario.Fault
	at := begin(rng, day) / 2
	for range count {
		f := next()
		f.AtS = at
		faults = append(faults, f)
		at += gapS * (0.2 + 1.6*rng.Float64())
	}
	return faults
}

// badServers has servers be slow, hang, fail, go and be replaced. For a time all are slow: clients leave while their
// requests are worked on.
func badServers(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	length := func() float64 { return 2 + rng.Float64()*day.LengthS/3 }
	all := day.Services[0].Servers + day.Services[1].Servers
	faults := []scenario.Fault{{
		Kind: scenario.SlowServers, AtS: begin(rng, day) / 2, ForS: length(), Count: all, Factor: 10 + 15*rng.Float64(),
	}}
	kinds := []scenario.Fault{
		{Kind: scenario.GreyServers, Mode: scenario.GreyMute, Factor: 0.4},
		{Kind: scenario.GreyServers, Mode: scenario.GreyErrors, Factor: 0.4},
		{Kind: scenario.GreyServers, Mode: scenario.GreyReset, Factor: 0.3},
		{Kind: scenario.GreyServers, Mode: scenario.GreyShed, Factor: 0.5},
		{Kind: scenario.GreyServers, Mode: scenario.GreySlow, Factor: 0.5},
		{Kind: scenario.LoseAnswers, Factor: 0.05},
		{Kind: scenario.RepeatAnswers, Factor: 0.2},
		{Kind: scenario.ForgetConnections, Factor: 0.3},
		{Kind: scenario.FlapServers, Factor: 0.5},
		{Kind: scenario.CrashServers},
		{Kind: scenario.ReplaceServers},
		{Kind: scenario.ReuseAddresses},
		{Kind: scenario.LoseLeaderInDrain},
	}
	for range 2 + rng.IntN(4) {
		f := kinds[rng.IntN(len(kinds))]
		f.AtS, f.ForS, f.Count = begin(rng, day), length(), 1+rng.IntN(max(1, all/4))
		faults = append(faults, f)
	}
	return faults
}

// herdKills has up to six in ten processes be killed at once, again and again, on a third of the days: what they knew
// of the quotas is gone with them.
func herdKills(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(3) > 0 {
		return nil
	}
	limit := day.PerZone * Zones * 6 / 10
	return series(rng, day, 2+rng.IntN(4), 1.5, func() scenario.Fault {
		return scenario.Fault{Kind: scenario.KillNodes, Count: 1 + rng.IntN(max(1, limit)), ForS: 0.5}
	})
}

// quotaChanges has limits be lowered far below what is sent, raised, and put back.
func quotaChanges(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	factors := []float64{0.1, 0.3, 1, 3}
	return series(rng, day, 1+rng.IntN(5), 1.5, func() scenario.Fault {
		tenant := day.Tenants[rng.IntN(len(day.Tenants))].Name
		return scenario.Fault{Kind: scenario.ChangeQuota, Tenant: tenant, Factor: factors[rng.IntN(len(factors))]}
	})
}

// hotTenants has tenants that are not the largest rest with full buckets and then send many times their usual.
func hotTenants(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	var faults []scenario.Fault
	for range 1 + rng.IntN(3) {
		faults = append(faults, scenario.Fault{
			Kind: scenario.HotTenant, Tenant: day.Tenants[2+rng.IntN(len(day.Tenants)-2)].Name,
			AtS: begin(rng, day), ForS: 1 + 4*rng.Float64(), Factor: 4 + 8*rng.Float64(),
		})
	}
	return faults
}

// unframedFailures has servers answer with long error pages without a length, on half of the days.
func unframedFailures(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(2) == 0 {
		return nil
	}
	all := day.Services[0].Servers + day.Services[1].Servers
	return []scenario.Fault{{
		Kind: scenario.GreyServers, Mode: scenario.GreyUnframed, AtS: begin(rng, day), Factor: 0.1 + 0.4*rng.Float64(),
		ForS: 2 + 4*rng.Float64(), Count: 1 + rng.IntN(max(1, all/2)),
	}}
}

// extremeConfigs has the operator bring valid configurations with the highest numbers, on a third of the days.
func extremeConfigs(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(3) > 0 {
		return nil
	}
	return series(rng, day, 1+rng.IntN(3), 2, func() scenario.Fault {
		return scenario.Fault{Kind: scenario.ExtremeConfig}
	})
}

// emptiedTenants has all tenants be taken away for a time, on a quarter of the days.
func emptiedTenants(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(4) > 0 {
		return nil
	}
	return []scenario.Fault{{Kind: scenario.EmptyTenants, AtS: begin(rng, day) / 2, ForS: 2 + 5*rng.Float64()}}
}

// pipeliningClients has clients keep many requests unanswered on their connections for most of the day, on two of three
// days: some fewer than a limiter forwards at once, some more. Machines restart while they do.
func pipeliningClients(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(3) == 0 {
		return nil
	}
	machines := day.PerZone * Zones
	clients := scenario.Fault{
		Kind: scenario.PipeliningClients, AtS: firstFaultS, ForS: day.LengthS * (0.6 + 0.3*rng.Float64()),
		Count: machines/2 + rng.IntN(machines), Factor: float64(2 + rng.IntN(30)),
	}
	faults := series(rng, day, 1+rng.IntN(3), 3, func() scenario.Fault {
		return scenario.Fault{Kind: scenario.RestartNodes, Count: 2 * some(rng, day), ForS: 0.2 + rng.Float64()}
	})
	return append(faults, clients)
}

// throttled has machines spend their processor time early in each tenth of a second, on half of the days.
func throttled(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	if rng.IntN(2) == 0 {
		return nil
	}
	return []scenario.Fault{{
		Kind: scenario.ThrottleNodes, AtS: begin(rng, day), ForS: 2 + 4*rng.Float64(), Count: some(rng, day),
		Factor: 0.3 + 0.4*rng.Float64(),
	}}
}

// lostProcesses has processes be killed, one, half of them or all, or stand still, also the leader while two changes
// race.
func lostProcesses(rng *rand.Rand, day *scenario.Day) []scenario.Fault {
	kinds := []scenario.Fault{
		{Kind: scenario.KillNodes, Count: 1, ForS: 1},
		{Kind: scenario.KillNodes, Count: (day.PerZone*Zones + 1) / 2, ForS: 0.5},
		{Kind: scenario.KillAllNodes, ForS: 0.5},
		{Kind: scenario.FreezeNodes, Count: 1, ForS: 1.5},
		{Kind: scenario.RaceChanges, ForS: 0.8},
	}
	var faults []scenario.Fault
	for range rng.IntN(3) {
		f := kinds[rng.IntN(len(kinds))]
		f.AtS = begin(rng, day)
		faults = append(faults, f)
	}
	return faults
}

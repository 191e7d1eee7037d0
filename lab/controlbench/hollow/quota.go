package hollow

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/settings"
)

// quotaFleet is how many limiters' decisions are measured alone: they take more than
// a hollow limiter at rest.
const quotaFleet = 8

// quotas measures the decisions of a few limiters for the quotas of all tenants: what
// they hold and spend where nobody asks, where some tenants do, and the most that they
// can come to hold, when each limiter that tells them something has told them of every
// tenant.
func quotas(s *Spec) (out []Step, err error) {
	var members []quota.Member
	zones := map[string]bool{}
	for i := range s.Limiters {
		members = append(members, quota.Member{ID: xxhash.Sum64String(fmt.Sprint("limiter-", i)), Zone: zone(i, s.Zones)})
		zones[members[i].Zone] = true
	}
	level := quota.GroupingLevelFor(len(members), len(zones))
	plans := map[uint64]quota.Plan{}
	var ids []uint64
	for i := range s.Tenants {
		id := quota.TenantID(fmt.Sprint("t", i))
		plans[id] = quota.Plan{Rate: 1e6, Burst: 1e6} // nothing is refused
		ids = append(ids, id)
	}
	n := min(quotaFleet, s.Limiters)
	fleet := make([]*limiter.Limiter, n)
	now := 0.0
	tuning := settings.DefaultTuning().Link
	capacity := gossip.Capacity{LinkMbps: 1000, LinkFraction: tuning.Gossip, CPUCores: 0.32, CPUFraction: tuning.GossipCPU}
	budget := capacity.Budget()
	add := func(name string, do func(i int) error) error {
		got, err := step(name, n, 0, do)
		out = append(out, got)
		return err
	}
	if err := add("quotas alone: plans of all tenants, and peers", func(i int) error {
		fleet[i] = limiter.New(now, limiter.Config{Self: members[i].ID, Incarnation: 1, Zone: members[i].Zone, Seed: uint64(i), GossipBudget: budget})
		fleet[i].SetPlans(now, plans)
		others := append(append([]quota.Member(nil), members[:i]...), members[i+1:]...)
		fleet[i].SetPeers(now, others)
		return nil
	}); err != nil {
		return out, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var sentBytes, sentWords, sentTold int
	second := func(asked int) func(i int) error {
		return func(i int) error {
			l, at := fleet[i], now
			ticks := int(1000 / l.TickMs())
			for k := range ticks {
				at += l.TickMs()
				for range asked*(k+1)/ticks - asked*k/ticks {
					l.Admit(at, ids[rng.IntN(len(ids))])
				}
				l.Tick(at, func(_ uint64, w *gossip.Message) {
					sentWords++
					sentBytes += len(w.Append(nil)) + gossip.DatagramOverhead
					sentTold += len(w.Consumed) + len(w.GroupDigest.Consumed)
				})
			}
			return nil
		}
	}
	measure := func(name string, asked int) error {
		sentBytes, sentWords, sentTold = 0, 0, 0
		err := add(name, second(asked))
		out[len(out)-1].Bytes = sentBytes / n
		out[len(out)-1].Name = fmt.Sprintf("%s: %d words, %d told", name, sentWords/n, sentTold/n)
		now += 1000
		return err
	}
	for _, m := range []struct {
		name  string
		asked int
	}{{"a second, nobody asks", 0}, {"a second, warming up", s.Busy}, {fmt.Sprintf("a second, %d ask", s.Busy), s.Busy}} {
		if err := measure(m.name, m.asked); err != nil {
			return out, err
		}
	}
	err = add("told of every tenant by all who tell it", func(i int) error {
		self := members[i]
		reporters := map[quota.Group]int{}
		var w gossip.Message
		for k, m := range members {
			g := level.Group(m)
			own := g == level.Group(self)
			if k == i || !own && reporters[g] == 2 {
				continue
			}
			reporters[g]++
			for round := range 2 {
				for at := 0; at < len(ids); at += 48 {
					var spent []quota.Usage
					for _, id := range ids[at:min(len(ids), at+48)] {
						spent = append(spent, quota.Usage{Tenant: id, Units: uint64(round)})
					}
					w = gossip.Message{From: m.ID, Incarnation: 1, AgeMs: now, Consumed: spent}
					if !own {
						w.Consumed, w.GroupDigest = nil, quota.Digest{Level: level, Primary: reporters[g] == 1, LiveCount: 1, Consumed: spent}
					}
					fleet[i].Receive(now, &w)
				}
			}
		}
		return nil
	})
	runtime.KeepAlive(fleet)
	return out, err
}

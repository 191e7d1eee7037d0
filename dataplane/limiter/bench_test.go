package limiter

import (
	"fmt"
	"runtime"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// BenchmarkSecond is what one limiter of n does in a second, without sockets: its ticks, the
// gossip that it receives, and 30 requests to 3n servers. It reports the messages sent and
// the bytes that a limiter holds. See docs/growth.md.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{11, 24, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkSecond(b, n) })
	}
}

func benchmarkSecond(b *testing.B, n int) {
	list := manyServers(3 * n)
	f := newFleet(n, quota.Plan{Rate: float64(30 * n), Burst: float64(30 * n)})
	for _, id := range f.ids {
		f.at[id].SetServers(0, list)
	}
	one := f.at[f.ids[0]]
	in := f.receivedBy(b, f.ids[0])
	sent, now := 0, 300.0
	b.ResetTimer()
	for range b.N {
		for end := now + 1000; now < end; now += gossip.TickMs {
			one.Tick(now, func(uint64, *gossip.Message) { sent++ })
			for k := 0; k < len(in)*6/150+1 && len(in) > 0; k++ {
				one.Receive(now, in[(int(now)+k)%len(in)])
			}
			if int(now)%33 < int(gossip.TickMs) {
				one.Admit(now, tenantID)
				s := one.StartRequest(Request{
					Service: "s", Idempotent: true, Buffered: true, MaxAttempts: 2,
					ArrivedMs: now, DeadlineMs: now + 1000, TargetMs: 300,
				})
				if m, _, _ := s.StartAttempt(now, false); m != nil {
					one.FinishAttempt(now+50, m, 0, 50)
				}
			}
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(sent)/float64(b.N), "messages/s")
	b.ReportMetric(float64(one.GossipRecipients()), "recipients")
	b.ReportMetric(heapOfLimiter(n, list), "B-held")
}

func manyServers(n int) (list []api.Server) {
	for i := range n {
		list = append(list, api.Server{
			ID: fmt.Sprint("i-", i), Upstream: "s", Zone: zone(uint64(i)), Capacity: 2, State: "in_service",
		})
	}
	return list
}

// receivedBy returns the messages that come to one limiter in 150 ms.
func (f *fleet) receivedBy(b *testing.B, receiver uint64) (in []*gossip.Message) {
	for now := 0.0; now < 300; now += gossip.TickMs {
		for _, id := range f.ids {
			f.at[id].Tick(now, func(to uint64, sent *gossip.Message) {
				if to != receiver || now < 150 {
					return
				}
				m := &gossip.Message{}
				if err := m.Decode(sent.Append(nil)); err != nil {
					b.Fatal(err)
				}
				in = append(in, m)
			})
		}
	}
	return in
}

// heapOfLimiter is how many bytes one limiter of n holds.
func heapOfLimiter(n int, list []api.Server) float64 {
	const copies = 20
	var before, after runtime.MemStats
	var all []*Limiter
	var others []quota.Member
	for i := 1; i < n; i++ {
		id := uint64(i)*0x9e3779b97f4a7c15 + 1
		others = append(others, quota.Member{ID: id, Zone: zone(id)})
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range copies {
		l := New(0, Config{Self: 1, Zone: zone(1), Seed: 1})
		l.SetServers(0, list)
		l.SetPeers(0, others)
		all = append(all, l)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(all)
	return float64(after.HeapAlloc-before.HeapAlloc) / copies
}

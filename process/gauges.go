package process

import (
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
)

// registerGauges registers gauges for the state of the Raft member, which are 0 if there is
// none, and for the age of the last lease. The gauges' functions use fields that open sets
// later: they are called only on a scrape, which can happen only after Run has started.
func (p *Process) registerGauges() {
	memberGauge := func(name string, value func(controlplane.CoreStatus) float64) {
		p.meter.Gauge(name, func() float64 {
			core := p.member.core()
			if core == nil {
				return 0
			}
			return value(core.Status())
		})
	}
	memberGauge("elmspan_core_leader", func(s controlplane.CoreStatus) float64 {
		return boolGauge(s.Role == raft.Leader.String())
	})
	memberGauge("elmspan_core_term", func(s controlplane.CoreStatus) float64 { return float64(s.Term) })
	memberGauge("elmspan_core_commit_index", func(s controlplane.CoreStatus) float64 { return float64(s.Commit) })
	memberGauge("elmspan_core_disk_fails", func(s controlplane.CoreStatus) float64 { return boolGauge(s.DiskFails) })
	memberGauge("elmspan_core_unresponsive_voters", func(s controlplane.CoreStatus) float64 {
		return float64(len(s.UnresponsiveVoters))
	})
	p.meter.Gauge("elmspan_core_news_age_seconds", func() float64 { return p.watcher.sinceLease().Seconds() })
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

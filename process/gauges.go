package process

import (
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
)

// registerGauges has the metrics show the Raft member, 0 where there is none, and the age of
// the last lease. The functions are called when the metrics are read, once Run has begun.
func (p *Process) registerGauges() {
	ofMember := func(name string, value func(controlplane.CoreStatus) float64) {
		p.meter.Gauge(name, func() float64 {
			core := p.member.core()
			if core == nil {
				return 0
			}
			return value(core.Status())
		})
	}
	ofMember("elmspan_core_leader", func(s controlplane.CoreStatus) float64 {
		return gaugeOf(s.Role == raft.Leader.String())
	})
	ofMember("elmspan_core_term", func(s controlplane.CoreStatus) float64 { return float64(s.Term) })
	ofMember("elmspan_core_commit_index", func(s controlplane.CoreStatus) float64 { return float64(s.Commit) })
	ofMember("elmspan_core_disk_fails", func(s controlplane.CoreStatus) float64 { return gaugeOf(s.DiskFails) })
	ofMember("elmspan_core_unresponsive_voters", func(s controlplane.CoreStatus) float64 {
		return float64(len(s.UnresponsiveVoters))
	})
	p.meter.Gauge("elmspan_core_news_age_seconds", func() float64 { return p.watcher.sinceLease().Seconds() })
}

// gaugeOf is 1 for true and 0 for false.
func gaugeOf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

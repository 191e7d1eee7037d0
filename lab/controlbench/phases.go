package controlbench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// downTime is how long a killed member is away, and settleTime how long watchers have after its
	// return to come back from where they went.
	downTime   = time.Second
	settleTime = 5 * time.Second
)

// phase is one part of a measurement.
type phase struct {
	name    string
	enabled bool
	play    func(context.Context, *Phase) error
}

// phases are all parts, in their order.
func (b *bench) phases() []phase {
	return []phase{
		{"start", true, b.startWatchers},
		{"rest", true, func(ctx context.Context, _ *Phase) error { return sleep(ctx, b.spec.Rest) }},
		{"changes", true, b.playChanges},
		{"release", b.spec.Release > 0, b.playRelease},
		{"drain", b.spec.Release > 0, b.playDrain},
		{"herd", b.spec.Herd, b.startWatchers},
		{"follower", b.spec.Restarts, func(ctx context.Context, _ *Phase) error {
			return b.loseMember(ctx, (b.leader(ctx)+1)%b.spec.Members)
		}},
		{"leader", b.spec.Restarts, func(ctx context.Context, _ *Phase) error {
			return b.loseMember(ctx, b.leader(ctx))
		}},
		{"power", b.spec.Restarts, b.loseAll},
	}
}

// measure plays one phase after the other.
func (b *bench) measure(ctx context.Context) (*Report, error) {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	go b.sampleMemory(sampling) // ends with the measurement
	b.buildConfig()
	if _, err := b.replaceConfig(ctx, 0); err != nil {
		return nil, err
	}
	report := &Report{Spec: b.spec}
	for _, p := range b.phases() {
		if !p.enabled {
			continue
		}
		measured, err := b.measurePhase(ctx, &p)
		report.Phases = append(report.Phases, *measured)
		if err != nil {
			return report, fmt.Errorf("phase %s: %w", p.name, err)
		}
	}
	for _, m := range b.members {
		report.PeakMB = append(report.PeakMB, m.peakMB.load())
		report.DiskMB = append(report.DiskMB, folderMB(m.home))
	}
	report.Failed, report.Leases = b.counters.failed.Load(), b.counters.leases.Load()
	return report, nil
}

// measurePhase plays one phase, and returns what was used and sent meanwhile.
func (b *bench) measurePhase(ctx context.Context, p *phase) (*Phase, error) {
	measured := &Phase{Name: p.name, Leader: b.leader(ctx)}
	usage, bytes := b.usage(), b.counters.deltaBytes.Load()
	watches, chunks := b.counters.watches.Load(), b.counters.chunks.Load()
	for _, w := range b.watchers {
		w.longestGap.Store(0)
	}
	begun := time.Now()
	err := p.play(ctx, measured)
	measured.Lasted = time.Since(begun)
	measured.DeltaBytes = b.counters.deltaBytes.Load() - bytes
	measured.Watches = b.counters.watches.Load() - watches
	measured.Chunks = b.counters.chunks.Load() - chunks
	for i, now := range b.usage() {
		measured.Used = append(measured.Used, now.since(usage[i]))
	}
	for _, w := range b.watchers {
		measured.LongestWithoutLease = max(measured.LongestWithoutLease, w.longestWithoutLease())
	}
	return measured, err
}

// playChanges changes one weight a second.
func (b *bench) playChanges(ctx context.Context, p *Phase) error {
	for range b.spec.Changes {
		if err := b.changeWeight(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// changeWeight changes one weight, and waits until all have it.
func (b *bench) changeWeight(ctx context.Context, p *Phase) error {
	begun := time.Now()
	if b.spec.Whole {
		for _, w := range b.watchers {
			w.forget.Store(true)
		}
	}
	base := b.config.Revision
	b.config.Revision++
	b.config.Routes[b.rng.IntN(len(b.config.Routes))].TrafficSplit[0].Weight++
	sent := time.Now()
	acknowledged, err := b.replaceConfig(ctx, base)
	if err != nil {
		return err
	}
	p.Acknowledged = append(p.Acknowledged, acknowledged.Sub(sent))
	if err := b.awaitAll(ctx, acknowledged, configApplied, p); err != nil {
		return err
	}
	return sleep(ctx, changeInterval-time.Since(begun))
}

// playRelease has servers replaced, some each second.
func (b *bench) playRelease(ctx context.Context, _ *Phase) error {
	for range b.spec.Changes {
		b.platform.replace(b.spec.Release)
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	return nil
}

// playDrain has servers replaced once, after a calm time, and waits for the last watcher's next list.
func (b *bench) playDrain(ctx context.Context, p *Phase) error {
	if err := sleep(ctx, drainTime+2*changeInterval); err != nil { // what the release left is gone by then
		return err
	}
	for len(b.events) > 0 { // of lists before this one
		<-b.events
	}
	at := time.Now()
	b.platform.replace(b.spec.Release)
	return b.awaitAll(ctx, at, serversApplied, p)
}

// startWatchers has all watchers start at the same moment, with nothing, and waits until the last can serve.
func (b *bench) startWatchers(ctx context.Context, p *Phase) error {
	if err := b.stopWatchers(); err != nil {
		return err
	}
	at := time.Now()
	for i := range b.spec.Limiters {
		w, err := b.newWatcher(i)
		if err != nil {
			return err
		}
		b.watchers = append(b.watchers, w)
		w.start(ctx)
	}
	return b.awaitAll(ctx, at, canServe, p)
}

func (b *bench) stopWatchers() error {
	var errs []error
	for _, w := range b.watchers {
		w.cancel()
	}
	for _, w := range b.watchers {
		errs = append(errs, w.close())
	}
	b.watchers = nil
	b.events = make(chan watchEvent, 4*b.spec.Limiters)
	return errors.Join(errs...)
}

// loseMember kills a member and starts it again, and waits until watchers that went to others have
// had time to come back.
func (b *bench) loseMember(ctx context.Context, i int) error {
	if err := b.members[i].kill(); err != nil {
		return err
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	if err := b.restartMember(ctx, i); err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

// loseAll kills all members and stops the watchers, and starts all at the same moment.
func (b *bench) loseAll(ctx context.Context, p *Phase) error {
	if err := b.stopWatchers(); err != nil {
		return err
	}
	for _, m := range b.members {
		if err := m.kill(); err != nil {
			return err
		}
	}
	for i := range b.members {
		if err := b.restartMember(ctx, i); err != nil {
			return err
		}
	}
	return b.startWatchers(ctx, p)
}

// awaitAll waits until an event of the newest revision has come from every watcher, and notes how
// long after a moment the last and the middle one came. Lists of before that moment don't count.
func (b *bench) awaitAll(ctx context.Context, since time.Time, kind eventKind, p *Phase) error {
	var delays []time.Duration
	seen := map[*watcher]bool{}
	timeout := time.NewTimer(applyTimeout)
	defer timeout.Stop()
	for len(delays) < len(b.watchers) {
		select {
		case e := <-b.events:
			stale := e.revision != b.config.Revision || kind == serversApplied && e.at.Before(since)
			if e.kind != kind || stale || seen[e.watcher] {
				continue
			}
			seen[e.watcher] = true
			delays = append(delays, max(0, e.at.Sub(since)))
		case <-timeout.C:
			return fmt.Errorf("controlbench: %d of %d watchers have revision %d after %v",
				len(delays), len(b.watchers), b.config.Revision, applyTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	slices.Sort(delays)
	p.Takeover = append(p.Takeover, delays[len(delays)-1])
	p.Typical = append(p.Typical, delays[len(delays)/2])
	return nil
}

package simulation

import (
	"context"
	"fmt"

	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// Steps in which a day is played; the context is looked at between two of them.
const (
	stabilizationStepMs = 500.0
	trafficStepMs       = 250.0
	progressMs          = 5000 // between two calls of [Options.Progress]
	finalStepMs         = 100.0
	maxFinalSteps       = 200
)

// Options say how a day is simulated.
type Options struct {
	Policy   string       // of [Policies]; empty: the gateway's own
	Progress func(string) // is called every simulated five seconds; may be nil
}

// Result is what came of a day. The figures that end in PerS, and Targets, are means over
// the limiters and the time of traffic.
type Result struct {
	*checker.Report
	Policy   string
	Limiters int

	PerS           Traffic // what one limiter sends a second
	MessagesPerS   float64 // gossip messages
	BytesPerS      float64 // bytes of gossip messages
	HeartbeatsPerS float64
	Targets        float64 // others to whom a limiter sends gossip
	Events         uint64  // that the engine carried out
}

// Run simulates a day. An error is one of the options or of the context.
func Run(ctx context.Context, day *scenario.Day, o Options) (*Result, error) {
	f := newFleet(day, o.Policy)
	if err := f.build(); err != nil {
		return nil, err
	}
	if err := f.stabilize(ctx); err != nil {
		return nil, err
	}
	f.startTraffic()
	if err := f.playTraffic(ctx, o.Progress); err != nil {
		return nil, err
	}
	r := &Result{Policy: f.policy, Limiters: len(f.nodes)}
	f.measureTraffic(r)
	f.awaitRequests()
	r.Report, r.Events = f.counter.Report(f.log), f.engine.done
	r.addNotes(f.skippedFaults)
	return r, nil
}

// stabilize lets the limiters run without requests, and begins to count what they send.
func (f *fleet) stabilize(ctx context.Context) error {
	for at := -stabilizationMs; at < 0; at += stabilizationStepMs {
		if err := ctx.Err(); err != nil {
			return err
		}
		f.engine.until(at)
	}
	f.engine.until(0)
	for _, n := range f.nodes {
		n.traffic = Traffic{}
	}
	return nil
}

func (f *fleet) playTraffic(ctx context.Context, progress func(string)) error {
	end := f.day.LengthS * 1000
	for at := trafficStepMs; at <= end; at += trafficStepMs {
		if err := ctx.Err(); err != nil {
			return err
		}
		f.engine.until(at)
		if progress != nil && int(at)%progressMs == 0 {
			progress(f.counter.Progress(f.log))
		}
	}
	return nil
}

func (f *fleet) measureTraffic(r *Result) {
	for _, n := range f.nodes {
		k := float64(len(f.nodes)) * f.day.LengthS
		r.PerS.add(&n.traffic, 1/k)
		r.Targets += float64(n.policy.GossipRecipients()) / float64(len(f.nodes))
	}
	r.MessagesPerS, r.BytesPerS, r.HeartbeatsPerS = r.PerS.Messages, r.PerS.MessageBytes(), r.PerS.Heartbeats
}

// awaitRequests goes on until each request has ended, which it does by its deadline.
func (f *fleet) awaitRequests() {
	for i := 0; f.openRequests > 0 && i < maxFinalSteps; i++ {
		f.engine.until(f.engine.now + finalStepMs)
	}
	if f.openRequests > 0 {
		f.log.Violation("LOST", "%d requests never ended", f.openRequests)
	}
}

func (r *Result) addNotes(skippedFaults []string) {
	r.Notes = append(r.Notes, fmt.Sprintf(
		"%d limiters, each sends words to %.0f others: %.0f words, %.0f bytes, %.1f heartbeats a second",
		r.Limiters, r.Targets, r.MessagesPerS, r.BytesPerS, r.HeartbeatsPerS))
	r.Notes = append(r.Notes, r.PerS.String())
	for _, kind := range skippedFaults {
		r.Notes = append(r.Notes, "not simulated: "+kind)
	}
}

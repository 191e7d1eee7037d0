package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/emulator"
	"example.org/elmspan/lab/scenario"
)

// loadRandom makes the random numbers of a load differ from others of the same seed.
const loadRandom = 0x10ad

// Target is a running system.
type Target struct {
	Front []string          `help:"${target_front}" required:"" placeholder:"HOST:PORT"`
	Host  string            `help:"The Host of the requests." default:"emulator.example"`
	Key   map[string]string `help:"Keys of tenants, as NAME=KEY." placeholder:"NAME=KEY"`
}

// loadCmd sends the requests of a day.
type loadCmd struct {
	Target
	Day     string  `arg:"" help:"The day: its classes and tenants." type:"existingfile"`
	Seconds float64 `help:"Another length than the file's."`
	X       float64 `help:"So many times the file's load." default:"1"`
	Record  string  `help:"Write what was sent to this file, for replay." placeholder:"FILE"`
}

// replayCmd sends recorded requests.
type replayCmd struct {
	Target
	Day    string  `arg:"" help:"The day: its classes." type:"existingfile"`
	Record string  `arg:"" help:"What to send: CSV with at_s,class,tenant." type:"existingfile"`
	Speed  float64 `help:"So many times as fast." default:"1"`
}

// scheduledRequest is one request that is due at a time since the beginning.
type scheduledRequest struct {
	at     time.Duration
	class  *scenario.Class
	tenant string
}

// Run sends an open load: requests do not wait for each other.
func (c *loadCmd) Run(ctx context.Context) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.X <= 0 {
		return fmt.Errorf("--x: %v: above 0", c.X)
	}
	if c.Seconds > 0 {
		day.LengthS = c.Seconds
	}
	requests := drawRequests(day, c.X)
	if c.Record != "" {
		if err := writeRecord(c.Record, requests); err != nil {
			return err
		}
	}
	return c.send(ctx, day, requests)
}

// drawRequests draws the requests of a day at so many times its load: Poisson arrivals of each class.
func drawRequests(day *scenario.Day, factor float64) []scheduledRequest {
	rng := rand.New(rand.NewPCG(day.Seed, loadRandom))
	var requests []scheduledRequest
	for i := range day.Classes {
		class := &day.Classes[i]
		pause := func() float64 { return rng.ExpFloat64() / (class.PerS * factor) }
		for at := pause(); at < day.LengthS; at += pause() {
			tenant, _ := day.DrawTenant(rng, "", 0)
			requests = append(requests, scheduledRequest{seconds(at), class, tenant.Name})
		}
	}
	return requests
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run sends what was recorded.
func (c *replayCmd) Run(ctx context.Context) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Speed <= 0 {
		return fmt.Errorf("--speed: %v: above 0", c.Speed)
	}
	requests, err := readRecord(c.Record, day)
	if err != nil {
		return err
	}
	for i := range requests {
		requests[i].at = time.Duration(float64(requests[i].at) / c.Speed)
		day.LengthS = max(day.LengthS, requests[i].at.Seconds())
	}
	return c.send(ctx, day, requests)
}

// send sends each request at its time, and reports.
func (t *Target) send(ctx context.Context, day *scenario.Day, requests []scheduledRequest) error {
	begun := time.Now()
	ledger := checker.New(scenario.RetryBudget{}, func() time.Duration { return time.Since(begun) })
	counter := checker.NewCounter(day)
	client := emulator.NewClient(t.Host, t.Front, day.Seed)
	byTime := func(a, b scheduledRequest) int { return cmp.Compare(a.at, b.at) }
	slices.SortStableFunc(requests, byTime)
	var tasks sync.WaitGroup
	for _, request := range requests {
		if !backoff.Sleep(ctx, time.Until(begun.Add(request.at))) {
			break
		}
		tasks.Go(func() {
			at := time.Now()
			status, tries := client.Send(ctx, request.class, t.Key[request.tenant])
			counter.Add(request.class, at.Sub(begun), status, tries, time.Since(at))
		})
	}
	tasks.Wait()
	report := counter.Report(ledger)
	report.Notes = append(report.Notes, "rules can't be judged from the clients' side alone: the servers are not ours")
	return errors.Join(report.Write(os.Stdout), client.Close(), ctx.Err())
}

package main

import (
	"cmp"
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/emulator"
	"example.org/elmspan/lab/scenario"
)

// Target is a running system.
type Target struct {
	Front []string          `help:"front_port addresses of limiters, each with --front." required:"" placeholder:"HOST:PORT"`
	Host  string            `help:"The Host of the requests." default:"emulator.example"`
	Key   map[string]string `help:"Keys of tenants, as NAME=KEY." placeholder:"NAME=KEY"`
}

type loadCmd struct {
	Target
	Day     string  `arg:"" help:"The day: its classes and tenants." type:"existingfile"`
	Seconds float64 `help:"Another length than the file's."`
	X       float64 `help:"So many times the file's load." default:"1"`
	Record  string  `help:"Write what was sent to this file, for replay." placeholder:"FILE"`
}

type replayCmd struct {
	Target
	Day    string  `arg:"" help:"The day: its classes." type:"existingfile"`
	Record string  `arg:"" help:"What to send: CSV with at_s,class,tenant." type:"existingfile"`
	Speed  float64 `help:"So many times as fast." default:"1"`
}

// sending is one request that is due.
type sending struct {
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
	rng := rand.New(rand.NewPCG(day.Seed, 0x10ad))
	var all []sending
	for i := range day.Classes {
		k := &day.Classes[i]
		for at := rng.ExpFloat64() / (k.PerS * c.X); at < day.LengthS; at += rng.ExpFloat64() / (k.PerS * c.X) {
			tenant, _ := day.DrawTenant(rng, "", 0)
			all = append(all, sending{time.Duration(at * float64(time.Second)), k, tenant.Name})
		}
	}
	if c.Record != "" {
		if err := record(c.Record, all); err != nil {
			return err
		}
	}
	return c.send(ctx, day, all)
}

func record(path string, all []sending) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	for _, s := range all {
		w.Write([]string{strconv.FormatFloat(s.at.Seconds(), 'f', 6, 64), s.class.Name, s.tenant})
	}
	w.Flush()
	return errors.Join(w.Error(), f.Close())
}

// Run sends what was recorded.
func (c *replayCmd) Run(ctx context.Context) error {
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	if c.Speed <= 0 {
		return fmt.Errorf("--speed: %v: above 0", c.Speed)
	}
	f, err := os.Open(c.Record)
	if err != nil {
		return err
	}
	defer f.Close()
	classes := map[string]*scenario.Class{}
	for i := range day.Classes {
		classes[day.Classes[i].Name] = &day.Classes[i]
	}
	var all []sending
	r := csv.NewReader(f)
	r.FieldsPerRecord = 3
	for {
		row, err := r.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Record, err)
		}
		line, _ := r.FieldPos(0)
		at, err := strconv.ParseFloat(row[0], 64)
		k := classes[row[1]]
		if err != nil || at < 0 || k == nil {
			return fmt.Errorf("%s: line %d: %q is no time and class of the day", c.Record, line, row)
		}
		all = append(all, sending{time.Duration(at / c.Speed * float64(time.Second)), k, row[2]})
		day.LengthS = max(day.LengthS, at/c.Speed)
	}
	return c.send(ctx, day, all)
}

// send sends what is due, each at its time, and reports.
func (t *Target) send(ctx context.Context, day *scenario.Day, all []sending) error {
	begun := time.Now()
	ledger := checker.New(scenario.RetryBudget{}, func() time.Duration { return time.Since(begun) })
	tally := checker.NewCounter(day)
	client := emulator.NewClient(t.Host, t.Front, day.Seed)
	defer client.Close()
	var tasks sync.WaitGroup
	byTime := make(chan sending)
	go func() {
		defer close(byTime)
		sortByTime(all)
		for _, s := range all {
			if !sleepUntil(ctx, begun.Add(s.at)) {
				return
			}
			byTime <- s
		}
	}()
	for s := range byTime {
		tasks.Go(func() {
			at := time.Now()
			status, tries := client.Send(ctx, s.class, t.Key[s.tenant])
			tally.Add(s.class, at.Sub(begun), status, tries, time.Since(at))
		})
	}
	tasks.Wait()
	r := tally.Report(ledger)
	r.Notes = append(r.Notes, "rules can't be judged from the clients' side alone: the servers are not ours")
	if err := r.Write(os.Stdout); err != nil {
		return err
	}
	return ctx.Err()
}

func sortByTime(all []sending) {
	slices.SortStableFunc(all, func(a, b sending) int { return cmp.Compare(a.at, b.at) })
}

func sleepUntil(ctx context.Context, t time.Time) bool { return backoff.Sleep(ctx, time.Until(t)) }

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/lab/simulation"
)

// simulateCmd plays one day.
type simulateCmd struct {
	Experiment
	Day     string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	Seconds float64 `help:"Another length than the file's."`
	Machine int     `help:"${simulate_machines}" name:"machines-per-zone"`
	Seed    uint64  `help:"Another seed than the file's."`
}

// Run plays the day under each policy. A rule that the gateway's own breaks is exit code 3.
func (c *simulateCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	day, err := c.readDay()
	if err != nil {
		return err
	}
	begun := time.Now()
	points, err := simulation.Sweep(ctx, &simulation.Experiment{
		Day:      day,
		Policies: c.policies(),
		Seeds:    c.Seeds,
		Progress: progress,
	})
	if err != nil {
		return err
	}
	if err := printResults(points, day.Seed); err != nil {
		return err
	}
	fmt.Printf("%d days of %.0f s in %.1f s\n", len(points)*c.Seeds, day.LengthS, time.Since(begun).Seconds())
	title := "A day of " + strconv.Itoa(day.PerZone*len(day.Zones)) + " limiters"
	return c.report(&experimentReport{title: title, points: points, charts: chartsOverTime(points)})
}

// readDay reads the day and changes it as the flags say.
func (c *simulateCmd) readDay() (*scenario.Day, error) {
	day, err := scenario.ReadVaried(c.Day, c.Seed, c.Seconds)
	if err != nil {
		return nil, err
	}
	if c.Machine > 0 {
		if err := simulation.Vary(day, "machines_per_zone", float64(c.Machine)); err != nil {
			return nil, err
		}
	}
	return day, nil
}

// printResults prints the result of each simulated day, the seeds counted from the first.
func printResults(points []simulation.Point, firstSeed uint64) error {
	for _, point := range points {
		for i, result := range point.Results {
			fmt.Printf("== %s, seed %d\n", point.Policy, firstSeed+uint64(i))
			if err := result.Write(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}

package main

import (
	"context"
	"fmt"

	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/lab/simulation"
)

// planCmd finds how many servers a day needs.
type planCmd struct {
	Day    string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	InAim  float64 `help:"Share of what is within the quotas that must be answered within its aim." default:"0.98"`
	Policy string  `help:"The policy." default:"elmspan"`
	Seeds  int     `help:"So many seeds, all of which must hold." default:"3"`
}

// Factors on the file's number of servers between which a plan is searched.
const (
	minServerFactor = 0.2
	maxServerFactor = 4
)

// Run searches for the least factor.
func (c *planCmd) Run(ctx context.Context) error {
	if err := (&Experiment{Policy: []string{c.Policy}, Seeds: c.Seeds}).check(); err != nil {
		return err
	}
	if c.InAim <= 0 || c.InAim >= 1 {
		return fmt.Errorf("--in-aim: %v: between 0 and 1", c.InAim)
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	factor, err := simulation.MinServerFactor(ctx, &simulation.Requirement{
		Day:      day,
		Policy:   c.Policy,
		Share:    c.InAim,
		Low:      minServerFactor,
		High:     maxServerFactor,
		Seeds:    c.Seeds,
		Progress: progress,
	})
	if err != nil {
		return err
	}
	fmt.Printf("%.2f times the file's servers are enough for %.3f in aim:\n", factor, c.InAim)
	if err := simulation.Vary(day, "servers", factor); err != nil {
		return err
	}
	for _, service := range day.Services {
		fmt.Printf("  %s: %d servers of %d slots\n", service.Name, service.Servers, service.Slots)
	}
	return nil
}

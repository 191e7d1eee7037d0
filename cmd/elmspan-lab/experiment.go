package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"example.org/elmspan/lab/simulation"
)

// maxSeeds bounds the seeds of an experiment.
const maxSeeds = 1000

// Experiment has the flags of simulated experiments.
type Experiment struct {
	Policy []string `help:"${experiment_policy}"`
	Seeds  int      `help:"So many seeds, from the day's own on." default:"1"`
	HTML   string   `help:"Write a page with plots to this file." placeholder:"FILE"`
	CSV    string   `help:"Write a line for each simulated day to this file." placeholder:"FILE"`
}

// policies are the policies to play a day under.
func (c *Experiment) policies() []string {
	switch {
	case len(c.Policy) == 0:
		return []string{simulation.Elmspan}
	case slices.Contains(c.Policy, "all"):
		return simulation.Policies()
	}
	return c.Policy
}

// check checks the flags.
func (c *Experiment) check() error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seeds: %d: from 1 to %d", c.Seeds, maxSeeds)
	}
	for _, p := range c.policies() {
		if !slices.Contains(simulation.Policies(), p) {
			return fmt.Errorf("--policy: %q: there are %s and all", p, strings.Join(simulation.Policies(), ", "))
		}
	}
	return nil
}

// progress shows how far an experiment is.
func progress(line string) { fmt.Fprintln(os.Stderr, line) }

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/lab/simulation"
)

// sweepCmd plays a day with several values of a parameter.
type sweepCmd struct {
	Experiment
	Day   string `arg:"" help:"The fleet and its day." type:"existingfile"`
	Param string `arg:"" help:"${sweep_param}"`
}

// Run plays the sweep.
func (c *sweepCmd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	day, err := scenario.Read(c.Day)
	if err != nil {
		return err
	}
	name, values, err := parseParameter(c.Param)
	if err != nil {
		return err
	}
	points, err := simulation.Sweep(ctx, &simulation.Experiment{
		Day:       day,
		Parameter: name,
		Values:    values,
		Policies:  c.policies(),
		Seeds:     c.Seeds,
		Progress:  progress,
	})
	if err != nil {
		return err
	}
	printTable(points, name)
	return c.report(&experimentReport{
		title:     "A sweep of " + name,
		parameter: name,
		points:    points,
		charts:    chartsOverParameter(points, name),
	})
}

// parseParameter reads a parameter's name and its values, as in load=0.5,1,2.
func parseParameter(text string) (name string, values []float64, err error) {
	name, list, found := strings.Cut(text, "=")
	for number := range strings.SplitSeq(list, ",") {
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !found {
			return "", nil, fmt.Errorf("%q: a name, =, and numbers between commas are needed", text)
		}
		values = append(values, value)
	}
	return name, values, nil
}

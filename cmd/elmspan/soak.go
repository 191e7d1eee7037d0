package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"example.org/elmspan/lab/soak"
)

// maxSoakMachines keeps a soak within a few hundred processes.
const maxSoakMachines = 300

type soakCmd struct {
	First    uint64  `help:"${soakcmd_first}" default:"1"`
	Seeds    int     `help:"How many seeds are played, one after the other." default:"50"`
	Seconds  float64 `help:"Length of a day's traffic." default:"20"`
	Machines int     `help:"${soakcmd_machines}" default:"9"`
	Dir      string  `help:"${soakcmd_dir}" placeholder:"DIR"`
	Program  string  `help:"${emulatecmd_program}" type:"existingfile" placeholder:"PROGRAM"`
	Debug    bool    `help:"Have the processes log all they do."`
	Verbose  bool    `help:"Show the progress of each day."`
}

// Run plays the days. A broken rule is exit code 3, after all have been played.
func (c *soakCmd) Run() error {
	shape := soak.Shape{Machines: c.Machines, LengthS: c.Seconds}
	if err := c.validate(shape); err != nil {
		return err
	}
	program, err := (&emulateCmd{Program: c.Program, Debug: c.Debug}).gateway()
	if err != nil {
		return err
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "elmspan-soak-"); err != nil {
			return err
		}
	}
	runner := &soak.Runner{
		Program: program,
		Dir:     c.Dir,
		Out:     io.Discard,
		Shape:   shape,
	}
	if c.Verbose {
		runner.Out = os.Stderr
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return c.play(ctx, runner)
}

// validate returns what is wrong with the flags.
func (c *soakCmd) validate(shape soak.Shape) error {
	if c.Machines < soak.Zones || c.Machines > maxSoakMachines || c.Machines%soak.Zones != 0 {
		return fmt.Errorf("--machines: %d: from %d to %d, a multiple of %d",
			c.Machines, soak.Zones, maxSoakMachines, soak.Zones)
	}
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds: %d: 1 or more", c.Seeds)
	}
	if err := soak.Day(c.First, shape).Validate(); err != nil {
		return fmt.Errorf("--seconds: %w", err)
	}
	return nil
}

// play plays all seeds and prints a line on each, and more on those that broke something.
func (c *soakCmd) play(ctx context.Context, runner *soak.Runner) error {
	broken := 0
	for i := range c.Seeds {
		result := runner.Run(ctx, c.First+uint64(i))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := result.Write(os.Stdout); err != nil {
			return err
		}
		if !result.Passed() {
			broken++
		}
	}
	fmt.Printf("%d seeds from %d on, %d machines, %.0f s: %d broke something\n",
		c.Seeds, c.First, c.Machines, c.Seconds, broken)
	if broken > 0 {
		return errRule
	}
	return nil
}

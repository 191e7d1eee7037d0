package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/emulator"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/telemetry"
)

type emulateCmd struct {
	Fleet   string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	Seed    uint64  `help:"Another seed than the file's."`
	Seconds float64 `help:"Another length than the file's."`
	Dir     string  `help:"${emulatecmd_dir}" placeholder:"DIR"`
	CSV     string  `help:"Write a line for each second to this file." placeholder:"FILE"`
	Debug   bool    `help:"Have the processes log all they do."`
	Program string  `help:"${emulatecmd_program}" type:"existingfile" placeholder:"PROGRAM"`
	Upgrade string  `help:"${emulatecmd_upgrade}" name:"upgrade-to" type:"existingfile" placeholder:"PROGRAM"`
	Profile string  `help:"${emulatecmd_profile}" placeholder:"FOLDER"`
}

// Run plays the day. A broken rule is exit code 3.
func (c *emulateCmd) Run() error {
	day, err := scenario.ReadVaried(c.Fleet, c.Seed, c.Seconds)
	if err != nil {
		return err
	}
	program, err := c.gateway()
	if err != nil {
		return err
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "elmspan-"); err != nil {
			return err
		}
	}
	fleet, err := emulator.NewFleet(day, program, c.Dir, os.Stderr)
	if err != nil {
		return err
	}
	if c.Upgrade != "" {
		if err := fleet.RollOut(c.Upgrade); err != nil {
			return fmt.Errorf("--upgrade-to: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := fleet.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if !report.Passed() {
		return errRule
	}
	return nil
}

// gateway is the command line of the processes.
func (c *emulateCmd) gateway() ([]string, error) {
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		program = self
	}
	line := []string{program, "gateway"}
	if c.Debug {
		line = append(line, "--log-level", "debug")
	}
	if c.Profile == "" {
		return line, nil
	}
	dir, err := filepath.Abs(c.Profile)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return nil, fmt.Errorf("--profile: %w", err)
	}
	return append(line, "--profile", dir), nil
}

// write writes the report, and what the processes spent and the seconds where asked for.
func (c *emulateCmd) write(report *checker.Report) error {
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if c.Profile != "" {
		if err := telemetry.WriteUsageReport(os.Stdout, c.Profile); err != nil {
			return err
		}
	}
	if c.CSV == "" {
		return nil
	}
	out, err := os.Create(c.CSV)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteCSV(out), out.Close())
}

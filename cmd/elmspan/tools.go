package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"example.org/elmspan/lab/emulator"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/telemetry"
)

type statusCmd struct{ controlFlag }

// Run prints what a process says of itself.
func (c *statusCmd) Run() error {
	data, err := c.call(http.MethodGet, c.Control, "/v1/Status", nil, nil)
	if err == nil {
		os.Stdout.Write(data)
	}
	return err
}

type versionCmd struct{}

// Run prints how this program was built.
func (versionCmd) Run() error {
	version, built := "unknown", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision":
				version = s.Value
			case "vcs.modified":
				if s.Value == "true" {
					built = " (modified)"
				}
			}
		}
		built += " " + b.GoVersion
	}
	fmt.Println("elmspan " + version + built)
	return nil
}

type emulateCmd struct {
	Fleet   string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	Seed    uint64  `help:"Another seed than the file's."`
	Seconds float64 `help:"Another length than the file's."`
	Dir     string  `help:"Folder for settings, data and logs; a new one below the system's for such where left out." placeholder:"DIR"`
	CSV     string  `help:"Write a line for each second to this file." placeholder:"FILE"`
	Debug   bool    `help:"Have the processes log all they do."`
	Program string  `help:"Run this build of the gateway rather than this program's own." type:"existingfile" placeholder:"PROGRAM"`
	Upgrade string  `help:"After the day restart the machines one by one into this build while an operator brings changes, then kill all at once: each must come back with it and the newest configuration." name:"upgrade-to" type:"existingfile" placeholder:"PROGRAM"`
	Profile string  `help:"Have each process that ends in order write a CPU profile to this folder (go tool pprof -top FOLDER/*.pprof), and print what they spent." placeholder:"FOLDER"`
}

// Run plays the day. A broken rule is exit code 3.
func (c *emulateCmd) Run() error {
	spec, err := scenario.Read(c.Fleet)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		spec.Seed = c.Seed
	}
	if c.Seconds > 0 {
		spec.Shorten(c.Seconds)
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "elmspan-"); err != nil {
			return err
		}
	}
	if c.Program == "" {
		if c.Program, err = os.Executable(); err != nil {
			return err
		}
	}
	program := []string{c.Program, "gateway"}
	if c.Debug {
		program = append(program, "--log-level", "debug")
	}
	if c.Profile != "" {
		dir, err := filepath.Abs(c.Profile)
		if err == nil {
			err = os.MkdirAll(dir, 0o755)
		}
		if err != nil {
			return fmt.Errorf("--profile: %w", err)
		}
		program = append(program, "--profile", dir)
	}
	f, err := emulator.NewFleet(spec, program, c.Dir, os.Stderr)
	if err != nil {
		return err
	}
	if c.Upgrade != "" {
		if err := f.RollOut(c.Upgrade); err != nil {
			return fmt.Errorf("--upgrade-to: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := f.Run(ctx)
	if err != nil {
		return err
	}
	r.Write(os.Stdout)
	if c.Profile != "" {
		if err := telemetry.WriteUsageReport(os.Stdout, c.Profile); err != nil {
			return err
		}
	}
	if c.CSV != "" {
		out, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		if err := errors.Join(r.WriteCSV(out), out.Close()); err != nil {
			return err
		}
	}
	if !r.Passed() {
		return errRule
	}
	return nil
}

package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"example.org/elmspan/internal/hangup"
	"example.org/elmspan/internal/loglimit"
	"example.org/elmspan/process"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
)

// gcPercent is Go's GOGC: memory is dearer than processor time.
const gcPercent = 15

type gatewayCmd struct {
	Settings string `help:"Path of the node's settings file." env:"ELMSPAN_NODE_FILE" placeholder:"FILE"`
	Tuning   string `help:"${gatewaycmd_tuning}" env:"ELMSPAN_TUNING_FILE" placeholder:"FILE"`
	LogLevel string `help:"${gatewaycmd_loglevel}" default:"" enum:",debug,info,warn,error"`
	LogJSON  bool   `help:"Log as JSON, a line each, whatever the tuning file says."`
	Profile  string `help:"${gatewaycmd_profile}" placeholder:"DIR"`
}

// Run runs the process until SIGTERM.
func (c *gatewayCmd) Run() (failed error) {
	runtime.GOMAXPROCS(1) // a process has a share of one core; more would only cost memory
	debug.SetGCPercent(gcPercent)
	if c.Settings == "" {
		return fmt.Errorf("%s is not set: it names the settings file", settings.NodeFileEnv)
	}
	if c.Profile != "" {
		recording, err := telemetry.StartRecording(c.Profile, filepath.Base(filepath.Dir(c.Settings)))
		if err != nil {
			return fmt.Errorf("--profile: %w", err)
		}
		defer func() { failed = errors.Join(failed, recording.Close()) }()
	}
	tuning, err := settings.ReadTuning(c.Tuning)
	if err != nil {
		return err
	}
	log, level, err := c.logger(tuning)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	options := process.Options{SettingsPath: c.Settings, TuningPath: c.Tuning, Tuning: tuning, Log: log}
	if c.LogLevel == "" {
		options.Level = level // it follows the tuning file
	}
	p, err := process.New(options)
	if err != nil {
		return err
	}
	go func() { // ends with the program
		for range hangup.Signals() {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}

// logger returns the log, and the level that it goes by.
func (c *gatewayCmd) logger(tuning *settings.Tuning) (*slog.Logger, *slog.LevelVar, error) {
	level := new(slog.LevelVar)
	if err := level.UnmarshalText([]byte(cmp.Or(c.LogLevel, tuning.Log.Level))); err != nil {
		return nil, nil, fmt.Errorf("log.level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	if c.LogJSON || tuning.Log.Format == "json" {
		handler = slog.NewJSONHandler(os.Stderr, options)
	}
	repeat := time.Duration(tuning.Log.RepeatS * float64(time.Second))
	return slog.New(loglimit.New(handler, repeat, time.Now)), level, nil
}

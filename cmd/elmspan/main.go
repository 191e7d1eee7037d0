// Command elmspan is the API gateway and the tools round it; see the README.
//
// Exit codes: 0 all is well, 1 it failed or a fault was found, 2 the command
// line can't be read, 3 a day of the emulator broke a rule.
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

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"example.org/elmspan/internal/loglimit"
	"example.org/elmspan/process"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
)

const gcPercent = 15 // memory is dearer than processor time

type commands struct {
	Gateway gatewayCmd `cmd:"" help:"Run one process of the system, as its settings file says."`
	Check   checkCmd   `cmd:"" help:"Check files: node settings, tuning and fleets (.toml), configurations (.cbor, .json). Names each fault in a line."`
	Config  configCmd  `cmd:"" help:"Read, bring or compare the configuration of a running system."`
	State   stateCmd   `cmd:"" help:"Export what the core agrees on, begin a lost core from it, and look into a data folder."`
	Status  statusCmd  `cmd:"" help:"Show what a running process knows."`
	Explain explainCmd `cmd:"" help:"Tell the path of one request through all processes, from their logs."`
	Emulate emulateCmd `cmd:"" help:"Start a fleet on loopback with stand-ins of all it meets, play a day and report. Example: elmspan emulate docs/fleet.toml"`
	Keys    keysCmd    `cmd:"" help:"Make and change the keys by which the system's own processes know each other."`
	Version versionCmd `cmd:"" help:"Print the version."`

	Operators operatorsCmd `cmd:"" help:"Say who may call the operator's interface, and what."`

	Reference          referenceCmd                 `cmd:"" help:"Print the page on the tuning file."`
	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print what makes the shell complete commands."`
}

// errRule ends the program with exit code 3.
var errRule = errors.New("a rule was broken")

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("elmspan"), kong.Description("A distributed rate limiter, load balancer and API gateway."),
		kong.UsageOnError(), kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	kongplete.Complete(parser) // ends here where a shell asks
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	err = k.Run()
	switch {
	case errors.Is(err, errRule):
		fmt.Fprintln(os.Stderr, "elmspan:", err)
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "elmspan:", err)
		os.Exit(1)
	}
}

type gatewayCmd struct {
	Settings string `help:"Path of the node's settings file." env:"ELMSPAN_NODE_FILE" placeholder:"FILE"`
	Tuning   string `help:"Path of the tuning file, if there is one; see docs/tuning.md." env:"ELMSPAN_TUNING_FILE" placeholder:"FILE"`
	LogLevel string `help:"Least level of what is logged, before the tuning file's: debug, info, warn or error." default:"" enum:",debug,info,warn,error"`
	LogJSON  bool   `help:"Log as JSON, a line each, whatever the tuning file says."`
	Profile  string `help:"Write a CPU profile and what the process spent to files in this folder when it ends." placeholder:"DIR"`
}

// Run runs the process until SIGTERM.
func (c *gatewayCmd) Run() (failed error) {
	// First of all: Go's default action on SIGHUP ends the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	runtime.GOMAXPROCS(1) // a process has a share of one core; more would only cost memory
	debug.SetGCPercent(gcPercent)
	if c.Settings == "" {
		return fmt.Errorf("%s is not set: it names the settings file", settings.NodeFileEnv)
	}
	if c.Profile != "" {
		r, err := telemetry.StartRecording(c.Profile, filepath.Base(filepath.Dir(c.Settings)))
		if err != nil {
			return fmt.Errorf("--profile: %w", err)
		}
		defer func() { failed = errors.Join(failed, r.Close()) }()
	}
	tune, err := settings.ReadTuning(c.Tuning)
	if err != nil {
		return err
	}
	level, follow := new(slog.LevelVar), (*slog.LevelVar)(nil)
	if err := level.UnmarshalText([]byte(cmp.Or(c.LogLevel, tune.Log.Level))); err != nil {
		return fmt.Errorf("log.level: %w", err)
	}
	if c.LogLevel == "" {
		follow = level
	}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	if c.LogJSON || tune.Log.Format == "json" {
		handler = slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	}
	handler = loglimit.New(handler, time.Duration(tune.Log.RepeatS*float64(time.Second)), time.Now)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := process.New(process.Options{SettingsPath: c.Settings, TuningPath: c.Tuning, Tuning: tune, Log: slog.New(handler), Level: follow})
	if err != nil {
		return err
	}
	go func() { // ends with the program
		for range hup {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}

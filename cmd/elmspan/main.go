// Command elmspan is the API gateway and the tools round it; see the README.
//
// Exit codes: 0 all is well, 1 it failed or a fault was found, 2 the command
// line can't be read, 3 a day of the emulator broke a rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"example.org/silverscale/process"
	"example.org/silverscale/settings"
)

const gcPercent = 15 // memory is dearer than processor time

type commands struct {
	Gateway gatewayCmd `cmd:"" help:"Run one process of the system, as its settings file says."`
	Check   checkCmd   `cmd:"" help:"Check files: node settings and fleets (.toml), configurations (.cbor, .json). Names each fault in a line."`
	Config  configCmd  `cmd:"" help:"Read, bring or compare the configuration of a running system."`
	Status  statusCmd  `cmd:"" help:"Show what a running process knows."`
	Emulate emulateCmd `cmd:"" help:"Start a fleet on loopback with stand-ins of all it meets, play a day and report. Example: elmspan emulate docs/fleet.toml"`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// errRule ends the program with exit code 3.
var errRule = errors.New("a rule was broken")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("elmspan"), kong.Description("A distributed rate limiter, load balancer and API gateway."),
		kong.UsageOnError(), kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	err := k.Run()
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
	LogLevel string `help:"Least level of what is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	LogJSON  bool   `help:"Log as JSON, a line each, rather than as text."`
}

// Run runs the process until SIGTERM.
func (c *gatewayCmd) Run() error {
	// First of all: Go's default action on SIGHUP ends the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	runtime.GOMAXPROCS(1) // a process has a share of one core; more would only cost memory
	debug.SetGCPercent(gcPercent)
	if c.Settings == "" {
		return fmt.Errorf("%s is not set: it names the settings file", settings.EnvFile)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	if c.LogJSON {
		handler = slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := process.New(c.Settings, slog.New(handler))
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

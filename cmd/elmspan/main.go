// Command elmspan is the API gateway; see the README.
package main

import (
	"context"
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
	Gateway gatewayCmd `cmd:"" help:"Run one process of the system, as the file that ELMSPAN_NODE_FILE names says."`
}

type gatewayCmd struct {
	Settings string `help:"Path of the node's settings file." env:"ELMSPAN_NODE_FILE" placeholder:"FILE"`
	LogLevel string `help:"Least level of what is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
}

func main() {
	// From the very start on: Go's default action on SIGHUP ends the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	runtime.GOMAXPROCS(1) // a process has a share of one core; more would only cost memory
	debug.SetGCPercent(gcPercent)
	var c commands
	k := kong.Parse(&c, kong.Name("elmspan"), kong.Description("A distributed rate limiter, load balancer and API gateway."), kong.UsageOnError())
	if err := k.Run((<-chan os.Signal)(hup)); err != nil {
		fmt.Fprintln(os.Stderr, "elmspan:", err)
		os.Exit(1)
	}
}

// Run runs the process until SIGTERM.
func (c *gatewayCmd) Run(hup <-chan os.Signal) error {
	if c.Settings == "" {
		return fmt.Errorf("%s is not set: it names the settings file", settings.EnvFile)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := process.New(c.Settings, log)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}

// Command elmspan-lab experiments with the gateway: days on a simulated clock, sweeps of a
// parameter against other policies, planning of capacity, load on a running system, and
// benchmarks of the control plane. It is a program of its own because drawing plots would cost
// every gateway process some 4 MB of memory.
//
// Exit codes: 0 success, 1 the command failed, 2 the command line can't be read, 3 a rule was
// broken.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitRuleBroken = 3
)

// commands are the commands of the program.
type commands struct {
	Simulate simulateCmd `cmd:"" help:"${commands_simulate}"`
	Sweep    sweepCmd    `cmd:"" help:"${commands_sweep}"`
	Plan     planCmd     `cmd:"" help:"${commands_plan}"`
	Load     loadCmd     `cmd:"" help:"${commands_load}"`
	Core     coreCmd     `cmd:"" help:"${commands_core}"`
	Added    addedCmd    `cmd:"" help:"${commands_added}"`
	Hollow   hollowCmd   `cmd:"" help:"${commands_hollow}"`
	Replay   replayCmd   `cmd:"" help:"${commands_replay}"`
}

// errRuleBroken is the error of a simulated day in which the gateway's own policy broke a rule.
var errRuleBroken = errors.New("a rule was broken")

func main() {
	var c commands
	k := kong.Parse(&c, parserOptions(kong.Exit(exit))...)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	switch {
	case err == nil:
		return
	case errors.Is(err, errRuleBroken):
		fmt.Fprintln(os.Stderr, "elmspan-lab:", err)
		os.Exit(exitRuleBroken)
	}
	fmt.Fprintln(os.Stderr, "elmspan-lab:", err)
	os.Exit(exitFailed)
}

// parserOptions are the options with which the command line is parsed, and more.
func parserOptions(more ...kong.Option) []kong.Option {
	options := []kong.Option{
		kong.Name("elmspan-lab"),
		kong.Description("Experiments with the elmspan gateway."),
		kong.UsageOnError(),
		helpTexts,
	}
	return append(options, more...)
}

// exit ends the program where the command line can't be read, or help was asked for.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

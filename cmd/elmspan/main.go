// Command elmspan is the API gateway and the tools round it; see the README.
//
// Exit codes: 0 all is well, 1 it failed or a fault was found, 2 the command
// line can't be read, 3 a day of the emulator broke a rule.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"example.org/elmspan/internal/hangup"
)

// commands is the command line.
type commands struct {
	Gateway gatewayCmd `cmd:"" help:"Run one process of the system, as its settings file says."`
	Check   checkCmd   `cmd:"" help:"${commands_check}"`
	Config  configCmd  `cmd:"" help:"Read, bring or compare the configuration of a running system."`
	State   stateCmd   `cmd:"" help:"${commands_state}"`
	Status  statusCmd  `cmd:"" help:"Show what a running process knows."`
	Explain explainCmd `cmd:"" help:"Tell the path of one request through all processes, from their logs."`
	Emulate emulateCmd `cmd:"" help:"${commands_emulate}"`
	Soak    soakCmd    `cmd:"" help:"${commands_soak}"`
	Keys    keysCmd    `cmd:"" help:"Make and change the keys by which the system's own processes know each other."`
	Version versionCmd `cmd:"" help:"Print the version."`

	Operators operatorsCmd `cmd:"" help:"Say who may call the operator's interface, and what."`

	Reference          referenceCmd                 `cmd:"" help:"Print the page on the tuning file."`
	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print what makes the shell complete commands."`
}

// gatewayCommand is the command of the process that reads its settings again at SIGHUP.
const gatewayCommand = "gateway"

// errRule ends the program with exit code 3.
var errRule = errors.New("a rule was broken")

// Exit codes; 0 is success.
const (
	exitFailed = 1
	exitUsage  = 2
	exitRule   = 3
)

// newParser returns the parser of the command line.
func newParser() *kong.Kong {
	return kong.Must(&commands{}, kong.Name("elmspan"),
		kong.Description("A distributed rate limiter, load balancer and API gateway."),
		helpTexts, kong.UsageOnError(), kong.Exit(exit))
}

// exit ends the program as kong asks for: whatever is wrong then is the command line.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func main() {
	parser := newParser()
	kongplete.Complete(parser) // ends here where a shell asks
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if command.Command() != gatewayCommand {
		hangup.Release() // nothing is read again
	}
	err = command.Run()
	switch {
	case errors.Is(err, errRule):
		fmt.Fprintln(os.Stderr, "elmspan:", err)
		os.Exit(exitRule)
	case err != nil:
		fmt.Fprintln(os.Stderr, "elmspan:", err)
		os.Exit(exitFailed)
	}
}

// Package hangup catches SIGHUP, which requests a reload of the settings, as early as possible during program start.
// Go's default action for SIGHUP terminates the program, and a program that is being restarted must not be terminated
// by a reload request.
//
// The package is initialized as soon as signals can be caught: Go initializes packages in the order of their import
// paths, each as soon as its imports are initialized, and this package imports almost nothing. The default action still
// applies while the runtime and the dependencies of os/signal are initialized, for about 2 ms, which a program cannot
// avoid.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals has a buffer of one, as several pending signals are equivalent to a single one.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which SIGHUP arrives.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action, for programs that have no settings to reload. It must be called before they
// start their work. A signal that was received earlier is ignored.
func Release() { signal.Reset(syscall.SIGHUP) }

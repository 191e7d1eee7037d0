// Package hangup catches SIGHUP, which tells a program to read its settings again, from the first moments of the
// program on: Go's default action on it ends the program. One that is just being started again must not end by it.
//
// The package is initialized as soon as signals can be caught: Go initializes packages in the order of their import
// paths, each as soon as what it imports is initialized, and this one imports next to nothing. What is left to the
// default action is the start of the runtime and of the packages below os/signal, some 2 ms, which no program can help.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal: more than one that nobody has taken yet mean the same.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which SIGHUP arrives.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action, for programs that have nothing to read again. It is called before they begin to
// work; a signal that has come by then is ignored.
func Release() { signal.Reset(syscall.SIGHUP) }

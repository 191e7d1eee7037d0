// Command review-2 plays the cases of the second review that can't be put as a day: it starts the gateway's own program
// as separate processes on loopback, with stand-ins for servers, clients, operators and the platform, and checks one
// rule by what these have seen.
//
//	review-2 CASE RECORD
//
// RECORD is the file that gets the record. TROUBLE=0 in the environment leaves the disruption out. The exit code is 1
// if the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxPlay ends a case that has not ended by itself.
const maxPlay = 115 * time.Second

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one case: it plays, notes what it sees in the world's record, and returns the breaks of its rule.
type play func(w *world) (breaks []string, err error)

var plays = map[string]play{
	"drain": playDrain,
	"quota": playQuota,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	ended := make(chan int, 1)
	go func() { ended <- w.play(os.Args[1]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	code := exitFailed
	select {
	case code = <-ended:
	case <-signals:
		rec.note("ended by a signal")
	case <-time.After(maxPlay):
		rec.note("not ended in %s", maxPlay)
	}
	w.close()
	if err := rec.close(code); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}

// play plays a case and returns the exit code.
func (w *world) play(name string) int {
	w.rec.note("case %s, trouble %v", name, w.trouble)
	breaks, err := plays[name](w)
	for _, b := range breaks {
		w.rec.note("BROKEN %s", b)
	}
	switch {
	case err != nil:
		w.rec.note("could not be played: %v", err)
		fmt.Println("could not be played:", err)
		return exitFailed
	case len(breaks) > 0:
		fmt.Printf("broken, %d times; the first: %s\n", len(breaks), breaks[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

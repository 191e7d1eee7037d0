// Command harness plays the cases of the review: it starts the gateways of a small deployment as separate processes on
// loopback, meets them with stand-ins of servers, platform, operator and clients, and judges what these have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not be played.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitBroken = 1
	exitFailed = 2
)

// playTimeout bounds a case, so that run.sh stays well below its 120 s.
const playTimeout = 100 * time.Second

// cases are the scripts by the name that run.sh passes.
var cases = map[string]func(context.Context, *world) error{
	"unframed":    playUnframed,
	"last-tenant": playLastTenant,
	"readded":     playReadded,
	"retries":     playRetries,
}

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	program := flag.String("program", "target/elmspan", "the program of the deploy file")
	flag.Parse()
	err := run(*name, *path, *program, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		fmt.Println("BROKEN")
		os.Exit(exitBroken)
	case err != nil:
		fmt.Println("the case could not be played:", err)
		os.Exit(exitFailed)
	}
	fmt.Println("the rule held")
}

// run plays one case and ends all that it has started.
func run(name, path, program string, trouble bool) error {
	play := cases[name]
	if play == nil {
		return fmt.Errorf("no case %q", name)
	}
	dir, err := os.MkdirTemp("", "elmspan-review-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a folder that is left over harms nobody
	log, err := newRecord(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTimeout)
	defer cancel()
	w, err := newWorld(dir, program, trouble, log)
	if err != nil {
		return errors.Join(err, log.close())
	}
	if err = w.start(); err == nil {
		err = play(ctx, w)
	}
	w.stop()
	if err != nil {
		log.printf("result: %v", err)
	} else {
		log.printf("result: the rule held")
	}
	return errors.Join(err, log.close())
}

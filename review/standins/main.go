package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitKept     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

// caseTimeout bounds a run of a case.
const caseTimeout = 100 * time.Second

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of the cases to the functions that play them.
var cases = map[string]func(ctx context.Context, w *world, disrupt bool) error{
	"lost":   playLost,
	"drain":  playDrain,
	"stale":  playStale,
	"outage": playOutage,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *path))
}

// run plays a case and returns the exit code.
func run(name, path string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitUnplayed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	w, err := newWorld(ctx, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer w.close()
	err = play(ctx, w, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		w.record.add("RESULT broken")
		return exitBroken
	case err != nil:
		w.record.add("RESULT not played: %v", err)
		return exitUnplayed
	}
	w.record.add("RESULT kept")
	return exitKept
}

// Command standin2 plays the cases of the second review: it starts the project's daemons as
// separate processes, with a store, workers and clients of its own, and checks one rule.
//
// Usage:
//
//	standin2 CASE ROOT RECORD
//
// ROOT is the repository and RECORD the file for what was sent, answered and run. With TROUBLE=0
// in the environment the disruption is left out. The exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(root, dir string, r *record, trouble bool) (broken bool, err error){
	"poison-after-kill": poisonAfterKill,
	"long-answer":       longAnswer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		return exitNoRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	dir, cleanUp, err := tempDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer cleanUp()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		started.killAll()
		os.Exit(exitNoRun)
	}()
	broken, err := cases[os.Args[1]](root, dir, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil || len(r.problems) > 0:
		fmt.Println("the case could not run:", err, r.problems)
		return exitNoRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}

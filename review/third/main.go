// Command third runs the scripts of the third review: target/review-third CASE FOLDER, in the root of the repository. It writes
// record.txt to the folder and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case.
var cases = map[string]func(*run) (broken bool, err error){
	"truncated": runTruncated,
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(arguments []string) int {
	if len(arguments) == 3 && arguments[0] == "upstream" {
		fmt.Fprintln(os.Stderr, runUpstream(arguments[1], arguments[2]))
		return exitNotRun
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-third CASE FOLDER")
		return exitNotRun
	}
	r, err := newRun(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.finish()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.finish()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[arguments[0]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("rule broken")
		return exitBroken
	default:
		fmt.Println("rule held")
		return exitHeld
	}
}

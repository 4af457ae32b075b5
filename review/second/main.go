// Command review-2 runs the cases of the second review that are scripts. Its argument is the name of the case; the working
// directory is the folder of the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by name. Each reports whether its rule was broken; an error means that it could not run.
var cases = map[string]func(*environment) (broken bool, err error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(check func(*environment) (bool, error)) int {
	e, err := newEnvironment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer e.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		e.close()
		os.Exit(exitFailed)
	}()
	broken, err := check(e)
	switch {
	case err != nil:
		e.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		e.log("result: the rule was broken")
		fmt.Println("broken")
		return exitBroken
	default:
		e.log("result: the rule held")
		fmt.Println("held")
		return exitHeld
	}
}

// Package exit turns the error of a program into what its user sees: a message and an exit code.
package exit

import (
	"errors"
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	// Failed is for a program that could not do its work.
	Failed = 1
	// Usage is for wrong arguments or settings.
	Usage = 2
)

// Report prints an error and returns the exit code that belongs to it; isUsage tells which errors, besides those of the
// command line, are the user's to mend. Help that was asked for goes to standard output and is no failure.
func Report(err error, isUsage func(error) bool) int {
	if err == nil {
		return 0
	}
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		fmt.Println(parse.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	if parse != nil || isUsage(err) {
		return Usage
	}
	return Failed
}

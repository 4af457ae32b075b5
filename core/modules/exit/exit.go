// Package exit reports the error with which a program ends to its user and maps it to an exit code.
package exit

import (
	"errors"
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	// Failed is for any failure other than a usage error.
	Failed = 1
	// Usage is for invalid arguments or settings.
	Usage = 2
)

// Report prints an error to standard error and returns its exit code. Errors of the command line parser are usage errors;
// isUsage decides this for all others. Requested help is printed to standard output and is not a failure.
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

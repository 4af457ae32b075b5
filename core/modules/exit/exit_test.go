package exit_test

import (
	"errors"
	"testing"

	flags "github.com/jessevdk/go-flags"

	"medlarpond.dev/core/modules/exit"
)

func TestReport(t *testing.T) {
	errSettings := errors.New("wrong settings")
	isUsage := func(err error) bool { return errors.Is(err, errSettings) }
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"no error":          {nil, 0},
		"help":              {&flags.Error{Type: flags.ErrHelp, Message: "help"}, 0},
		"unknown flag":      {&flags.Error{Type: flags.ErrUnknownFlag, Message: "unknown"}, exit.Usage},
		"invalid settings":  {errSettings, exit.Usage},
		"any other failure": {errors.New("address in use"), exit.Failed},
	} {
		if got := exit.Report(c.err, isUsage); got != c.want {
			t.Errorf("%s: got exit code %d, want %d", name, got, c.want)
		}
	}
}

// Command medlarpond-entry runs one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	flags "github.com/jessevdk/go-flags"

	"medlarpond.dev/core/instance"
	"medlarpond.dev/core/models/platform"
	"medlarpond.dev/core/modules/exit"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/settings"
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"settings file in YAML" required:"yes"`
}

type runCommand struct {
	Arguments fileArgument `positional-args:"yes"`
}

type checkCommand struct {
	Arguments fileArgument `positional-args:"yes"`
}

func main() {
	parser := flags.NewNamedParser("medlarpond-entry", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "an entry instance of medlarpond"
	_, _ = parser.AddCommand("run", "run the instance", "Runs the instance until SIGTERM or SIGINT, then stops gracefully.", &runCommand{})
	_, _ = parser.AddCommand("check", "check a settings file", "Checks a settings file without starting the instance.", &checkCommand{})
	_, err := parser.Parse()
	os.Exit(exit.Report(err, settings.IsInvalid))
}

// Execute checks the settings file.
func (c *checkCommand) Execute([]string) error {
	if _, err := settings.Load(c.Arguments.File); err != nil {
		return err
	}
	fmt.Println(c.Arguments.File + ": ok")
	return nil
}

// Execute runs the instance.
func (c *runCommand) Execute([]string) error {
	s, err := settings.Load(c.Arguments.File)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store, _ := platform.NewHTTP(s.Platform.URL, s.Platform.CallTimeout)
	return instance.New(s, store, logger).Run(ctx)
}

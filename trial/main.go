// Command medlarpond-trial runs a complete trial fleet on loopback in one process.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	flags "github.com/jessevdk/go-flags"

	"medlarpond.dev/core/modules/exit"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/standin/fleet"
)

type options struct {
	File  string `short:"f" long:"file" default:"examples/trial.yaml" description:"trial file in YAML"`
	Level string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exit.Usage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exit.Failed)
	}
}

func run(o options) error {
	logger, err := logging.New(os.Stderr, o.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config, err := fleet.Load(o.File)
	if err != nil {
		return err
	}
	return fleet.New(config, logger).Run(ctx, func() { printHints(config) })
}

const hints = `The trial fleet is ready. Try:

  # which instances to use
  curl 'http://%[1]s/medlarpond/v1/lookup?service=subs-desk'

  # a request with a key
  curl -H 'Authorization: Bearer lawns-trial-key' 'http://%[1]s/plans/today'

  # what an operator wants now, and its version
  curl 'http://%[2]s/v1/resources/team/lawns'

  # follow changes (leave it running)
  curl -N 'http://%[2]s/v1/watch?after=0'

  # change an intent: put the version that you read in place of VERSION
  curl -X PUT 'http://%[2]s/v1/resources/team/lawns' -d '{"actor":"me","reason":"trying it out",
    "resource":{"kind":"team","name":"lawns","version":VERSION,"spec":{"rate":120,"burst":20,"weight":1}}}'

  # or with the operators' program
  go run ./mpctl get team
  go run ./mpctl set team lawns rate=120 -m 'trying it out'

Ctrl-C stops it.
`

func printHints(config fleet.Config) {
	fmt.Printf(hints, config.Entries[0].Caller, config.Entries[0].Operator)
}

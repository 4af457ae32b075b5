// Command medlarpond-standin runs stand-ins (fakes) of the systems that medlarpond depends on, for trials and tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"medlarpond.dev/core/modules/exit"
	"medlarpond.dev/core/standin/platform"
	"medlarpond.dev/core/standin/target"
)

const (
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout = 5 * time.Second
)

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7500" description:"address of the key-value service"`
	Faults string `long:"faults" description:"address to switch faults on and off by PUT /faults; empty for none"`
}

type targetCommand struct {
	Listen         string        `long:"listen" default:"127.0.0.1:7601" description:"address of the target"`
	Name           string        `long:"name" default:"target-1" description:"name that answers carry"`
	Slots          int64         `long:"slots" default:"3" description:"requests that run at once"`
	ProcessingTime time.Duration `long:"work" default:"5ms" description:"how long a request runs"`
}

func main() {
	parser := flags.NewNamedParser("medlarpond-standin", flags.Default)
	_, _ = parser.AddCommand("platform", "run a stand-in platform", "Runs an in-memory key-value store and service catalog.", &platformCommand{})
	_, _ = parser.AddCommand("target", "run a stand-in target", "Runs a target that echoes requests.", &targetCommand{})
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exit.Usage)
	}
}

// Execute runs the stand-in platform.
func (c *platformCommand) Execute([]string) error {
	p := platform.New()
	if c.Faults == "" {
		return serve(c.Listen, p)
	}
	group := new(errgroup.Group)
	group.Go(func() error { return serve(c.Listen, p) })
	group.Go(func() error { return serve(c.Faults, platform.FaultHandler(p)) })
	return group.Wait()
}

// Execute runs the stand-in target.
func (c *targetCommand) Execute([]string) error {
	return serve(c.Listen, target.New(c.Name, c.Slots, c.ProcessingTime))
}

func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Println("listening on " + address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

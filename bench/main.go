// Command medlarpond-bench measures medlarpond on loopback.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	flags "github.com/jessevdk/go-flags"

	"medlarpond.dev/core/modules/exit"
)

// columnPadding is the space between the columns of a table.
const columnPadding = 2

// program is what every command works with.
type program struct {
	ctx context.Context //nolint:containedctx // the lifetime of one invocation

	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	p := &program{ctx: ctx}
	_, err := newParser(p).Parse()
	stop()
	os.Exit(exit.Report(err, func(error) bool { return false }))
}

func newParser(p *program) *flags.Parser {
	parser := flags.NewNamedParser("medlarpond-bench", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Measures medlarpond on loopback. Every command is bounded in time."
	_, _ = parser.AddGroup("Options", "", p)
	_, _ = parser.AddCommand("path", "measure what an instance adds to a request",
		"Sends requests to a target directly and through an instance, in turns, and compares latency, throughput and allocations.",
		&pathCommand{program: p})
	_, _ = parser.AddCommand("slopes", "measure how control costs grow with the fleet",
		"Runs fleets of several sizes in this process and measures, at rest and for each change, store calls, payload bytes, "+
			"processor time and memory.",
		&slopesCommand{program: p})
	_, _ = parser.AddCommand("load", "send a mix of requests by a schedule",
		"Sends the requests of a plan when they are due, whatever became of earlier ones; a late start counts into latency. "+
			"Causes the plan's faults meanwhile and reports latencies, refusals and failures by team and service.",
		&loadCommand{program: p})
	return parser
}

// print writes a value as JSON or, through the function, as a table.
func (p *program) print(value any, table func(io.Writer)) error {
	if p.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	table(w)
	return w.Flush()
}

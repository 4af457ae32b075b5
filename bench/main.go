// Command medlarpond-bench runs benchmarks of medlarpond on the loopback interface.
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

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// program holds the context and the options that all commands share.
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
	parser.LongDescription = "Runs benchmarks of medlarpond on the loopback interface. Every command has a time limit."
	_, _ = parser.AddGroup("Options", "", p)
	_, _ = parser.AddCommand("path", "measure the overhead that an instance adds to a request",
		"Alternates between direct requests to targets and requests through an instance, and compares latency, throughput and allocations.",
		&pathCommand{program: p})
	_, _ = parser.AddCommand("slopes", "measure how control plane costs grow with the fleet size",
		"Runs fleets of several sizes in this process and measures store calls and payload bytes, while idle and for each change, and "+
			"CPU time and memory while idle.",
		&slopesCommand{program: p})
	_, _ = parser.AddCommand("load", "send a mix of requests on an open-loop schedule",
		"Sends each request of a plan at its scheduled time without waiting for earlier ones; latency counts from the scheduled time. "+
			"Injects the plan's faults during the run and reports latencies, refusals and failures by team and service.",
		&loadCommand{program: p})
	return parser
}

// print writes a value to standard output, as JSON or as a table that the function table writes.
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

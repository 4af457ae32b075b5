// Package path measures what the path through an instance adds to a direct request to the same targets.
package path

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"medlarpond.dev/bench/latency"
	"medlarpond.dev/core/standin/fleet"
)

const (
	// rounds is the number of turns in which direct and through requests alternate, so that both meet the same machine.
	rounds = 6
	// warmUp is how long requests are sent before they count.
	warmUp = 300 * time.Millisecond
)

// Settings say what to measure.
type Settings struct {
	// Callers lists how many requests run at once, a measurement each.
	Callers []int
	// Duration is how long each measurement lasts on either way.
	Duration time.Duration
	// Work is how long the target works on a request.
	Work time.Duration
}

// Result compares both ways for one number of callers.
type Result struct {
	Callers int `json:"callers"`
	Direct  Way `json:"direct"`
	Through Way `json:"through"`
}

// Way is what was measured on one way to the target.
type Way struct {
	latency.Summary
	// Throughput is in requests a second.
	Throughput float64 `json:"throughput"`
	// Allocations is the number for each request in the whole process: caller, instance and target.
	Allocations float64 `json:"allocations"`
	Errors      int     `json:"errors"`
}

// Run starts a fleet in this process and measures; started is called before the first measurement.
func Run(ctx context.Context, s Settings, started func() error) ([]Result, error) {
	p, err := newPlan(s.Work)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	ready := make(chan struct{})
	group.Go(func() error { return fleet.New(p.plan, zap.NewNop()).Run(ctx, func() { close(ready) }) })
	var results []Result
	group.Go(func() error {
		defer stop()
		select {
		case <-ready:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := started(); err != nil {
			return err
		}
		var err error
		results, err = measureAll(ctx, s, p)
		return err
	})
	return results, group.Wait()
}

func measureAll(ctx context.Context, s Settings, p planned) ([]Result, error) {
	results := make([]Result, 0, len(s.Callers))
	for _, callers := range s.Callers {
		direct := newLoad(callers, p.targets...)
		through := newLoad(callers, p.entry)
		for _, l := range []*load{direct, through} {
			l.run(ctx, warmUp)
			l.reset()
		}
		for range rounds {
			direct.run(ctx, s.Duration/rounds)
			through.run(ctx, s.Duration/rounds)
		}
		results = append(results, Result{Callers: callers, Direct: direct.way(), Through: through.way()})
		direct.close()
		through.close()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
	return results, nil
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) {
	_, _ = fmt.Fprintln(w, "CALLERS\tWAY\tP50\tP99\tREQUESTS/S\tALLOCATIONS/REQUEST\tERRORS")
	for _, r := range results {
		printWay(w, r.Callers, "direct", r.Direct)
		printWay(w, r.Callers, "through", r.Through)
		_, _ = fmt.Fprintf(w, "%d\tadded\t%v\t%v\t%.2f of direct\t%.1f\t\n", r.Callers,
			round(r.Through.P50-r.Direct.P50), round(r.Through.P99-r.Direct.P99),
			r.Through.Throughput/r.Direct.Throughput, r.Through.Allocations-r.Direct.Allocations)
	}
}

func printWay(w io.Writer, callers int, name string, v Way) {
	_, _ = fmt.Fprintf(w, "%d\t%s\t%v\t%v\t%.0f\t%.1f\t%d\n",
		callers, name, round(v.P50), round(v.P99), v.Throughput, v.Allocations, v.Errors)
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

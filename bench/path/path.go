// Package path measures the overhead of requests through an instance over direct requests to the same targets.
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
	// rounds is the number of times that direct requests and requests through the instance alternate, so that changes in the
	// machine's load affect both alike.
	rounds = 6
	// warmUp is how long requests are sent before the measurements start.
	warmUp = 300 * time.Millisecond
)

// Settings has the parameters of a benchmark run.
type Settings struct {
	// Callers lists the numbers of concurrent callers; each gets a measurement of its own.
	Callers []int
	// Duration is the total duration of the direct requests of a measurement, and also that of the requests through the instance.
	Duration time.Duration
	// ProcessingTime is the processing time of a request at the target.
	ProcessingTime time.Duration
}

// Result compares direct requests with requests through an instance, for one number of callers.
type Result struct {
	Callers int   `json:"callers"`
	Direct  Stats `json:"direct"`
	Through Stats `json:"through"`
}

// Stats has the measurements of the requests on one of the two paths to the targets.
type Stats struct {
	latency.Summary
	// Throughput is in requests per second.
	Throughput float64 `json:"throughput"`
	// Allocations is the number of heap allocations per request in the whole process, which runs callers, instance and targets.
	Allocations float64 `json:"allocations"`
	Errors      int     `json:"errors"`
}

// Run starts a fleet in this process, calls started once the fleet is ready, and runs the measurements. An error of started ends the
// run and is returned.
func Run(ctx context.Context, s Settings, started func() error) ([]Result, error) {
	f, err := newBenchFleet(s.ProcessingTime)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	ready := make(chan struct{})
	group.Go(func() error { return fleet.New(f.config, zap.NewNop()).Run(ctx, func() { close(ready) }) })
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
		results, err = measureAll(ctx, s, f)
		return err
	})
	return results, group.Wait()
}

func measureAll(ctx context.Context, s Settings, f benchFleet) ([]Result, error) {
	results := make([]Result, 0, len(s.Callers))
	for _, callers := range s.Callers {
		direct := newLoadGenerator(callers, f.targets...)
		through := newLoadGenerator(callers, f.entry)
		for _, l := range []*loadGenerator{direct, through} {
			l.run(ctx, warmUp)
			l.reset()
		}
		for range rounds {
			direct.run(ctx, s.Duration/rounds)
			through.run(ctx, s.Duration/rounds)
		}
		results = append(results, Result{Callers: callers, Direct: direct.stats(), Through: through.stats()})
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
	_, _ = fmt.Fprintln(w, "CALLERS\tPATH\tP50\tP99\tREQUESTS/S\tALLOCATIONS/REQUEST\tERRORS")
	for _, r := range results {
		printStats(w, r.Callers, "direct", r.Direct)
		printStats(w, r.Callers, "through", r.Through)
		_, _ = fmt.Fprintf(w, "%d\tadded\t%v\t%v\t%.2f of direct\t%.1f\t\n", r.Callers,
			round(r.Through.P50-r.Direct.P50), round(r.Through.P99-r.Direct.P99),
			r.Through.Throughput/r.Direct.Throughput, r.Through.Allocations-r.Direct.Allocations)
	}
}

func printStats(w io.Writer, callers int, name string, s Stats) {
	_, _ = fmt.Fprintf(w, "%d\t%s\t%v\t%v\t%.0f\t%.1f\t%d\n",
		callers, name, round(s.P50), round(s.P99), s.Throughput, s.Allocations, s.Errors)
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

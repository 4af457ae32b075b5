package path

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/bench/latency"
)

// loadGenerator runs a fixed number of callers, each of which sends one request after another (closed loop).
type loadGenerator struct {
	// urls are assigned to the callers round-robin; a caller always uses the same URL.
	urls      []string
	callers   int
	transport *http.Transport

	// The totals of all runs since the last reset; mallocs counts heap allocations of the whole process.
	samples []time.Duration
	errors  int
	elapsed time.Duration
	mallocs uint64
}

func newLoadGenerator(callers int, addresses ...string) *loadGenerator {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		urls = append(urls, "http://"+address+requestPath)
	}
	return &loadGenerator{
		urls: urls, callers: callers,
		transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true},
	}
}

func (l *loadGenerator) close() { l.transport.CloseIdleConnections() }

func (l *loadGenerator) reset() {
	l.samples, l.errors, l.elapsed, l.mallocs = nil, 0, 0, 0
}

// run sends requests for the duration d and adds the measurements to the totals.
func (l *loadGenerator) run(ctx context.Context, d time.Duration) {
	var wait sync.WaitGroup
	samples := make([][]time.Duration, l.callers)
	errors := make([]int, l.callers)
	before := mallocCount()
	started := time.Now()
	for i := range l.callers {
		wait.Go(func() { samples[i], errors[i] = l.runCaller(ctx, l.urls[i%len(l.urls)], started.Add(d)) })
	}
	wait.Wait()
	l.elapsed += time.Since(started)
	l.mallocs += mallocCount() - before
	for i := range l.callers {
		l.samples = slices.Concat(l.samples, samples[i])
		l.errors += errors[i]
	}
}

// runCaller runs one caller. It returns the latencies of the requests that were answered in full and the number of failed ones.
func (l *loadGenerator) runCaller(ctx context.Context, url string, until time.Time) (samples []time.Duration, failed int) {
	for time.Now().Before(until) && ctx.Err() == nil {
		started := time.Now()
		if err := l.request(ctx, url); err != nil {
			failed++
			continue
		}
		samples = append(samples, time.Since(started))
	}
	return samples, failed
}

// errUnexpectedStatus is returned for a response with a status other than 200.
type errUnexpectedStatus struct{}

// Error implements error.
func (errUnexpectedStatus) Error() string { return "unexpected status" }

func (l *loadGenerator) request(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header["Authorization"] = []string{"Bearer " + apiKey}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errUnexpectedStatus{}
	}
	return nil
}

func (l *loadGenerator) stats() Stats {
	s := Stats{Summary: latency.Summarize(l.samples), Errors: l.errors}
	s.Throughput = float64(s.Count) / l.elapsed.Seconds()
	s.Allocations = float64(l.mallocs) / float64(max(s.Count, 1))
	return s
}

func mallocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
